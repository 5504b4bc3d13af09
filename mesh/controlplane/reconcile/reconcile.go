// Package reconcile keeps the members of the register at the number that the deployment wants: under a lease it
// replaces lost members, and it leads this machine out of the members when the process is to end. What is to be
// done package replacement decides; this package proposes it to the register and follows it until it is done
// (docs/design/control-safety-3.md).
//
// Reconciler has no I/O, no goroutine and no clock. It belongs to the control machine's event loop and acts through Register and Sink.
//
// Start reading at Reconciler.Tick.
package reconcile

import (
	"slices"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/lease"
	"firplank/mesh/register"
	"firplank/mesh/replacement"
	"firplank/mesh/timing"
)

// Register is this machine's replica behind its disk.
type Register interface {
	Apply(now time.Duration, ev register.Event)
	// Cancel drops an operation; one that is not known is ignored.
	Cancel(id uint64)
	// DiskFailing reports whether the disk stalls or refuses writes.
	DiskFailing(now time.Duration) bool
	// OnDisk is the newest state that is known to be written.
	OnDisk() *register.State
	// Replica is for what the replica knows; events go to Apply.
	Replica() *register.Replica
}

// Peers is this machine's view of the other control machines.
type Peers interface {
	View(committed register.Ballot) []replacement.Machine
}

// Sink is what a Reconciler acts on and reports to. Its methods may call Group, Status and Complete of the Reconciler,
// and nothing else of it.
type Sink interface {
	SendLease(m lease.Message)
	// ReplacementProposed reports that a change is about to be proposed which replaces lost members.
	ReplacementProposed(c replacement.Change)
	// HandoverProposed reports that a change is about to be proposed which gives this machine's membership to another.
	HandoverProposed(c replacement.Change)
	// RepairCompleted reports that all members have the committed value on disk again, so long after the last change was proposed.
	RepairCompleted(members int, after time.Duration)
	// Depart ends the machine's work, once. A nil reason: in order. replicated reports that no committed value is on its disk alone.
	Depart(reason error, replicated bool)
}

// Config describes the machine.
type Config struct {
	Self, Zone string
	Timeouts   timing.Replacement
	Tolerance  int    // how many members may be lost at a time
	Seed       uint64 // the first number of this process's lease requests: above those of earlier processes
}

// Reconciler is not safe for concurrent use.
type Reconciler struct {
	config   Config
	register Register
	peers    Peers
	sink     Sink
	nextID   func() uint64

	lease    *lease.Lease
	planner  *replacement.Planner
	nextTick time.Duration

	changeID   uint64 // of the last change that was proposed; 0: none
	change     replacement.Change
	proposedAt time.Duration
	repairing  bool // not all members of the change are known to have the committed value
	departure  *departure
}

// departure is how far the machine is on its way out.
type departure struct {
	plan        *replacement.Departure
	replicateID uint64 // of the ReplicateWithoutSelf that was proposed; 0: none
	replicated  bool
	ended       bool
}

// New returns a reconciler whose clock begins at 0. nextID returns a number that no other operation of this replica has.
func New(c Config, r Register, p Peers, s Sink, nextID func() uint64) *Reconciler {
	return &Reconciler{
		config:   c,
		register: r,
		peers:    p,
		sink:     s,
		nextID:   nextID,
		lease:    lease.New(c.Self, 0, c.Seed, c.Timeouts.Lease),
		planner:  replacement.NewPlanner(c.Timeouts, c.Tolerance),
	}
}

// NextTick is when Tick is to be called at the latest.
func (r *Reconciler) NextTick() time.Duration { return r.nextTick }

// Tick looks at the lease and the members and does what is due. A machine whose disk fails does nothing, unless it
// drains: its lease runs out, and another machine reconciles.
func (r *Reconciler) Tick(now time.Duration) {
	if !r.Draining() && r.register.DiskFailing(now) {
		r.nextTick = now + r.config.Timeouts.CheckInterval
		return
	}
	r.lease.SetMembers(r.register.Replica().Members())
	r.sendLease(r.lease.Tick(now))
	r.nextTick = min(now+r.config.Timeouts.CheckInterval, r.lease.NextTick())
	r.checkRepair(now)
	if r.Draining() {
		r.continueDeparture(now)
		return
	}
	r.replaceLost(now)
}

// replaceLost proposes to replace lost members, where this machine holds the lease and knows a committed value.
func (r *Reconciler) replaceLost(now time.Duration) {
	if !r.lease.HeldAt(now) {
		return
	}
	if _, _, known := r.register.Replica().Committed(); !known {
		return
	}
	if c, ok := r.planner.Decide(now, r.Group(now)); ok {
		r.sink.ReplacementProposed(c)
		r.propose(now, c)
	}
}

