package register

import (
	"slices"
	"testing"

	"firplank/mesh/configversion"
)

// A history keeps the records of the MaxRecords highest versions, and reports versions whose record it may have dropped as BelowFloor.
func TestFullHistoryDropsLowestVersion(t *testing.T) {
	x, y := ContentOf([]byte("x")), ContentOf([]byte("y"))
	var h History
	for version := configversion.Version(2); version <= 2*(MaxRecords+10); version += 2 {
		before := slices.Clone(h.Records)
		next := h.With(Record{version, x})
		if !slices.Equal(h.Records, before) {
			t.Fatalf("adding version %d changed the original history", version)
		}
		h = next
	}
	if len(h.Records) != MaxRecords || h.Floor != 20 {
		t.Fatalf("%d records above floor %d, want %d above 20", len(h.Records), h.Floor, MaxRecords)
	}
	h = h.With(Record{41, y})
	for _, c := range []struct {
		name    string
		version configversion.Version
		content Content
		want    RecordState
	}{
		{"recorded", 40, x, RecordedSame},
		{"recorded with another content", 40, y, RecordedDifferent},
		{"added late, between others", 41, y, RecordedSame},
		{"never written, in range", 43, x, NotRecorded},
		{"above all", 1 << 31, x, NotRecorded},
		{"dropped for one that was added late", 22, x, BelowFloor},
		{"below the range", 3, y, BelowFloor},
	} {
		if got := h.StateOf(c.version, c.content); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	if full := h.With(Record{23, x}); full.StateOf(23, y) != BelowFloor || len(full.Records) != MaxRecords {
		t.Error("a version below the lowest of a full history is not dropped at once")
	}
}
