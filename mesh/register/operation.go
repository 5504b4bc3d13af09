package register

import (
	"slices"
)

// operation is an event that a round has to complete. Until then it is pending.
type operation interface {
	Event
	id() uint64
	// apply returns the value with the operation applied, or v itself if the operation does not change it.
	apply(v Value) Value
	// complete reports whether a committed value completes the operation, and with which result.
	complete(c commit) (Result, bool)
	// waitsForReplicas reports whether the operation, if a round did not complete it, waits until other machines have caught up.
	waitsForReplicas() bool
}

// commit is a value that a round has found to be committed, or has committed.
type commit struct {
	value      *Value
	self       string
	replicas   []string // the machines that have the value on their disks, as far as their replies in the round show
	answerable bool     // the operation was pending when the round's read began, or when the value was proposed
}

func (op Put) id() uint64 { return op.ID }

// apply records the content for the version, unless the version is already recorded: of several pending Puts of a version, the first
// applies. The configuration itself is only replaced by a higher version.
func (op Put) apply(v Value) Value {
	if v.History.StateOf(op.Version, op.Content) != NotRecorded {
		return v
	}
	v.History = v.History.With(Record{Version: op.Version, Content: op.Content})
	if op.Version > v.Version {
		v.Version, v.Body = op.Version, op.Body
	}
	return v
}

func (op Put) complete(c commit) (Result, bool) {
	state := c.value.History.StateOf(op.Version, op.Content)
	return state.result(), c.answerable && state != NotRecorded
}

func (op Put) waitsForReplicas() bool { return false }

func (op LinearizableRead) id() uint64 { return op.ID }

func (op LinearizableRead) apply(v Value) Value { return v }

func (op LinearizableRead) complete(c commit) (Result, bool) { return Confirmed, c.answerable }

func (op LinearizableRead) waitsForReplicas() bool { return false }

func (op ChangeMembers) id() uint64 { return op.ID }

// apply begins a change of members. A change that is under way is only altered or reverted by an operation with ExpectedMembers.
func (op ChangeMembers) apply(v Value) Value {
	switch {
	case len(op.Members) == 0 || slices.Equal(v.Members, op.Members) || op.stale(&v):
	case len(v.PriorMembers) == 0:
		v.PriorMembers, v.Members = v.Members, op.Members
	case op.ExpectedMembers == nil:
	case slices.Equal(op.Members, v.PriorMembers):
		v.Members, v.PriorMembers = v.PriorMembers, nil
	default:
		v.Members = op.Members
	}
	return v
}

func (op ChangeMembers) complete(c commit) (Result, bool) {
	done := slices.Equal(op.Members, c.value.Members) && len(c.value.PriorMembers) == 0
	return Confirmed, done || op.stale(c.value)
}

func (op ChangeMembers) waitsForReplicas() bool { return true }

// stale reports whether the members differ from those that the change was decided for.
func (op ChangeMembers) stale(v *Value) bool {
	return op.ExpectedMembers != nil && !slices.Equal(v.Members, op.ExpectedMembers) && !slices.Equal(v.Members, op.Members)
}

func (op ReplicateWithoutSelf) id() uint64 { return op.ID }

func (op ReplicateWithoutSelf) apply(v Value) Value { return v }

func (op ReplicateWithoutSelf) complete(c commit) (Result, bool) {
	return Confirmed, isQuorumWithout(c.value, c.replicas, c.self)
}

func (op ReplicateWithoutSelf) waitsForReplicas() bool { return true }

// applyPending applies the pending operations to a value in order.
func (r *Replica) applyPending(v Value) Value {
	for _, op := range r.pending {
		v = op.apply(v)
	}
	return v
}

// completePending adds the outcomes of the pending operations that a committed value completes, and removes these operations. The replicas
// are those that have the value on their disks.
func (r *Replica) completePending(v Value, replicas []string) {
	remaining := r.pending[:0]
	for i, op := range r.pending {
		result, done := op.complete(commit{
			value:      &v,
			self:       r.self,
			replicas:   replicas,
			answerable: i < r.round.answerable,
		})
		if done {
			r.output.Outcomes = append(r.output.Outcomes, Outcome{ID: op.id(), Result: result, Value: v, AsOf: r.round.started})
		} else {
			remaining = append(remaining, op)
		}
	}
	clear(r.pending[len(remaining):])
	r.pending, r.round.answerable = remaining, 0
}

// replicationPending reports whether a ReplicateWithoutSelf is pending.
func (r *Replica) replicationPending() bool {
	return slices.ContainsFunc(r.pending, func(op operation) bool {
		_, ok := op.(ReplicateWithoutSelf)
		return ok
	})
}

// Cancel drops a pending operation, which then has no Outcome. A Put or a ChangeMembers may still take effect.
func (r *Replica) Cancel(id uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(op operation) bool { return op.id() == id })
}
