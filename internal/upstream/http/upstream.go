// Package http makes attempts at servers that speak HTTP/1.1: it keeps connections to them, writes a request in one
// piece, reads the answer within bounds, and tells what its end proves of whether the request ran. Which server, and
// whether again, is not for it; it knows no client.
//
// upstream.go makes attempts over the connections of pool.go and reads what comes back with answer.go. Begin with Back.
package http

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"time"

	"cedararch/balance"
	"cedararch/internal/core"
	"cedararch/internal/httpwire"
)

const (
	loadHeader    = "Endpoint-Load-Metrics"
	neverRan      = "X-Never-Ran"
	probePatience = 250 * time.Millisecond // beyond the time for a connection
)

// Config is what the back is told at its start.
type Config struct {
	ConnectTimeout time.Duration
	Idle           time.Duration // after which an unused connection is closed
	Rest           time.Duration // between two requests on a connection
	Sockets        int           // connections at most
	Fields         []string      // the figures of a load report, in the module's order
	Reports        bool          // probes ask for the load report
	NoteLate       func(*core.Endpoint)
	// Silence is after how long without a word of the kernel at the other side a connection that carries a request counts as broken:
	// its machine has no power, or is cut off. 0: it may hang.
	Silence time.Duration
	// Fresh is how long a connection may have been idle to carry what must not run twice: servers may forget idle ones without a word, and
	// after a reset nobody knows whether a request ran. 0: as long as any.
	Fresh time.Duration
	// Dialect words requests and judges answers, where that is not as the platform of package settings has it; nil: it is.
	Dialect Dialect
}

// Dialect is what a back speaks that does not speak the platform's own.
type Dialect interface {
	// Fields appends the header lines of a request that the dialect adds, each ended with CR LF, for an attempt that has so
	// long left. Of what came with the message those go on for which Keep holds.
	Fields(dst []byte, a *core.Attempt, left time.Duration) []byte
	Keep(name string) bool
	// Judge tells what a whole answer proves, of which the header is the judge's own from now on.
	Judge(a *core.Attempt, status int, header http.Header, body []byte) core.Result
	// Ours reports whether an answer belongs to an attempt. One that does not is dropped, and the next is read.
	Ours(a *core.Attempt, header http.Header) bool
	// Passes reports whether the body of an answer may be passed on while it comes.
	Passes(a *core.Attempt, status int, header http.Header) bool
}

// attempt is a core.Attempt with what it takes to give it up.
type attempt struct {
	*core.Attempt
	ctx    context.Context
	cancel context.CancelFunc
	// heldFor is for how long the beginning of its answer was held back before a goroutine took it over.
	heldFor time.Duration
}

// Back makes attempts over HTTP/1.1.
type Back struct {
	up      *upstream
	ctx     context.Context
	running sync.WaitGroup // attempts and probes
}

// New returns a back whose attempts end when ctx does.
func New(ctx context.Context, cfg Config) *Back {
	p := newPool(cfg.ConnectTimeout, cfg.Idle, cfg.Rest, cfg.Sockets)
	p.silence, p.fresh = cfg.Silence, cfg.Fresh
	if cfg.NoteLate != nil {
		p.noteLate = cfg.NoteLate
	}
	u := &upstream{pool: p, fields: cfg.Fields, probe: "/alive", dialect: cfg.Dialect}
	if cfg.Reports {
		u.probe = "/metrics/load"
	}
	return &Back{up: u, ctx: ctx}
}

// Begin implements core.Back.
func (b *Back) Begin(a *core.Attempt) {
	t := &attempt{Attempt: a}
	t.ctx, t.cancel = context.WithCancel(b.ctx)
	a.State = t
	b.running.Go(func() {
		defer t.cancel()
		a.End(b.up.try(t))
	})
}

// Cancel implements core.Back.
func (b *Back) Cancel(a *core.Attempt) { a.State.(*attempt).cancel() }

// Probe implements core.Back.
func (b *Back) Probe(e *core.Endpoint, done func(core.Result)) {
	b.running.Go(func() { done(b.up.ask(b.ctx, e)) })
}

// CloseIdle implements core.Back.
func (b *Back) CloseIdle(e *core.Endpoint) { b.up.pool.closeIdle(e) }

