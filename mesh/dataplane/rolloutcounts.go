package dataplane

import (
	"slices"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/mesh/rollout"
)

// maxRolloutClasses bounds the classes of routes with separate statistics; requests of further classes count with the last one.
const maxRolloutClasses = 16

// rolloutCounts has statistics of the local server's requests during a rollout of its service, whether the server has the old or the new
// version. It is guarded by the lock of the last hop.
type rolloutCounts struct {
	order   uint32 // of the rollout; 0 without one
	classes []rollout.Statistics
}

// record counts a request that has ended. It leaves out what is no evidence about the version: requests whose client disconnected or whose
// server was not reached or had no capacity, and latencies during slow start.
func (t *rolloutCounts) record(class uint32, r core.Result, latency time.Duration, warmingUp bool) {
	if t.order == 0 {
		return
	}
	failed := r.Outcome == balance.Failed || r.Outcome == balance.Reset
	if !failed && r.Outcome != balance.OK && r.Outcome != balance.TimedOut {
		return
	}
	t.statisticsOf(class).Record(failed, warmingUp, latency)
}

// statisticsOf returns the statistics of a class, or those of the last class if there are too many.
func (t *rolloutCounts) statisticsOf(class uint32) *rollout.Statistics {
	index := slices.IndexFunc(t.classes, func(s rollout.Statistics) bool { return s.Class == class })
	switch {
	case index >= 0:
	case len(t.classes) < maxRolloutClasses:
		t.classes = append(t.classes, rollout.Statistics{Class: class})
		index = len(t.classes) - 1
	default:
		index = len(t.classes) - 1
	}
	return &t.classes[index]
}

// countForRollout starts new statistics for the rollout of an order, unless they are being collected already. An order of 0 stops them.
func (l *lastHop) countForRollout(order uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rolloutCounts.order != order {
		l.rolloutCounts = rolloutCounts{order: order}
	}
}

// rolloutStatistics returns the order of the rollout and a copy of its statistics.
func (l *lastHop) rolloutStatistics() (order uint32, classes []rollout.Statistics) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rolloutCounts.order, slices.Clone(l.rolloutCounts.classes)
}

// inFlightCounts returns the number of requests in flight at the local server, and of its responses that are still being received.
func (l *lastHop) inFlightCounts() (running, streams int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running), l.openStreams
}
