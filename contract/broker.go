package contract

import (
	"math"
	"time"
)

// Verdict is the outcome of a decision.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	Limited          // over a limit: a retry after a delay may succeed
	Denied           // not in the contract: retries are denied too
)

// Reason is the rule by which a request was admitted or rejected.
type Reason uint8

// The reasons. Requests with those up to Degraded are admitted.
const (
	Guaranteed        Reason = iota // within budget and within the guaranteed share
	WithinBudget                    // within budget
	Borrowed                        // beyond the budget, from capacity that others leave unused
	Degraded                        // beyond the budget, as a cheaper class
	OverBudget                      // beyond the budget
	CapacityExhausted               // within budget, but beyond the guaranteed share and without capacity left
	OverMaxShare                    // beyond the team's maximum share of the capacity
	OverRetries                     // a retry without retry budget
	OverMaxOpen                     // too many requests in flight
	UnknownTeam                     // the request identifies no team
	ClassNotAllowed                 // the team's contract doesn't contain the class
	reasonCount                     // the number of reasons
)

var reasonNames = [reasonCount]string{
	"guaranteed", "within", "borrowed", "degraded", "over_budget", "scarce", "over_most", "over_retries", "over_open",
	"no_team", "no_class",
}

// String returns the name of the reason in reports and logs.
func (r Reason) String() string { return reasonNames[r] }

// ReasonNames returns the names of all reasons, indexed by Reason.
func ReasonNames() []string { return reasonNames[:] }

// Request is the part of a request that a decision depends on.
type Request struct {
	Team        int // its number in CurrentSet
	Class       int
	MarkedRetry bool   // the client marked it as a retry
	Identity    uint64 // a hash that all attempts at one request share; 0: unknown
}

// Decision is the broker's decision on a Request.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	Class      int           // of an admitted request: the class to send it as
	RetryAfter time.Duration // of Limited: estimate of when the request can be admitted
	Grant      Grant         // of Admitted: to be passed to Release
}

// Grant is what an admitted request was charged. It stays valid across versions.
type Grant struct {
	account *account
	worth   float64
	reason  Reason
}

// Valid reports whether the request was admitted, and so has to be released.
func (g Grant) Valid() bool { return g.account != nil }

const (
	// After a shorter delay a client would retry in the same burst of load, and after a much longer one, such as an hour, not at all.
	minRetryAfter, maxRetryAfter = 20 * time.Millisecond, 60 * time.Second
	openLimitRetryAfter          = 100 * time.Millisecond // beyond MaxOpen, as the end of a request can't be predicted
	// The burst of a retry budget is retryBurstSeconds of its floor, and at least minRetryBurst retries, or proportionally fewer where
	// floor and share add up to less than 1.
	retryBurstSeconds = 10
	minRetryBurst     = 10
)

// bucket is a token bucket, refilled at a rate per second up to burst.
type bucket struct {
	available, rate, burst float64
	refilledAt             time.Duration
}

