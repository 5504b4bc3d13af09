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

// checkConnectTimeout bounds the wait for a connection to a server that is checked: it is on the same machine.
const checkConnectTimeout = 250 * time.Millisecond

// lastHop is the incoming request path: it passes what other sidecars forward to the local server, as far as the gate
// admits it, and answers their queries about attempts whose connection broke. It implements core.Exchange, and is safe
// for concurrent use.
type lastHop struct {
	ctx     context.Context
	log     kitlog.Logger
	now     func() time.Duration
	changed func()         // notifies the loop of a change of the server's state
	doubted func()         // called where a health check would confirm the server
	pool    upstream       // of connections to the server
	server  *core.Endpoint // the local server

	lostResponses rate.Sometimes // bounds what is logged of requests without a response
	figures       *figures       // nil: nothing is counted
	invariants    invariant.Reporter

	mu      sync.Mutex // guards what follows
	gate    lasthop.Gate[*core.Call, *core.Answer]
	running map[*lastHopAttempt]struct{} // begun at the server, and not ended
	streams int                          // answers of the server that are still coming
	guard   *lasthop.InvariantChecker
	trial   trial
}

// lastHopAttempt is a request that has begun at the local server.
type lastHopAttempt struct {
	attempt *core.Attempt
	request lasthop.Request
}

