package core

import (
	"time"

	"firplank/balance"
)

// Observer is notified of the ends of requests and attempts, for metrics and the log. Its methods are called from the
// exchange's goroutine and must not block.
type Observer interface {
	// RequestEnded reports the final answer of a call; nil: its client has disconnected. The attempts are those made so far,
	// in order. The cause is the balancer's reason if it did not serve the call.
	RequestEnded(c *Call, a *Answer, attempts []*Attempt, cause balance.Cause)
	// AttemptEnded reports the end of an attempt.
	AttemptEnded(a *Attempt)
}

// Ended returns the result and latency of an attempt that has ended; ok is false while it is in flight. It is for use by
// an Observer, on the exchange's goroutine.
func (a *Attempt) Ended() (r Result, latency time.Duration, ok bool) {
	if !a.recorded {
		return Result{}, 0, false
	}
	return a.result, millis(a.latency), true
}

// observeEnd notifies the observer of a request's end.
func (l *Loop) observeEnd(r *request, a *Answer) {
	if l.cfg.Observer != nil {
		l.cfg.Observer.RequestEnded(r.call, a, r.attempts, r.cause)
	}
}

// observeAttempt marks an attempt as recorded and notifies the observer.
func (l *Loop) observeAttempt(a *Attempt) {
	a.recorded = true
	if l.cfg.Observer != nil {
		l.cfg.Observer.AttemptEnded(a)
	}
}
