package dataplane

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"firplank/balance"
	"firplank/internal/bodypipe"
	"firplank/internal/core"
	"firplank/internal/invariant"
	"firplank/mesh/admission"
	"firplank/mesh/attempts"
	"firplank/mesh/dataplane/lasthop"
	"firplank/mesh/directory"
)

// checkConnectTimeout bounds the wait for a connection in checkServer; the server is on the same machine.
const checkConnectTimeout = 250 * time.Millisecond

// lastHop is the incoming request path: it delivers requests that other sidecars forward to the local server, if the
// gate admits them, and answers queries about attempts whose connection broke. It implements core.Exchange, and is
// safe for concurrent use.
type lastHop struct {
	ctx                 context.Context
	log                 kitlog.Logger
	now                 func() time.Duration
	onServerChange      func()         // notifies the loop that the server's state has changed
	onUnconfirmedServer func()         // called when a health check is needed to confirm the server
	pool                upstream       // of connections to the server
	server              *core.Endpoint // the local server

	lostResponseLogLimit rate.Sometimes // limits the log of requests without a response
	metrics              *proxyMetrics  // nil: nothing is counted
	invariants           invariant.Reporter

	mu            sync.Mutex // guards what follows
	gate          lasthop.Gate[*core.Call, *core.Answer]
	running       map[*lastHopAttempt]struct{} // started at the server and not yet ended
	openStreams   int                          // responses of the server that are still being received
	guard         *lasthop.InvariantChecker
	rolloutCounts rolloutCounts
}

// lastHopAttempt is a request at the last hop, and its attempt at the local server once it has started.
type lastHopAttempt struct {
	attempt *core.Attempt
	request lasthop.Request
}

// newLastHop returns the last hop of the server at addr. The pool has to be set before the first request.
func newLastHop(
	ctx context.Context, log kitlog.Logger, now func() time.Duration, addr string, gate lasthop.Gate[*core.Call, *core.Answer],
) *lastHop {
	return &lastHop{
		ctx:                  ctx,
		log:                  log,
		now:                  now,
		onServerChange:       func() {},
		onUnconfirmedServer:  func() {},
		server:               core.NewEndpoint("server", addr),
		lostResponseLogLimit: rate.Sometimes{First: 2, Interval: time.Second},
		gate:                 gate,
		running:              map[*lastHopAttempt]struct{}{},
		invariants:           invariant.Ignored{},
		guard:                lasthop.NewInvariantChecker(0),
	}
}

// Ready implements core.Exchange.
func (l *lastHop) Ready() bool { return true }

// Done implements core.Exchange.
func (l *lastHop) Done() <-chan struct{} { return l.ctx.Done() }

// Submit implements core.Exchange.
func (l *lastHop) Submit(c *core.Call) {
	header := http.Header(c.Message.Meta)
	if text := header.Get(queryHeader); text != "" {
		l.answerQuery(c, text)
		return
	}
	id, _ := parseAttemptID(header.Get(attemptHeader)) // without an ID the attempt's outcome is not logged
	t := &lastHopAttempt{request: lasthop.Request{
		ServerID:   c.Message.Object,
		Attempt:    id,
		Idempotent: c.Message.Safe,
		Bulk:       c.Message.Class == bulkClass,
		Rank:       c.Message.Priority,
		Forwarded:  c.Message.ForwardCount,
	}}
	if rejection := l.begin(c, t); rejection != nil {
		c.Client.Answer(c, rejection)
	}
}

// begin starts a request at the server, or returns the answer that rejects it. It adds the attempt to running and to
// the pool under one lock, so that every attempt in running can be cancelled.
func (l *lastHop) begin(c *core.Call, t *lastHopAttempt) *core.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	decision := l.gate.Begin(now, t.request)
	l.metrics.recordLastHopDecision(decision.Attempt, decision.Admission)
	if !decision.Admitted() {
		return l.rejection(decision)
	}
	l.checkStartInvariants(now, c, t)
	remaining := time.Duration(c.Request.Remaining * float64(time.Millisecond))
	deadline := c.Received.Add(remaining)
	if c.Message.Stream != nil { // the deadline of a streamed body counts from its last byte
		c.Message.Remaining, deadline = remaining, c.Received.Add(core.MaxUpload)
	}
	t.attempt = core.NewAttempt(l.server, &c.Message, deadline, func(r core.Result) { l.finish(c, t, r) })
	c.State.Store(t)
	l.running[t] = struct{}{}
	l.pool.Begin(t.attempt)
	return nil
}

