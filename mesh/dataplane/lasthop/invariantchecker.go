package lasthop

import "time"

// Bounds of an InvariantChecker. When one is exceeded, the oldest record is removed.
const (
	maxTrackedRequests = 4096
	maxTrackedServers  = 64
)

// InvariantChecker checks two invariants of a last hop: a request that must not run twice is sent to the local server
// at most once, and no request is sent to a server later than the drain time after its closing was acknowledged.
// It shares no state with the Gate, so that a fault of the Gate cannot hide a violation. It is not safe for concurrent
// use.
type InvariantChecker struct {
	drainTime    time.Duration
	started      map[string]struct{}
	startOrder   []string                 // request IDs, the oldest first; those passed to RecordNotStarted have no entry in started
	closingSince map[string]time.Duration // by server ID
}

// NewInvariantChecker returns a checker. drainTime is how long a server may still be sent requests after its closing was
// acknowledged.
func NewInvariantChecker(drainTime time.Duration) *InvariantChecker {
	return &InvariantChecker{drainTime: drainTime, started: map[string]struct{}{}, closingSince: map[string]time.Duration{}}
}

// RecordStart records that a request that must not run twice is sent to the server. It reports whether it was sent
// before.
func (ic *InvariantChecker) RecordStart(requestID string) (again bool) {
	if requestID == "" {
		return false
	}
	if _, again = ic.started[requestID]; again {
		return true
	}
	if len(ic.startOrder) >= maxTrackedRequests {
		delete(ic.started, ic.startOrder[0])
		ic.startOrder = ic.startOrder[1:]
	}
	ic.started[requestID] = struct{}{}
	ic.startOrder = append(ic.startOrder, requestID)
	return false
}

// RecordNotStarted records that a request has not reached the server after RecordStart, or that the server has
// rejected it. It may be sent again.
func (ic *InvariantChecker) RecordNotStarted(requestID string) { delete(ic.started, requestID) }

// RecordClosing records that the closing or the end of a server is acknowledged now.
func (ic *InvariantChecker) RecordClosing(now time.Duration, serverID string) {
	if _, known := ic.closingSince[serverID]; known {
		return
	}
	if len(ic.closingSince) >= maxTrackedServers {
		ic.removeOldestClosing()
	}
	ic.closingSince[serverID] = now
}

func (ic *InvariantChecker) removeOldestClosing() {
	oldestID, oldestSince := "", time.Duration(0)
	for id, since := range ic.closingSince {
		if oldestID == "" || since < oldestSince {
			oldestID, oldestSince = id, since
		}
	}
	delete(ic.closingSince, oldestID)
}

// TimePastDrain returns the time since the drain time of a server has ended. It returns 0 if the server may be sent
// requests.
func (ic *InvariantChecker) TimePastDrain(now time.Duration, serverID string) time.Duration {
	since, closing := ic.closingSince[serverID]
	if !closing {
		return 0
	}
	return max(0, now-since-ic.drainTime)
}
