// Package rollout controls how a new version of a service takes over the service's traffic: which servers a sender may use during a rollout
// (Rollout.Eligibility), whether the new version is worse than the old one (Judge), and when a rollout is promoted, delivered (completed)
// or recalled (rolled back) (Controller). The state of all rollouts is a Set, which the register stores.
//
// The package has no I/O, no goroutine and no clock; times are arguments. docs/design/rollout.md states its guarantees and the reasons.
//
// Start reading at Stage and Controller.Decide.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// MaxRollouts is the greatest number of services with a rollout in a Set. Orders for further services are rejected.
const MaxRollouts = 512

// Stage is the stage of a rollout. The values are part of the wire format: append new ones, and never reorder them.
type Stage uint8

// The stages of a rollout.
const (
	// Canary means that the new version gets a small share of the requests, which is the same at each sender.
	Canary Stage = iota + 1
	// Promoting means that the new version gets all new requests. The servers of the old version still run and finish theirs.
	Promoting
	// Delivered means that the rollout is complete: no sidecar sends to the servers of the old version, and they may be stopped.
	Delivered
	// Recalled means that the rollout is rolled back: the new version gets no requests.
	Recalled
)

// String returns the stage's name in logs and in the status.
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
	// Order is the number of the rollout's order among those of the service, from 1.
	Order uint32
	Stage Stage
	// Term is the time from the order within which the rollout is to end.
	Term time.Duration
	// Reason describes the evidence for the present stage. DecidedBy is the control machine that decided on the stage.
	Reason, DecidedBy string
}

// Eligibility is which requests a sender may send to a server during a rollout of its service.
type Eligibility uint8

// The eligibilities.
const (
	// Eligible means that the server gets requests as without a rollout.
	Eligible Eligibility = iota
	// CanaryOnly means that the server gets only first attempts, of the requests that are selected for the new version.
	CanaryOnly
	// NotEligible means that the server gets no new requests. It finishes those in flight.
	NotEligible
)

// Eligibility returns the eligibility of a server of a version. An empty version is not known yet; where it may be the version that is
// under test, the server gets no requests. Retired is set once the servers of the old version have had time to stop after the delivery:
// servers of that version that appear later are new ones.
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

// Set holds the newest rollout of each service. It is immutable: methods that change something return a new Set.
type Set struct {
	// Revision rises by one with each change.
	Revision uint32
	// Rollouts is sorted by service, with at most one rollout for each.
	Rollouts []Rollout
}

// Find returns the rollout of a service, and false if there is none.
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

// withRollout returns the set with a rollout in place of the present one of its service.
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

// Order is an operator's request for a rollout.
type Order struct {
	Service, Target string
	Term            time.Duration
	// Supersedes is the number of the service's last order, whose rollout has ended, to the knowledge of the requester; 0 if there was none.
	// Where a later order exists, this one starts no rollout: it either repeats that order or conflicts with it.
	Supersedes uint32
}

// OrderState is the state of an order.
type OrderState uint8

// The states of an order.
const (
	NotAccepted OrderState = iota // there is no later order than the one that it supersedes
	Accepted                      // there is a rollout to its target after the order that it supersedes
	Conflicting                   // there is a later rollout to another target, or there are too many rollouts
)

// StateOf returns the state of an order.
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

// Start returns the set with the rollout of an order started. It returns s itself where the order is not new or a rollout of its service is
// active.
func (s Set) Start(o Order) Set {
	present, _ := s.Find(o.Service)
	if s.StateOf(o) != NotAccepted || present.Stage.Active() {
		return s
	}
	return s.withRollout(Rollout{Service: o.Service, Target: o.Target, Order: present.Order + 1, Stage: Canary, Term: o.Term})
}

// Supersedes returns the value of Order.Supersedes for an order that arrives now. An order to the target of a rollout that has just ended
// counts as a late copy of that rollout's order.
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

// Transition is a change of a rollout's stage.
type Transition struct {
	Service           string
	Order             uint32
	From, To          Stage
	Reason, DecidedBy string
}

// Apply returns the set after a transition. It returns s itself where the rollout is not at the transition's order and stage any more, as
// after another transition.
func (s Set) Apply(t Transition) Set {
	r, ok := s.Find(t.Service)
	if !ok || !s.CanApply(t) {
		return s
	}
	r.Stage, r.Reason, r.DecidedBy = t.To, t.Reason, t.DecidedBy
	return s.withRollout(r)
}

// CanApply reports whether the rollout is at the order and stage that a transition starts from.
func (s Set) CanApply(t Transition) bool {
	r, ok := s.Find(t.Service)
	return ok && r.Order == t.Order && r.Stage == t.From
}
