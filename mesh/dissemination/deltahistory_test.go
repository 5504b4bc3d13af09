package dissemination

import (
	"testing"

	"firplank/mesh/configversion"
)

func TestDeltaHistoryIsClearedAtGap(t *testing.T) {
	var h deltaHistory
	h.add([]Delta{{Base: 1, Version: 2}, {Base: 2, Version: 3}})
	if got := h.since(1); len(got) != 2 {
		t.Errorf("%d deltas from 1 to 3", len(got))
	}
	h.add([]Delta{{Base: 4, Version: 5}})
	if h.since(1) != nil || h.since(2) != nil || len(h.since(4)) != 1 {
		t.Error("the history holds deltas on both sides of a gap")
	}
	h.add(nil)
	if h.since(4) != nil {
		t.Error("the history holds deltas to a version that is not the current one")
	}
}

func TestDeltaHistoryIsBounded(t *testing.T) {
	var h deltaHistory
	for v := range configversion.Version(2 * maxDeltas) {
		h.add([]Delta{{Base: v, Version: v + 1, Bytes: []byte("x")}})
	}
	if len(h.deltas) != maxDeltas || h.bytes != maxDeltas {
		t.Errorf("%d deltas of %d bytes", len(h.deltas), h.bytes)
	}
	h.add([]Delta{{Base: 2 * maxDeltas, Version: 2*maxDeltas + 1, Bytes: make([]byte, maxDeltaBytes)}})
	if len(h.deltas) != 1 || h.bytes != maxDeltaBytes {
		t.Errorf("%d deltas of %d bytes", len(h.deltas), h.bytes)
	}
}
