package replacement

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/timing"
)

// ActionKind is the kind of a draining machine's next action.
type ActionKind uint8

// The kinds of actions, in the order in which they are taken.
const (
	Wait                 ActionKind = iota // until the operation in progress completes
	ProposeHandover                        // propose Action.Change to the register
	ReplicateWithoutSelf                   // have the register replicate the committed value to a quorum without this machine
	Depart                                 // notify the peers, and terminate
)

// Errors of a departure while the machine is still a member or before the committed value was replicated.
var (
	ErrDepartureTimeout = errors.New("the departure timed out")
	ErrNoSuccessor      = errors.New("no machine can take over the membership")
	ErrHandoverTimeout  = errors.New("the change of members did not complete in time")
)

// Action is the next action of a draining machine, with its arguments.
type Action struct {
	Kind   ActionKind
	Change Change // for ProposeHandover
	Err    error  // for Depart: one of this package's errors; nil if all steps were completed
}

// Departure removes a machine that is shutting down from the group. The machine hands over its membership, has the committed value
// replicated to a quorum without itself, and departs within timing.Replacement.DepartureTimeout. A Departure is not safe for concurrent
// use.
type Departure struct {
	durations    timing.Replacement
	self         string
	startedAt    time.Duration
	proposedAt   time.Duration // when the last handover was proposed; never: none was
	replicating  bool          // ReplicateWithoutSelf was returned
	hasSuccessor bool
}

// NewDeparture begins the departure of a machine.
func NewDeparture(t timing.Replacement, self string, now time.Duration) *Departure {
	return &Departure{durations: t, self: self, startedAt: now, proposedAt: never, hasSuccessor: true}
}

// handoverDeadline returns the time by which the membership has to be handed over.
func (d *Departure) handoverDeadline() time.Duration {
	return d.startedAt + d.durations.HandoverTimeout()
}

// Decide returns the next action. Replicated reports whether the register has completed ReplicateWithoutSelf.
func (d *Departure) Decide(now time.Duration, g Group, replicated bool) Action {
	member := g.isMember(d.self)
	switch {
	case now >= d.startedAt+d.durations.DepartureTimeout:
		return Action{Kind: Depart, Err: ErrDepartureTimeout}
	case member && !d.replicating && now < d.handoverDeadline():
		return d.handOver(now, g)
	case !d.replicating:
		return d.replicate()
	case !replicated:
		return Action{Kind: Wait}
	case member && !d.hasSuccessor:
		return Action{Kind: Depart, Err: ErrNoSuccessor}
	case member:
		return Action{Kind: Depart, Err: ErrHandoverTimeout}
	}
	return Action{Kind: Depart}
}

// handOver proposes a change that transfers this machine's membership to a successor, and proposes it again after a time-out.
func (d *Departure) handOver(now time.Duration, g Group) Action {
	awaitingChange := d.proposedAt != never && now < d.proposedAt+d.durations.ChangeTimeout
	changeInProgress := !slices.Contains(g.Members, d.self) // this machine is a prior member, which the change still needs
	if awaitingChange || changeInProgress {
		return Action{Kind: Wait}
	}
	c, ok := g.replace(now, &d.durations, []string{d.self})
	if !ok {
		d.hasSuccessor = false
		return d.replicate()
	}
	d.proposedAt = now
	return Action{Kind: ProposeHandover, Change: c}
}

func (d *Departure) replicate() Action {
	d.replicating = true
	return Action{Kind: ReplicateWithoutSelf}
}
