package register

import "firplank/mesh/rollout"

func (op StartRollout) id() uint64 { return op.ID }

func (op StartRollout) apply(v Value) Value {
	v.Rollouts = v.Rollouts.Start(op.Order)
	return v
}

func (op StartRollout) complete(c commit) (Result, bool) {
	switch c.value.Rollouts.StateOf(op.Order) {
	case rollout.Accepted:
		return Confirmed, c.answerable
	case rollout.Conflicting:
		return Conflict, c.answerable
	case rollout.NotAccepted:
	}
	return Confirmed, false
}

func (op StartRollout) waitsForReplicas() bool { return false }

func (op AdvanceRollout) id() uint64 { return op.ID }

func (op AdvanceRollout) apply(v Value) Value {
	v.Rollouts = v.Rollouts.Apply(op.Transition)
	return v
}

func (op AdvanceRollout) complete(c commit) (Result, bool) {
	return Confirmed, c.answerable && !c.value.Rollouts.CanApply(op.Transition)
}

func (op AdvanceRollout) waitsForReplicas() bool { return false }
