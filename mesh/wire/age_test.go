package wire

import (
	"testing"
	"time"
)

// The ages of an update grow by the time that it waits to be sent; those of other frames, and unknown ones, do not.
func TestAgesGrowWhileAFrameWaits(t *testing.T) {
	for _, c := range []struct {
		name       string
		kind       Kind
		age, entry uint32
		waited     time.Duration
		wantAge    uint32
		wantEntry  uint32
	}{
		{"an update", Update, 40, 900, 1500 * time.Millisecond, 1540, 2400},
		{"sent at once", Update, 40, 900, 900 * time.Microsecond, 40, 900},
		{"of unknown age", Update, UnknownAge, 900, time.Second, UnknownAge, 1900},
		{"very old", Update, UnknownAge - 5, 1, time.Second, UnknownAge - 1, 1001},
		{"another frame", Hello, 40, 900, time.Second, 40, 900},
	} {
		encoded := Encode(&FrameT{Kind: c.kind, AgeMs: c.age, Version: new(uint32(7)), Entries: []*EntryT{{Node: "n", AgeMs: c.entry}}})
		AddAge(encoded, c.waited)
		f, err := Decode(encoded[LengthSize:])
		if err != nil || f.AgeMs != c.wantAge || f.Entries[0].AgeMs != c.wantEntry || *f.Version != 7 {
			t.Errorf("%s: %v, %+v with %+v", c.name, err, f, f.Entries[0])
		}
	}
	AddAge([]byte{0, 0, 0, 0}, time.Second) // no frame: does no harm
}
