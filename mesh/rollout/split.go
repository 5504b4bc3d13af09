package rollout

import (
	"sync"
	"sync/atomic"
	"time"
)

// canaryPart is the part of the share and of the slack that the rules allow a bad version which the canary gets. The rest is for the time
// in which the new version gets all requests and is not judged yet.
const canaryBudgetShare = 0.5

// Plan is how many requests of a service one sender gives a new version.
type Plan struct {
	// Order is that of the rollout.
	Order uint32
	// Share is the part of the sender's requests, and Extra how many more there are in all, evenly over Window. Where a service has few
	// requests it is by the extra ones that its new version can be judged in time.
	Share, Extra float64
	Window       time.Duration
}

// CanaryPlan returns the plan of one of so many senders for a canary, where the rules allow a bad version the given share of a service's
// requests and slack more.
func CanaryPlan(r *Rollout, exposureShare, exposureSlack float64, senders int) Plan {
	return Plan{
		Order:  r.Order,
		Share:  canaryBudgetShare * exposureShare,
		Extra:  canaryBudgetShare * exposureSlack / float64(max(1, senders)),
		Window: fractionOf(r.Term, promoteAfterShare),
	}
}

// Split chooses the requests for a new version at one sender, by systematic sampling with a random start: of n requests up to a time within
// the window it chooses n times the share and the part of the extra ones that is due by then, rounded up or down by the start, and never
// more. So the sum over all senders is the share of all requests in expectation, whatever each of them has received. The zero value chooses
// none. It is safe for concurrent use.
type Split struct {
	active atomic.Bool

	mu          sync.Mutex
	plan        Plan
	beganAt     time.Duration
	startOffset float64
	requests    int
	chosen      int
}

// Begin has requests chosen by a plan from now on. The start is a random number from 0 up to 1. The plan of an order that is followed
// already goes on, with its counts.
func (s *Split) Begin(now time.Duration, p Plan, startOffset float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.Order != p.Order {
		s.plan, s.beganAt, s.startOffset, s.requests, s.chosen = p, now, startOffset, 0, 0
	}
	s.active.Store(true)
}

// Stop has no request chosen any more.
func (s *Split) Stop() { s.active.Store(false) }

// Next reports whether the next request is chosen.
func (s *Split) Next(now time.Duration) bool {
	if !s.active.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if float64(s.chosen+1) > s.due(now) {
		return false
	}
	s.chosen++
	return true
}

// due is how many requests are to be chosen up to now, with the fraction. The caller holds mu.
func (s *Split) due(now time.Duration) float64 {
	elapsedShare := min(1, float64(now-s.beganAt)/float64(max(1, s.plan.Window)))
	return s.startOffset + s.plan.Share*float64(s.requests) + s.plan.Extra*elapsedShare
}