// checkStartInvariants reports invariants that a request would violate by starting at the server. The caller holds mu.
func (l *lastHop) checkStartInvariants(now time.Duration, c *core.Call, t *lastHopAttempt) {
	if !t.request.Idempotent && l.guard.RecordStart(c.Message.Trace) {
		l.invariants.Violated(invariant.StartedOnce, "request", c.Message.Trace, "server", t.request.ServerID,
			"attempt", formatAttemptID(t.request.Attempt))
	}
	if closedFor := l.guard.TimePastDrain(now, t.request.ServerID); closedFor > 0 {
		l.invariants.Violated(invariant.ClosingServerNotSent, "request", c.Message.Trace, "server", t.request.ServerID, "late", closedFor)
	}
}

// rejection returns the answer to a request that the gate did not admit. The caller holds mu.
func (l *lastHop) rejection(d lasthop.Decision) *core.Answer {
	switch d.Attempt {
	case attempts.Admitted:
		return ownAnswer(http.StatusServiceUnavailable, attempts.NotReceived, d.Admission.String(), 0)
	case attempts.Duplicate:
		return ownAnswer(http.StatusBadGateway, attempts.Indeterminate, "it has begun before", 0)
	case attempts.WrongIncarnation:
		a := ownAnswer(http.StatusServiceUnavailable, attempts.NotReceived, "it was sent to another incarnation", 0)
		a.Meta[incarnationHeader] = []string{formatIncarnation(l.gate.Outcomes.Incarnation())}
		return a
	}
	return ownAnswer(http.StatusServiceUnavailable, attempts.NotReceived, "it is barred, or too old", 0)
}

// Disconnect implements core.Exchange: an idempotent request is cancelled when its client disconnects.
func (l *lastHop) Disconnect(c *core.Call) {
	if t, ok := c.State.Load().(*lastHopAttempt); ok && c.Message.Safe {
		l.pool.Cancel(t.attempt)
	}
}

// finish answers the sending sidecar and the queries that wait for the outcome of the same attempt.
func (l *lastHop) finish(c *core.Call, t *lastHopAttempt, r core.Result) {
	answer := lastHopAnswer(r)
	if answer.Stream != nil {
		l.trackStream(answer.Stream)
	}
	l.mu.Lock()
	done := l.gate.Finish(l.now(), t.request, gateResult(r, answer))
	if neverStarted(r) || r.Outcome == balance.Rejected {
		l.guard.RecordNotStarted(c.Message.Trace)
	}
	delete(l.running, t)
	l.rolloutCounts.record(uint32(c.Request.Key), r, time.Since(c.Received), l.gate.Admission.WarmingUp(l.now()))
	l.mu.Unlock()
	if done.ServerChanged {
		l.logServerState("response or refused connection")
		l.onServerChange()
	}
	if done.HealthChanged {
		_ = level.Info(l.log).Log("msg", "server health changed", "server", t.request.ServerID, "unhealthy", done.Unhealthy)
	}
	l.logLostResponse(c, t, r)
	c.Client.Answer(c, answer)
	for _, query := range done.WaitingQueries {
		query.Client.Answer(query, queryAnswer(answer, r))
	}
}

// trackStream counts a streamed response of the server in openStreams until it ends.
func (l *lastHop) trackStream(body *bodypipe.Pipe) {
	addStreams := func(n int) {
		l.mu.Lock()
		l.openStreams += n
		l.mu.Unlock()
	}
	addStreams(1)
	body.OnEnd(func(bool) { addStreams(-1) })
}

// gateResult returns what the gate records for a request that ended with r and whose sender gets answer.
func gateResult(r core.Result, answer *core.Answer) lasthop.Result[*core.Answer] {
	result := lasthop.Result[*core.Answer]{
		NotStarted: neverStarted(r),
		Refused:    r.Outcome == balance.ConnectFailed,
		Responded:  r.Answer != nil,
		Health:     admissionResult(r.Outcome),
	}
	if answer.Stream == nil {
		result.Response, result.CacheBytes = answer, answerSize(answer)
	}
	if a := r.Answer; a != nil {
		result.BodyBytes = len(a.Body)
		if a.Stream != nil {
			result.BodyBytes += int(max(0, a.Stream.Length()))
		}
	}
	return result
}

// admissionResult maps an outcome to its effect on the local server's health.
func admissionResult(r balance.Result) admission.Result {
	switch r {
	case balance.OK:
		return admission.Success
	case balance.Failed, balance.Reset:
		return admission.Failure
	case balance.Rejected:
		return admission.Rejection
	}
	return admission.Neutral
}