// Evict closes the connection that has been idle for longest, and reports whether there was one.
func (b *Back) Evict() bool { return b.up.pool.evict() }

// Open returns how many connections there are.
func (b *Back) Open() int {
	b.up.pool.mu.Lock()
	defer b.up.pool.mu.Unlock()
	return b.up.pool.open
}

// Resize changes how many connections may be open; idle ones beyond it go at once.
func (b *Back) Resize(n int) { b.up.pool.resize(max(1, n)) }

// Run looks after idle connections until ctx ends.
func (b *Back) Run(ctx context.Context) { b.up.pool.run(ctx) }

// Close waits for what is out, after the context of New has ended, and closes all connections.
func (b *Back) Close() {
	b.running.Wait()
	b.up.pool.closeAll()
}

// upstream sends attempts and probes to servers over connections of its own. It uses no http.Transport: that
// sends a request again by itself when a kept connection turns out to be dead, and does not tell whether the
// last byte was written, on which it hangs whether a request may have run.
type upstream struct {
	pool   *pool
	fields []string
	probe  string // path

	dialect Dialect
}

// try makes an attempt and tells how it ended.
func (u *upstream) try(a *attempt) core.Result {
	c, err := u.pool.get(a.ctx, a.Endpoint, a.Cut, u.pool.within(a.Message))
	if err != nil {
		return core.Result{Outcome: unconnected(a, err)}
	}
	// A dial can outlast the news that the server drains, or the request itself. Nothing was sent yet.
	if a.Over() || a.ctx.Err() != nil {
		u.pool.put(c)
		return core.Result{Outcome: balance.Moot}
	}
	r, reusable := u.exchange(a, c)
	u.pool.giveBack(c, reusable)
	return r
}

// unconnected tells the server's failures from this side's own, which must not be held against it.
func unconnected(a *attempt, err error) balance.Result {
	if a.ctx.Err() != nil || errors.Is(err, errNoSocket) || !time.Now().Before(a.Cut) {
		return balance.Moot
	}
	return balance.ConnectFailed
}

// exchange writes the request and reads the answer. Cancelling an attempt ends its connection.
func (u *upstream) exchange(a *attempt, c *conn) (r core.Result, reusable bool) {
	request, err := u.encode(a.Attempt)
	if err != nil {
		return core.Result{Outcome: balance.Moot}, false
	}
	c.SetDeadline(a.Cut)
	stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() { reusable = stop() && reusable }()

	// One write, so that what the kernel took tells whether the last byte went out.
	if n, err := c.Write(request); n < len(request) {
		if interrupted(a, err) {
			return core.Result{Outcome: balance.Moot}, false
		}
		return core.Result{Outcome: balance.ConnectFailed}, false
	}
	if a.Message.Stream != nil {
		if outcome, gone := u.upload(a, c); !gone {
			return core.Result{Outcome: outcome}, false
		}
	}
	a.Written()
	return u.receive(a, c)
}

// receive reads the answer to a request that was written whole.
func (u *upstream) receive(a *attempt, c *conn) (r core.Result, reusable bool) {
	most := int64(httpwire.MaxBody)
	if a.Message.Streams {
		most = httpwire.MaxStream
	}
	resp, err := c.in.head(methodOf(a.Message), most)
	if err != nil {
		return core.Result{Outcome: a.broken(err)}, false
	}
	if u.dialect != nil && !u.dialect.Ours(a.Attempt, resp.Header) {
		return core.Result{Outcome: balance.Reset}, false
	}
	if a.Message.Streams && u.passes(a.Attempt, headOf(resp)) && resp.Body != http.NoBody &&
		(resp.ContentLength < 0 || resp.ContentLength > httpwire.MaxBody) {
		return u.relay(a, c, resp)
	}
	var body []byte
	if resp.Body != http.NoBody {
		if body, err = c.in.whole(resp); err != nil {
			return core.Result{Outcome: a.broken(err)}, false
		}
	}
	return u.answered(a.Attempt, c, headOf(resp), body, c.in.Buffered())
}

