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

// progress is how much of a request the kernel has accepted for a connection.
type progress uint8

const (
	nothingSent progress = iota
	partlySent
	completelySent
)

// ending is why an attempt ended without a response.
type ending uint8

const (
	endedByCancel     ending = iota // it was cancelled, or its client or this process failed
	endedByDeadline                 // its deadline has passed
	endedByConnection               // the connection failed, or the server closed it
)

// unansweredOutcome returns the outcome of an attempt that ended without a response. No other function concludes from the end of a
// connection that a server has not started a request: it may have, from the first byte that was sent. Only in the platform of package
// settings no server starts a request before its last byte.
func (u *upstream) unansweredOutcome(sent progress, why ending) balance.Result {
	startsAtLastByte := u.dialect == nil
	if sent == nothingSent || sent == partlySent && startsAtLastByte {
		if why == endedByConnection {
			return balance.ConnectFailed
		}
		return balance.NotSent
	}
	switch why {
	case endedByCancel:
		return balance.Cancelled
	case endedByDeadline:
		return balance.TimedOut
	}
	return balance.Reset
}

// connectOutcome returns the outcome of an attempt without a connection. A local failure must not count against the
// server.
func (u *upstream) connectOutcome(a *attempt, err error) balance.Result {
	if a.ctx.Err() != nil || errors.Is(err, errNoSocket) || !time.Now().Before(a.Deadline) {
		return u.unansweredOutcome(nothingSent, endedByCancel)
	}
	return u.unansweredOutcome(nothingSent, endedByConnection)
}

// newAnswer returns the response without its body. It takes ownership of the header.
func (h *responseHead) newAnswer() *core.Answer {
	delete(h.header, loadHeader)
	httpwire.RemoveHopByHop(h.header)
	return &core.Answer{Meta: h.header, ContentType: h.header.Get("Content-Type")}
}

// endingBy returns why an attempt ends with an error of its connection.
func (a *attempt) endingBy(err error) ending {
	switch {
	case a.ctx.Err() != nil:
		return endedByCancel
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endedByDeadline
	}
	return endedByConnection
}

// responseFailure returns the outcome of an attempt whose response could not be read completely.
func (u *upstream) responseFailure(a *attempt, err error) balance.Result {
	return u.unansweredOutcome(completelySent, a.endingBy(err))
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
