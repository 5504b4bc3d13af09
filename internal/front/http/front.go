// Package http is the front for applications that speak HTTP/1.1. It owns their connections and what the protocol's
// headers and statuses mean, turns away what is no request, and gives each request the answer that the exchange has for
// it. It decides nothing about servers and knows none.
//
// front.go has what both fronts share, Config.fill and the wording of answers, and is the front on the standard
// library's server, over connections that clients.go budgets and framing.go tells apart into requests. poll_linux.go is
// the one on the kernel's readiness, pollconn_linux.go one of its connections, stream_linux.go the bodies that pass through
// it, state.go says whether clients are wanted and head.go reads what comes on it. Begin with Front or PollFront.
package http

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"cedararch/balance"
	"cedararch/contract"
	"cedararch/internal/core"
	"cedararch/internal/door"
	"cedararch/internal/httpwire"
	"cedararch/internal/pipe"
	"cedararch/internal/socket"
	"cedararch/overload"
	"cedararch/report"
)

const (
	// What a client that stalls is owed is an error or a close within 3 s of connecting. A request that is
	// written in one piece takes a moment; a connection may be silent for 2 s before its first.
	headTimeout = 2200 * time.Millisecond // for the head of a request
	readTimeout = 2500 * time.Millisecond // for all of it
	// writeTimeout is for the answer, beyond the longest deadline: a client that does not read holds its answer
	// and a descriptor.
	writeTimeout = 2 * time.Second
	// keepAlive is how long a connection may be idle while there are few: clients that ask once and stay hold their
	// descriptors, of which the application has a number too.
	keepAlive = 5 * time.Second
	// streamTimeout is how long a client may take nothing of an answer that passes through, and pumped how much of a body is
	// written at a time.
	streamTimeout = 10 * time.Second
	pumped        = 16 << 10
	maxHeader     = 32 << 10
)

// Config is what the front is told at its start.
type Config struct {
	Catalog     *core.Catalog
	Door        *door.Keeper  // nil: all may come in
	Connections int           // of clients, at most
	LastCalls   time.Duration // how long new connections are taken after the signal to end
	Idle        time.Duration // how long a connection may stand between two requests; 0: 5 s
	Waiting     float64       // part of Connections that may wait for a request before answers end theirs; 0: a quarter
	Evict       func() bool   // closes a connection of somebody else's where descriptors are short
	// Method names what a path is to servers that go by names. With it bodies in MessagePack are taken also with safe
	// requests, by POST; nil: neither.
	Method func(path string) string
	// Dialect is what requests and answers mean, where that is not what the platform of packages core and settings says; nil:
	// it is.
	Dialect Dialect
	Claims  bool           // the exchange wants to know who sends a request
	Counts  *report.Counts // nil: nobody counts what the door turns away
	Log     *slog.Logger
}

// Dialect says what requests mean to a front that does not serve the platform's own.
type Dialect interface {
	// Fill makes a call of a request, or answers it itself, or says what is wrong with it. The body and the header are the
	// call's from now on.
	Fill(c *core.Call, r *Request, body []byte) (*core.Answer, error)
	// Verdict words an error that Fill, or the reading of a request, has ended with.
	Verdict(status int, text string) *core.Answer
}

// Request is the head of a request, as it came.
type Request struct {
	Method, Target, Path, Host string
	Header                     http.Header
}

// BadRequest is a mistake of a client's, to be answered with a status.
func BadRequest(status int, text string) error { return &badRequest{status, text} }

// waiting is how many of so many connections may wait for a request: a part of them, or where that is 0 the usual one.
func waiting(most int, part float64) int { return int(float64(most) * cmp.Or(part, 1./keptShare)) }

func (cfg *Config) idle() time.Duration { return cmp.Or(cfg.Idle, keepAlive) }

