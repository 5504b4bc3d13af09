package http

// This file draws the evidence of the end of an attempt.

import (
	"errors"
	"net/http"
	"os"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/httpwire"
)

// unconnected is the outcome where there is no connection: a failure of this side's own must not count against the server.
func connectOutcome(a *attempt, err error) balance.Result {
	if a.ctx.Err() != nil || errors.Is(err, errNoSocket) || !time.Now().Before(a.Deadline) {
		return balance.NotSent
	}
	return balance.ConnectFailed
}

// answer is an answer without its body. The head's fields are its own from now on.
func (h *responseHead) newAnswer() *core.Answer {
	delete(h.header, loadHeader)
	httpwire.RemoveHopByHop(h.header)
	return &core.Answer{Meta: h.header, ContentType: h.header.Get("Content-Type")}
}

func interrupted(a *attempt, err error) bool {
	return a.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// broken is the outcome where no whole answer came to a request that was written whole.
func (a *attempt) failureOutcome(err error) balance.Result {
	if a.ctx.Err() != nil {
		return balance.Cancelled
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.TimedOut
	}
	return balance.Reset
}

// outcome is what an answer proves.
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
