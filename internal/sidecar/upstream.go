package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"cedararch/balance"
)

const (
	maxBody       = 64 << 10 // of any message
	loadHeader    = "Endpoint-Load-Metrics"
	expiryHeader  = "X-Expires-In"
	neverRan      = "X-Never-Ran"
	probePatience = 250 * time.Millisecond // beyond the time for a connection
)

// endpoint is one server as the upstream side knows it. The loop changes it, attempts read it.
type endpoint struct {
	id     balance.ServerID
	name   string
	addr   atomic.Pointer[string]
	closed atomic.Bool // it drains or is gone: nothing new may be sent

	lateUntil time.Time // guarded by pool.mu: until then no connection to it is used again
}

// attempt is one try of a request at an endpoint. Its fields do not change but for the flags.
type attempt struct {
	id       balance.RequestID
	number   int
	endpoint *endpoint
	message  *message
	sent     float64   // the loop's clock
	cut      time.Time // when it is given up
	ctx      context.Context
	cancel   context.CancelFunc
	answered atomic.Bool // the request has its final answer: nothing more may be sent for it
}

// message is the part of a client's request that goes on to a server.
type message struct {
	method, uri, host string
	header            http.Header
	body              []byte
}

// result is how an attempt or a probe ended.
type result struct {
	outcome balance.Result
	answer  *answer // of an OK
	report  []float32
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

func dropHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// upstream sends attempts and probes to servers over connections of its own. It uses no http.Transport: that
// sends a request again by itself when a kept connection turns out to be dead, and does not tell whether the
// last byte was written, on which it hangs whether a request may have run.
type upstream struct {
	pool   *pool
	fields []string
	probe  string // path
}

// try makes an attempt and tells how it ended.
func (u *upstream) try(a *attempt) result {
	c, err := u.pool.get(a.ctx, a.endpoint, a.cut)
	if err != nil {
		return result{outcome: unconnected(a, err)}
	}
	// A dial can outlast the news that the server drains, or the request itself. Nothing was sent yet.
	if a.endpoint.closed.Load() || a.answered.Load() || a.ctx.Err() != nil || !time.Now().Before(a.cut) {
		u.pool.put(c)
		return result{outcome: balance.Moot}
	}
	r, reusable := u.exchange(a, c)
	u.pool.giveBack(c, reusable)
	return r
}

// unconnected tells the server's failures from this side's own, which must not be held against it.
func unconnected(a *attempt, err error) balance.Result {
	if a.ctx.Err() != nil || errors.Is(err, errNoSocket) || !time.Now().Before(a.cut) {
		return balance.Moot
	}
	return balance.ConnectFailed
}

// exchange writes the request and reads the answer. Cancelling an attempt ends its connection.
func (u *upstream) exchange(a *attempt, c *conn) (r result, reusable bool) {
	request, err := a.message.encode(a.cut)
	if err != nil {
		return result{outcome: balance.Moot}, false
	}
	c.SetDeadline(a.cut)
	stop := context.AfterFunc(a.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() { reusable = stop() && reusable }()

	// One write, so that what the kernel took tells whether the last byte went out.
	if n, err := c.Write(request); n < len(request) {
		if interrupted(a, err) {
			return result{outcome: balance.Moot}, false
		}
		return result{outcome: balance.ConnectFailed}, false
	}
	resp, body, err := c.in.next(a.message.method)
	if err != nil {
		return result{outcome: a.broken(err)}, false
	}
	r = result{outcome: outcomeOf(resp), report: reportOf(resp, u.fields)}
	if r.outcome == balance.OK && u.pool.isCopy(c, body) {
		return result{outcome: balance.Reset}, false // the answer to this request is yet to come, or never will
	}
	if r.outcome == balance.OK {
		resp.Header.Del(loadHeader)
		dropHopHeaders(resp.Header)
		r.answer = &answer{status: http.StatusOK, header: resp.Header, body: body}
	}
	return r, !resp.Close && c.in.Buffered() == 0
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

func outcomeOf(resp *http.Response) balance.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(neverRan) == "1" {
			return balance.Full
		}
	}
	return balance.Failed
}

// encode writes the message as it goes to a server, which is told the time that remains until cut.
func (m *message) encode(cut time.Time) ([]byte, error) {
	req := http.Request{
		Method: m.method,
		URL:    &url.URL{Opaque: m.uri}, // goes on as the client wrote it
		Header: m.header.Clone(),
		Host:   m.host,
	}
	req.Header.Set(expiryHeader, strconv.FormatInt(max(1, time.Until(cut).Microseconds()), 10)+"u")
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // else Write adds one of its own
	}
	if len(m.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.body)), int64(len(m.body))
	} else if m.method != http.MethodGet {
		req.Body = http.NoBody
	}
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return out.Bytes(), nil
}

// ask probes an endpoint.
func (u *upstream) ask(ctx context.Context, e *endpoint) result {
	cut := time.Now().Add(u.pool.connectTimeout + probePatience)
	c, err := u.pool.get(ctx, e, cut)
	if err != nil {
		return result{outcome: balance.ConnectFailed}
	}
	r, reusable := u.askOn(ctx, e, c, cut)
	u.pool.giveBack(c, reusable)
	return r
}

func (u *upstream) askOn(ctx context.Context, e *endpoint, c *conn, cut time.Time) (r result, reusable bool) {
	c.SetDeadline(cut)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() { reusable = stop() && reusable }()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", u.probe, c.addr); err != nil {
		return result{outcome: balance.ConnectFailed}, false
	}
	resp, body, err := c.in.next(http.MethodGet)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result{outcome: balance.TimedOut}, false
	}
	if err != nil {
		return result{outcome: balance.Reset}, false
	}
	r = result{outcome: balance.Failed, report: reportOf(resp, u.fields)}
	if r.report == nil {
		r.report = parseReport(string(body), u.fields)
	}
	if resp.StatusCode == http.StatusOK {
		r.outcome = balance.OK
	}
	return r, !resp.Close && c.in.Buffered() == 0
}

// exhausted reports whether err says that this machine has no socket to spare.
func exhausted(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
