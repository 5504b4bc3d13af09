package lasthop

import "time"

// Bounds of a Guard: beyond them it forgets the oldest.
const (
	maxGuardedRequests = 4096
	maxGuardedServers  = 64
)

// Guard checks, from what it has seen itself, that a last hop keeps its promises: no request that must not run twice
// is handed to the local server twice, and none is handed to a server some time after its closing was acknowledged. It
// shares nothing with the Gate that it watches over, is bounded by the constants above, and is not safe for concurrent
// use.
type InvariantChecker struct {
	lastPost time.Duration
	started  map[string]struct{}
	order    []string // of started, the oldest first; of a request that was withdrawn, a name without an entry
	closings map[string]time.Duration
}

// NewGuard returns a guard for servers that serve on for a time after their closing was acknowledged.
func NewInvariantChecker(lastPost time.Duration) *InvariantChecker {
	return &InvariantChecker{lastPost: lastPost, started: map[string]struct{}{}, closings: map[string]time.Duration{}}
}

// Start records that a request that must not run twice is handed to the server. It reports whether it was before.
func (g *InvariantChecker) RecordStart(requestID string) (again bool) {
	if requestID == "" {
		return false
	}
	if _, again = g.started[requestID]; again {
		return true
	}
	if len(g.order) >= maxGuardedRequests {
		delete(g.started, g.order[0])
		g.order = g.order[1:]
	}
	g.started[requestID] = struct{}{}
	g.order = append(g.order, requestID)
	return false
}

// Withdraw records that a request has not reached the server after all, or that the server has rejected it.
func (g *InvariantChecker) RecordNotStarted(requestID string) { delete(g.started, requestID) }

// Closing records that the closing of a server, or its end, is acknowledged now.
func (g *InvariantChecker) RecordClosing(now time.Duration, serverID string) {
	if _, known := g.closings[serverID]; known {
		return
	}
	if len(g.closings) >= maxGuardedServers {
		g.forgetOldestClosing()
	}
	g.closings[serverID] = now
}

func (g *InvariantChecker) forgetOldestClosing() {
	oldest, first := "", time.Duration(0)
	for id, at := range g.closings {
		if oldest == "" || at < first {
			oldest, first = id, at
		}
	}
	delete(g.closings, oldest)
}

// ClosedFor returns for how long a server may not be sent anything; 0: it may be.
func (g *InvariantChecker) TimePastDrain(now time.Duration, serverID string) time.Duration {
	at, closing := g.closings[serverID]
	if !closing {
		return 0
	}
	return max(0, now-at-g.lastPost)
}
