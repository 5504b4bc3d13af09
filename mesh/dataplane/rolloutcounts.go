package dataplane

import (
	"slices"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/mesh/rollout"
)

// maxTrialClasses bounds the classes of routes that a trial tells apart; requests of further ones count with the last.
const maxRolloutClasses = 16

// trial counts the requests of the local server while a rollout of its service is under way, be it of the old or of the new version. It
// belongs to the last hop, whose lock guards it.
type rolloutCounts struct {
	order   uint32 // of the rollout; 0: none is under way
	classes []rollout.Statistics
}

// record counts a request that has ended. What is no evidence of the version is left out: a client that has left, a server that was not
// reached or had no capacity, and how long requests take in a slow start.
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

// of returns the statistics of a class.
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

// setTrial makes the last hop count for the rollout of an order, from then on; 0: for none.
func (l *lastHop) countForRollout(order uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rolloutCounts.order != order {
		l.rolloutCounts = rolloutCounts{order: order}
	}
}

// trialStatistics returns what was counted, and the rollout's order.
func (l *lastHop) rolloutStatistics() (order uint32, classes []rollout.Statistics) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rolloutCounts.order, slices.Clone(l.rolloutCounts.classes)
}

// work returns how many requests are at work at the local server, and how many of its answers are still coming.
func (l *lastHop) inFlightCounts() (running, streams int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running), l.openStreams
}
