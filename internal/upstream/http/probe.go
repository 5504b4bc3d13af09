package http

// This file probes servers.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"firplank/balance"
	"firplank/internal/core"
)

// sendProbe probes an endpoint over a connection of the pool.
func (u *upstream) sendProbe(ctx context.Context, e *core.Endpoint) core.Result {
	deadline := time.Now().Add(u.pool.connectTimeout + probeGrace)
	c, err := u.pool.get(ctx, e, deadline, 0)
	if err != nil {
		return core.Result{Outcome: balance.ConnectFailed}
	}
	r, reusable := u.probeConn(ctx, c, deadline)
	u.pool.returnConn(c, reusable)
	return r
}

func (u *upstream) probeConn(ctx context.Context, c *conn, deadline time.Time) (r core.Result, reusable bool) {
	_ = c.SetDeadline(deadline) // fails only on a closed connection, and so does the next call
	// Fails only on a closed connection, and so does the next call.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() { reusable = stop() && reusable }()
	if _, err := c.Write(u.probeRequest(c.addr)); err != nil {
		return core.Result{Outcome: balance.ConnectFailed}, false
	}
	resp, body, err := c.reader.readWhole(http.MethodGet)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return core.Result{Outcome: balance.TimedOut}, false
	}
	if err != nil {
		return core.Result{Outcome: balance.Reset}, false
	}
	return u.probeResult(headOf(resp), body), !resp.Close && c.reader.Buffered() == 0
}

// probeRequest returns the request of a probe.
func (u *upstream) probeRequest(addr string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", u.probePath, addr)
}

// probeResult returns the result that a response to a probe means.
func (u *upstream) probeResult(h *responseHead, body []byte) core.Result {
	r := core.Result{Outcome: balance.Failed, Report: loadReport(h.header, u.reportFields)}
	if r.Report == nil {
		r.Report = parseReport(string(body), u.reportFields)
	}
	if h.status == http.StatusOK {
		r.Outcome = balance.OK
	}
	return r
}
