package http

// This file asks a server how it is.

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

// ask probes an endpoint.
func (u *upstream) ask(ctx context.Context, e *core.Endpoint) core.Result {
	cut := time.Now().Add(u.pool.connectTimeout + probePatience)
	c, err := u.pool.get(ctx, e, cut, 0)
	if err != nil {
		return core.Result{Outcome: balance.ConnectFailed}
	}
	r, reusable := u.askOn(ctx, c, cut)
	u.pool.giveBack(c, reusable)
	return r
}

func (u *upstream) askOn(ctx context.Context, c *conn, cut time.Time) (r core.Result, reusable bool) {
	_ = c.SetDeadline(cut) // fails only on a closed connection, as the next call on it does
	// Fails only on a closed connection, as the next call on it does.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
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

// probed is the result of an answer to a probe.
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
