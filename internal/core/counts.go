package core

import (
	"time"

	"firplank/balance"
	"firplank/fleet"
	"firplank/overload"
	"firplank/report"
)

// reportOutcomes maps the result of an attempt to its counter in reports.
var reportOutcomes = [...]report.AttemptOutcome{
	balance.OK:            report.OK,
	balance.Failed:        report.Error,
	balance.Rejected:      report.Rejected,
	balance.TimedOut:      report.TimedOut,
	balance.ConnectFailed: report.NotConnected,
	balance.Reset:         report.Reset,
	balance.Cancelled:     report.Cancelled,
	balance.NotSent:       report.NotSent,
}

// reportKinds maps the kind of an answer to its counter in reports.
var reportKinds = map[Kind]report.RequestOutcome{Served: report.Served, Refused: report.Refused, Failed: report.Failed}

// countEnd counts the end of a request. A request with a streamed answer ends when the stream does.
func (l *Loop) countEnd(r *request, a *Answer) {
	counts, class, tenant, received := l.cfg.Counts, r.class, r.tenant, r.call.Received
	if a != nil && r.countedInFleet && a.Stream == nil {
		l.cfg.FleetQuota.End(class, tenant, fleetCounter(a))
	}
	switch {
	case a == nil:
	case a.Stream == nil:
		counts.RequestEnded(class, tenant, reportKinds[a.Kind], time.Since(received))
	default:
		a.Stream.OnEnd(func(complete bool) {
			kind, counter := report.Failed, fleet.Failed
			if complete {
				kind, counter = report.Served, fleet.Served
			}
			counts.RequestEnded(class, tenant, kind, time.Since(received))
			if r.countedInFleet {
				l.cfg.FleetQuota.End(class, tenant, counter)
			}
		})
	}
}

// fleetCounter returns the counter of package fleet for an answer.
func fleetCounter(a *Answer) int {
	switch {
	case a.Kind == Served:
		return fleet.Served
	case a.Kind == Failed:
		return fleet.Failed
	case a.Reason == RateLimited:
		return fleet.RefusedBudget
	case a.Reason == NotServed:
		return fleet.RefusedCapacity
	}
	return fleet.RefusedOther
}

// overloadEnding returns what an answer shows to the limiter of concurrent requests: whether the servers have capacity
// for more.
func overloadEnding(a *Answer) overload.Outcome {
	switch {
	case a != nil && a.Kind == Served:
		return overload.Answered
	case a != nil && a.Kind == Refused && a.Reason == NotServed:
		return overload.NoCapacity
	}
	return overload.Inconclusive
}
