// Package rollout decides how a new version of a service takes over the service's traffic: which servers a sender may use while a rollout
// is under way (Rollout.Eligibility), whether the new version is worse than the old one (Judge), and when the rollout goes on, is delivered
// or recalled (Controller). The state of all rollouts is a Set, which the register holds.
//
// The package has no I/O, no goroutine and no clock: times are arguments. docs/design/rollout.md states what holds by construction and why.
//
// Start reading at Stage and Controller.Decide.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// MaxRollouts bounds the services that a Set has a rollout of; orders for more are refused.
const MaxRollouts = 512

// Stage is how far a rollout is. The values are part of the wire format: append, never reorder.
type Stage uint8

// The stages of a rollout.
const (
	// Canary: the new version gets a small share of the requests, the same at each sender.
	Canary Stage = iota + 1
	// Promoting: the new version gets all requests, and servers of the old one finish what they have. They still run.
	Promoting
	// Delivered: nobody sends to servers of the old version any more, and they may be stopped.
	Delivered
	// Recalled: the new version gets no requests.
	Recalled
)

// String is a stage's name in logs and in the status.
func (s Stage) String() string {
	return [...]string{"none", "canary", "promoting", "delivered", "recalled", "unknown"}[min(s, Recalled+1)]
}

// Active reports whether the rollout is under way.
func (s Stage) Active() bool { return s == Canary || s == Promoting }

// Rollout is the newest rollout of a service.
type Rollout struct {
	Service string
	// Target is the version that takes over.
	Target string
	// Order numbers the orders of a service, from 1.
	Order uint32
	Stage Stage
	// Term is the time within which the rollout is to end, from the order on.
	Term time.Duration
	// Reason is the evidence for the present stage, as text; DecidedBy is the control machine that decided on it.
	Reason, DecidedBy string
}

// Eligibility is what a sender may do with a server while a rollout of its service is known.
type Eligibility uint8

// The eligibilities.
const (
	// Serves: the server gets requests as without a rollout.
	Eligible Eligibility = iota
	// ServesShare: the server gets the first attempts of the requests that are chosen for the new version, and no others.
	CanaryOnly
	// Finishes: the server gets no new requests, and finishes what it has.
	NotEligible
)

// Eligibility returns what a sender may do with a server of a version; empty: the version is not known yet. A version that may be the one
// on trial gets no requests. Retired is whether the servers of the old version have had time to stop since the rollout was delivered: any
// that appear after that are new ones.
func (r *Rollout) Eligibility(version string, retired bool) Eligibility {
	isTarget := version == r.Target
	switch r.Stage {
	case Canary:
		if isTarget {
			return CanaryOnly
		}
		return eligibleIf(version != "")
	case Promoting:
		return eligibleIf(isTarget)
	case Delivered:
		return eligibleIf(isTarget || retired)
	case Recalled:
		return eligibleIf(!isTarget && version != "")
	}
	return Eligible
}

func eligibleIf(eligible bool) Eligibility {
	if eligible {
		return Eligible
	}
	return NotEligible
}

// Set is the newest rollout of each service. A Set is never changed: its methods return others.
type Set struct {
	// Revision counts the changes.
	Revision uint32
	// Rollouts are in order of service, one for each at most.
	Rollouts []Rollout
}

// Find returns the rollout of a service; ok is false where there is none.
func (s Set) Find(service string) (r Rollout, ok bool) {
	index, found := s.search(service)
	if !found {
		return Rollout{}, false
	}
	return s.Rollouts[index], true
}

// AnyActive reports whether a rollout is under way.
func (s Set) AnyActive() bool {
	return slices.ContainsFunc(s.Rollouts, func(r Rollout) bool { return r.Stage.Active() })
}

func (s Set) search(service string) (index int, found bool) {
	return slices.BinarySearchFunc(s.Rollouts, service, func(r Rollout, service string) int { return cmp.Compare(r.Service, service) })
}

// with returns the set with a rollout in place of the service's present one.
func (s Set) withRollout(r Rollout) Set {
	index, found := s.search(r.Service)
	rollouts := slices.Clone(s.Rollouts)
	if found {
		rollouts[index] = r
	} else {
		rollouts = slices.Insert(rollouts, index, r)
	}
	return Set{Revision: s.Revision + 1, Rollouts: rollouts}
}

// Order asks for a rollout.
type Order struct {
	Service, Target string
	Term            time.Duration
	// Supersedes is the number of the service's last order, which has ended, as known to whoever asks; 0: there was none. Where a later one
	// exists the order does not begin another rollout: it is a repetition of that one, or conflicts with it.
	Supersedes uint32
}

// OrderState is what became of an order.
type OrderState uint8

// The states of an order.
const (
	NotAccepted OrderState = iota
	Accepted               // a rollout to its target stands after those that it supersedes
	Conflicting            // one to another target does, or there are too many
)

// StateOf returns what became of an order.
func (s Set) StateOf(o Order) OrderState {
	present, _ := s.Find(o.Service)
	switch {
	case present.Order <= o.Supersedes && (present.Order > 0 || len(s.Rollouts) < MaxRollouts):
		return NotAccepted
	case present.Order > o.Supersedes && present.Target == o.Target:
		return Accepted
	}
	return Conflicting
}

// Start returns the set with an order taken; s itself where that changes nothing.
func (s Set) Start(o Order) Set {
	present, _ := s.Find(o.Service)
	if s.StateOf(o) != NotAccepted || present.Stage.Active() {
		return s
	}
	return s.withRollout(Rollout{Service: o.Service, Target: o.Target, Order: present.Order + 1, Stage: Canary, Term: o.Term})
}

// Supersedes returns the number for the field of that name of an order that is asked for now. An order to the version of a rollout that has
// just ended is taken for a late copy of that rollout's order.
func (s Set) Supersedes(service, target string, endedRecently bool) uint32 {
	present, known := s.Find(service)
	switch {
	case !known:
		return 0
	case present.Stage.Active() || endedRecently && present.Target == target:
		return present.Order - 1
	}
	return present.Order
}

// Transition moves a rollout from a stage to another one.
type Transition struct {
	Service           string
	Order             uint32
	From, To          Stage
	Reason, DecidedBy string
}

// Apply returns the set with a transition made; s itself where the rollout is not at the transition's order and stage, as after another
// transition.
func (s Set) Apply(t Transition) Set {
	r, ok := s.Find(t.Service)
	if !ok || !s.CanApply(t) {
		return s
	}
	r.Stage, r.Reason, r.DecidedBy = t.To, t.Reason, t.DecidedBy
	return s.withRollout(r)
}

// Awaits reports whether the rollout of a transition is at its order and stage.
func (s Set) CanApply(t Transition) bool {
	r, ok := s.Find(t.Service)
	return ok && r.Order == t.Order && r.Stage == t.From
}
