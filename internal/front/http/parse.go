package http

// This file turns requests into calls and validates them, for both fronts.

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

// Dialect defines the meaning of requests for a front that does not use the platform's headers.
type Dialect interface {
	// Fill sets the fields of a call from a request, or returns the answer to it, or the error in it. The call owns the body and
	// the header afterwards.
	Fill(c *core.Call, r *Request, body []byte) (*core.Answer, error)
	// ErrorAnswer returns the answer for an error of Fill or of reading a request that was not submitted.
	ErrorAnswer(status int, text string) *core.Answer
	// UploadErrorAnswer returns the answer for an error of reading the body of a request that was submitted before. A server may have started
	// it.
	UploadErrorAnswer(text string) *core.Answer
}

// Request is the head of a request as it was received.
type Request struct {
	Method, Target, Path, Host string
	Header                     http.Header
}

// parse reads and validates a request and turns it into a call.
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
		_ = c.Message.Stream.Append(body) // cannot fail: the new pipe is not closed
		body = nil
	}
	h := &head{method: r.Method, target: r.RequestURI, path: r.URL.Path, host: r.Host, header: r.Header}
	c.directAnswer, err = f.cfg.fillCall(&c.Call, h, body)
	return c, err
}

// classOf returns the class that a request names, or -1 if it is unknown.
func (cf *Config) classOf(h http.Header) int {
	if class, ok := cf.Catalog.Class(h.Get("X-Qos")); ok {
		return class
	}
	return -1
}

// countRejected counts a request that the load shedder rejected.
func (cf *Config) countRejected(class int, h http.Header) {
	tenant, ok := cf.Catalog.Tenant(h.Get("X-Customer"))
	if !ok {
		tenant = -1
	}
	cf.Counts.RequestReceived(class, tenant, h.Get("X-Second-Try") == "1")
	cf.Counts.RequestEnded(class, tenant, report.Refused, 0)
}

// fillCall sets the fields of a call from a request, by the dialect if there is one, which may return the answer instead.
func (cf *Config) fillCall(c *core.Call, r *head, body []byte) (*core.Answer, error) {
	if cf.Dialect != nil {
		return cf.Dialect.Fill(c, r.request(), body)
	}
	return nil, cf.fillDefault(c, r, body)
}

// fillDefault validates a request with the platform's headers and sets the fields of a call from it. The call owns the header
// afterwards.
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

// listenerName is the name of this front in contracts.
const listenerName = "http"

// claimOf returns the claimed identity of a request's sender. It contains only the digest of the token.
func claimOf(h http.Header) *contract.Claim {
	c := &contract.Claim{Tenant: h.Get("X-Customer"), Listener: listenerName}
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		c.Token, c.HasToken = contract.DigestOf(strings.TrimSpace(token)), true
	}
	return c
}

// singleValueHeaders are the headers that may occur once: of two different values, neither can be trusted.
var singleValueHeaders = []string{
	"X-Trace-Id", "X-Qos", "X-Customer", "X-Object", "X-Expires-In", "X-Second-Try", "X-Size-Hint", "Idempotency-Key",
	"Authorization",
}

var errBodyTooLong = &badRequest{http.StatusRequestEntityTooLarge, "body too long"}

// checkMethodAndTokens checks that the method fits the effect of the class, and that the ids which servers need are present.
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

// parseExpiry parses "480m" (milliseconds) or "480000u" (microseconds) and returns milliseconds, at most maxMillis, the
// deadline of the class. An empty text yields maxMillis.
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
