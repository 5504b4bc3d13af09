package sidecar

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cedararch/balance"
)

const (
	headerTimeout = 10 * time.Second // for the head of a request
	keepAlive     = 2 * time.Minute  // for an idle connection of the application
	maxHeader     = 32 << 10
	acceptPause   = 2 * time.Millisecond // while there is no descriptor for a connection
)

// call is a client's request on its way through the sidecar.
type call struct {
	request  balance.Request // without ID; Remaining counts from received
	message  *message
	received time.Time
	answers  chan *answer // takes the one final answer
}

// answer is a final answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// front is the side that the application talks to.
type front struct {
	cfg    *Config
	post   func(any)
	done   <-chan struct{} // closed when nothing answers any more
	ready  atomic.Bool     // there are servers to send to
	ending atomic.Bool     // the sidecar shuts down
	conns  atomic.Int64
	most   int64 // connections above which each is closed after its answer
}

func (f *front) server(log *slog.Logger) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /up", f.up)
	mux.HandleFunc("/api", f.api)
	mux.HandleFunc("/api/", f.api)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       keepAlive,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnState:         f.count,
	}
}

func (f *front) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.conns.Add(-1)
	}
}

func (f *front) up(w http.ResponseWriter, _ *http.Request) {
	if !f.ready.Load() || f.ending.Load() {
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

func (f *front) api(w http.ResponseWriter, r *http.Request) {
	c, err := f.parse(w, r)
	if err != nil {
		status := http.StatusBadRequest
		var bad *badRequest
		if errors.As(err, &bad) {
			status = bad.status
		}
		f.closeIfLast(w)
		http.Error(w, err.Error(), status)
		return
	}
	f.post(arrived{c})
	select {
	case a := <-c.answers:
		f.closeIfLast(w)
		a.write(w)
	case <-r.Context().Done():
		f.post(leftBy{c})
		// Returning would send an empty 200, which a client that only ended its sending would take as served.
		panic(http.ErrAbortHandler)
	case <-f.done:
		panic(http.ErrAbortHandler)
	}
}

// closeIfLast ends the connection with this answer where the application is to go elsewhere, or descriptors are
// short. It is decided when the answer is there, not when the request came: many wait when the end comes.
func (f *front) closeIfLast(w http.ResponseWriter) {
	if f.ending.Load() || f.conns.Load() > f.most {
		w.Header().Set("Connection", "close")
	}
}

func (a *answer) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// parse checks a request and turns it into a call.
func (f *front) parse(w http.ResponseWriter, r *http.Request) (*call, error) {
	c := &call{received: time.Now(), answers: make(chan *answer, 1)}
	class, ok := f.cfg.classes[r.Header.Get("X-Qos")]
	if !ok {
		return nil, malformed("unknown class %q in X-Qos", r.Header.Get("X-Qos"))
	}
	tenant, ok := f.cfg.tenants[r.Header.Get("X-Customer")]
	if !ok && len(f.cfg.tenants) > 0 {
		return nil, malformed("unknown tenant %q in X-Customer", r.Header.Get("X-Customer"))
	}
	rules := f.cfg.Balance.Classes[class]
	if err := checkForm(r, rules.Effect); err != nil {
		return nil, err
	}
	left, err := parseExpiry(r.Header.Get(expiryHeader), rules.Deadline)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			return nil, &badRequest{http.StatusRequestEntityTooLarge, "body too long"}
		}
		return nil, malformed("body: %v", err)
	}
	hint, _ := strconv.ParseFloat(r.Header.Get("X-Size-Hint"), 64)
	if !(hint > 0) || math.IsInf(hint, 0) {
		hint = 0
	}
	c.request = balance.Request{
		Class: class, Tenant: tenant, WorkHint: hint / 1000, Key: parseKey(r.Header.Get("X-Object")),
		Remaining: left, Repeat: r.Header.Get("X-Second-Try") == "1",
	}
	dropHopHeaders(r.Header)
	c.message = &message{method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, body: body}
	return c, nil
}

// checkForm: the method follows from the class, and what the servers need must be there.
func checkForm(r *http.Request, effect balance.Effect) error {
	method := http.MethodPost
	if effect == balance.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return &badRequest{http.StatusMethodNotAllowed, "this class wants " + method}
	}
	if r.Header.Get("X-Trace-Id") == "" {
		return malformed("no X-Trace-Id")
	}
	if effect == balance.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return malformed("no Idempotency-Key, which this class wants")
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
	if err != nil || math.IsNaN(v) || v < 0 || strings.ContainsAny(number, "xXpP_+") {
		return 0, malformed("%s %q is no time", expiryHeader, text)
	}
	switch unit {
	case "m":
	case "u":
		v /= 1000
	default:
		return 0, malformed("%s %q has no unit m or u", expiryHeader, text)
	}
	return min(v, most), nil
}

// parseKey makes a number of what a request is about; it carries no meaning beyond identity.
func parseKey(text string) uint64 {
	if text == "" {
		return 0
	}
	if key, err := strconv.ParseUint(text, 16, 64); err == nil {
		return key
	}
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// listener outlives a lack of descriptors: what waits in the backlog counts as taken, so that the pause must be
// short, and an idle connection to a server is worth less than one of the application.
type listener struct {
	net.Listener
	pool *pool
}

func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !exhausted(err) {
			return c, err
		}
		if !l.pool.evict() {
			time.Sleep(acceptPause)
		}
	}
}
