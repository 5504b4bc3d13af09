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

// sidecarDialect is the protocol with other sidecars, on the sending side. It implements httpback.Dialect, and is safe for concurrent use.
type sidecarDialect struct {
	inFlight  *inflight.Tracker[*core.Attempt]
	service   *atomic.Pointer[string] // of the local server, which counts as the caller
	reachable func(addr string)       // records that the sidecar at an address has responded
}

// Keep implements httpback.Dialect: clients' headers are forwarded, but for those that sidecars set.
func (sidecarDialect) Keep(name string) bool { return !isSidecarHeader(name) }

// rejectedByServer is the detail of a rejection by the server itself.
const rejectedByServer = "by the server"

// Fields implements httpback.Dialect: it writes the headers between sidecars, and numbers what must not run twice.
func (d sidecarDialect) Fields(dst []byte, a *core.Attempt, left time.Duration) []byte {
	dst = appendDeadline(dst, left)
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

// Ours implements httpback.Dialect.
func (sidecarDialect) Ours(a *core.Attempt, h http.Header) bool { return belongsTo(a, h) }

// Passes implements httpback.Dialect: a server's success may be passed on while its body is still coming.
func (d sidecarDialect) Passes(a *core.Attempt, status int, h http.Header) bool {
	d.reachable(a.Endpoint.Addr())
	return isSuccess(status) && attempts.Outcome(h.Get(outcomeHeader)) == attempts.Executed && postmarked(h)
}

// Judge implements httpback.Dialect: it draws the evidence of a last hop's response.
func (d sidecarDialect) Judge(a *core.Attempt, status int, h http.Header, body []byte) core.Result {
	d.reachable(a.Endpoint.Addr())
	outcome := attempts.Outcome(h.Get(outcomeHeader))
	delete(h, outcomeHeader)
	evidence := d.inFlight.HandleResponse(a, outcome, responseOf(a, status, h), parseIncarnation(h.Get(incarnationHeader)))
	answer := &core.Answer{Kind: core.Served, Status: status, Meta: h, Body: body}
	switch evidence {
	case attempts.NeverExecuted:
		return core.Result{Outcome: balance.Rejected, NotDelivered: true, Detail: detailOf(body)}
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