// Front is the side that the application talks to, on the standard library's server. It runs wherever Go does; where the
// kernel has what it wants, PollFront does the same for less.
type Front struct {
	cfg      Config
	exchange core.Exchange
	clients  *clients
	server   *http.Server
	failed   chan error
	state
}

// New returns a front that hands requests to an exchange.
func New(cfg Config, exchange core.Exchange) *Front {
	f := &Front{cfg: cfg, exchange: exchange, clients: &clients{most: cfg.Connections, waiting: cfg.Waiting}, failed: make(chan error, 1)}
	notes := rate.Sometimes{First: 3, Interval: time.Second}
	f.clients.stranger = func(peer net.Addr) {
		notes.Do(func() {
			cfg.Log.Warn("a client speaks no HTTP; MessagePack-RPC has an address of its own", "peer", peer.String())
		})
	}
	f.server = f.newServer()
	return f
}

// Serve takes connections until End, on a goroutine of its own. What goes wrong comes on Failed.
func (f *Front) Serve(ln net.Listener) {
	go func() { f.failed <- f.server.Serve(listener{ln, f.clients, f.cfg.Evict}) }()
}

// Pause sends clients away, or takes them in again.
func (f *Front) Pause(on bool) {
	f.state.Pause(on)
	f.server.SetKeepAlivesEnabled(!on)
}

// Open returns how many connections there are.
func (f *Front) Open() int {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	return f.clients.open
}

// Resize changes how many connections may be open.
func (f *Front) Resize(n int) {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	f.clients.most = max(1, n)
}

// Failed tells why the front has stopped serving, before End.
func (f *Front) Failed() <-chan error { return f.failed }

// End takes new connections for a little while yet, and answers all that was taken, within a time.
func (f *Front) End(within time.Duration) error {
	limit, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	f.ending.Store(true)
	select {
	case <-time.After(f.lastCalls(f.cfg.LastCalls)):
	case err := <-f.failed:
		return fmt.Errorf("serve: %w", err)
	}
	err := f.server.Shutdown(limit)
	if errors.Is(err, context.DeadlineExceeded) {
		err = f.server.Close() // connections on which no request ever came
	}
	return err
}

// call is a core.Call with the way back to its handler.
type call struct {
	core.Call
	answers chan *core.Answer // takes the one final answer
	direct  *core.Answer      // what a dialect answers itself
}

// exchangeOf is who carries a call.
func exchangeOf(c *core.Call, own core.Exchange) core.Exchange {
	if c.Exchange != nil {
		return c.Exchange
	}
	return own
}

// Answer implements core.Client.
func (c *call) Answer(_ *core.Call, a *core.Answer) { c.answers <- a }

// clientKey is the context key of a request's connection.
type clientKey struct{}

func (f *Front) newServer() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      time.Duration(f.cfg.Catalog.Longest()*float64(time.Millisecond)) + writeTimeout,
		IdleTimeout:       f.cfg.idle(),
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(f.cfg.Log.Handler(), slog.LevelDebug),
		ConnState:         f.clients.follow,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, c)
		},
	}
}

// ServeHTTP takes each path as it is written: http.ServeMux would answer some with a redirection, which is no
// answer that the application knows.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cl := r.Context().Value(clientKey{}).(*client)
	cl.next()
	if f.cfg.Dialect != nil {
		f.api(w, r, cl)
		return
	}
	switch path := r.URL.Path; {
	case path == "/api" || strings.HasPrefix(path, "/api/"):
		f.api(w, r, cl)
	case path == "/up" && r.Method == http.MethodGet:
		f.tellUp(w)
	default:
		turnAway(w, &badRequest{http.StatusNotFound, "no such path"})
	}
}

