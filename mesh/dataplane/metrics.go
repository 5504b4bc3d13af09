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

// Limits of the log of requests that fail; all of them are counted.
const (
	failureLogFirst    = 5
	failureLogInterval = 500 * time.Millisecond
	// maxDetailBytes bounds the part of a last hop's answer that is logged.
	maxDetailBytes = 60
)

// proxyMetrics are the counters and gauges of a sidecar. They are safe for concurrent use.
type proxyMetrics struct {
	registry *telemetry.Registry

	requestsByOutcome  [core.Failed + 1]*metrics.Counter // by the kind of the answer
	requestsClientLeft *metrics.Counter                  // requests whose client disconnected
	unservedByCause    [balance.DeadlineExceeded + 1]*metrics.Counter
	attemptsByOutcome  [balance.NotSent + 1]*metrics.Counter
	admissionVerdicts  [admission.Unhealthy + 1]*metrics.Counter // of the last hop
	parentLeftByReason [subscription.RelayFound + 1]*metrics.Counter

	attemptVerdicts   map[attempts.Verdict]*metrics.Counter // of the last hop's log of outcomes, except Admitted
	refusedAtShutdown *metrics.Counter                      // requests rejected because the sidecar shuts down

	configVersion, configAgeMillis, directoryEntries, subscribers, ready atomic.Int64
}

var (
	requestOutcomeNames = [...]string{core.Served: "served", core.Refused: "refused", core.Failed: "failed"}
	attemptOutcomeNames = [...]string{
		balance.OK: "ok", balance.Failed: "failed", balance.Rejected: "rejected", balance.TimedOut: "timed_out",
		balance.ConnectFailed: "connect_failed", balance.Reset: "reset", balance.Cancelled: "cancelled", balance.NotSent: "not_sent",
	}
	attemptVerdictNames = map[attempts.Verdict]string{
		attempts.Duplicate: "duplicate", attempts.AlreadyBarred: "barred", attempts.WrongIncarnation: "wrong_incarnation",
		attempts.TooOld: "too_old", attempts.LogFull: "log_full",
	}
	parentLeftReasonNames = [...]string{
		0: "none", subscription.Stale: "stale", subscription.GoAway: "dismissed", subscription.RelayFound: "relay",
	}
)

// newProxyMetrics registers the metrics of a sidecar.
func newProxyMetrics() *proxyMetrics {
	r := telemetry.NewRegistry()
	m := &proxyMetrics{
		registry:           r,
		requestsClientLeft: r.LabelledCounter("requests_total", "outcome", "client_left"),
		refusedAtShutdown:  r.Counter("requests_refused_at_shutdown_total"),
		attemptVerdicts:    map[attempts.Verdict]*metrics.Counter{},
	}
	for kind, name := range requestOutcomeNames {
		m.requestsByOutcome[kind] = r.LabelledCounter("requests_total", "outcome", name)
	}
	for cause := range m.unservedByCause {
		m.unservedByCause[cause] = r.LabelledCounter("requests_unserved_total", "cause", balance.Cause(cause).String())
	}
	for outcome, name := range attemptOutcomeNames {
		m.attemptsByOutcome[outcome] = r.LabelledCounter("attempts_total", "outcome", name)
	}
	for verdict := range m.admissionVerdicts {
		m.admissionVerdicts[verdict] = r.LabelledCounter("last_hop_total", "verdict", admission.Verdict(verdict).String())
	}
	for verdict, name := range attemptVerdictNames {
		m.attemptVerdicts[verdict] = r.LabelledCounter("last_hop_repeats_total", "verdict", name)
	}
	for reason, name := range parentLeftReasonNames {
		m.parentLeftByReason[reason] = r.LabelledCounter("parent_left_total", "reason", name)
	}
	for name, value := range map[string]*atomic.Int64{
		"config_version": &m.configVersion, "config_age_ms": &m.configAgeMillis, "directory_entries": &m.directoryEntries,
		"subscribers": &m.subscribers, "ready": &m.ready,
	} {
		r.Gauge(name, func() float64 { return float64(value.Load()) })
	}
	return m
}

