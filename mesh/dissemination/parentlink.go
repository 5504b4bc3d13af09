package dissemination

import (
	"time"

	"firplank/mesh/timing"
)

// ParentLink is the state of the connection to the publisher that a sidecar subscribes to.
type ParentLink struct {
	ConnectedAt  time.Duration
	Received     bool          // an update has arrived on it
	PartialBytes int64         // bytes received of an incomplete frame
	LastByteAt   time.Duration // when the last of these bytes arrived
}

// Stale reports whether the sidecar has to look for another parent. asOf is when its configuration was last confirmed, or TimeUnknown.
// Complete frames without a confirmation do not count, as a parent that is cut off from the majority sends them, too.
func (l *ParentLink) Stale(now, asOf time.Duration, t *timing.Dissemination) bool {
	connectedFor := now - l.ConnectedAt
	if asOf == TimeUnknown { // a sidecar without any configuration cannot serve, so it switches early
		return connectedFor > t.MaxTransferAge || connectedFor > t.FirstUpdateTimeout && !l.receivingFrame(now, t.FirstUpdateTimeout)
	}
	age := now - asOf
	if age <= t.StaleAfter || connectedFor <= t.StaleAfter {
		return false
	}
	return age > t.MaxTransferAge || !l.receivingFrame(now, t.StaleAfter)
}

// receivingFrame reports whether a frame is incomplete and bytes of it arrived within timeout.
func (l *ParentLink) receivingFrame(now, timeout time.Duration) bool {
	return l.PartialBytes != 0 && now-l.LastByteAt <= timeout
}
