package register

import (
	"math/rand/v2"
	"time"

	"firplank/mesh/timing"
)

// defaultDurations are the durations of replicas for which SetTiming states no others.
var defaultDurations = timing.Default().Register

// pace decides how long a proposer waits: for the replies of a phase, and after a round that was rejected. How long messages and disks take
// is not known, and may be anything up to timing.Register.MaxPhaseTimeout. So a phase is not abandoned while replies may still come: its
// request is sent again to those that have not replied, at intervals that double, and a reply to any of them counts. And proposers that
// abort each other wait for random times that grow with each rejection, until one of them has the time to finish.
type pace struct {
	durations  timing.Register
	random     *rand.Rand
	rejections int           // rounds in a row that were rejected
	resend     time.Duration // the present interval of a phase's requests
}

func newPace(random *rand.Rand) pace { return pace{durations: defaultDurations, random: random} }

// resendJitter is the part of a phase's interval by which its next one may be longer.
const resendJitter = 4

// begin begins a phase. It returns when its requests are to be sent again, and when it ends.
func (p *pace) begin(now time.Duration) (resendAt, endAt time.Duration) {
	p.resend = p.durations.MinPhaseTimeout
	return now + p.resend, now + p.durations.MaxPhaseTimeout
}

// resent returns when requests that were just sent again are to be sent once more.
func (p *pace) resent(now time.Duration) time.Duration {
	p.resend *= 2
	return now + p.resend + p.jitter(p.resend/resendJitter)
}

// stragglerWait returns for how long a read that has a quorum waits for further replies, which may show that somebody else is about to
// finish what it would have to.
func (p *pace) stragglerWait() time.Duration {
	return p.grown(p.durations.MinPhaseTimeout / stragglerShare)
}

// rejected records that a round was rejected after a time, and returns the pause before the next one.
func (p *pace) rejected(took time.Duration) time.Duration {
	window := max(p.grown(p.durations.BackoffJitter), min(2*took, p.durations.MaxPhaseTimeout))
	p.rejections++
	return p.durations.MinBackoff + p.jitter(window)
}

// backoff returns the pause before a round that is begun again for another reason than a rejection.
func (p *pace) backoff() time.Duration {
	return p.durations.MinBackoff + p.jitter(p.durations.BackoffJitter)
}

// completed records that a round was completed.
func (p *pace) completed() { p.rejections = 0 }

// grown doubles a duration for each rejection in a row, up to MaxPhaseTimeout.
func (p *pace) grown(d time.Duration) time.Duration {
	for range p.rejections {
		if d >= p.durations.MaxPhaseTimeout {
			break
		}
		d *= 2
	}
	return min(d, p.durations.MaxPhaseTimeout)
}

// jitter returns a random duration below d.
func (p *pace) jitter(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(d)))
}
