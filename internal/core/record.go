package core

import (
	"context"
	"log/slog"
	"time"

	"firplank/balance"
)

// recordIntervalMillis is the shortest interval between two records.
const recordIntervalMillis = 500

// record counts the exchange's work between two lines of the log, which firplank-lab count sums over a fleet and parses by
// their keys, so the keys must not change. It is enabled at debug level only; on nil all methods do nothing. It is for use
// on the exchange's goroutine.
type record struct {
	log             *slog.Logger
	slowStartMillis float64 // duration of slow start
	utilIndex       int     // index of balance.FieldUtil in a report; -1: none
	nextAt          float64 // when a line is due, by the loop's clock

	requests     int
	lists        int // updates of the server list
	listEntries  int // entries of these updates
	listFailures int
	causes       [balance.DeadlineExceeded + 1]int // requests that ended unserved
	outcomes     [balance.NotSent + 1]int          // attempts by result

	toWarmingUp, toWarm     int  // attempts
	warmingUpUtil, warmUtil mean // utilisation of servers by their reports
}

// mean accumulates an arithmetic mean.
type mean struct {
	sum float64
	n   int
}

// add adds a value.
func (m *mean) add(v float64) { m.sum, m.n = m.sum+v, m.n+1 }

// value returns the mean; 0 without values.
func (m *mean) value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / float64(m.n)
}

// newRecord returns a record, or nil if the log is not at debug level.
func newRecord(cfg *Config) *record {
	if !cfg.Log.Enabled(context.Background(), slog.LevelDebug) {
		return nil
	}
	r := &record{log: cfg.Log, slowStartMillis: cfg.Balance.SlowStartTime, utilIndex: -1}
	for i, f := range cfg.Balance.Fields {
		if f == balance.FieldUtil {
			r.utilIndex = i
		}
	}
	return r
}

// requestReceived counts a call.
func (r *record) requestReceived() {
	if r != nil {
		r.requests++
	}
}

// endedUnserved counts a balance.Refuse or balance.Fail.
func (r *record) endedUnserved(a *balance.Action) {
	if r != nil {
		r.causes[a.Cause]++
	}
}

// inSlowStart reports whether a server was in slow start at a time by the loop's clock.
func (r *record) inSlowStart(e *Endpoint, now float64) bool {
	return now < e.member.UpSince+r.slowStartMillis
}

// sent counts an attempt at a server at a time by the loop's clock.
func (r *record) sent(e *Endpoint, now float64) {
	if r == nil || e == nil {
		return
	}
	if r.inSlowStart(e, now) {
		r.toWarmingUp++
	} else {
		r.toWarm++
	}
}

// ended counts the end of an attempt.
func (r *record) ended(a *Attempt) {
	if r == nil {
		return
	}
	r.outcomes[a.result.Outcome]++
	if r.utilIndex < 0 || len(a.result.Report) <= r.utilIndex || a.Endpoint == nil {
		return
	}
	if util := float64(a.result.Report[r.utilIndex]); r.inSlowStart(a.Endpoint, a.sentAt+a.latency) {
		r.warmingUpUtil.add(util)
	} else {
		r.warmUtil.add(util)
	}
}

// listed counts an update of the server list.
func (r *record) listed(entries int) {
	if r != nil {
		r.lists++
		r.listEntries += entries
	}
}

// listFailed counts a failure to read the server list.
func (r *record) listFailed() {
	if r != nil {
		r.listFailures++
	}
}

// write writes a line if one is due, and resets the counts.
func (r *record) write(l *Loop) {
	if r == nil || l.now < r.nextAt {
		return
	}
	snap, out := l.balancer.Snapshot(l.now), &r.outcomes
	r.log.Debug("record",
		"up_ms", int64(time.Since(l.started)/time.Millisecond), "asked", r.requests,
		"shed", r.causes[balance.LoadShed], "crowded", r.causes[balance.Overloaded],
		"spent", r.causes[balance.AttemptsExhausted],
		"aged", r.causes[balance.WaitExpired], "late", r.causes[balance.DeadlineExceeded],
		"ok", out[balance.OK], "error", out[balance.Failed], "full", out[balance.Rejected],
		"timed_out", out[balance.TimedOut], "no_connection", out[balance.ConnectFailed], "reset", out[balance.Reset],
		"to_cold", r.toWarmingUp, "to_warm", r.toWarm,
		"lists", r.lists, "lines", r.listEntries, "no_lists", r.listFailures,
		"listed", snap.Listed, "cold", snap.WarmingUp, "budgeted", snap.WithinBudget, "resting", snap.Ejected,
		"util_warm", r.warmUtil.value(), "util_cold", r.warmingUpUtil.value(),
		"steady", snap.SteadyShed, "late_share", snap.LateShare,
		"slowness", snap.LatencyRatio, "quickest", snap.BestLatencyRatio,
		"load", snap.Load, "pace", snap.AnswerRate*1000,
	)
	*r = record{log: r.log, slowStartMillis: r.slowStartMillis, utilIndex: r.utilIndex, nextAt: l.now + recordIntervalMillis}
}