// propose proposes a change in place of the one before it.
func (r *Reconciler) propose(now time.Duration, c replacement.Change) {
	if r.changeID > 0 {
		r.register.Cancel(r.changeID)
	}
	r.changeID, r.change = r.nextID(), c
	r.proposedAt, r.repairing = now, true
	r.register.Apply(now, register.ChangeMembers{ID: r.changeID, Members: c.Members, ExpectedMembers: c.ExpectedMembers})
}

// checkRepair reports the end of a repair that was proposed here.
func (r *Reconciler) checkRepair(now time.Duration) {
	if !r.repairing {
		return
	}
	g := r.Group(now)
	if !slices.Equal(g.Members, r.change.Members) || !FullyReplicated(g) {
		return
	}
	r.repairing = false
	r.sink.RepairCompleted(len(g.Members), now-r.proposedAt)
}

// BeginDeparture begins to lead this machine out. The lease is released at once, so that another machine replaces members meanwhile.
func (r *Reconciler) BeginDeparture(now time.Duration) {
	r.departure = &departure{plan: replacement.NewDeparture(r.config.Timeouts, r.config.Self, now)}
	r.sendLease(r.lease.Release(now))
}

// Draining reports whether the departure has begun.
func (r *Reconciler) Draining() bool { return r.departure != nil }

func (r *Reconciler) continueDeparture(now time.Duration) {
	d := r.departure
	if d.ended {
		return
	}
	switch a := d.plan.Decide(now, r.Group(now), d.replicated); a.Kind {
	case replacement.ProposeHandover:
		r.sink.HandoverProposed(a.Change)
		r.propose(now, a.Change)
	case replacement.ReplicateWithoutSelf:
		d.replicateID = r.nextID()
		r.register.Apply(now, register.ReplicateWithoutSelf{ID: d.replicateID})
	case replacement.Depart:
		d.ended = true
		r.sink.Depart(a.Err, d.replicated)
	case replacement.Wait:
	}
}

// Complete records the outcome of an operation of the register, which may be another's.
func (r *Reconciler) Complete(o register.Outcome) {
	if r.departure != nil && r.departure.replicateID > 0 && o.ID == r.departure.replicateID {
		r.departure.replicated = true
	}
}

// HandleLease handles a message on the lease.
func (r *Reconciler) HandleLease(now time.Duration, m lease.Message) {
	if response, ok := r.lease.Handle(now, m); ok {
		r.sink.SendLease(response)
	}
}

// LeaseHolder is the machine that holds the lease as far as is known here; empty: not known.
func (r *Reconciler) LeaseHolder(now time.Duration) string { return r.lease.Holder(now) }

// LeaseHeld reports whether this machine holds the lease.
func (r *Reconciler) LeaseHeld(now time.Duration) bool { return r.lease.HeldAt(now) }

// Status is what this machine reports of itself: what its disk has, not what waits for the disk.
func (r *Reconciler) Status(now time.Duration) codec.NodeStatus {
	state := r.register.OnDisk()
	return codec.NodeStatus{
		Voter:       state.Voter,
		Draining:    r.Draining(),
		DiskFailing: r.register.DiskFailing(now),
		Accepted:    state.Accepted,
	}
}

// Group returns the members and the observed state of all control machines, this one first.
func (r *Reconciler) Group(now time.Duration) replacement.Group {
	members, prior := r.register.Replica().Membership()
	committed := r.register.Replica().CommittedBallot()
	self := r.Status(now)
	machines := []replacement.Machine{{
		Addr:        r.config.Self,
		Zone:        r.config.Zone,
		LastContact: now,
		Connected:   true,
		Voter:       self.Voter,
		Draining:    self.Draining,
		DiskFailed:  self.DiskFailing,
		CaughtUp:    self.Accepted.Compare(committed) >= 0,
	}}
	return replacement.Group{Members: members, PriorMembers: prior, Machines: append(machines, r.peers.View(committed)...)}
}

// FullyReplicated reports whether no change is under way and every member is known to have the committed value on its disk.
func FullyReplicated(g replacement.Group) bool {
	if len(g.PriorMembers) > 0 || len(g.Members) == 0 {
		return false
	}
	for _, member := range g.Members {
		caughtUp := slices.ContainsFunc(g.Machines, func(m replacement.Machine) bool { return m.Addr == member && m.CaughtUp })
		if !caughtUp {
			return false
		}
	}
	return true
}

func (r *Reconciler) sendLease(messages []lease.Message) {
	for _, m := range messages {
		r.sink.SendLease(m)
	}
}
