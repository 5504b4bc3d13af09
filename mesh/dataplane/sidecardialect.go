package dataplane

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/mesh/attempts"
	"firplank/mesh/dataplane/inflight"
)

// sidecarDialect is the sending side of the protocol between sidecars. It implements httpback.Dialect, and is safe for concurrent use.
type sidecarDialect struct {
	inFlight        *inflight.Tracker[*core.Attempt]
	service         *atomic.Pointer[string] // of the local server, sent as the caller
	recordReachable func(addr string)       // records that the sidecar at addr has responded
}

// ForwardsHeader implements httpback.Dialect: it forwards the headers of clients, except those that only sidecars set.
func (sidecarDialect) ForwardsHeader(name string) bool { return !isSidecarHeader(name) }

// rejectedByServer is the detail of a result, for the log, if the server itself rejected the request.
const rejectedByServer = "by the server"

// AppendHeaders implements httpback.Dialect: it writes the headers between sidecars, and assigns an ID to an attempt
// that must not run twice.
func (d sidecarDialect) AppendHeaders(dst []byte, a *core.Attempt, remaining time.Duration) []byte {
	dst = appendDeadline(dst, remaining)
	if query := d.inFlight.QueryFor(a); query != nil {
		return appendField(dst, queryHeader, formatAttemptID(query.Attempt.ID))
	}
	if !a.Message.Safe {
		dst = appendField(dst, attemptHeader, formatAttemptID(d.inFlight.Begin(a, a.Endpoint.Addr())))
	}
	dst = appendField(dst, callerServiceHeader, *d.service.Load())
	dst = appendField(dst, serverIDHeader, a.Endpoint.Name())
	dst = appendField(dst, rankHeader, strconv.Itoa(a.Message.Priority)+"."+strconv.Itoa(a.Number()))
	return appendField(dst, versionHeader, strconv.FormatUint(a.Message.ConfigVersion, 16))
}

// Matches implements httpback.Dialect.
func (sidecarDialect) Matches(a *core.Attempt, h http.Header) bool { return belongsTo(a, h) }

// Streamable implements httpback.Dialect: a server's successful response may be passed on before its whole body is received.
func (d sidecarDialect) Streamable(a *core.Attempt, status int, h http.Header) bool {
	d.recordReachable(a.Endpoint.Addr())
	return isSuccess(status) && attempts.Outcome(h.Get(outcomeHeader)) == attempts.Executed && postmarked(h)
}

// Evaluate implements httpback.Dialect: it determines an attempt's outcome from a last hop's response.
func (d sidecarDialect) Evaluate(a *core.Attempt, status int, h http.Header, body []byte) core.Result {
	d.recordReachable(a.Endpoint.Addr())
	outcome := attempts.Outcome(h.Get(outcomeHeader))
	delete(h, outcomeHeader)
	evidence := d.inFlight.HandleResponse(a, outcome, responseOf(a, status, h), parseIncarnation(h.Get(incarnationHeader)))
	answer := &core.Answer{Kind: core.Served, Status: status, Meta: h, Body: body}
	switch evidence {
	case attempts.NeverExecuted:
		return core.Result{Outcome: balance.Rejected, NotDelivered: true, Detail: rejectionDetail(body)}
	case attempts.RejectedByServer:
		return core.Result{Outcome: balance.Rejected, Detail: rejectedByServer}
	case attempts.TimedOut:
		return core.Result{Outcome: balance.TimedOut, Answer: ownAnswer(http.StatusGatewayTimeout, "", "out of time", 0)}
	case attempts.Succeeded:
		return core.Result{Outcome: balance.OK, Answer: answer}
	case attempts.Failed:
		return core.Result{Outcome: balance.Failed, Answer: answer}
	}
	return core.Result{Outcome: balance.Reset}
}
