package dataplane

import (
	"net/http"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/mesh/attempts"
)

// serverDialect is the protocol with the local server. It implements httpback.Dialect, and is safe for concurrent use.
type serverDialect struct{}

// ForwardsHeader implements httpback.Dialect: of the headers that sidecars set, the server gets those that the platform defines for it.
func (serverDialect) ForwardsHeader(name string) bool {
	return name == serverIDHeader || name == callerServiceHeader || !isSidecarHeader(name)
}

// AppendHeaders implements httpback.Dialect: it writes the time remaining.
func (serverDialect) AppendHeaders(dst []byte, _ *core.Attempt, remaining time.Duration) []byte {
	return appendDeadline(dst, remaining)
}

// Matches implements httpback.Dialect.
func (serverDialect) Matches(a *core.Attempt, h http.Header) bool { return belongsTo(a, h) }

// Streamable implements httpback.Dialect: a successful response may be passed on before its whole body is received.
func (serverDialect) Streamable(_ *core.Attempt, status int, h http.Header) bool {
	return isSuccess(status) && postmarked(h)
}

// Evaluate implements httpback.Dialect: it determines an attempt's outcome from a server's response. Headers that only a
// last hop may set are removed.
func (serverDialect) Evaluate(a *core.Attempt, status int, h http.Header, body []byte) core.Result {
	delete(h, outcomeHeader)
	delete(h, incarnationHeader)
	answer := &core.Answer{Kind: core.Served, Status: status, Meta: h, Body: body}
	switch attempts.FromServer(responseOf(a, status, h)) {
	case attempts.RejectedByServer:
		return core.Result{Outcome: balance.Rejected, Answer: answer}
	case attempts.Succeeded:
		return core.Result{Outcome: balance.OK, Answer: answer}
	case attempts.Failed:
		return core.Result{Outcome: balance.Failed, Answer: answer}
	}
	return core.Result{Outcome: balance.Reset}
}
