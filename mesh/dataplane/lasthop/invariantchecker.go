package lasthop

import "time"

// Bounds of a Guard: beyond them it forgets the oldest.
const (
	maxTrackedRequests = 4096
	maxTrackedServers  = 64
)

// Guard checks, from what it has seen itself, that a last hop keeps its promises: no request that must not run twice
// is handed to the local server twice, and none is handed to a server some time after its closing was acknowledged. It
// shares nothing with the Gate that it watches over, is bounded by the constants above, and is not safe for concurrent
// use.
type InvariantChecker struct {
	closingGrace time.Duration
	started      map[string]struct{}
	startOrder   []string // of started, the oldest first; of a request that was withdrawn, a name without an entry
	closingSince map[string]time.Duration
}

// NewGuard returns a guard for servers that serve on for a time after their closing was acknowledged.
func NewInvariantChecker(closingGrace time.Duration) *InvariantChecker {
	return &InvariantChecker{closingGrace: closingGrace, started: map[string]struct{}{}, closingSince: map[string]time.Duration{}}
}

// Start records that a request that must not run twice is handed to the server. It reports whether it was before.
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

// Withdraw records that a request has not reached the server after all, or that the server has rejected it.
func (ic *InvariantChecker) RecordNotStarted(requestID string) { delete(ic.started, requestID) }

// Closing records that the closing of a server, or its end, is acknowledged now.
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

// ClosedFor returns for how long a server may not be sent anything; 0: it may be.
func (ic *InvariantChecker) TimePastGrace(now time.Duration, serverID string) time.Duration {
	since, closing := ic.closingSince[serverID]
	if !closing {
		return 0
	}
	return max(0, now-since-ic.closingGrace)
}