func (f *Front) tellUp(w http.ResponseWriter) {
	if !f.up() || !f.exchange.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// badRequest is a client's mistake: a plain answer that is no refusal.
type badRequest struct {
	status int
	text   string
}

func (e *badRequest) Error() string { return e.text }

func malformed(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// turnAway answers a bad request and ends its connection: what follows on it may be anything.
func turnAway(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var bad *badRequest
	if errors.As(err, &bad) {
		status = bad.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

func (f *Front) api(w http.ResponseWriter, r *http.Request, cl *client) {
	class := -1
	if f.cfg.Dialect == nil {
		class = f.cfg.classOf(r.Header)
	}
	if ok, holdOff := f.cfg.Door.Admit(class); !ok {
		f.cfg.countTurnedAway(class, r.Header)
		write(w, core.Refusal(holdOff.Truncate(time.Millisecond)))
		return
	}
	arrived := false
	defer func() {
		if !arrived {
			f.cfg.Door.Ended(class, 0, overload.Void)
		}
	}()
	c, err := f.parse(w, r)
	behind := cl.behind()
	if err == nil && c.Message.Stream != nil {
		defer c.Message.Stream.CloseWrite(errGone)
		go feedBody(w, r, c.Message.Stream)
	} else if err == nil && behind == socket.Waiting {
		err = malformed("more than the request that was announced")
	}
	if err != nil {
		turnAway(w, err)
		return
	}
	if c.direct != nil {
		write(w, c.direct)
		return
	}
	if c.Message.Stream == nil && behind == socket.Closed {
		// The client has gone before anything was done for it, as all have that a stopped sidecar finds when it goes on.
		w.Header().Set("Connection", "close")
		write(w, core.Refusal(0))
		return
	}
	arrived = true
	exchange := exchangeOf(&c.Call, f.exchange)
	exchange.Arrive(&c.Call)
	select {
	case a := <-c.answers:
		// Decided when the answer is there, not when the request came: many wait when the end comes.
		if a.Reason == core.NameInUse || f.leaving() || cl.framing.blind || cl.behind() != socket.Silent || cl.owner.crowded() {
			w.Header().Set("Connection", "close")
		}
		write(w, a)
	case <-r.Context().Done():
		// The client is gone, as far as can be told. One that has only ended its sending is owed an answer all the same.
		exchange.Leave(&c.Call)
		select {
		case a := <-c.answers:
			w.Header().Set("Connection", "close")
			write(w, a)
		case <-f.exchange.Done():
			panic(http.ErrAbortHandler)
		}
	case <-f.exchange.Done():
		panic(http.ErrAbortHandler)
	}
}

// failures are the statuses of what has failed.
var failures = map[core.Reason]int{
	core.ByServers: http.StatusBadGateway, core.ClientLeft: http.StatusBadGateway,
	core.OutOfTime: http.StatusGatewayTimeout, core.NameInUse: http.StatusConflict,
	core.NotAllowed: http.StatusForbidden,
}

// statusOf words an answer; only 429 and 503 say that trying again is harmless.
func statusOf(a *core.Answer) int {
	switch {
	case a.Status != 0:
		return a.Status
	case a.Kind == core.Refused && a.Reason == core.OverBudget:
		return http.StatusTooManyRequests
	case a.Kind == core.Refused:
		return http.StatusServiceUnavailable
	case a.Kind == core.Failed:
		return failures[a.Reason]
	case a.Declined:
		return http.StatusUnprocessableEntity
	}
	return http.StatusOK
}

// write writes an answer, in which nobody else writes by now.
func write(w http.ResponseWriter, a *core.Answer) {
	h, body := w.Header(), a.Body
	if a.Kind == core.Served || a.Status != 0 {
		for name, values := range a.Meta {
			h[name] = values
		}
		if a.Meta == nil && a.ContentType != "" {
			h.Set("Content-Type", a.ContentType)
		}
	} else {
		h.Set("Content-Type", "text/plain; charset=utf-8")
		body = []byte(a.Text + "\n")
		if a.HoldOff > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.HoldOff.Seconds(), 'f', 3, 64))
		}
	}
	if a.Stream != nil {
		writeStream(w, a)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusOf(a))
	w.Write(body)
}

var errGone = errors.New("the request is over")

// feedBody passes on a body that comes, as fast as both sides allow.
func feedBody(w http.ResponseWriter, r *http.Request, to *pipe.Pipe) {
	deadline := http.NewResponseController(w)
	buf := make([]byte, pumped)
	for {
		deadline.SetReadDeadline(time.Now().Add(readTimeout))
		n, err := r.Body.Read(buf)
		if n > 0 && to.Write(buf[:n], streamTimeout) != nil {
			return
		}
		if err == io.EOF {
			to.CloseWrite(nil)
			return
		}
		if err != nil {
			to.CloseWrite(err)
			return
		}
	}
}

// writeStream writes an answer as it comes. One that breaks off ends its connection where the client can tell.
func writeStream(w http.ResponseWriter, a *core.Answer) {
	defer a.Stream.CloseRead(errGone)
	if n := a.Stream.Length(); n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(statusOf(a))
	deadline := http.NewResponseController(w)
	buf := make([]byte, pumped)
	for {
		n, err := a.Stream.Read(buf, 2*streamTimeout)
		deadline.SetWriteDeadline(time.Now().Add(streamTimeout))
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return
			}
			deadline.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// parse checks a request and turns it into a call.
func (f *Front) parse(w http.ResponseWriter, r *http.Request) (*call, error) {
	c := &call{answers: make(chan *core.Answer, 1)}
	c.Client = c
	if r.ContentLength > httpwire.MaxStream {
		return nil, errLongBody
	}
	var body []byte
	var err error
	if r.ContentLength <= httpwire.MaxBody {
		body, err = io.ReadAll(io.LimitReader(r.Body, httpwire.MaxBody+1))
	}
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, &badRequest{http.StatusRequestTimeout, "the body does not come"}
		}
		return nil, malformed("body: %v", err)
	}
	if r.ContentLength > httpwire.MaxBody || len(body) > httpwire.MaxBody {
		c.Message.Stream = pipe.New(r.ContentLength)
		c.Message.Stream.Put(body)
		body = nil
	}
	h := &head{method: r.Method, target: r.RequestURI, path: r.URL.Path, host: r.Host, header: r.Header}
	c.direct, err = f.cfg.fillAny(&c.Call, h, body)
	return c, err
}