// answered makes a result of an answer that is there as a whole, with rest bytes behind it.
func (u *upstream) answered(a *core.Attempt, c *conn, h *answerHead, body []byte, rest int) (r core.Result, reusable bool) {
	if u.dialect != nil {
		httpwire.DropHop(h.header)
		return u.dialect.Judge(a, h.status, h.header, body), !h.last && rest == 0
	}
	r = core.Result{Outcome: h.outcome(), Report: reportOf(h.header, u.fields)}
	if r.Outcome == balance.OK {
		if u.pool.isCopy(c, body) {
			return core.Result{Outcome: balance.Reset}, false // the answer to this request is yet to come, or never will
		}
		r.Answer = h.answer()
		r.Answer.Body = body
	}
	return r, !h.last && rest == 0
}

// answer is an answer without its body. The head's fields are its own from now on.
func (h *answerHead) answer() *core.Answer {
	delete(h.header, loadHeader)
	httpwire.DropHop(h.header)
	return &core.Answer{Meta: h.header, ContentType: h.header.Get("Content-Type")}
}

// passes reports whether an answer that is long may be passed on while it comes.
func (u *upstream) passes(a *core.Attempt, h *answerHead) bool {
	if u.dialect != nil {
		return u.dialect.Passes(a, h.status, h.header)
	}
	return h.status == http.StatusOK
}

func interrupted(a *attempt, err error) bool {
	return a.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// broken is the outcome where no whole answer came to a request that was written whole.
func (a *attempt) broken(err error) balance.Result {
	if a.ctx.Err() != nil {
		return balance.Cancelled
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.TimedOut
	}
	return balance.Reset
}

// outcome is what an answer proves.
func (h *answerHead) outcome() balance.Result {
	switch h.status {
	case http.StatusOK:
		return balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if h.header.Get(neverRan) == "1" {
			return balance.Full
		}
	}
	return balance.Failed
}

// methodOf follows from what the request may do; a safe one that has something to say cannot say it with GET.
func methodOf(m *core.Message) string {
	if m.Verb != "" {
		return m.Verb
	}
	if m.Safe && len(m.Body) == 0 && m.Stream == nil {
		return http.MethodGet
	}
	return http.MethodPost
}

// headerOf returns the headers of a message, which may be changed: those that came, or where its protocol has none,
// those that say the same.
func headerOf(m *core.Message) http.Header {
	if m.Meta != nil {
		h := http.Header(m.Meta).Clone()
		if m.Class != "" && h.Get("X-Qos") != m.Class { // a contract has changed it
			h.Set("X-Qos", m.Class)
		}
		return h
	}
	h := make(http.Header, 8)
	for _, f := range []struct{ name, value string }{
		{"X-Trace-Id", m.Trace}, {"X-Qos", m.Class}, {"X-Customer", m.Tenant}, {"X-Object", m.Object},
		{"Idempotency-Key", m.IdempotencyKey}, {"Content-Type", m.ContentType},
	} {
		if f.value != "" {
			h[f.name] = []string{f.value}
		}
	}
	return h
}

// encode writes the request of an attempt.
func (u *upstream) encode(a *core.Attempt) ([]byte, error) {
	if u.dialect != nil {
		return u.appendSpoken(make([]byte, 0, 512+len(a.Message.Body)), a), nil
	}
	return encode(a.Message, a.Cut)
}

// appendSpoken appends a request in the words of a dialect; a body that is a stream follows it.
func (u *upstream) appendSpoken(dst []byte, a *core.Attempt) []byte {
	m, left := a.Message, time.Until(a.Cut)
	if m.Stream != nil {
		left = m.Remaining
	}
	dst = append(append(dst, methodOf(m)...), ' ')
	dst = append(append(dst, m.Target...), " HTTP/1.1\r\nHost: "...)
	dst = append(append(dst, m.Authority...), "\r\n"...)
	for name, values := range m.Meta {
		switch name {
		case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect":
			continue
		}
		if !u.dialect.Keep(name) {
			continue
		}
		for _, v := range values {
			dst = append(append(append(append(dst, name...), ": "...), v...), "\r\n"...)
		}
	}
	dst = u.dialect.Fields(dst, a, left)
	switch {
	case m.Stream != nil && m.Stream.Length() < 0:
		return append(dst, "Transfer-Encoding: chunked\r\n\r\n"...)
	case m.Stream != nil:
		dst = append(dst, "Content-Length: "...)
		return append(strconv.AppendInt(dst, m.Stream.Length(), 10), "\r\n\r\n"...)
	case len(m.Body) > 0 || methodOf(m) != http.MethodGet:
		dst = append(dst, "Content-Length: "...)
		dst = append(strconv.AppendInt(dst, int64(len(m.Body)), 10), "\r\n"...)
	}
	return append(append(dst, "\r\n"...), m.Body...)
}

// encode writes the message as it goes to a server, which is told the time that remains until cut.
func encode(m *core.Message, cut time.Time) ([]byte, error) {
	if m.Meta != nil && m.Stream == nil { // it came over HTTP, and was checked
		return appendRequest(make([]byte, 0, 512+len(m.Body)), m, time.Until(cut)), nil
	}
	req := http.Request{
		Method: methodOf(m),
		URL:    &url.URL{Opaque: cmp.Or(m.Target, "/api/"+m.Method)}, // goes on as the client wrote it
		Header: headerOf(m),
		Host:   cmp.Or(m.Authority, "app.svc"),
	}
	left := time.Until(cut)
	if m.Stream != nil {
		left = m.Remaining // the server counts from the last byte too
	}
	req.Header.Set(httpwire.ExpiryHeader, strconv.FormatInt(max(1, left.Microseconds()), 10)+"u")
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // else Write adds one of its own
	}
	if m.Stream != nil {
		return encodeHead(&req, m.Stream.Length()), nil
	}
	if len(m.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.Body)), int64(len(m.Body))
	} else if req.Method != http.MethodGet {
		req.Body = http.NoBody
	}
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return out.Bytes(), nil
}

