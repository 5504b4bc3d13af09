// Package http makes attempts at servers that speak HTTP/1.1: it keeps connections to them, writes a request in one
// piece, reads the answer within bounds, and draws from its end whether the request may have run. Which server, and
// whether again, is not for it; it knows no client.
//
// Begin with Backend: upstream.go makes attempts over the connections of pool.go, writes them with encode.go, reads what comes back with
// answer.go, and outcome.go draws the evidence.
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
	probeGrace     = 250 * time.Millisecond // beyond the time for a connection
)

// Config holds the settings of a Backend.
type Config struct {
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // after which an unused connection is closed
	ReuseDelay     time.Duration // between two requests on a connection
	MaxConns       int           // connections at most
	ReportFields   []string      // the figures of a load report, in the module's order
	ProbeForReport bool          // probes ask for the load report
	OnLateData     func(*core.Endpoint)
	// Silence is after how long without a word of the kernel at the other side a connection that carries a request counts as broken:
	// its machine has no power, or is cut off. 0: it may hang.
	PeerTimeout time.Duration
	// Fresh is how long a connection may have been idle to carry what must not run twice: servers may forget idle ones without a word, and
	// after a reset nobody knows whether a request ran. 0: as long as any.
	MaxUnsafeIdle time.Duration
	// Ended is notified of how an attempt has ended, ahead of the exchange. Where it returns true, it ends the attempt itself, later.
	// Nil: nobody is.
	OnEnd func(*core.Attempt, core.Result) (later bool)
	// Dialect words requests and judges answers, where that is not as the platform of package settings has it; nil: it is.
	Dialect Dialect
}

// Dialect is what a back speaks that does not speak the platform's own.
type Dialect interface {
	// Fields appends the header lines of a request that the dialect adds, each ended with CR LF, for an attempt that has so
	// long left. Of what came with the message those go on for which Keep holds.
	AppendHeaders(dst []byte, a *core.Attempt, remaining time.Duration) []byte
	ForwardsHeader(name string) bool
	// Judge returns what a complete answer proves, of which the header is the judge's own from now on.
	Evaluate(a *core.Attempt, status int, header http.Header, body []byte) core.Result
	// Ours reports whether an answer belongs to an attempt. One that does not is dropped, and the next is read.
	Matches(a *core.Attempt, header http.Header) bool
	// Passes reports whether the body of an answer may be passed on while it comes.
	Streamable(a *core.Attempt, status int, header http.Header) bool
}

// attempt is a core.Attempt with what it takes to give it up.
type attempt struct {
	*core.Attempt
	ctx    context.Context
	cancel context.CancelFunc
	// heldFor is for how long the beginning of its answer was held back before a goroutine took it over.
	heldFor time.Duration
}

// Backend makes attempts over HTTP/1.1.
type Backend struct {
	up      *upstream
	ctx     context.Context
	running sync.WaitGroup // attempts and probes
}

// New returns a back whose attempts end when ctx does.
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

// Open returns how many connections there are.
func (b *Backend) Open() int {
	b.up.pool.mu.Lock()
	defer b.up.pool.mu.Unlock()
	return b.up.pool.open
}

// Resize changes how many connections may be open; idle ones beyond it go at once.
func (b *Backend) Resize(n int) { b.up.pool.resize(max(1, n)) }

// Run looks after idle connections until ctx ends.
func (b *Backend) Run(ctx context.Context) { b.up.pool.run(ctx) }

// Close waits for what is out, after the context of New has ended, and closes all connections.
func (b *Backend) Close() {
	b.running.Wait()
	b.up.pool.closeAll()
}

// upstream sends attempts and probes to servers over connections of its own. It uses no http.Transport: that
// sends a request again by itself when a kept connection turns out to be dead, and does not report whether the
// last byte was written, on which it hangs whether a request may have run.
type upstream struct {
	pool         *pool
	reportFields []string
	probePath    string // path

	dialect Dialect
	onEnd   func(*core.Attempt, core.Result) bool
}

