package codec

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"firplank/mesh/directory"
	"firplank/mesh/rollout"
	"firplank/mesh/wire"
)

// rolloutsToWire converts the rollouts of a set.
func rolloutsToWire(s rollout.Set) []*wire.RolloutT {
	var converted []*wire.RolloutT
	for i := range s.Rollouts {
		r := &s.Rollouts[i]
		converted = append(converted, &wire.RolloutT{
			Service:   r.Service,
			Target:    r.Target,
			Order:     r.Order,
			Stage:     byte(r.Stage),
			TermMs:    milliseconds(r.Term),
			Reason:    r.Reason,
			DecidedBy: r.DecidedBy,
		})
	}
	return converted
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

// RolloutsFromFrame returns the rollouts in an update's frame. ok is false if the update has none.
func RolloutsFromFrame(f *wire.FrameT) (set rollout.Set, ok bool) {
	return rolloutsFromWire(f.RolloutRevision, f.Rollouts), f.RolloutRevision > 0
}

// AddRolloutReport adds the rollout report of an entry's sidecar, which is sent to control machines only. It returns the entry.
func AddRolloutReport(entry *wire.EntryT, report *directory.RolloutReport) *wire.EntryT {
	entry.RolloutsConfirmed, entry.RolloutOrder, entry.OrderAgeMs = report.ConfirmedRevision, report.Order, milliseconds(report.OrderAge)
	for i := range report.Classes {
		c := &report.Classes[i]
		entry.Statistics = append(entry.Statistics, &wire.ClassStatisticsT{
			Class:     c.Class,
			Requests:  c.Requests,
			Failures:  c.Failures,
			Latencies: latenciesToWire(&c.Latencies),
		})
	}
	return entry
}

// latenciesToWire packs a histogram as varints: the index of the first bucket that is not empty, and the counts from there to the last
// bucket that is not empty. It returns nil if all buckets are empty.
func latenciesToWire(l *rollout.Latencies) (packed []byte) {
	first, last := -1, -1
	for i, count := range l {
		if count > 0 {
			last = i
			if first < 0 {
				first = i
			}
		}
	}
	if first < 0 {
		return nil
	}
	packed = binary.AppendUvarint(packed, uint64(first))
	for _, count := range l[first : last+1] {
		packed = binary.AppendUvarint(packed, uint64(count))
	}
	return packed
}

// latenciesFromWire unpacks a histogram. Counts beyond its last bucket are dropped, and an invalid varint ends it.
func latenciesFromWire(packed []byte) (l rollout.Latencies) {
	bucket, n := binary.Uvarint(packed)
	for packed = packed[max(0, n):]; n > 0 && bucket < uint64(len(l)); bucket++ {
		var count uint64
		if count, n = binary.Uvarint(packed); n <= 0 {
			break
		}
		l[bucket] = uint32(min(count, math.MaxUint32))
		packed = packed[n:]
	}
	return l
}

// rolloutReportFromWire returns the rollout report of an entry's sidecar.
func rolloutReportFromWire(e *wire.EntryT) directory.RolloutReport {
	report := directory.RolloutReport{
		ConfirmedRevision: e.RolloutsConfirmed,
		Order:             e.RolloutOrder,
		OrderAge:          time.Duration(e.OrderAgeMs) * time.Millisecond,
	}
	for _, c := range e.Statistics {
		report.Classes = append(report.Classes, rollout.Statistics{
			Class:     c.Class,
			Requests:  c.Requests,
			Failures:  c.Failures,
			Latencies: latenciesFromWire(c.Latencies),
		})
	}
	return report
}
