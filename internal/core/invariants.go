package core

import (
	"math"
	"time"

	"firplank/internal/invariant"
)

// deadlineTolerance is the time by which an attempt's deadline may exceed its request's, because the loop's clock is only
// updated once for a batch of events.
const deadlineTolerance = 100 * time.Millisecond

// violated reports a violated invariant of a request.
func (l *Loop) violated(name invariant.Name, r *request, details ...any) {
	if l.cfg.Invariants == nil {
		return
	}
	attrs := []any{"request", r.call.Message.Trace, "target", r.call.Message.Target, "attempts", len(r.attempts)}
	l.cfg.Invariants.Violated(name, append(attrs, details...)...)
}

// mayHaveRun reports whether a server may have begun to execute the request by this attempt.
func (a *Attempt) mayHaveRun() bool {
	if !a.recorded {
		return true
	}
	return !a.result.Outcome.ProvesNotExecuted() && !a.result.NotDelivered
}

// uncertainAttempt returns an attempt of a request by which it may have been executed; nil: there is none.
func (r *request) uncertainAttempt() *Attempt {
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			return a
		}
	}
	return nil
}

// checkAttempt checks the invariants of an attempt that is about to begin and is not yet in the request's attempts.
func (l *Loop) checkAttempt(r *request, a *Attempt) {
	if l.cfg.Invariants == nil {
		return
	}
	if !r.call.Message.Safe {
		if earlier := r.uncertainAttempt(); earlier != nil {
			l.violated(invariant.NotResentAfterPossibleStart, r, "earlier", earlier.number, "ended", earlier.recorded,
				"outcome", int(earlier.result.Outcome))
		}
	}
	if limit := r.call.Request.MaxAttempts; limit > 0 {
		if reached := r.reachedServers(a); reached > limit {
			l.violated(invariant.AttemptsWithinLimit, r, "reached", reached, "limit", limit)
		}
	}
	if r.uploading || math.IsInf(r.call.Request.Remaining, 1) {
		return
	}
	remaining := max(r.call.Request.Remaining, 0)
	if streamed := r.call.Message.Stream != nil; !streamed && a.Deadline.After(r.call.Received.Add(millis(remaining)+deadlineTolerance)) {
		l.violated(invariant.DeadlineNotExtended, r, "over", a.Deadline.Sub(r.call.Received)-millis(remaining))
	}
}

// reachedServers returns the number of servers that the request may have reached, including that of the next attempt.
func (r *request) reachedServers(next *Attempt) (n int) {
	for i, a := range r.attempts {
		if a.mayHaveRun() && a.Endpoint != next.Endpoint && !r.reachedBefore(i) {
			n++
		}
	}
	return n + 1
}

// reachedBefore reports whether an attempt before the one at the index may have reached the same server.
func (r *request) reachedBefore(index int) bool {
	for _, a := range r.attempts[:index] {
		if a.mayHaveRun() && a.Endpoint == r.attempts[index].Endpoint {
			return true
		}
	}
	return false
}

// checkAnswer checks the invariants of a request's final answer.
func (l *Loop) checkAnswer(r *request, a *Answer) {
	if l.cfg.Invariants == nil || a == nil || a.Kind != Refused || r.call.Message.Safe {
		return
	}
	if earlier := r.uncertainAttempt(); earlier != nil {
		l.violated(invariant.RefusedNeverStarted, r, "earlier", earlier.number, "ended", earlier.recorded,
			"outcome", int(earlier.result.Outcome))
	}
}
