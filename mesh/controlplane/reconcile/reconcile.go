// Package reconcile reconciles the members of the register with the number that the deployment needs. Under a lease it replaces lost
// members, and in a graceful shutdown it hands this machine's membership over. Package replacement decides on the changes; this package
// proposes them to the register and tracks them to completion (docs/design/control-safety-3.md).
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

// Register is this machine's replica with its disk (persistence.Pipeline).
type Register interface {
	Apply(now time.Duration, ev register.Event)
	// Cancel drops an operation. An unknown one is ignored.
	Cancel(id uint64)
	// DiskFailing reports whether the disk stalls or writes fail.
	DiskFailing(now time.Duration) bool
	// OnDisk returns the newest state that is known to be written.
	OnDisk() *register.State
	// Replica returns the replica for reading its state. Events have to go through Apply.
	Replica() *register.Replica
}

// Peers is this machine's view of the other control machines.
type Peers interface {
	View(committed register.Ballot) []replacement.Machine
}

// Sink executes a Reconciler's decisions. Its methods may call Group, Status and Complete of the Reconciler, and no other method of it.
type Sink interface {
	SendLease(m lease.Message)
	// ReplacementProposed reports that a change that replaces lost members is about to be proposed.
	ReplacementProposed(c replacement.Change)
	// HandoverProposed reports that a change that hands this machine's membership to another is about to be proposed.
	HandoverProposed(c replacement.Change)
	// RepairCompleted reports that all members have the committed value on disk again, and how long after the proposal of the last change.
	RepairCompleted(members int, after time.Duration)
	// Depart stops the machine. It is called once. reason is nil if the departure has completed, and otherwise says why not. replicated
	// reports that no committed value is on this machine's disk alone.
	Depart(reason error, replicated bool)
}

// Config describes the machine.
type Config struct {
	Self, Zone string
	Timeouts   timing.Replacement
	Tolerance  int    // how many members may be lost at a time
	Seed       uint64 // the first number of this process's lease requests; has to be above those of earlier processes
}

// Reconciler replaces lost members and manages this machine's departure. It is not safe for concurrent use.
type Reconciler struct {
	config   Config
	register Register
	peers    Peers
	sink     Sink
	nextID   func() uint64

	lease    *lease.Lease
	planner  *replacement.Planner
	nextTick time.Duration

	changeID   uint64 // of the change that was proposed last; 0: none
	change     replacement.Change
	proposedAt time.Duration
	repairing  bool // not all members of the change are known to have the committed value on disk
	departure  *departure
}

// departure is the progress of this machine's departure.
type departure struct {
	plan        *replacement.Departure
	replicateID uint64 // of the ReplicateWithoutSelf that was proposed; 0: none
	replicated  bool
	ended       bool
}

// New returns a reconciler whose clock starts at 0. nextID returns a number that no other operation of this replica has.
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

// NextTick returns when Tick is to be called at the latest.
func (r *Reconciler) NextTick() time.Duration { return r.nextTick }

// Tick checks the lease and the members, and proposes the changes that are due. A machine whose disk fails does nothing unless it is
// departing, so that its lease expires and another machine reconciles.
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

// replaceLost proposes to replace lost members, if this machine holds the lease and knows a committed value.
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

// propose proposes a change of members. It cancels the previous proposal.
func (r *Reconciler) propose(now time.Duration, c replacement.Change) {
	if r.changeID > 0 {
		r.register.Cancel(r.changeID)
	}
	r.changeID, r.change = r.nextID(), c
	r.proposedAt, r.repairing = now, true
	r.register.Apply(now, register.ChangeMembers{ID: r.changeID, Members: c.Members, ExpectedMembers: c.ExpectedMembers})
}

// checkRepair reports the completion of the change that was proposed here.
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

// BeginDeparture begins this machine's departure. It releases the lease at once, so that another machine can replace members meanwhile.
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

// Complete records the outcome of an operation of the register. Outcomes of other components' operations are ignored.
func (r *Reconciler) Complete(o register.Outcome) {
	if r.departure != nil && r.departure.replicateID > 0 && o.ID == r.departure.replicateID {
		r.departure.replicated = true
	}
}

// HandleLease handles a lease message of a peer.
func (r *Reconciler) HandleLease(now time.Duration, m lease.Message) {
	if response, ok := r.lease.Handle(now, m); ok {
		r.sink.SendLease(response)
	}
}

// LeaseHolder returns the machine that holds the lease as far as this one knows; empty if it is not known.
func (r *Reconciler) LeaseHolder(now time.Duration) string { return r.lease.Holder(now) }

// LeaseHeld reports whether this machine holds the lease.
func (r *Reconciler) LeaseHeld(now time.Duration) bool { return r.lease.HeldAt(now) }

// Status returns the status that this machine reports to its peers. It covers what is on disk, not what waits for the disk.
func (r *Reconciler) Status(now time.Duration) codec.NodeStatus {
	state := r.register.OnDisk()
	return codec.NodeStatus{
		Voter:       state.Voter,
		Draining:    r.Draining(),
		DiskFailing: r.register.DiskFailing(now),
		Accepted:    state.Accepted,
	}
}

// Group returns the members and the state of all known control machines, this one first.
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

// FullyReplicated reports whether no change of members is in progress and every member is known to have the committed value on its disk.
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
