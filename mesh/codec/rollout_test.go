package codec

import (
	"testing"
	"time"

	"firplank/mesh/directory"
	"firplank/mesh/rollout"
	"firplank/mesh/wire"
)

func TestRolloutReportRoundTrip(t *testing.T) {
	sent := directory.RolloutReport{ConfirmedRevision: 7, Order: 2, OrderAge: 1500 * time.Millisecond}
	for class := range uint32(3) {
		s := rollout.Statistics{Class: class}
		for i := range 300 * class {
			s.Record(i%10 == 0, i%7 == 0, time.Duration(1+i*i)*time.Millisecond/4)
		}
		sent.Classes = append(sent.Classes, s)
	}
	received := rolloutReportFromWire(AddRolloutReport(&wire.EntryT{}, &sent))
	if received.ConfirmedRevision != sent.ConfirmedRevision || received.Order != sent.Order || received.OrderAge != sent.OrderAge {
		t.Errorf("%+v", received)
	}
	for i := range sent.Classes {
		if received.Classes[i] != sent.Classes[i] {
			t.Errorf("class %d: %+v, want %+v", i, received.Classes[i], sent.Classes[i])
		}
	}
}

func FuzzLatenciesFromWire(f *testing.F) {
	f.Add([]byte{3, 1, 2, 0, 200, 1})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 7})
	f.Add([]byte{0, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, received []byte) {
		l := latenciesFromWire(received)
		if again := latenciesFromWire(latenciesToWire(&l)); again != l {
			t.Errorf("%v is unpacked as %v", l, again)
		}
	})
}