// newLastHop returns the last hop of the server at an address. Its pool has to be set before the first request.
func newLastHop(
	ctx context.Context, log kitlog.Logger, now func() time.Duration, addr string, gate lasthop.Gate[*core.Call, *core.Answer],
) *lastHop {
	return &lastHop{
		ctx:           ctx,
		log:           log,
		now:           now,
		changed:       func() {},
		doubted:       func() {},
		server:        core.NewEndpoint("server", addr),
		lostResponses: rate.Sometimes{First: 2, Interval: time.Second},
		gate:          gate,
		running:       map[*lastHopAttempt]struct{}{},
		invariants:    invariant.Ignored{},
		guard:         lasthop.NewInvariantChecker(0),
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
	id, _ := parseAttemptID(header.Get(attemptHeader)) // without one nothing is logged
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

// begin begins a request at the server, or returns the answer that rejects it. It enters running and the pool under one
// lock: whatever is in running can be cancelled.
func (l *lastHop) begin(c *core.Call, t *lastHopAttempt) *core.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	d := l.gate.Begin(now, t.request)
	l.figures.lastHopDecided(d.Attempt, d.Admission)
	if !d.Admitted() {
		return l.rejection(d)
	}
	l.checkBegin(now, c, t)
	remaining := time.Duration(c.Request.Remaining * float64(time.Millisecond))
	cut := c.Received.Add(remaining)
	if c.Message.Stream != nil { // its time counts from its last byte
		c.Message.Remaining, cut = remaining, c.Received.Add(core.MaxUpload)
	}
	t.attempt = core.NewAttempt(l.server, &c.Message, cut, func(r core.Result) { l.finish(c, t, r) })
	c.State.Store(t)
	l.running[t] = struct{}{}
	l.pool.Begin(t.attempt)
	return nil
}

// checkBegin checks the invariants of a request that is handed to the server. The caller holds mu.
func (l *lastHop) checkBegin(now time.Duration, c *core.Call, t *lastHopAttempt) {
	if !t.request.Idempotent && l.guard.RecordStart(c.Message.Trace) {
		l.invariants.Violated(invariant.StartedOnce, "request", c.Message.Trace, "server", t.request.ServerID,
			"attempt", formatAttemptID(t.request.Attempt))
	}
	if closedFor := l.guard.TimePastDrain(now, t.request.ServerID); closedFor > 0 {
		l.invariants.Violated(invariant.ClosingServerNotSent, "request", c.Message.Trace, "server", t.request.ServerID, "late", closedFor)
	}
}

// rejection is the answer to a request that does not begin. The caller holds mu.
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

// Disconnect implements core.Exchange: an idempotent request is cancelled as its client leaves.
func (l *lastHop) Disconnect(c *core.Call) {
	if t, ok := c.State.Load().(*lastHopAttempt); ok && c.Message.Safe {
		l.pool.Cancel(t.attempt)
	}
}

// finish answers the sending sidecar, and the queries that wait for the same answer.
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
	l.trial.record(uint32(c.Request.Key), r, time.Since(c.Received), l.gate.Admission.WarmingUp(l.now()))
	l.mu.Unlock()
	if done.ServerChanged {
		l.logServerState("response or refused connection")
		l.changed()
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

// trackStream counts an answer of the server's until its end.
func (l *lastHop) trackStream(body *bodypipe.Pipe) {
	count := func(n int) {
		l.mu.Lock()
		l.streams += n
		l.mu.Unlock()
	}
	count(1)
	body.OnEnd(func(bool) { count(-1) })
}

// gateResult is what the gate records of a request that has ended with r, and whose sender gets answer.
func gateResult(r core.Result, answer *core.Answer) lasthop.Result[*core.Answer] {
	result := lasthop.Result[*core.Answer]{
		NotStarted: neverStarted(r),
		Refused:    r.Outcome == balance.ConnectFailed,
		Responded:  r.Answer != nil,
		Health:     serverResultOf(r.Outcome),
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

// serverResultOf is what an outcome means for the local server's health.
func serverResultOf(r balance.Result) admission.Result {
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

// logLostResponse logs some of the requests that may have run and have no response. Those that must not run twice fail by that.
func (l *lastHop) logLostResponse(c *core.Call, t *lastHopAttempt, r core.Result) {
	if r.Answer != nil || r.Outcome != balance.Reset && r.Outcome != balance.TimedOut {
		return
	}
	l.lostResponses.Do(func() {
		reason := "the connection ended, or the response is not this server's"
		if r.Outcome == balance.TimedOut {
			reason = "deadline exceeded"
		}
		_ = level.Info(l.log).Log("msg", "request failed without response", "server", t.request.ServerID, "request", c.Message.Trace,
			"idempotent", c.Message.Safe, "reason", reason, "after", time.Since(c.Received).Round(time.Millisecond))
	})
}

// tick lets time pass. It reports whether the server's state has changed by it, and whether the server is to be checked.
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

// checkServer finds out whether a server that holds requests and responds to none accepts connections. If it refuses them, its requests are
// cancelled: senders retry the idempotent ones elsewhere while they have time. A check that times out shows no more than that its queue of
// connections is full, as that of a busy server may be; its heartbeats tell whether it is up.
func (l *lastHop) checkServer() {
	c, err := net.DialTimeout("tcp", l.server.Addr(), checkConnectTimeout)
	if err == nil {
		_ = c.Close() // nothing was written to it
		return
	}
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() { // whichever of the dialer's deadlines was first
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
		l.logServerState("no connection is accepted")
		l.changed()
	}
}

// logServerState logs the state of the local server after a change, and what it was changed by.
func (l *lastHop) logServerState(by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var e directory.Entry
	l.gate.Admission.FillEntry(&e)
	_ = level.Info(l.log).Log("msg", "server state changed", "server", e.Server, "state", e.State, "by", by)
}

// handleHeartbeat handles a server's heartbeat. It reports whether that brought a change.
func (l *lastHop) handleHeartbeat(h admission.Heartbeat) bool {
	l.mu.Lock()
	if h.Closing {
		l.guard.RecordClosing(l.now(), h.ServerID)
	}
	changed := l.gate.Admission.HandleHeartbeat(l.now(), h)
	awaits := l.gate.Admission.AwaitsConfirmation()
	l.mu.Unlock()
	if awaits {
		l.doubted()
	}
	return changed
}

// serverLeft records that a server has ended. It reports whether that brought a change.
func (l *lastHop) serverLeft(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.guard.RecordClosing(l.now(), id)
	return l.gate.Admission.HandleDeregistration(id)
}

// serverConfirmed reports whether it is known which server is local, and a health check would show no more.
func (l *lastHop) serverConfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Admission.HasServer() && !l.gate.Admission.AwaitsConfirmation()
}

// restore takes over the entry that another process announced of the server, unless a server has sent a heartbeat since.
func (l *lastHop) restore(now time.Duration, e *directory.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Admission.Restore(now, e)
}

// identify takes over a server that only its health check has shown, unless a server has sent a heartbeat since.
func (l *lastHop) identify(now time.Duration, e *directory.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Admission.Identify(now, e)
}

// fillEntry writes what the directory announces of the server into this sidecar's entry.
func (l *lastHop) fillEntry(e *directory.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Admission.FillEntry(e)
}

// setIncarnation gives this sidecar another incarnation: attempts sent to the one before do not start any more.
func (l *lastHop) setIncarnation(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Outcomes.SetIncarnation(incarnation)
}
