package dissemination

import (
	"slices"
	"testing"
	"time"
)

func TestConfirmationWaitsForSubscribers(t *testing.T) {
	const ms = time.Millisecond
	c := NewConfirmations(durations)
	c.RecordPeer("other", 5, 0)
	if c.Defer(1, 5, 6, 0, 0) {
		t.Error("defers an operation whose version is in force")
	}
	if !c.Defer(2, 6, 6, 0, 0) || !c.Defer(3, 7, 6, 0, 50*ms) {
		t.Fatal("does not wait for the subscribers of another control machine")
	}
	c.RecordPeer("other", 6, 100*ms)
	if ids, next := c.Release(6, 100*ms); !slices.Equal(ids, []uint64{2}) || next != durations.AckTimeout {
		t.Errorf("%v, next at %v", ids, next)
	}
	if ids, _ := c.Release(6, durations.AckTimeout); !slices.Equal(ids, []uint64{3}) {
		t.Errorf("%v after the timeout", ids)
	}
	if c.Defer(4, 7, 6, 0, durations.AckTimeout) {
		t.Error("defers beyond the timeout")
	}
	if c.Defer(5, 9, 9, 5*time.Second, 5*time.Second) {
		t.Error("defers because of an expired peer report")
	}
}
