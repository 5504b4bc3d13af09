package register

import (
	"slices"
)

// operation is an event that waits for a round to answer it.
type operation interface {
	Event
	id() uint64
	// apply returns the value with the operation applied; v itself where it changes nothing.
	apply(v Value) Value
	// complete reports whether a committed value completes the operation, and how.
	complete(c commit) (Result, bool)
	// waitsForOthers reports whether the operation, where a round did not complete it, waits for other machines to catch up.
	waitsForReplicas() bool
}

// commit is a value that a round found to be committed, or committed itself.
type commit struct {
	value      *Value
	self       string
	replicas   []string // the machines that have it on their disks, as far as the round has shown
	answerable bool     // the operation waited when the round began to read, or when it proposed the value
}

func (op Put) id() uint64 { return op.ID }

// apply records the content under the version, unless the value has a record of the version already: of Puts of one version the first
// pending one wins. The configuration itself is replaced by a higher version only.
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

// apply begins a change of members. One that is under way is altered or reverted only by an operation with ExpectedMembers.
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

// stale reports whether the members are others than those that the change was decided on.
func (op ChangeMembers) stale(v *Value) bool {
	return op.ExpectedMembers != nil && !slices.Equal(v.Members, op.ExpectedMembers) && !slices.Equal(v.Members, op.Members)
}

func (op ReplicateWithoutSelf) id() uint64 { return op.ID }

func (op ReplicateWithoutSelf) apply(v Value) Value { return v }

func (op ReplicateWithoutSelf) complete(c commit) (Result, bool) {
	return Confirmed, isQuorumWithout(c.value, c.replicas, c.self)
}

func (op ReplicateWithoutSelf) waitsForReplicas() bool { return true }

// applyPending applies the pending operations to a value, in their order.
func (r *Replica) applyPending(v Value) Value {
	for _, op := range r.pending {
		v = op.apply(v)
	}
	return v
}

// completePending answers the pending operations that a commit completes.
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

// replicationPending reports whether a ReplicateWithoutSelf waits.
func (r *Replica) replicationPending() bool {
	return slices.ContainsFunc(r.pending, func(op operation) bool {
		_, ok := op.(ReplicateWithoutSelf)
		return ok
	})
}

// Cancel drops a pending operation, which then has no Outcome. A Put or a ChangeMembers may take effect all the same.
func (r *Replica) Cancel(id uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(op operation) bool { return op.id() == id })
}
