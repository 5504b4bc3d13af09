package contract

import (
	"math"
	"time"
)

// Verdict is what a contract says of a request.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	Limited          // over a limit: trying again later is harmless
	Denied           // not in the contract: trying again does not help
)

// Reason is the clause that decided.
type Reason uint8

// The reasons. Those up to Degraded admit.
const (
	Guaranteed        Reason = iota // within budget and within the guaranteed share
	WithinBudget                    // within budget
	Borrowed                        // beyond the budget, of what others leave
	Degraded                        // beyond the budget, as another class
	OverBudget                      // beyond the budget
	CapacityExhausted               // within budget, but beyond the guarantee while capacity is short
	OverMaxShare                    // beyond the most that the team may have
	OverRetries                     // a retry, and the team's retries are used up
	OverMaxOpen                     // too many requests open
	UnknownTeam                     // nobody's
	ClassNotAllowed                 // not a class of the team's
	reasonCount                     // how many there are
)

var reasonNames = [reasonCount]string{
	"guaranteed", "within", "borrowed", "degraded", "over_budget", "scarce", "over_most", "over_retries", "over_open",
	"no_team", "no_class",
}

// String returns the reason as reports and logs write it.
func (r Reason) String() string { return reasonNames[r] }

// Reasons names all of them, in the order of their numbers.
func ReasonNames() []string { return reasonNames[:] }

// Ask is a request as the broker sees it.
type Request struct {
	Team        int // of the version in force
	Class       int
	MarkedRetry bool   // its client says that it is a retry
	Identity    uint64 // a hash of what its tries have in common; 0: nothing known
}

// Decision is what becomes of an Ask.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	Class      int           // that it goes as, where it is admitted
	RetryAfter time.Duration // of Limited: when there will be room, as far as can be told now
	Grant      Grant         // of Admitted: to be given back with Done
}

// Grant is what an admitted request holds of its team's budget, under the version that admitted it.
type Grant struct {
	account *account
	worth   float64
	reason  Reason
}

// Valid reports whether there is anything to give back.
func (g Grant) Valid() bool { return g.account != nil }

const (
	// Hold-offs are never shorter or longer than this: a client that is told a moment comes back in the same rush, and one
	// that is told an hour never does.
	minRetryAfter, maxRetryAfter = 20 * time.Millisecond, 60 * time.Second
	maxOpenRetryAfter            = 100 * time.Millisecond // where too many are open: no bucket tells when one ends
	// retryBurst is how many seconds' worth of a floor a team's retries may save up, and leastRetries their number at once.
	retryBurstSeconds = 10
	minRetryBurst     = 10
)

// bucket holds what may be taken at once, and fills at a rate a second.
type bucket struct {
	available, rate, burst float64
	refilledAt             time.Duration
}

