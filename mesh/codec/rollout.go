package codec

import (
	"cmp"
	"slices"
	"time"

	"firplank/mesh/directory"
	"firplank/mesh/rollout"
	"firplank/mesh/wire"
)

// rolloutsToWire returns the rollouts of a set.
func rolloutsToWire(s rollout.Set) []*wire.RolloutT {
	var sent []*wire.RolloutT
	for i := range s.Rollouts {
		r := &s.Rollouts[i]
		sent = append(sent, &wire.RolloutT{
			Service:   r.Service,
			Target:    r.Target,
			Order:     r.Order,
			Stage:     byte(r.Stage),
			TermMs:    milliseconds(r.Term),
			Reason:    r.Reason,
			DecidedBy: r.DecidedBy,
		})
	}
	return sent
}

func rolloutsFromWire(revision uint32, received []*wire.RolloutT) rollout.Set {
	set := rollout.Set{Revision: revision}
	for _, r := range received {
		set.Rollouts = append(set.Rollouts, rollout.Rollout{
			Service:   r.Service,
			Target:    r.Target,
			Order:     r.Order,
			Stage:     rollout.Stage(r.Stage),
			Term:      time.Duration(r.TermMs) * time.Millisecond,
			Reason:    r.Reason,
			DecidedBy: r.DecidedBy,
		})
	}
	slices.SortFunc(set.Rollouts, func(a, b rollout.Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return set
}

// RolloutsFromFrame returns the rollouts of an update; ok is false where it has none.
func RolloutsFromFrame(f *wire.FrameT) (set rollout.Set, ok bool) {
	return rolloutsFromWire(f.RolloutRevision, f.Rollouts), f.RolloutRevision > 0
}

// AddEvidence adds what an entry's sidecar reports of rollouts, which goes to the control machines only, and returns the sent entry.
func AddEvidence(sent *wire.EntryT, e *directory.Evidence) *wire.EntryT {
	sent.RolloutsConfirmed, sent.RolloutOrder = e.Confirmed, e.Order
	for i := range e.Classes {
		c := &e.Classes[i]
		sent.Statistics = append(sent.Statistics, &wire.ClassStatisticsT{
			Class:        c.Class,
			Requests:     c.Requests,
			Failures:     c.Failures,
			LogSum:       float32(c.LogSum),
			LogSquareSum: float32(c.LogSquareSum),
		})
	}
	return sent
}

// evidenceFromWire returns what an entry's sidecar reports of rollouts.
func evidenceFromWire(e *wire.EntryT) directory.Evidence {
	evidence := directory.Evidence{Confirmed: e.RolloutsConfirmed, Order: e.RolloutOrder}
	for _, c := range e.Statistics {
		evidence.Classes = append(evidence.Classes, rollout.Statistics{
			Class:        c.Class,
			Requests:     c.Requests,
			Failures:     c.Failures,
			LogSum:       float64(c.LogSum),
			LogSquareSum: float64(c.LogSquareSum),
		})
	}
	return evidence
}
