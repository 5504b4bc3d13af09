package http

// This file determines outcomes from how attempts ended.

import (
	"errors"
	"net/http"
	"os"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/httpwire"
)

// connectOutcome returns the outcome of an attempt without a connection. A local failure must not count against the
// server.
func connectOutcome(a *attempt, err error) balance.Result {
	if a.ctx.Err() != nil || errors.Is(err, errNoSocket) || !time.Now().Before(a.Deadline) {
		return balance.NotSent
	}
	return balance.ConnectFailed
}

// newAnswer returns the response without its body. It takes ownership of the header.
func (h *responseHead) newAnswer() *core.Answer {
	delete(h.header, loadHeader)
	httpwire.RemoveHopByHop(h.header)
	return &core.Answer{Meta: h.header, ContentType: h.header.Get("Content-Type")}
}

func interrupted(a *attempt, err error) bool {
	return a.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// failureOutcome returns the outcome of a request that was written completely but has no complete response.
func (a *attempt) failureOutcome(err error) balance.Result {
	if a.ctx.Err() != nil {
		return balance.Cancelled
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.TimedOut
	}
	return balance.Reset
}

// outcome returns the outcome that a response proves.
func (h *responseHead) outcome() balance.Result {
	switch h.status {
	case http.StatusOK:
		return balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if h.header.Get(neverRanHeader) == "1" {
			return balance.Rejected
		}
	}
	return balance.Failed
}

// methodOf returns the HTTP method of a message. A safe request with a body cannot use GET.
func methodOf(m *core.Message) string {
	if m.Verb != "" {
		return m.Verb
	}
	if m.Safe && len(m.Body) == 0 && m.Stream == nil {
		return http.MethodGet
	}
	return http.MethodPost
}