// classOf is the class that a request says it is of; -1 for none that there is.
func (cfg *Config) classOf(h http.Header) int {
	if class, ok := cfg.Catalog.Class(h.Get("X-Qos")); ok {
		return class
	}
	return -1
}

// countTurnedAway counts a request that the door refused.
func (cfg *Config) countTurnedAway(class int, h http.Header) {
	tenant, ok := cfg.Catalog.Tenant(h.Get("X-Customer"))
	if !ok {
		tenant = -1
	}
	cfg.Counts.Asked(class, tenant, h.Get("X-Second-Try") == "1")
	cfg.Counts.Ended(class, tenant, report.Refused, 0)
}

// fillAny makes a call of a request, in whatever dialect, or its answer.
func (cfg *Config) fillAny(c *core.Call, r *head, body []byte) (*core.Answer, error) {
	if cfg.Dialect != nil {
		return cfg.Dialect.Fill(c, r.request(), body)
	}
	return nil, cfg.fill(c, r, body)
}

// fill checks a request and makes a call of it. The header is the call's from now on.
func (cfg *Config) fill(c *core.Call, r *head, body []byte) error {
	h := r.header
	for _, name := range once {
		if len(h[name]) > 1 {
			return malformed("%s more than once", name)
		}
	}
	class, ok := cfg.Catalog.Class(h.Get("X-Qos"))
	if !ok {
		return malformed("unknown class %q in X-Qos", h.Get("X-Qos"))
	}
	tenant, ok := cfg.Catalog.Tenant(h.Get("X-Customer"))
	if !ok {
		return malformed("unknown tenant %q in X-Customer", h.Get("X-Customer"))
	}
	rules := &cfg.Catalog.Classes[class]
	if err := cfg.checkForm(r, rules.Effect); err != nil {
		return err
	}
	left, err := parseExpiry(h.Get(httpwire.ExpiryHeader), rules.Deadline)
	if err != nil {
		return err
	}
	if r.method == http.MethodGet && (len(body) > 0 || c.Message.Stream != nil) {
		return malformed("a body where none belongs")
	}
	hint, _ := strconv.ParseFloat(h.Get("X-Size-Hint"), 64)
	if !(hint > 0) || math.IsInf(hint, 0) {
		hint = 0
	}
	c.Received, c.Name = time.Now(), h.Get("X-Trace-Id")
	c.Ask = balance.Request{
		Class: class, Tenant: tenant, WorkHint: hint / 1000, Key: core.Key(h.Get("X-Object")),
		Remaining: left, Repeat: h.Get("X-Second-Try") == "1",
	}
	httpwire.DropHop(h)
	c.Message = core.Message{
		Trace: c.Name, Class: h.Get("X-Qos"), Tenant: h.Get("X-Customer"), Object: h.Get("X-Object"),
		IdempotencyKey: h.Get("Idempotency-Key"), Safe: rules.Effect == balance.Safe,
		Target: r.target, Authority: r.host, Meta: h, ContentType: h.Get("Content-Type"), Body: body,
		Stream: c.Message.Stream, Streams: true,
	}
	if cfg.Claims {
		c.Claim = claimOf(h)
	}
	if cfg.Method != nil {
		c.Message.Method = cfg.Method(r.path)
	}
	return nil
}

