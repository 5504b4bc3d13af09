package core

import (
	"time"

	"github.com/go-faster/errors"

	"firplank/balance"
)

// expiryGraceMillis is the time after its deadline at which the loop fails a request that the balancer has not ended.
const expiryGraceMillis = 10

var errAnswered = errors.New("the request has its answer")

// failure returns the answer of a failed request: a server's own, if there is one.
func (l *Loop) failure(a *balance.Action) *Answer {
	if r := l.requests[a.Request]; r != nil && r.serverAnswer != nil {
		return r.serverAnswer
	}
	return failed(NotServed, "failed")
}

// failed returns an answer of kind Failed.
func failed(reason Reason, text string) *Answer {
	return &Answer{Kind: Failed, Reason: reason, Text: text}
}

// refusal returns the answer of a refused request, with a retry-after time in ms as far as the settings allow it.
func (l *Loop) refusal(retryAfterMillis float64) *Answer {
	if b := &l.cfg.Balance; b.RetryAfter {
		return Refusal(millis(min(retryAfterMillis, b.MaxRetryAfter)))
	}
	return Refusal(0)
}

// Refusal returns an answer of kind Refused with a retry-after time; 0: none.
func Refusal(retryAfter time.Duration) *Answer {
	return &Answer{Kind: Refused, RetryAfter: max(0, retryAfter), Text: "refused, trying again is harmless"}
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
