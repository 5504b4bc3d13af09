package register

import (
	"math/rand/v2"
	"time"

	"firplank/mesh/timing"
)

// defaultDurations are the durations of replicas for which SetTiming states no others.
var defaultTiming = timing.Default().Register

// pace decides how long a proposer waits: for the replies of a phase, and after a round that was rejected. How long messages and disks take
// is not known, and may be anything up to timing.Register.MaxPhaseTimeout. So a phase is not abandoned while replies may still come: its request
// is sent again to those that have not replied, at intervals that double, and a reply to any of them counts. And proposers that abort each
// other wait for random times that grow with each rejection, until one of them has the time to finish.
type retryPolicy struct {
	durations             timing.Register
	random                *rand.Rand
	consecutiveRejections int           // rounds in a row that were rejected
	resendInterval        time.Duration // the present interval of a phase's requests
}

func newRetryPolicy(random *rand.Rand) retryPolicy {
	return retryPolicy{durations: defaultTiming, random: random}
}

// resendJitter is the part of a phase's interval by which its next one may be longer.
const resendJitterDivisor = 4

// begin begins a phase. It returns when its requests are to be sent again, and when it ends.
func (p *retryPolicy) startPhase(now time.Duration) (resendAt, endsAt time.Duration) {
	p.resendInterval = p.durations.MinPhaseTimeout
	return now + p.resendInterval, now + p.durations.MaxPhaseTimeout
}

// resent returns when requests that were just sent again are to be sent once more.
func (p *retryPolicy) nextResend(now time.Duration) time.Duration {
	p.resendInterval *= 2
	return now + p.resendInterval + p.jitter(p.resendInterval/resendJitterDivisor)
}

// stragglerWait returns for how long a read that has a quorum waits for further replies, which may show that somebody else is about to
// finish what it would have to.
func (p *retryPolicy) stragglerWait() time.Duration {
	return p.doubledPerRejection(p.durations.MinPhaseTimeout / stragglerWaitDivisor)
}

// rejected records that a round was rejected after a time, and returns the pause before the next one.
func (p *retryPolicy) recordRejection(roundDuration time.Duration) time.Duration {
	maxJitter := max(p.doubledPerRejection(p.durations.BackoffJitter), min(2*roundDuration, p.durations.MaxPhaseTimeout))
	p.consecutiveRejections++
	return p.durations.MinBackoff + p.jitter(maxJitter)
}

// backoff returns the pause before a round that is begun again for another reason than a rejection.
func (p *retryPolicy) backoff() time.Duration {
	return p.durations.MinBackoff + p.jitter(p.durations.BackoffJitter)
}

// completed records that a round was completed.
func (p *retryPolicy) resetRejections() { p.consecutiveRejections = 0 }

// grown doubles a duration for each rejection in a row, up to MaxPhaseTimeout.
func (p *retryPolicy) doubledPerRejection(d time.Duration) time.Duration {
	for range p.consecutiveRejections {
		if d >= p.durations.MaxPhaseTimeout {
			break
		}
		d *= 2
	}
	return min(d, p.durations.MaxPhaseTimeout)
}

// jitter returns a random duration below d.
func (p *retryPolicy) jitter(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d)))
}
