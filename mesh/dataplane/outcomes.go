package dataplane

import (
	"net/http"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/mesh/attempts"
)

// This file has the last hop's answers to forwarded requests, and to queries of sending sidecars about attempts whose connection broke.
// A query is a separate HTTP request to the incoming address that carries queryHeader in place of the other headers between sidecars. Its
// response is the one that was lost, or one that proves that the attempt did not start. As queries use HTTP, their responses pass through
// the same pools, limits and evaluation as other responses.

// answerQuery answers a query about an attempt: at once, or when the attempt ends.
func (l *lastHop) answerQuery(c *core.Call, text string) {
	id, ok := parseAttemptID(text)
	if !ok {
		c.Client.Answer(c, ownAnswer(http.StatusBadGateway, attempts.Indeterminate, "a question about no try", 0))
		return
	}
	l.mu.Lock()
	status, cached := l.gate.Query(l.now(), id, c)
	l.mu.Unlock()
	switch status {
	case attempts.Running: // finish answers the query
	case attempts.NotStarted:
		c.Client.Answer(c, notStartedAnswer())
	case attempts.Finished:
		c.Client.Answer(c, cached)
	default:
		c.Client.Answer(c, unknownOutcomeAnswer())
	}
}

// notStartedAnswer is the answer to a query whose attempt has not started, and is barred from starting here.
func notStartedAnswer() *core.Answer {
	return ownAnswer(http.StatusServiceUnavailable, attempts.Barred, "it has not begun, and will not", 0)
}

// unknownOutcomeAnswer is the answer to a query whose attempt may have run.
func unknownOutcomeAnswer() *core.Answer {
	return ownAnswer(http.StatusBadGateway, attempts.Indeterminate, "it may have run", 0)
}

// lastHopAnswer returns the answer to the sending sidecar for a request that ended with r.
func lastHopAnswer(r core.Result) *core.Answer {
	if a := r.Answer; a != nil {
		if r.Outcome == balance.Rejected {
			a.Meta[outcomeHeader] = []string{string(attempts.Rejected)}
		} else {
			a.Meta[outcomeHeader] = []string{string(attempts.Executed)}
		}
		return a
	}
	switch {
	case neverStarted(r):
		return ownAnswer(http.StatusServiceUnavailable, attempts.NotReceived, "the server was not reached", 0)
	case r.Outcome == balance.TimedOut:
		return ownAnswer(http.StatusGatewayTimeout, attempts.DeadlineExceeded, "out of time", 0)
	}
	return ownAnswer(http.StatusBadGateway, attempts.Indeterminate, "the server broke off", 0)
}

// queryAnswer returns the answer to a query that waited for its attempt to end. The attempt ended with r; its sender got answer.
func queryAnswer(answer *core.Answer, r core.Result) *core.Answer {
	switch {
	case neverStarted(r):
		return notStartedAnswer()
	case answer.Stream != nil:
		return unknownOutcomeAnswer()
	}
	return answer
}

// neverStarted reports whether a request that ended with r has not reached the server.
func neverStarted(r core.Result) bool { return r.Answer == nil && r.Outcome.ProvesNotSent() }

// answerOverheadBytes estimates the memory of an answer besides its headers and body.
const answerOverheadBytes = 256

// answerSize estimates the memory of an answer, in bytes.
func answerSize(a *core.Answer) int {
	size := answerOverheadBytes + len(a.Body)
	for name, values := range a.Meta {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}
