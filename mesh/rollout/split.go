package rollout

import (
	"sync"
	"sync/atomic"
	"time"
)

// canaryBudgetShare is the part of the requests that the exposure rule allows a bad version, in share and slack, which the canary uses. The
// rest is left for the time in which the new version gets all requests and is not judged yet.
const canaryBudgetShare = 0.5

// Plan is how many of its requests for a service one sender sends to the new version.
type Plan struct {
	// Order is the number of the rollout's order.
	Order uint32
	// Share is the share of the sender's requests. Extra is the number of further requests, spread evenly over Window. They let the new
	// version be judged in time where a service has few requests.
	Share, Extra float64
	Window       time.Duration
}

// CanaryPlan returns the plan of one of the given number of senders for a canary, where a bad version may get exposureShare of a service's
// requests and exposureSlack more.
func CanaryPlan(r *Rollout, exposureShare, exposureSlack float64, senders int) Plan {
	return Plan{
		Order:  r.Order,
		Share:  canaryBudgetShare * exposureShare,
		Extra:  canaryBudgetShare * exposureSlack / float64(max(1, senders)),
		Window: fractionOf(r.Term, promoteAfterShare),
	}
}

// Split selects the requests for a new version at one sender, by systematic sampling with a random start. Of the first n requests it
// selects at most n times the share plus the extra requests that are due by then, rounded up or down by the start. The sum over all senders
// is therefore the planned share of all requests in expectation, however few requests each sender has. The zero value selects none. A Split
// is safe for concurrent use.
type Split struct {
	active atomic.Bool

	mu          sync.Mutex
	plan        Plan
	beganAt     time.Duration
	startOffset float64
	requests    int
	selected    int
}

// Begin starts the selection of requests by a plan. The startOffset is a random number from 0 to below 1. If a plan of the same order is in
// use, it continues with its counts.
func (s *Split) Begin(now time.Duration, p Plan, startOffset float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.Order != p.Order {
		s.plan, s.beganAt, s.startOffset, s.requests, s.selected = p, now, startOffset, 0, 0
	}
	s.active.Store(true)
}

// Stop ends the selection of requests.
func (s *Split) Stop() { s.active.Store(false) }

// Next counts a request and reports whether it is selected for the new version.
func (s *Split) Next(now time.Duration) bool {
	if !s.active.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if float64(s.selected+1) > s.due(now) {
		return false
	}
	s.selected++
	return true
}

// due returns the number of requests to select up to now, with its fraction. The caller holds mu.
func (s *Split) due(now time.Duration) float64 {
	elapsedShare := min(1, float64(now-s.beganAt)/float64(max(1, s.plan.Window)))
	return s.startOffset + s.plan.Share*float64(s.requests) + s.plan.Extra*elapsedShare
}