func (b *bucket) refill(now time.Duration) {
	b.available = min(b.burst, b.available+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// wait is when there will be need in the bucket.
func (b *bucket) timeUntil(need float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return boundedRetryAfter((need - b.available) / b.rate)
}

// resize puts other terms in force: what was saved up stays as far as it fits.
func (b *bucket) resize(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.available = min(b.available, burst)
}

func boundedRetryAfter(seconds float64) time.Duration {
	if !(seconds < maxRetryAfter.Seconds()) { // infinity too
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(math.Ceil(seconds*1e9)))
}

// account is what a team has asked for and holds. It outlives the versions of its contract.
type account struct {
	name      string
	budget    bucket
	guarantee bucket
	maxShare  bucket
	retries   bucket
	flow      flow

	open           int
	heldWorth      float64 // worth of those open
	requestedWorth float64
	countByReason  [reasonCount]int64
	worthByReason  [reasonCount]float64
	returnedWorth  float64 // worth given back: nothing had run
	returnedCount  int64   // and how often
}

// Broker keeps the accounts. It is not safe for concurrent use.
type Broker struct {
	set         *Set
	version     uint64
	accounts    []*account        // by the version's numbers
	leaving     map[*account]bool // of teams that are gone, until the last answer
	fair        fairLimiter
	attempts    *attemptTable
	unknownTeam [reasonCount]int64 // asked by no team

	lastClock time.Duration // what the clock said
	elapsed   time.Duration // ... without its steps back
}

// remembered is how many first tries a broker remembers, over all teams. The oldest go first; their retries count as first
// tries then.
const attemptTableSize = 1 << 16

// New returns a broker with the contracts of a version, at a time.
func New(now time.Duration, set *Set) *Broker {
	b := &Broker{leaving: map[*account]bool{}, attempts: newAttemptTable(attemptTableSize), lastClock: now}
	b.Swap(now, set)
	return b
}

// tick takes in the time. A clock that steps back stands still here, and one that jumps fills no more than a burst.
func (b *Broker) advance(clock time.Duration) time.Duration {
	b.elapsed += max(0, clock-b.lastClock)
	b.lastClock = clock
	return b.elapsed
}

// Swap puts another version in force. Accounts stay: what a request holds is given back to its team's account under the new
// terms, and a team that is gone is kept until its last answer. New teams begin with a whole burst.
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

// apply puts a contract's terms in force. A guarantee and a bound on the share save up a tenth of a second, but no less than
// one request.
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

// saving is for how long a share that is not used is kept, in seconds; least keeps a team without a budget from a weight of
// nothing.
const shareBurstSeconds, minWeight = 0.1, 1e-6

func atLeast(v, floor, share float64) float64 {
	if share <= 0 {
		return 0
	}
	return max(v, floor)
}

// Set returns the version in force.
func (b *Broker) CurrentSet() *Set { return b.set }

// Version returns the number of the version in force, from 1.
func (b *Broker) Version() uint64 { return b.version }

// Nobody notes a request that no team has sent.
func (b *Broker) DenyUnknownTeam() Decision {
	b.unknownTeam[UnknownTeam]++
	return Decision{Verdict: Denied, Reason: UnknownTeam}
}

// Admit decides on a request.
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
	// What a contract has refused never ran: when it comes back as it was told, it is neither a new first try nor a retry.
	afterRejection := previous != nil && previous.rejected
	isRetry := req.MarkedRetry && !afterRejection || previous != nil && !previous.rejected || afterRejection && now < previous.retryAt
	a.retries.refill(now)
	if isRetry && a.retries.available < 1 {
		return b.reject(now, a, req, class.worth, OverRetries, a.retries.timeUntil(1))
	}
	if terms.localMaxOpen > 0 && a.open >= terms.localMaxOpen {
		return b.reject(now, a, req, class.worth, OverMaxOpen, maxOpenRetryAfter)
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

// limit notes a refusal.
func (b *Broker) reject(now time.Duration, a *account, req Request, worth float64, reason Reason, retryAfter time.Duration) Decision {
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	a.countByReason[reason]++
	a.worthByReason[reason] += worth
	b.attempts.record(now, req.Identity, b.set.teams[req.Team].Retries.Window, true, now+retryAfter)
	return Decision{Verdict: Limited, Reason: reason, RetryAfter: retryAfter}
}

// charge takes worth from a team's account if its contract allows that; hold is when it will, else.
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

// Done takes a grant back when its request has its final answer. Where nothing ran for it, what it took is given back to its
// team under the terms that are in force now.
func (b *Broker) Release(clock time.Duration, g Grant, ran bool) {
	if g.account == nil {
		return
	}
	now, a := b.advance(clock), g.account
	a.open--
	a.heldWorth -= g.worth
	if a.open == 0 {
		a.heldWorth = 0 // what sums of fractions leave
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

// Status is what an operator sees of a team.
type TeamStatus struct {
	Team           string             `json:"team"`
	Leaving        bool               `json:"leaving,omitempty"` // it is in no contract any more, and has requests open
	Open           int                `json:"open"`
	HeldWorth      float64            `json:"held_worth"`
	RequestedWorth float64            `json:"asked_worth"`
	ReturnedWorth  float64            `json:"returned_worth"` // admitted, but nothing ran
	BudgetLeft     float64            `json:"budget_left"`
	Requests       map[string]int64   `json:"requests"` // by reason
	Worth          map[string]float64 `json:"worth"`
}

// Report is what an operator sees of all of them.
type Report struct {
	Version     uint64       `json:"version"`
	Capacity    float64      `json:"capacity_per_s"`
	Spare       float64      `json:"spare"` // of the capacity, now
	UnknownTeam int64        `json:"no_team"`
	Teams       []TeamStatus `json:"teams"`
}

// Report tells how things stand. Its cost grows with the number of teams.
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