// appendRequest appends a request whose fields are those that came, as they came.
func appendRequest(dst []byte, m *core.Message, left time.Duration) []byte {
	method := methodOf(m)
	dst = append(append(dst, method...), ' ')
	dst = append(append(dst, m.Target...), " HTTP/1.1\r\nHost: "...)
	dst = append(dst, cmp.Or(m.Authority, "app.svc")...)
	class := m.Class
	for name, values := range m.Meta {
		switch name {
		case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect", httpwire.ExpiryHeader:
			continue
		case "X-Qos":
			if class != "" { // a contract may have changed it
				continue
			}
		}
		for _, v := range values {
			dst = append(append(append(append(dst, "\r\n"...), name...), ": "...), v...)
		}
	}
	if class != "" {
		dst = append(append(dst, "\r\nX-Qos: "...), class...)
	}
	dst = append(dst, "\r\n"+httpwire.ExpiryHeader+": "...)
	dst = append(strconv.AppendInt(dst, max(1, left.Microseconds()), 10), 'u')
	if len(m.Body) > 0 || method != http.MethodGet {
		dst = append(dst, "\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(m.Body)), 10)
	}
	return append(append(dst, "\r\n\r\n"...), m.Body...)
}

// ask probes an endpoint.
func (u *upstream) ask(ctx context.Context, e *core.Endpoint) core.Result {
	cut := time.Now().Add(u.pool.connectTimeout + probePatience)
	c, err := u.pool.get(ctx, e, cut, 0)
	if err != nil {
		return core.Result{Outcome: balance.ConnectFailed}
	}
	r, reusable := u.askOn(ctx, e, c, cut)
	u.pool.giveBack(c, reusable)
	return r
}

func (u *upstream) askOn(ctx context.Context, e *core.Endpoint, c *conn, cut time.Time) (r core.Result, reusable bool) {
	c.SetDeadline(cut)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() { reusable = stop() && reusable }()
	if _, err := c.Write(u.question(c.addr)); err != nil {
		return core.Result{Outcome: balance.ConnectFailed}, false
	}
	resp, body, err := c.in.next(http.MethodGet)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return core.Result{Outcome: balance.TimedOut}, false
	}
	if err != nil {
		return core.Result{Outcome: balance.Reset}, false
	}
	return u.probed(headOf(resp), body), !resp.Close && c.in.Buffered() == 0
}

// question is a probe's request.
func (u *upstream) question(addr string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", u.probe, addr)
}

// probed is what an answer to a probe says.
func (u *upstream) probed(h *answerHead, body []byte) core.Result {
	r := core.Result{Outcome: balance.Failed, Report: reportOf(h.header, u.fields)}
	if r.Report == nil {
		r.Report = parseReport(string(body), u.fields)
	}
	if h.status == http.StatusOK {
		r.Outcome = balance.OK
	}
	return r
}