// end ends an attempt, unless that is left to somebody else.
func (u *upstream) end(a *core.Attempt, r core.Result) {
	if u.onEnd == nil || !u.onEnd(a, r) {
		a.End(r)
	}
}

// perform makes an attempt and returns how it ended.
func (u *upstream) perform(a *attempt) core.Result {
	c, err := u.pool.get(a.ctx, a.Endpoint, a.Deadline, u.pool.maxIdle(a.Message))
	if err != nil {
		return core.Result{Outcome: connectOutcome(a, err)}
	}
	// A dial may take longer than the server accepts requests, or than the request has. Nothing was sent yet.
	if a.Obsolete() || a.ctx.Err() != nil {
		u.pool.put(c)
		return core.Result{Outcome: balance.NotSent}
	}
	r, reusable := u.exchange(a, c)
	u.pool.returnConn(c, reusable)
	return r
}

// exchange writes the request and reads the answer. Cancelling an attempt ends its connection.
func (u *upstream) exchange(a *attempt, c *conn) (r core.Result, reusable bool) {
	request, err := u.encode(a.Attempt)
	if err != nil {
		return core.Result{Outcome: balance.NotSent}, false
	}
	_ = c.SetDeadline(a.Deadline) // fails only on a closed connection, as the next call on it does
	// Fails only on a closed connection, as the next call on it does.
	stop := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() { reusable = stop() && reusable }()

	// One write, so that it is known by what the kernel took whether the last byte went out.
	if n, err := c.Write(request); n < len(request) {
		if interrupted(a, err) {
			return core.Result{Outcome: balance.NotSent}, false
		}
		return core.Result{Outcome: balance.ConnectFailed}, false
	}
	if a.Message.Stream != nil {
		switch end, outcome := u.upload(a, c); end {
		case uploadInterrupted:
			return u.readEarlyResponse(a, c), false
		case uploadFailed:
			return core.Result{Outcome: outcome}, false
		case uploadComplete:
		}
	}
	a.Written()
	return u.receive(a, c)
}

// receive reads the answer to a request that was written whole.
func (u *upstream) receive(a *attempt, c *conn) (r core.Result, reusable bool) {
	maxBodyBytes := int64(httpwire.MaxBufferedBody)
	if a.Message.AcceptsStream {
		maxBodyBytes = httpwire.MaxStreamedBody
	}
	resp, err := c.reader.readHead(methodOf(a.Message), maxBodyBytes)
	if err != nil {
		return core.Result{Outcome: a.failureOutcome(err)}, false
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
			return core.Result{Outcome: a.failureOutcome(err)}, false
		}
	}
	return u.result(a.Attempt, c, headOf(resp), body, c.reader.Buffered())
}

// answered makes a result of an answer that is there as a whole, with rest bytes behind it.
func (u *upstream) result(a *core.Attempt, c *conn, h *responseHead, body []byte, trailing int) (r core.Result, reusable bool) {
	if u.dialect != nil {
		httpwire.RemoveHopByHop(h.header)
		return u.dialect.Evaluate(a, h.status, h.header, body), !h.willClose && trailing == 0
	}
	r = core.Result{Outcome: h.outcome(), Report: loadReport(h.header, u.reportFields)}
	if r.Outcome == balance.OK {
		if u.pool.isDuplicate(c, body) {
			return core.Result{Outcome: balance.Reset}, false // the answer to this request is yet to come, or never will
		}
		r.Answer = h.newAnswer()
		r.Answer.Body = body
	}
	return r, !h.willClose && trailing == 0
}

// passes reports whether an answer that is long may be passed on while it comes.
func (u *upstream) streamable(a *core.Attempt, h *responseHead) bool {
	if u.dialect != nil {
		return u.dialect.Streamable(a, h.status, h.header)
	}
	return h.status == http.StatusOK
}