// recordLastHopDecision counts a decision of the last hop; m may be nil.
func (m *proxyMetrics) recordLastHopDecision(outcome attempts.Verdict, verdict admission.Verdict) {
	if m == nil {
		return
	}
	if c := m.attemptVerdicts[outcome]; c != nil {
		c.Inc()
		return
	}
	m.admissionVerdicts[verdict].Inc()
}

// updateMetrics sets the gauges. It is called by the loop.
func (p *Proxy) updateMetrics(now time.Duration) {
	m, state := p.metrics, p.node.State()
	m.configVersion.Store(-1)
	if cfg := p.cfg.Load(); cfg != nil {
		m.configVersion.Store(int64(cfg.Version.Number()))
	}
	m.configAgeMillis.Store(-1)
	if state.AsOf != dissemination.TimeUnknown {
		m.configAgeMillis.Store((now - state.AsOf).Milliseconds())
	}
	m.directoryEntries.Store(int64(state.Directory.Len()))
	m.subscribers.Store(int64(p.node.Subscribers()))
	m.ready.Store(0)
	if p.ready.Load() && !p.shuttingDown.Load() {
		m.ready.Store(1)
	}
}

// serveMetrics serves the metrics on ip until close is called. An error, such as a port in use, is only logged.
func (p *Proxy) serveMetrics(ip string) (close func()) {
	if ip == "" {
		return func() {}
	}
	close, err := p.metrics.registry.Serve(ip, telemetry.ProxyPort)
	if err != nil {
		_ = level.Warn(p.log).Log("msg", "metrics are not served", "error", err)
		return func() {}
	}
	return close
}

// observer implements core.Observer for the exchange of a service: it counts requests and attempts, and logs those
// requests that were not served.
type observer struct {
	service  string
	log      kitlog.Logger
	metrics  *proxyMetrics
	logLimit *rate.Sometimes // shared by the whole sidecar
}

// AttemptEnded implements core.Observer.
func (o *observer) AttemptEnded(a *core.Attempt) {
	r, _, _ := a.Ended()
	o.metrics.attemptsByOutcome[r.Outcome].Inc()
}

// RequestEnded implements core.Observer.
func (o *observer) RequestEnded(c *core.Call, a *core.Answer, tried []*core.Attempt, cause balance.Cause) {
	if a == nil || a.Kind == core.Failed && a.Reason == core.ClientGone {
		o.metrics.requestsClientLeft.Inc()
		return
	}
	o.metrics.requestsByOutcome[a.Kind].Inc()
	if a.Kind == core.Served {
		return
	}
	o.metrics.unservedByCause[cause].Inc()
	o.logLimit.Do(func() {
		_ = level.Info(o.log).Log("msg", "request not served", "request", c.Message.Trace, "target", c.Message.Target,
			"service", o.service, "edition", fmt.Sprintf("%08x", c.Message.ConfigVersion), "idempotent", c.Message.Safe,
			"answer", requestOutcomeNames[a.Kind], "cause", cause, "after", time.Since(c.Received).Round(time.Millisecond),
			"remaining_ms", int64(c.Request.Remaining), "attempts", describeAttempts(tried))
	})
}

// describeAttempts formats attempts for the log, in order: "i-0007 rejected 12ms (full), i-0009 in flight".
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
		fmt.Fprintf(&text, " %s %v", attemptOutcomeNames[r.Outcome], latency.Round(time.Millisecond))
		if r.Detail != "" {
			fmt.Fprintf(&text, " (%s)", r.Detail)
		}
	}
	return text.String()
}

// rejectionDetail returns the reason in the body of a last hop's rejection, for the log.
func rejectionDetail(body []byte) string {
	return strings.TrimSpace(string(body[:min(len(body), maxDetailBytes)]))
}
