package dissemination

import "firplank/mesh/configversion"

// Bounds of the deltas that a publisher keeps. A subscriber whose version is older gets the full text.
const (
	maxDeltas     = 64
	maxDeltaBytes = 64 << 10
)

// deltaHistory is a chain of deltas that ends at the current version. Each delta applies to the version that the previous one results in.
type deltaHistory struct {
	deltas []Delta
	bytes  int
}

// add appends deltas that lead from the current version to a later one. If deltas is empty or leaves a gap, the deltas between the
// versions are not known, and the chain is cleared first.
func (h *deltaHistory) add(deltas []Delta) {
	if len(deltas) == 0 || len(h.deltas) > 0 && h.deltas[len(h.deltas)-1].Version != deltas[0].Base {
		h.deltas, h.bytes = nil, 0
	}
	for _, d := range deltas {
		h.deltas = append(h.deltas, d)
		h.bytes += len(d.Bytes)
	}
	for len(h.deltas) > maxDeltas || h.bytes > maxDeltaBytes {
		h.bytes -= len(h.deltas[0].Bytes)
		h.deltas = h.deltas[1:]
	}
}

// since returns the deltas that lead from a version to the current one, or nil if the version is not in the chain.
func (h *deltaHistory) since(version configversion.Version) []Delta {
	for i := range h.deltas {
		if h.deltas[i].Base == version {
			return h.deltas[i:len(h.deltas):len(h.deltas)]
		}
	}
	return nil
}
