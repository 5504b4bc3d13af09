// Package http makes attempts at servers that speak HTTP/1.1. It pools connections, writes each request at once, reads
// the response within limits, and determines from how the attempt ended whether the request may have run. The choice of
// the server and of retries is made elsewhere, and clients are unknown to it.
//
// Start reading at Backend. upstream.go makes attempts over the connections of pool.go, encodes them with encode.go and
// reads responses with response.go; outcome.go determines the outcomes.
package http

import (
	"context"
	"net/http"
	"sync"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/httpwire"
)

const (
	loadHeader     = "Endpoint-Load-Metrics"
	neverRanHeader = "X-Never-Ran"
	probeGrace     = 250 * time.Millisecond // in addition to the connect time-out
)

// Config configures a Backend.
type Config struct {
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // after which an idle connection is closed
	ReuseDelay     time.Duration // between two requests on a connection; bytes that arrive within it reveal a surplus response
	MaxConns       int           // to all servers
	ReportFields   []string      // values of a load report, in the order of the module
	ProbeForReport bool          // probes request the load report
	OnLateData     func(*core.Endpoint)
	// PeerTimeout is how long data on a connection may remain unacknowledged before the connection counts as failed: the
	// machine at the other side has no power or is partitioned. 0: unlimited.
	PeerTimeout time.Duration
	// MaxUnsafeIdle is how long a connection may have been idle to carry a request that must not run twice. Servers may
	// drop idle connections without notice, and after a reset it is unknown whether the request ran. 0: unlimited.
	MaxUnsafeIdle time.Duration
	// OnEnd, if set, is called with the result of each attempt before the exchange. If it returns true, it ends the
	// attempt itself, later.
	OnEnd func(*core.Attempt, core.Result) (later bool)
	// Dialect encodes requests and evaluates responses. Nil: the protocol of the platform of package settings.
	Dialect Dialect
}

// Dialect is a protocol over HTTP/1.1 other than that of the platform of package settings.
type Dialect interface {
	// AppendHeaders appends the header lines that the dialect adds to a request, each with its CR LF. remaining is the
	// time left for the attempt.
	AppendHeaders(dst []byte, a *core.Attempt, remaining time.Duration) []byte
	// ForwardsHeader reports whether a header field of the message is forwarded.
	ForwardsHeader(name string) bool
	// Evaluate returns the result that a complete response proves. It takes ownership of the header.
	Evaluate(a *core.Attempt, status int, header http.Header, body []byte) core.Result
	// Matches reports whether a response belongs to an attempt. A response that does not is dropped, and the next one is
	// read.
	Matches(a *core.Attempt, header http.Header) bool
	// Streamable reports whether the body of a response may be forwarded as it arrives.
	Streamable(a *core.Attempt, status int, header http.Header) bool
}

// attempt is a core.Attempt that can be cancelled.
type attempt struct {
	*core.Attempt
	ctx    context.Context
	cancel context.CancelFunc
	// heldFor is how long the first bytes of the response were buffered before a goroutine took over.
	heldFor time.Duration
}

// Backend makes attempts over HTTP/1.1. It implements core.Backend and is safe for concurrent use.
type Backend struct {
	up      *upstream
	ctx     context.Context
	running sync.WaitGroup // attempts and probes
}

// New returns a backend whose attempts end when ctx does.
func New(ctx context.Context, cfg Config) *Backend {
	p := newPool(cfg.ConnectTimeout, cfg.IdleTimeout, cfg.ReuseDelay, cfg.MaxConns)
	p.peerTimeout, p.maxUnsafeIdle = cfg.PeerTimeout, cfg.MaxUnsafeIdle
	if cfg.OnLateData != nil {
		p.onLateData = cfg.OnLateData
	}
	u := &upstream{pool: p, reportFields: cfg.ReportFields, probePath: "/alive", dialect: cfg.Dialect, onEnd: cfg.OnEnd}
	if cfg.ProbeForReport {
		u.probePath = "/metrics/load"
	}
	return &Backend{up: u, ctx: ctx}
}

// Begin implements core.Backend.
func (b *Backend) Begin(a *core.Attempt) {
	t := &attempt{Attempt: a}
	t.ctx, t.cancel = context.WithCancel(b.ctx)
	a.State = t
	b.running.Go(func() {
		defer t.cancel()
		b.up.end(a, b.up.perform(t))
	})
}

// Cancel implements core.Backend.
func (b *Backend) Cancel(a *core.Attempt) { a.State.(*attempt).cancel() }

// Probe implements core.Backend.
func (b *Backend) Probe(e *core.Endpoint, done func(core.Result)) {
	b.running.Go(func() { done(b.up.sendProbe(b.ctx, e)) })
}

// CloseIdle implements core.Backend.
func (b *Backend) CloseIdle(e *core.Endpoint) { b.up.pool.closeIdle(e) }

// Evict closes the connection that has been idle for longest, and reports whether there was one.
func (b *Backend) Evict() bool { return b.up.pool.evict() }

// Open returns the number of connections.
func (b *Backend) Open() int {
	b.up.pool.mu.Lock()
	defer b.up.pool.mu.Unlock()
	return b.up.pool.open
}

// Resize changes the connection limit, and closes idle connections beyond it.
func (b *Backend) Resize(n int) { b.up.pool.resize(max(1, n)) }

// Run checks and closes idle connections until ctx ends.
func (b *Backend) Run(ctx context.Context) { b.up.pool.run(ctx) }

