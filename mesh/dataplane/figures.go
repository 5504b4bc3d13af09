package dataplane

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/telemetry"
	"firplank/mesh/admission"
	"firplank/mesh/attempts"
	"firplank/mesh/dataplane/subscription"
	"firplank/mesh/dissemination"
)

// Bounds of what is logged of requests that fail; all are counted.
const (
	failuresLoggedAtOnce = 5
	failureLogInterval   = 500 * time.Millisecond
	// maxDetailBytes bounds what a last hop's answer adds to the log.
	maxDetailBytes = 60
)

// figures are the counters and gauges of a sidecar. They are safe for concurrent use.
type figures struct {
	registry *telemetry.Registry

	requests [core.Failed + 1]*metrics.Counter // by the kind of the answer
	deserted *metrics.Counter                  // requests whose client left
	causes   [balance.DeadlineExceeded + 1]*metrics.Counter
	attempts [balance.NotSent + 1]*metrics.Counter
	verdicts [admission.Unhealthy + 1]*metrics.Counter // of the last hop
	reasons  [subscription.RelayFound + 1]*metrics.Counter

	outcomeVerdicts map[attempts.Verdict]*metrics.Counter // of the last hop's log, but for Admitted
	lateAtShutdown  *metrics.Counter                      // requests refused as the sidecar shuts down

	version, ageMillis, machines, subscribers, ready atomic.Int64
}

var (
	requestNames = [...]string{core.Served: "served", core.Refused: "refused", core.Failed: "failed"}
	attemptNames = [...]string{
		balance.OK: "ok", balance.Failed: "failed", balance.Rejected: "rejected", balance.TimedOut: "timed_out",
		balance.ConnectFailed: "connect_failed", balance.Reset: "reset", balance.Cancelled: "cancelled", balance.NotSent: "not_sent",
	}
	outcomeNames = map[attempts.Verdict]string{
		attempts.Duplicate: "duplicate", attempts.AlreadyBarred: "barred", attempts.WrongIncarnation: "wrong_incarnation",
		attempts.TooOld: "too_old", attempts.LogFull: "log_full",
	}
	reasonNames = [...]string{0: "none", subscription.Stale: "stale", subscription.GoAway: "dismissed", subscription.RelayFound: "relay"}
)

// newFigures returns the figures of a sidecar, all at 0.
func newFigures() *figures {
	r := telemetry.NewRegistry()
	f := &figures{
		registry:        r,
		deserted:        r.LabelledCounter("requests_total", "outcome", "client_left"),
		lateAtShutdown:  r.Counter("requests_refused_at_shutdown_total"),
		outcomeVerdicts: map[attempts.Verdict]*metrics.Counter{},
	}
	for kind, name := range requestNames {
		f.requests[kind] = r.LabelledCounter("requests_total", "outcome", name)
	}
	for cause := range f.causes {
		f.causes[cause] = r.LabelledCounter("requests_unserved_total", "cause", balance.Cause(cause).String())
	}
	for outcome, name := range attemptNames {
		f.attempts[outcome] = r.LabelledCounter("attempts_total", "outcome", name)
	}
	for verdict := range f.verdicts {
		f.verdicts[verdict] = r.LabelledCounter("last_hop_total", "verdict", admission.Verdict(verdict).String())
	}
	for verdict, name := range outcomeNames {
		f.outcomeVerdicts[verdict] = r.LabelledCounter("last_hop_repeats_total", "verdict", name)
	}
	for reason, name := range reasonNames {
		f.reasons[reason] = r.LabelledCounter("parent_left_total", "reason", name)
	}
	for name, value := range map[string]*atomic.Int64{
		"config_version": &f.version, "config_age_ms": &f.ageMillis, "directory_entries": &f.machines,
		"subscribers": &f.subscribers, "ready": &f.ready,
	} {
		r.Gauge(name, func() float64 { return float64(value.Load()) })
	}
	return f
}

// lastHopDecided counts a decision of the last hop; f may be nil.
func (f *figures) lastHopDecided(outcome attempts.Verdict, verdict admission.Verdict) {
	if f == nil {
		return
	}
	if c := f.outcomeVerdicts[outcome]; c != nil {
		c.Inc()
		return
	}
	f.verdicts[verdict].Inc()
}

// updateFigures brings the gauges up to date. It belongs to the loop.
func (p *Proxy) updateFigures(now time.Duration) {
	f, state := p.figures, p.node.State()
	if cfg := p.cfg.Load(); cfg != nil {
		f.version.Store(int64(cfg.Version))
	}
	f.ageMillis.Store(-1)
	if state.AsOf != dissemination.TimeUnknown {
		f.ageMillis.Store((now - state.AsOf).Milliseconds())
	}
	f.machines.Store(int64(state.Directory.Len()))
	f.subscribers.Store(int64(p.node.Subscribers()))
	f.ready.Store(0)
	if p.ready.Load() && !p.shuttingDown.Load() {
		f.ready.Store(1)
	}
}

// serveFigures serves the figures until close is called, where the port is free.
func (p *Proxy) serveFigures(ip string) (close func()) {
	if ip == "" {
		return func() {}
	}
	close, err := p.figures.registry.Serve(ip, telemetry.ProxyPort)
	if err != nil {
		_ = level.Warn(p.log).Log("msg", "metrics are not served", "error", err)
		return func() {}
	}
	return close
}

// observer implements core.Observer for the exchange of a service: it counts, and logs what explains a request that was
// not served.
type observer struct {
	service string
	log     kitlog.Logger
	figures *figures
	limit   *rate.Sometimes // of the sidecar
}

// AttemptEnded implements core.Observer.
func (o *observer) AttemptEnded(a *core.Attempt) {
	r, _, _ := a.Ended()
	o.figures.attempts[r.Outcome].Inc()
}

// RequestEnded implements core.Observer.
func (o *observer) RequestEnded(c *core.Call, a *core.Answer, tried []*core.Attempt, cause balance.Cause) {
	if a == nil || a.Kind == core.Failed && a.Reason == core.ClientGone {
		o.figures.deserted.Inc()
		return
	}
	o.figures.requests[a.Kind].Inc()
	if a.Kind == core.Served {
		return
	}
	o.figures.causes[cause].Inc()
	o.limit.Do(func() {
		_ = level.Info(o.log).Log("msg", "request not served", "request", c.Message.Trace, "target", c.Message.Target,
			"service", o.service, "edition", fmt.Sprintf("%08x", c.Message.ConfigVersion), "idempotent", c.Message.Safe,
			"answer", requestNames[a.Kind], "cause", cause, "after", time.Since(c.Received).Round(time.Millisecond),
			"remaining_ms", int64(c.Request.Remaining), "attempts", describeAttempts(tried))
	})
}

// describeAttempts describes attempts for the log, in order: "i-0007 rejected 12ms (full), i-0009 in flight".
func describeAttempts(tried []*core.Attempt) string {
	var text strings.Builder
	for i, a := range tried {
		if i > 0 {
			text.WriteString(", ")
		}
		if a.Endpoint != nil {
			text.WriteString(a.Endpoint.Name())
		}
		r, latency, ended := a.Ended()
		if !ended {
			text.WriteString(" in flight")
			continue
		}
		fmt.Fprintf(&text, " %s %v", attemptNames[r.Outcome], latency.Round(time.Millisecond))
		if r.Detail != "" {
			fmt.Fprintf(&text, " (%s)", r.Detail)
		}
	}
	return text.String()
}

// detailOf is the reason in a last hop's rejection, for the log.
func detailOf(body []byte) string {
	return strings.TrimSpace(string(body[:min(len(body), maxDetailBytes)]))
}