func (b *bucket) refill(now time.Duration) {
	b.available = min(b.burst, b.available+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// timeUntil returns the time until the bucket holds need, within the bounds of a Decision's RetryAfter.
func (b *bucket) timeUntil(need float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return boundedRetryAfter((need - b.available) / b.rate)
}

// resize changes the limits. What is available stays, up to the new burst.
func (b *bucket) resize(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.available = min(b.available, burst)
}

// boundedRetryAfter converts seconds to a duration from minRetryAfter to maxRetryAfter.
func boundedRetryAfter(seconds float64) time.Duration {
	if !(seconds < maxRetryAfter.Seconds()) { // also for NaN and infinity
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(math.Ceil(seconds*1e9)))
}

// account has the token buckets and counters of a team. It is kept when the contracts change.
type account struct {
	name      string
	budget    bucket
	guarantee bucket
	maxShare  bucket
	retries   bucket
	flow      flow

	open           int
	heldWorth      float64 // worth of the requests in flight
	requestedWorth float64
	countByReason  [reasonCount]int64
	worthByReason  [reasonCount]float64
	returnedWorth  float64 // worth of admitted requests that were never executed
	returnedCount  int64   // the number of these requests
}

// Broker admits requests by the contracts and keeps the teams' accounts. It is not safe for concurrent use.
type Broker struct {
	set         *Set
	version     uint64
	accounts    []*account        // by team number in set
	leaving     map[*account]bool // accounts of removed teams that have requests in flight
	fair        fairLimiter
	attempts    *attemptTable
	unknownTeam [reasonCount]int64 // requests of no team, by reason

	lastClock time.Duration // the last time that was passed in
	elapsed   time.Duration // time since New without backward steps; all state uses this time
}

// attemptTableSize is the number of first attempts that a broker remembers, over all teams. Retries of evicted ones count as first
// attempts.
const attemptTableSize = 1 << 16

// New returns a broker with the contracts of a set.
func New(now time.Duration, set *Set) *Broker {
	b := &Broker{leaving: map[*account]bool{}, attempts: newAttemptTable(attemptTableSize), lastClock: now}
	b.Swap(now, set)
	return b
}

// advance returns the elapsed time. Backward steps of the clock are ignored, and a forward jump refills at most one burst.
func (b *Broker) advance(clock time.Duration) time.Duration {
	b.elapsed += max(0, clock-b.lastClock)
	b.lastClock = clock
	return b.elapsed
}

// Swap replaces the contracts. Accounts are kept: requests in flight are released to their team's account under the new terms, and the
// account of a removed team is kept until its last request is released. New teams start with a full burst.
func (b *Broker) Swap(clock time.Duration, set *Set) {
	now := b.advance(clock)
	accountsByName := make(map[string]*account, len(b.accounts))
	for _, a := range b.accounts {
		accountsByName[a.name] = a
	}
	for a := range b.leaving {
		if accountsByName[a.name] == nil {
			accountsByName[a.name] = a
		}
	}
	b.accounts = make([]*account, len(set.teams))
	b.fair.resize(now, set)
	for i := range set.teams {
		terms := &set.teams[i]
		a := accountsByName[terms.Team]
		isNew := a == nil
		if isNew {
			a = &account{name: terms.Team}
		}
		delete(accountsByName, terms.Team)
		delete(b.leaving, a)
		a.apply(now, terms, set)
		if isNew {
			a.budget.available, a.guarantee.available, a.maxShare.available, a.retries.available =
				a.budget.burst, a.guarantee.burst, a.maxShare.burst, a.retries.burst
		}
		b.accounts[i] = a
	}
	for _, a := range accountsByName {
		b.fair.remove(&a.flow)
		if a.open > 0 {
			b.leaving[a] = true
		}
	}
	b.set = set
	b.version++
}

// apply sets the limits of a contract. Shares of the capacity have a burst of shareBurstSeconds, and at least one request.
func (a *account) apply(now time.Duration, t *compiledTeam, set *Set) {
	a.budget.resize(now, t.localWorthPerSecond, t.localBurst)
	a.guarantee.resize(now, t.GuaranteedShare*set.capacity,
		atLeast(t.GuaranteedShare*set.capacity*shareBurstSeconds, set.maxWorth, t.GuaranteedShare))
	a.maxShare.resize(now, t.MaxShare*set.capacity,
		atLeast(t.MaxShare*set.capacity*shareBurstSeconds, set.maxWorth, t.MaxShare))
	floor := t.Retries.FloorPerSecond
	a.retries.resize(now, floor, max(minRetryBurst*min(1, floor+t.Retries.Share), floor*retryBurstSeconds))
	a.flow.weight = max(t.localWorthPerSecond, minWeight)
}

// shareBurstSeconds is the burst of a share of the capacity, in seconds of that share. minWeight keeps the weight of a team without a
// budget above zero, as weights are divisors.
const shareBurstSeconds, minWeight = 0.1, 1e-6

// atLeast returns the maximum of v and floor, or 0 for a share of 0.
func atLeast(v, floor, share float64) float64 {
	if share <= 0 {
		return 0
	}
	return max(v, floor)
}

// CurrentSet returns the current contracts.
func (b *Broker) CurrentSet() *Set { return b.set }

// Version returns the number of the current version. It starts at 1, and each Swap increments it.
func (b *Broker) Version() uint64 { return b.version }

// DenyUnknownTeam counts and denies a request that identifies no team.
func (b *Broker) DenyUnknownTeam() Decision {
	b.unknownTeam[UnknownTeam]++
	return Decision{Verdict: Denied, Reason: UnknownTeam}
}

// Admit decides on a request and charges its team. Release has to be called for each admitted request.
func (b *Broker) Admit(clock time.Duration, req Request) Decision {
	now := b.advance(clock)
	terms, a := &b.set.teams[req.Team], b.accounts[req.Team]
	class := &terms.classes[req.Class]
	if !class.allowed {
		a.countByReason[ClassNotAllowed]++
		return Decision{Verdict: Denied, Reason: ClassNotAllowed}
	}
	a.requestedWorth += class.worth
	previous := b.attempts.find(now, req.Identity, terms.Retries.Window)
	// A rejected attempt was not executed: another one after RetryAfter is neither a first attempt nor a retry, an earlier one is a retry.
	afterRejection := previous != nil && previous.rejected
	isRetry := req.MarkedRetry && !afterRejection || previous != nil && !previous.rejected || afterRejection && now < previous.retryAt
	a.retries.refill(now)
	if isRetry && a.retries.available < 1 {
		return b.reject(now, a, req, class.worth, OverRetries, a.retries.timeUntil(1))
	}
	if terms.localMaxOpen > 0 && a.open >= terms.localMaxOpen {
		return b.reject(now, a, req, class.worth, OverMaxOpen, openLimitRetryAfter)
	}
	d := Decision{Class: req.Class}
	worth := class.worth
	var retryAfter time.Duration
	d.Reason, retryAfter = b.charge(now, a, terms, worth, class.reservedBurst)
	if d.Reason == OverBudget && terms.OverPolicy == Degrade && class.degradeTo >= 0 {
		degradedWorth := b.set.classWorths[class.degradeTo]
		if reason, _ := b.charge(now, a, terms, degradedWorth, 0); reason <= Borrowed {
			d.Reason, d.Class, worth = Degraded, class.degradeTo, degradedWorth
		}
	}
	if d.Reason > Degraded {
		return b.reject(now, a, req, worth, d.Reason, retryAfter)
	}
	switch {
	case isRetry:
		a.retries.available--
	case !afterRejection:
		a.retries.available = min(a.retries.burst, a.retries.available+terms.Retries.Share)
	}
	b.attempts.record(now, req.Identity, terms.Retries.Window, false, 0)
	a.open++
	a.heldWorth += worth
	a.countByReason[d.Reason]++
	a.worthByReason[d.Reason] += worth
	d.Grant = Grant{a, worth, d.Reason}
	return d
}

// reject counts and returns a rejection.
func (b *Broker) reject(now time.Duration, a *account, req Request, worth float64, reason Reason, retryAfter time.Duration) Decision {
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	a.countByReason[reason]++
	a.worthByReason[reason] += worth
	b.attempts.record(now, req.Identity, b.set.teams[req.Team].Retries.Window, true, now+retryAfter)
	return Decision{Verdict: Limited, Reason: reason, RetryAfter: retryAfter}
}

// charge takes worth from a team's buckets if its contract permits. A reason above Degraded is a rejection with retryAfter. A budget keeps
// back reservedBurst for classes of a higher priority.
func (b *Broker) charge(
	now time.Duration, a *account, terms *compiledTeam, worth, reservedBurst float64,
) (reason Reason, retryAfter time.Duration) {
	a.budget.refill(now)
	a.guarantee.refill(now)
	a.maxShare.refill(now)
	if terms.MaxShare > 0 && a.maxShare.available < worth {
		return OverMaxShare, a.maxShare.timeUntil(worth)
	}
	withinBudget := a.budget.available >= worth+reservedBurst
	switch {
	case withinBudget && (b.set.capacity == 0 || a.guarantee.available >= worth):
		reason = Guaranteed
		if b.set.capacity == 0 {
			reason = WithinBudget
		}
		b.fair.consume(now, worth)
	case withinBudget:
		if retryAfter, ok := b.fair.admit(now, &a.flow, worth, false); !ok {
			return CapacityExhausted, retryAfter
		}
		reason = WithinBudget
	case terms.OverPolicy == Borrow:
		if retryAfter, ok := b.fair.admit(now, &a.flow, worth, true); !ok {
			return OverBudget, min(retryAfter, a.budget.timeUntil(worth+reservedBurst))
		}
		reason = Borrowed
	default:
		return OverBudget, a.budget.timeUntil(worth + reservedBurst)
	}
	if reason != Borrowed {
		a.budget.available -= worth
	}
	if reason == Guaranteed {
		a.guarantee.available -= worth
	}
	a.maxShare.available -= worth
	return reason, 0
}

// Release ends a request that was admitted; a zero Grant is ignored. If no server executed the request (ran is false), its charge is
// refunded to its team, up to the bursts of the current contract.
func (b *Broker) Release(clock time.Duration, g Grant, ran bool) {
	if g.account == nil {
		return
	}
	now, a := b.advance(clock), g.account
	a.open--
	a.heldWorth -= g.worth
	if a.open == 0 {
		a.heldWorth = 0 // discards rounding errors
		delete(b.leaving, a)
	}
	if ran {
		return
	}
	a.returnedWorth += g.worth
	a.returnedCount++
	refund := func(k *bucket) {
		k.refill(now)
		k.available = min(k.burst, k.available+g.worth)
	}
	if g.reason != Borrowed {
		refund(&a.budget)
	}
	if g.reason == Guaranteed {
		refund(&a.guarantee)
	}
	refund(&a.maxShare)
	b.fair.refund(now, g.worth)
}

// TeamStatus is the state of a team's account on the operators' page.
type TeamStatus struct {
	Team           string             `json:"team"`
	Leaving        bool               `json:"leaving,omitempty"` // removed from the contracts, with requests in flight
	Open           int                `json:"open"`
	HeldWorth      float64            `json:"held_worth"`
	RequestedWorth float64            `json:"asked_worth"`
	ReturnedWorth  float64            `json:"returned_worth"` // admitted, but not executed
	BudgetLeft     float64            `json:"budget_left"`
	Requests       map[string]int64   `json:"requests"` // by name of the reason
	Worth          map[string]float64 `json:"worth"`    // by name of the reason
}

// Report is the state of a Broker on the operators' page.
type Report struct {
	Version     uint64       `json:"version"`
	Capacity    float64      `json:"capacity_per_s"`
	Spare       float64      `json:"spare"` // worth of the capacity that is available now
	UnknownTeam int64        `json:"no_team"`
	Teams       []TeamStatus `json:"teams"`
}

// Report returns the current state. Its cost is linear in the number of teams.
func (b *Broker) Report(clock time.Duration) Report {
	now := b.advance(clock)
	b.fair.spare.refill(now)
	r := Report{Version: b.version, Capacity: b.set.capacity, Spare: b.fair.spare.available, UnknownTeam: b.unknownTeam[UnknownTeam]}
	for _, a := range b.accounts {
		r.Teams = append(r.Teams, a.status(now, false))
	}
	for a := range b.leaving {
		r.Teams = append(r.Teams, a.status(now, true))
	}
	return r
}

func (a *account) status(now time.Duration, leaving bool) TeamStatus {
	a.budget.refill(now)
	s := TeamStatus{
		Team: a.name, Leaving: leaving, Open: a.open, HeldWorth: a.heldWorth, RequestedWorth: a.requestedWorth,
		ReturnedWorth: a.returnedWorth, BudgetLeft: a.budget.available,
		Requests: map[string]int64{}, Worth: map[string]float64{},
	}
	for r, n := range a.countByReason {
		if n > 0 {
			s.Requests[reasonNames[r]], s.Worth[reasonNames[r]] = n, a.worthByReason[r]
		}
	}
	return s
}
