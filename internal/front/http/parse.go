package http

// This file makes a call of a request, or tells what is wrong with it; both fronts use it.

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"firplank/balance"
	"firplank/contract"
	"firplank/internal/bodypipe"
	"firplank/internal/core"
	"firplank/internal/httpwire"
	"firplank/report"
)

// Dialect says what requests mean to a front that does not serve the platform's own.
type Dialect interface {
	// Fill makes a call of a request, or answers it itself, or says what is wrong with it. The body and the header are the
	// call's from now on.
	Fill(c *core.Call, r *Request, body []byte) (*core.Answer, error)
	// Verdict words an error that Fill, or the reading of a request, has ended with.
	ErrorAnswer(status int, text string) *core.Answer
}

// Request is the head of a request, as it came.
type Request struct {
	Method, Target, Path, Host string
	Header                     http.Header
}

// parse checks a request and turns it into a call.
func (f *Front) parse(r *http.Request) (*call, error) {
	c := &call{answers: make(chan *core.Answer, 1)}
	c.Client = c
	if r.ContentLength > httpwire.MaxStreamedBody {
		return nil, errBodyTooLong
	}
	var body []byte
	var err error
	if r.ContentLength <= httpwire.MaxBufferedBody {
		body, err = io.ReadAll(io.LimitReader(r.Body, httpwire.MaxBufferedBody+1))
	}
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, &badRequest{http.StatusRequestTimeout, "the body does not come"}
		}
		return nil, malformed("body: %v", err)
	}
	if r.ContentLength > httpwire.MaxBufferedBody || len(body) > httpwire.MaxBufferedBody {
		c.Message.Stream = bodypipe.New(r.ContentLength)
		_ = c.Message.Stream.Append(body) // nobody has the new pipe yet who could close it
		body = nil
	}
	h := &head{method: r.Method, target: r.RequestURI, path: r.URL.Path, host: r.Host, header: r.Header}
	c.directAnswer, err = f.cfg.fillCall(&c.Call, h, body)
	return c, err
}

// classOf is the class that a request says it is of; -1 for none that there is.
func (cf *Config) classOf(h http.Header) int {
	if class, ok := cf.Catalog.Class(h.Get("X-Qos")); ok {
		return class
	}
	return -1
}

// countTurnedAway counts a request that the door refused.
func (cf *Config) countRejected(class int, h http.Header) {
	tenant, ok := cf.Catalog.Tenant(h.Get("X-Customer"))
	if !ok {
		tenant = -1
	}
	cf.Counts.Asked(class, tenant, h.Get("X-Second-Try") == "1")
	cf.Counts.Ended(class, tenant, report.Refused, 0)
}

// fillAny makes a call of a request, in whatever dialect, or its answer.
func (cf *Config) fillCall(c *core.Call, r *head, body []byte) (*core.Answer, error) {
	if cf.Dialect != nil {
		return cf.Dialect.Fill(c, r.request(), body)
	}
	return nil, cf.fillDefault(c, r, body)
}

// fill checks a request and makes a call of it. The header is the call's from now on.
func (cf *Config) fillDefault(c *core.Call, r *head, body []byte) error {
	h := r.header
	for _, name := range singleValueHeaders {
		if len(h[name]) > 1 {
			return malformed("%s more than once", name)
		}
	}
	class, ok := cf.Catalog.Class(h.Get("X-Qos"))
	if !ok {
		return malformed("unknown class %q in X-Qos", h.Get("X-Qos"))
	}
	tenant, ok := cf.Catalog.Tenant(h.Get("X-Customer"))
	if !ok {
		return malformed("unknown tenant %q in X-Customer", h.Get("X-Customer"))
	}
	rules := &cf.Catalog.Classes[class]
	if err := cf.checkMethodAndTokens(r, rules.Effect); err != nil {
		return err
	}
	remaining, err := parseExpiry(h.Get(httpwire.ExpiryHeader), rules.Deadline)
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
	c.Request = balance.Request{
		Class: class, Tenant: tenant, WorkHint: hint / 1000, Key: core.ObjectKey(h.Get("X-Object")),
		Remaining: remaining, Retry: h.Get("X-Second-Try") == "1",
	}
	httpwire.RemoveHopByHop(h)
	c.Message = core.Message{
		Trace: c.Name, Class: h.Get("X-Qos"), Tenant: h.Get("X-Customer"), Object: h.Get("X-Object"),
		IdempotencyKey: h.Get("Idempotency-Key"), Safe: rules.Effect == balance.Safe,
		Target: r.target, Authority: r.host, Meta: h, ContentType: h.Get("Content-Type"), Body: body,
		Stream: c.Message.Stream, AcceptsStream: true,
	}
	if cf.Claims {
		c.Claim = claimOf(h)
	}
	if cf.Method != nil {
		c.Message.Method = cf.Method(r.path)
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
var singleValueHeaders = []string{
	"X-Trace-Id", "X-Qos", "X-Customer", "X-Object", "X-Expires-In", "X-Second-Try", "X-Size-Hint", "Idempotency-Key",
	"Authorization",
}

var errBodyTooLong = &badRequest{http.StatusRequestEntityTooLarge, "body too long"}

// checkForm: the method follows from the class, and what the servers need must be there.
func (cf *Config) checkMethodAndTokens(r *head, effect balance.Effect) error {
	method := http.MethodPost
	if effect == balance.Safe && !(cf.Method != nil && r.header.Get("Content-Type") == core.MessagePack) {
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
func parseExpiry(text string, maxMillis float64) (float64, error) {
	if text == "" {
		return maxMillis, nil
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
	return min(v, maxMillis), nil
}
