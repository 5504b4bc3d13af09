// Package balance is the policy of one sidecar's load balancer: which server receives a request, whether and
// when a failed attempt is retried, and which requests are shed. It does no I/O, starts no goroutine and
// reads no clock: Balancer.Handle takes an event and returns actions, so a run can be replayed from its
// events.
//
// The mechanism is adaptive weighted round robin. Each server has a health factor that falls with its
// consecutive errors and recovers with time. Smooth weighted round robin (as in nginx) over capacity times
// health picks the server of a first attempt, bounded by the load that a server may have in flight (as in
// consistent hashing with bounded loads, Mirrokni et al., 2016). A retry goes to the healthiest server that
// the request has not been sent to.
//
// Times are in milliseconds, on any clock whose zero is long ago. Start reading at Balancer.Handle in
// events.go, which applies an event to the state and calls the decisions; api.go has the events, actions and
// settings. Decisions by file:
//
//	balance.go     a request from its arrival to its final answer: attempts, retries, refusal, failure
//	rotation.go    choice of a server
//	admission.go   load shedding before the first attempt
//	load.go        estimates of the rate and latency of answers, for load shedding and learned sizes
//	probes.go      load probes before the first attempt
//	outcomes.go    effect of an attempt's outcome on its server: health, ejection, learned size
//	classes.go     health of a class of requests at a server
//	servers.go     the server list and slow start
package balance

// Limits of attempts and of the answer to a request that is not served.
const (
	maxRetries             = 1   // retries of a request; more would amplify an overload
	maxResetRetries        = 3   // retries after connection resets, which are no sign of load
	defaultRetryAfter      = 0.1 // retry-after time of refused clients, as a part of the latency target
	overdueDeviations      = 4   // an attempt is overdue this many mean deviations above its class's mean
	overdueMinSamples      = 5   // answers of a class from which its mean is used instead of half its target
	checksPerLatencyTarget = 20  // checks per latency target of a request without a server
)

// step decides what a request needs now: a final answer, an attempt, or a timer. After a failed attempt it
// decides on a retry: there is none if exhausted reports true; otherwise sendNext sends it, if a server is
// eligible and the retry budget allows it.
func (b *Balancer) step(r *request) {
	if r.answered || r.streaming {
		return
	}
	b.markOverdue(r)
	if b.now >= r.deadline {
		b.endUnserved(r, DeadlineExceeded)
		return
	}
	if r.inFlight == 0 && b.exhausted(r) {
		b.endUnserved(r, r.exhaustedCause())
		return
	}
	if r.inFlight == 0 && !b.awaitingProbes(r) {
		b.sendNext(r)
	}
	if !r.answered {
		b.scheduleTimer(r)
	}
}

// sendNext sends the next attempt if a server is eligible; otherwise the request's timer calls step again.
// It ends the request if the retry budget is exhausted, which is charged only once an attempt may have
// reached a server, or, before the first attempt, if every probed server is overloaded.
func (b *Balancer) sendNext(r *request) {
	s := b.pick(r, len(r.attempts) > 0)
	r.retryRejected = s == nil && b.cfg.LastHop // a proxy without capacity may have some by the next check
	switch {
	case s == nil:
	case r.delivered() > 0 && b.cfg.RetryBudget != nil && !b.cfg.RetryBudget.TryWithdraw(b.now):
		b.endUnserved(r, AttemptsExhausted)
	case b.overloaded(r, s):
		b.endUnserved(r, Overloaded)
	default:
		b.send(r, s)
	}
}

// exhausted reports whether no further attempt is allowed (attemptsUsedUp, executionUncertain,
// shutdownPrecedesAnswer), or the request has waited for a server for as long as its class allows. It applies
// to the first attempt, too.
func (b *Balancer) exhausted(r *request) bool {
	if r.attemptsUsedUp(b.cfg.MaxAttempts) || r.executionUncertain(b.now) || b.shutdownPrecedesAnswer(r) {
		return true
	}
	wait := r.class.LatencyTarget
	switch {
	case r.class.MaxWaitFraction > 0 && r.delivered() == 0:
		wait *= r.class.MaxWaitFraction
	case r.class.MaxWaitFraction > 0: // a late answer still has some value
		wait = r.class.Deadline
	}
	return b.now >= r.arrivedAt+wait && r.retryHarmless()
}

// attemptsUsedUp reports whether the request has reached a limit of its attempts, or its body is consumed.
func (r *request) attemptsUsedUp(maxAttempts int) bool {
	delivered, resets := r.delivered(), r.resets()
	return r.bodyConsumed ||
		len(r.attempts) >= maxAttempts ||
		delivered-resets > maxRetries ||
		resets > maxResetRetries ||
		r.MaxAttempts > 0 && delivered >= r.MaxAttempts
}

// executionUncertain reports whether an earlier attempt may have executed and another one could execute it
// again.
func (r *request) executionUncertain(now float64) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.notExecuted {
			continue
		}
		keyExpired := r.class.Effect == Keyed && now >= a.sentAt+r.class.DedupWindow
		if r.class.Effect == Unsafe || keyExpired {
			return true
		}
	}
	return false
}

// shutdownPrecedesAnswer reports whether the sidecar will have shut down before an answer to another attempt
// can be expected.
func (b *Balancer) shutdownPrecedesAnswer(r *request) bool {
	latency := r.class.LatencyTarget / 2
	if r.stats.count >= overdueMinSamples {
		latency = r.stats.mean
	}
	return r.deadline == b.shutdownAt && b.now+latency > b.shutdownAt
}

// endUnserved ends a request without an answer from a server: with Refuse and a retry-after time if a retry
// by the client is harmless, otherwise with Fail. At the last hop a request that may have executed always
// gets Fail, which passes the server's own error answer on to the client.
func (b *Balancer) endUnserved(r *request, cause Cause) {
	end := Action{Kind: Fail, Request: r.ID, Cause: cause}
	if r.retryHarmless() && !(b.cfg.LastHop && r.mayHaveExecuted()) {
		retryAfter := defaultRetryAfter
		if b.cfg.RetryAfterFraction > 0 {
			retryAfter = b.cfg.RetryAfterFraction
		}
		end.Kind, end.At = Refuse, min(retryAfter*r.class.LatencyTarget, b.cfg.MaxRetryAfter)
	}
	b.emit(end)
	b.closeRequest(r)
}

// scheduleTimer sets a timer for the next time at which the request needs a decision, unless an earlier one
// is set.
func (b *Balancer) scheduleTimer(r *request) {
	next := r.deadline
	if r.probesUntil > b.now {
		next = min(next, r.probesUntil)
	} else if r.inFlight == 0 {
		next = min(next, b.now+max(b.cfg.MinBatchInterval, r.class.LatencyTarget/checksPerLatencyTarget))
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && !a.overdue && !a.uploading {
			next = min(next, a.sentAt+r.overdueAfter())
		}
	}
	if next < r.timerAt {
		r.timerAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), At: max(0, next-b.now)})
	}
}

// overdueAfter returns the time after which an attempt in flight counts as an error. It follows the present
// latency of the class's answers, as all of them are slow in a congested fleet.
func (r *request) overdueAfter() float64 {
	if r.stats.count < overdueMinSamples {
		return r.class.LatencyTarget / 2
	}
	return r.stats.mean + overdueDeviations*r.stats.deviation
}

// retryHarmless reports whether the client may retry a refused request without executing it twice.
func (r *request) retryHarmless() bool {
	keyKnownEverywhere := r.class.Effect == Safe || r.class.Effect == Keyed && r.class.DedupScope == DedupAll
	return keyKnownEverywhere || !r.mayHaveExecuted()
}
