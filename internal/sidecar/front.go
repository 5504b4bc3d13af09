package sidecar

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cedararch/balance"
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
	keepAlive   = 5 * time.Second
	maxHeader   = 32 << 10
	acceptPause = 2 * time.Millisecond // while there is no descriptor for a connection
)

// call is a client's request on its way through the sidecar.
type call struct {
	trace    string          // what the client calls it
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
	last   bool // the connection ends with it
}

// front is the side that the application talks to.
type front struct {
	cfg     *Config
	post    func(any)
	done    <-chan struct{} // closed when nothing answers any more
	clients *clients
	door    *doorkeeper // nil: all may come in
	ready   atomic.Bool // there are servers to send to
	ending  atomic.Bool // the sidecar shuts down
}

// clientKey is the context key of a request's connection.
type clientKey struct{}

func (f *front) server(log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      longest(f.cfg.Balance.Classes) + writeTimeout,
		IdleTimeout:       keepAlive,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnState:         f.clients.follow,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, c)
		},
	}
}

// ServeHTTP takes each path as it is written: http.ServeMux would answer some with a redirection, which is no
// answer that the application knows.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cl := r.Context().Value(clientKey{}).(*client)
	cl.next()
	switch path := r.URL.Path; {
	case path == "/api" || strings.HasPrefix(path, "/api/"):
		f.api(w, r, cl)
	case path == "/up" && r.Method == http.MethodGet:
		f.up(w)
	default:
		turnAway(w, &badRequest{http.StatusNotFound, "no such path"})
	}
}

func (f *front) up(w http.ResponseWriter) {
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

func (f *front) api(w http.ResponseWriter, r *http.Request, cl *client) {
	if ok, holdOff := f.door.admit(); !ok {
		refused(float64(holdOff.Milliseconds())).write(w)
		return
	}
	c, err := f.parse(w, r)
	behind := cl.behind()
	if err == nil && behind == waiting {
		err = malformed("more than the request that was announced")
	}
	if err != nil {
		turnAway(w, err)
		return
	}
	if behind == closed {
		// The client has gone before anything was done for it, as all have that a stopped sidecar finds when it goes on.
		w.Header().Set("Connection", "close")
		refused(0).write(w)
		return
	}
	f.post(arrived{c})
	select {
	case a := <-c.answers:
		// Decided when the answer is there, not when the request came: many wait when the end comes.
		if a.last || f.ending.Load() || cl.framing.blind || cl.behind() != silent || cl.owner.crowded() {
			w.Header().Set("Connection", "close")
		}
		a.write(w)
	case <-r.Context().Done():
		// The client is gone, as far as can be told. One that has only ended its sending is owed an answer all the same.
		f.post(leftBy{c})
		select {
		case a := <-c.answers:
			w.Header().Set("Connection", "close")
			a.write(w)
		case <-f.done:
			panic(http.ErrAbortHandler)
		}
	case <-f.done:
		panic(http.ErrAbortHandler)
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
	c := &call{received: time.Now(), answers: make(chan *answer, 1), trace: r.Header.Get("X-Trace-Id")}
	for _, name := range once {
		if len(r.Header[name]) > 1 {
			return nil, malformed("%s more than once", name)
		}
	}
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
	if r.ContentLength > maxBody {
		return nil, errLongBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			return nil, errLongBody
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, &badRequest{http.StatusRequestTimeout, "the body does not come"}
		}
		return nil, malformed("body: %v", err)
	}
	if r.Method == http.MethodGet && len(body) > 0 {
		return nil, malformed("a body where none belongs")
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

// once lists the headers that say what a request is; of two values of one of them neither can be trusted.
var once = []string{
	"X-Trace-Id", "X-Qos", "X-Customer", "X-Object", "X-Expires-In", "X-Second-Try", "X-Size-Hint", "Idempotency-Key",
}

var errLongBody = &badRequest{http.StatusRequestEntityTooLarge, "body too long"}

// maxToken bounds an identifier; those in use have 16 and 32 characters.
const maxToken = 256

// isToken reports whether text can name something: visible ASCII without spaces.
func isToken(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != "" && len(text) <= maxToken
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
	if !isToken(r.Header.Get("X-Trace-Id")) {
		return malformed("no X-Trace-Id, or one that is no token")
	}
	if effect == balance.Keyed && !isToken(r.Header.Get("Idempotency-Key")) {
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
