package register

import (
	"math/rand/v2"
	"time"

	"firplank/mesh/timing"
)

// defaultTiming has the durations of replicas unless SetTiming sets others.
var defaultTiming = timing.Default().Register

// retryPolicy decides when a proposer resends requests, when it ends a phase, and how long it backs off before the next round. Messages and
// disk writes may take any time up to timing.Register.MaxPhaseTimeout. Therefore a phase is not abandoned while replies may still arrive:
// its request is resent to machines that have not replied, at intervals that double, and a reply to any of the requests counts. Proposers
// that abort each other's rounds back off for random times that grow with each rejection, until one of them has enough time to finish.
type retryPolicy struct {
	durations      timing.Register
	random         *rand.Rand
	rejections     int           // number of rounds since the last completed one that were rejected
	resendInterval time.Duration // between requests of the present phase
}

func newRetryPolicy(random *rand.Rand) retryPolicy {
	return retryPolicy{durations: defaultTiming, random: random}
}

// resendJitterDivisor limits the jitter that is added to a resend interval: to the interval divided by it.
const resendJitterDivisor = 4

// startPhase returns when the requests of a phase that begins now are to be resent, and when the phase ends.
func (p *retryPolicy) startPhase(now time.Duration) (resendAt, endsAt time.Duration) {
	p.resendInterval = p.durations.MinPhaseTimeout
	return now + p.resendInterval, now + p.durations.MaxPhaseTimeout
}

// nextResend returns when requests that were just resent are to be resent once more.
func (p *retryPolicy) nextResend(now time.Duration) time.Duration {
	p.resendInterval *= 2
	return now + p.resendInterval + p.jitter(p.resendInterval/resendJitterDivisor)
}

// stragglerWait returns how long a read that has a quorum waits for further replies, which may show that another proposer is already
// completing what this one would have to.
func (p *retryPolicy) stragglerWait() time.Duration {
	return p.doubledPerRejection(p.durations.MinPhaseTimeout / stragglerWaitDivisor)
}

// recordRejection records that a round was rejected, and returns the backoff before the next one.
func (p *retryPolicy) recordRejection(roundDuration time.Duration) time.Duration {
	maxJitter := max(p.doubledPerRejection(p.durations.BackoffJitter), min(2*roundDuration, p.durations.MaxPhaseTimeout))
	p.rejections++
	return p.durations.MinBackoff + p.jitter(maxJitter)
}

// backoff returns the backoff before a round that follows an incomplete one for a reason other than a rejection.
func (p *retryPolicy) backoff() time.Duration {
	return p.durations.MinBackoff + p.jitter(p.durations.BackoffJitter)
}

// resetRejections records that a round was completed.
func (p *retryPolicy) resetRejections() { p.rejections = 0 }

// doubledPerRejection doubles a duration for each consecutive rejection, up to MaxPhaseTimeout.
func (p *retryPolicy) doubledPerRejection(d time.Duration) time.Duration {
	for range p.rejections {
		if d >= p.durations.MaxPhaseTimeout {
			break
		}
		d *= 2
	}
	return min(d, p.durations.MaxPhaseTimeout)
}

// jitter returns a random duration from 0 up to but not including d.
func (p *retryPolicy) jitter(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d)))
}