// logLostResponse logs some of the requests that may have run and have no response. The non-idempotent ones among them fail, as they are
// not retried.
func (l *lastHop) logLostResponse(c *core.Call, t *lastHopAttempt, r core.Result) {
	if r.Answer != nil || r.Outcome != balance.Reset && r.Outcome != balance.TimedOut {
		return
	}
	l.lostResponseLogLimit.Do(func() {
		reason := "the connection ended, or the response is not this server's"
		if r.Outcome == balance.TimedOut {
			reason = "deadline exceeded"
		}
		_ = level.Info(l.log).Log("msg", "request failed without response", "server", t.request.ServerID, "request", c.Message.Trace,
			"idempotent", c.Message.Safe, "reason", reason, "after", time.Since(c.Received).Round(time.Millisecond))
	})
}

// tick applies timeouts. It reports whether they have changed the server's state, and whether checkServer is due.
func (l *lastHop) tick(now time.Duration) (changed, checkDue bool) {
	l.mu.Lock()
	changed, checkDue = l.gate.Admission.Tick(now), l.gate.Admission.CheckDue(now)
	evicted := l.gate.Expire(now)
	l.mu.Unlock()
	for _, query := range evicted {
		query.Client.Answer(query, unknownOutcomeAnswer())
	}
	return changed, checkDue
}

// checkServer checks whether a server that has requests in flight and responds to none still accepts connections. If it refuses them, its
// requests are cancelled, and the senders retry the idempotent ones elsewhere while time remains. A check that times out only shows that
// the accept queue is full, which happens to a busy server too; whether that server is up is decided by its heartbeats.
func (l *lastHop) checkServer() {
	c, err := net.DialTimeout("tcp", l.server.Addr(), checkConnectTimeout)
	if err == nil {
		_ = c.Close() // nothing was written to it
		return
	}
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() { // whichever of the dialer's deadlines came first
		return
	}
	l.mu.Lock()
	changed := l.gate.Admission.ConnectionRefused()
	running := slices.Collect(maps.Keys(l.running))
	l.mu.Unlock()
	for _, t := range running {
		if t.attempt.TryCancel() {
			l.pool.Cancel(t.attempt)
		}
	}
	if changed {
		l.logServerState("connection refused")
		l.onServerChange()
	}
}

// logServerState logs the state of the local server after a change, and the cause of the change.
func (l *lastHop) logServerState(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var e directory.Entry
	l.gate.Admission.FillEntry(&e)
	_ = level.Info(l.log).Log("msg", "server state changed", "server", e.Server, "state", e.State, "by", cause)
}

// handleHeartbeat handles a server's heartbeat. It reports whether the server's state has changed.
func (l *lastHop) handleHeartbeat(h admission.Heartbeat) bool {
	l.mu.Lock()
	if h.Closing {
		l.guard.RecordClosing(l.now(), h.ServerID)
	}
	changed := l.gate.Admission.HandleHeartbeat(l.now(), h)
	awaitsConfirmation := l.gate.Admission.AwaitsConfirmation()
	l.mu.Unlock()
	if awaitsConfirmation {
		l.onUnconfirmedServer()
	}
	return changed
}

// serverLeft records that a server has deregistered. It reports whether the server's state has changed.
func (l *lastHop) serverLeft(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.guard.RecordClosing(l.now(), id)
	return l.gate.Admission.HandleDeregistration(id)
}

// serversShutDown records that servers have begun to shut down, as an earlier process has acknowledged. It reports whether the local
// server's state has changed.
func (l *lastHop) serversShutDown(ids []string) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.guard.RecordClosing(l.now(), id)
		changed = l.gate.Admission.HandleTombstone(id) || changed
	}
	return changed
}

// serverConfirmed reports whether the local server is known, so that a health check would add nothing.
func (l *lastHop) serverConfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Admission.HasServer() && !l.gate.Admission.AwaitsConfirmation()
}

// restore restores the server's state from the entry that an earlier process announced, unless a server has sent a heartbeat since.
func (l *lastHop) restore(now time.Duration, e *directory.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Admission.Restore(now, e)
}

// identify records a server that was identified by its health check, unless a server has sent a heartbeat since.
func (l *lastHop) identify(now time.Duration, e *directory.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Admission.Identify(now, e)
}

// fillEntry writes the server's state into this sidecar's directory entry.
func (l *lastHop) fillEntry(e *directory.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Admission.FillEntry(e)
}

// setIncarnation changes this sidecar's incarnation. Attempts that were sent to the previous incarnation do not start any more.
func (l *lastHop) setIncarnation(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Outcomes.SetIncarnation(incarnation)
}