// Close waits for attempts and probes, after the context of New has ended, and closes all connections.
func (b *Backend) Close() {
	b.running.Wait()
	b.up.pool.closeAll()
}

// upstream makes attempts and probes over its own connection pool. http.Transport is unsuitable: it retries a request by
// itself if a reused connection turns out to be closed, and does not report whether the last byte was written, which
// decides whether a request may have run.
type upstream struct {
	pool         *pool
	reportFields []string
	probePath    string // path of the request

	dialect Dialect
	onEnd   func(*core.Attempt, core.Result) bool
}

// end ends an attempt, unless OnEnd does so later.
func (u *upstream) end(a *core.Attempt, r core.Result) {
	if u.onEnd == nil || !u.onEnd(a, r) {
		a.End(r)
	}
}

// perform makes an attempt and returns its result.
func (u *upstream) perform(a *attempt) core.Result {
	c, err := u.pool.get(a.ctx, a.Endpoint, a.Deadline, u.pool.maxIdle(a.Message))
	if err != nil {
		return core.Result{Outcome: u.connectOutcome(a, err)}
	}
	// Connecting may have taken until the server stopped accepting requests or the deadline passed. Nothing was sent
	// yet.
	if a.Obsolete() || a.ctx.Err() != nil {
		u.pool.put(c)
		return core.Result{Outcome: balance.NotSent}
	}
	r, reusable := u.exchange(a, c)
	u.pool.returnConn(c, reusable)
	return r
}

// exchange writes the request and reads the response. Cancelling the attempt interrupts both.
func (u *upstream) exchange(a *attempt, c *conn) (r core.Result, reusable bool) {
	request, err := u.encode(a.Attempt)
	if err != nil {
		return core.Result{Outcome: balance.NotSent}, false
	}
	_ = c.SetDeadline(a.Deadline) // fails only on a closed connection, and so does the next call
	// Fails only on a closed connection, and so does the next call.
	stop := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() { reusable = stop() && reusable }()

	// A single write, so that the number of bytes accepted by the kernel tells how much was sent.
	if n, err := c.Write(request); n < len(request) {
		return u.incompleteRequest(a, c, n, err), false
	}
	if a.Message.Stream != nil {
		switch end, sent := u.upload(a, c); end {
		case uploadInterrupted:
			return u.readEarlyResponse(a, c), false
		case uploadFailed:
			return core.Result{Outcome: u.unansweredOutcome(sent, endedByCancel)}, false
		case uploadComplete:
		}
	}
	a.Written()
	return u.receive(a, c)
}

// incompleteRequest returns the result of a request of which n bytes were written before err.
func (u *upstream) incompleteRequest(a *attempt, c *conn, n int, err error) core.Result {
	why := a.endingBy(err)
	switch {
	case n == 0:
		return core.Result{Outcome: u.unansweredOutcome(nothingSent, why)}
	case why == endedByConnection && u.dialect != nil:
		return u.readEarlyResponse(a, c)
	}
	return core.Result{Outcome: u.unansweredOutcome(partlySent, why)}
}

// receive reads the response to a request that was written completely.
func (u *upstream) receive(a *attempt, c *conn) (r core.Result, reusable bool) {
	maxBodyBytes := int64(httpwire.MaxBufferedBody)
	if a.Message.AcceptsStream {
		maxBodyBytes = httpwire.MaxStreamedBody
	}
	resp, err := c.reader.readHead(methodOf(a.Message), maxBodyBytes)
	if err != nil {
		return core.Result{Outcome: u.responseFailure(a, err)}, false
	}
	if u.dialect != nil && !u.dialect.Matches(a.Attempt, resp.Header) {
		return core.Result{Outcome: balance.Reset}, false
	}
	if a.Message.AcceptsStream && u.streamable(a.Attempt, headOf(resp)) && resp.Body != http.NoBody &&
		(resp.ContentLength < 0 || resp.ContentLength > httpwire.MaxBufferedBody) {
		return u.streamResponse(a, c, resp)
	}
	var body []byte
	if resp.Body != http.NoBody {
		if body, err = c.reader.readBody(resp); err != nil {
			return core.Result{Outcome: u.responseFailure(a, err)}, false
		}
	}
	return u.result(a.Attempt, c, headOf(resp), body, c.reader.Buffered())
}

// result returns the result of a complete response that is followed by trailing bytes on the connection.
func (u *upstream) result(a *core.Attempt, c *conn, h *responseHead, body []byte, trailing int) (r core.Result, reusable bool) {
	if u.dialect != nil {
		httpwire.RemoveHopByHop(h.header)
		return u.dialect.Evaluate(a, h.status, h.header, body), !h.willClose && trailing == 0
	}
	r = core.Result{Outcome: h.outcome(), Report: loadReport(h.header, u.reportFields)}
	if r.Outcome == balance.OK {
		if u.pool.isDuplicate(c, body) {
			return core.Result{Outcome: balance.Reset}, false // the response to this request may still arrive, or never
		}
		r.Answer = h.newAnswer()
		r.Answer.Body = body
	}
	return r, !h.willClose && trailing == 0
}

// streamable reports whether a long response may be forwarded as it arrives.
func (u *upstream) streamable(a *core.Attempt, h *responseHead) bool {
	if u.dialect != nil {
		return u.dialect.Streamable(a, h.status, h.header)
	}
	return h.status == http.StatusOK
}
