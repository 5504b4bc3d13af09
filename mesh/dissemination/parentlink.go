package dissemination

import (
	"time"

	"firplank/mesh/timing"
)

// ParentLink is the state of the connection to the publisher that a sidecar subscribes to.
type ParentLink struct {
	ConnectedAt  time.Duration
	Received     bool          // an update has arrived on it
	PartialBytes int64         // bytes that have arrived of a frame that is not complete
	LastByteAt   time.Duration // when the last of them arrived
}

// Stale reports whether the sidecar has to look for another parent; asOf is when its configuration was last confirmed, or TimeUnknown.
// Complete frames are no reason to stay, as a parent that is cut off from the majority sends them, too; only a confirmation is.
func (l *ParentLink) Stale(now, asOf time.Duration, t *timing.Dissemination) bool {
	connectedFor := now - l.ConnectedAt
	if asOf == TimeUnknown { // without any configuration no time is to be lost
		return connectedFor > t.MaxTransferAge || connectedFor > t.FirstUpdateTimeout && !l.receivingFrame(now, t.FirstUpdateTimeout)
	}
	age := now - asOf
	if age <= t.StaleAfter || connectedFor <= t.StaleAfter {
		return false
	}
	return age > t.MaxTransferAge || !l.receivingFrame(now, t.StaleAfter)
}

// arriving reports whether a frame is on its way, of which something came within timeout.
func (l *ParentLink) receivingFrame(now, timeout time.Duration) bool {
	return l.PartialBytes != 0 && now-l.LastByteAt <= timeout
}