// listenerName is how contracts call this front.
const listenerName = "http"

// claimOf is what a request says of who sends it. Its token goes no further than its digest.
func claimOf(h http.Header) *contract.Claim {
	c := &contract.Claim{Tenant: h.Get("X-Customer"), Listener: listenerName}
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		c.Token, c.HasToken = contract.DigestOf(strings.TrimSpace(token)), true
	}
	return c
}

// once lists the headers that say what a request is; of two values of one of them neither can be trusted.
var once = []string{
	"X-Trace-Id", "X-Qos", "X-Customer", "X-Object", "X-Expires-In", "X-Second-Try", "X-Size-Hint", "Idempotency-Key",
	"Authorization",
}

var errLongBody = &badRequest{http.StatusRequestEntityTooLarge, "body too long"}

// checkForm: the method follows from the class, and what the servers need must be there.
func (cfg *Config) checkForm(r *head, effect balance.Effect) error {
	method := http.MethodPost
	if effect == balance.Safe && !(cfg.Method != nil && r.header.Get("Content-Type") == core.MessagePack) {
		method = http.MethodGet
	}
	if r.method != method {
		return &badRequest{http.StatusMethodNotAllowed, "this class wants " + method}
	}
	if !core.IsToken(r.header.Get("X-Trace-Id")) {
		return malformed("no X-Trace-Id, or one that is no token")
	}
	if effect == balance.Keyed && !core.IsToken(r.header.Get("Idempotency-Key")) {
		return malformed("no Idempotency-Key, which this class wants, or one that is no token")
	}
	return nil
}

// parseExpiry reads «480m» (milliseconds) or «480000u» (microseconds); at most is what the class allows, and
// holds where the client does not say.
func parseExpiry(text string, most float64) (float64, error) {
	if text == "" {
		return most, nil
	}
	number, unit := text[:len(text)-1], text[len(text)-1:]
	v, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.Trim(number, "0123456789.") != "" { // no sign, exponent, infinity or NaN
		return 0, malformed("%s %q is no time", httpwire.ExpiryHeader, text)
	}
	switch unit {
	case "m":
	case "u":
		v /= 1000
	default:
		return 0, malformed("%s %q has no unit m or u", httpwire.ExpiryHeader, text)
	}
	return min(v, most), nil
}
