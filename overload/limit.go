// Package overload decides which requests to admit under overload. Limit protects the servers: it limits the requests in flight so
// that responses meet their latency targets. CPULimit protects the sidecar's own CPU quota: it limits the backlog of admitted work.
// Both prefer the classes of higher value.
//
// The package does no I/O, starts no goroutine and reads no clock. The cost for a request depends on the number of classes only.
//
// Start reading at Limit.
package overload

import (
	"math"
	"slices"
	"time"
)

// Class describes a request class.
type Class struct {
	Value         float64       // of a response within LatencyTarget, relative to other classes
	LatencyTarget time.Duration // 0: unknown
}

// The constants of Limit. Latency ratios are the latency of responses divided by the baseline, which is the latency without queueing.
const (
	initialLimit = 48.0 // until there are responses
	minLimit     = 8.0
	// targetQueueingShare sets the target ratio: it is this share of the way from 1 to the lowest ratio at which a class misses its
	// latency target.
	targetQueueingShare = 0.06
	// minTargetRatio and maxTargetRatio bound the target ratio.
	minTargetRatio, maxTargetRatio = 1.2, 4.0
	// maxGrowth and maxCut are the largest factors that a step applies to the limit. A step needs stepResponses responses to requests
	// sent since the previous step, so that they reflect the current limit. With faster steps the limit would overshoot before the
	// first slow response.
	maxGrowth, maxCut = 1.3, 0.75
	stepResponses     = 10
	tickInterval      = 100 * time.Millisecond
	// maxRejectedShare is the share of admitted requests rejected by servers for lack of capacity above which they count as slow.
	maxRejectedShare = 0.05
	// headroom is the factor by which the limit may exceed the recent requests in flight, for the start of a burst.
	headroom = 1.6
	// usualTimeConstant is the time constant of the average of usual requests in flight, which bounds the limit from below.
	usualTimeConstant = 30 * time.Second
	// rateTimeConstant is the time constant of a class's request rate: short, as bursts start suddenly.
	rateTimeConstant = 150 * time.Millisecond
	// demandShare is the share of the limit that has to be in flight for a rejected request to count as a reason to raise the limit.
	demandShare = 0.7
	// demandDeviations is by how many standard deviations of a Poisson distribution the reserve for a class exceeds its mean demand.
	demandDeviations = 3.0
	// minAdmittedShare is the share of requests that is admitted in a class without capacity, so that no class is starved.
	minAdmittedShare = 0.01
	// baselineGain is the weight of a response in the average of the baseline.
	baselineGain = 0.02
)

// Limit limits the requests in flight at all servers together, so that admitted ones meet their latency targets, and prefers classes
// with a higher value per expected latency. It is adaptive, as in TCP Vegas: it learns each class's baseline latency from responses,
// grows while responses are fast and the limit is nearly reached, and shrinks while they are slow. Capacity that classes of higher
// value are expected to need at their current rates is reserved for them. A Limit is not safe for concurrent use.
type Limit struct {
	classes                          []classState
	byValue                          []int // class indices by value density, highest first
	limit                            float64
	inFlight                         int
	peakInFlight                     float64 // recent maximum of inFlight, decaying
	usualInFlight                    float64 // average of inFlight while the limit was not reached
	limitReached                     bool    // since the last tick a request found no capacity
	nearLimit                        bool    // since the last step the limit was reached or nearly reached
	steppedAt                        time.Duration
	tickedAt                         time.Duration
	latencySum, baselineSum          float64 // ms since the last step: of responses to requests sent since, and of their baselines
	responses, admitted, serversFull int     // since the last step: these responses, requests admitted, and requests rejected by full servers
}

type classState struct {
	Class
	baseline      float64 // ms; 0: unknown
	rate          float64 // requests per ms
	rateUpdatedAt time.Duration
	inFlight      int
	credit        float64 // minAdmittedShare of the rejected requests: at 1 one is admitted
	responses     int     // since the start
	latencyRatio  float64 // of recent latencies to the expected latency
}

// NewLimit returns a limit for request classes, which are named by their index. Other indices count as the class of the least value.
func NewLimit(classes []Class) *Limit {
	l := &Limit{limit: initialLimit}
	for i, c := range classes {
		l.classes = append(l.classes, classState{Class: c, latencyRatio: 1})
		l.byValue = append(l.byValue, i)
	}
	if len(classes) == 0 {
		l.classes, l.byValue = make([]classState, 1), []int{0}
	}
	l.sortByValue()
	return l
}

func (l *Limit) class(i int) *classState {
	if i < 0 || i >= len(l.classes) {
		i = l.byValue[len(l.byValue)-1]
	}
	return &l.classes[i]
}

// expectedLatency returns the class's baseline in ms. Until it is known, that is a third of the latency target, or 100 ms.
func (c *classState) expectedLatency() float64 {
	if c.baseline > 0 {
		return c.baseline
	}
	if c.LatencyTarget > 0 {
		return float64(c.LatencyTarget) / float64(time.Millisecond) / 3
	}
	return 100
}

func (c *classState) valueDensity() float64 { return c.Value / c.expectedLatency() }

func (l *Limit) sortByValue() {
	slices.SortStableFunc(l.byValue, func(a, b int) int {
		switch va, vb := l.classes[a].valueDensity(), l.classes[b].valueDensity(); {
		case va > vb:
			return -1
		case va < vb:
			return 1
		}
		return 0
	})
}

// updateRate decays a class's request rate to now and adds requests to it.
func (c *classState) updateRate(now time.Duration, requests float64) {
	c.rate = c.rate*math.Exp(-float64(now-c.rateUpdatedAt)/float64(rateTimeConstant)) +
		requests/(float64(rateTimeConstant)/float64(time.Millisecond))
	c.rateUpdatedAt = now
}

// Offer reports whether a request of a class is admitted at now. An admitted one is in flight until End, which the caller must call.
func (l *Limit) Offer(now time.Duration, class int) bool {
	c := l.class(class)
	c.updateRate(now, 1)
	// Reserve what classes of higher value need at their rates, beyond their requests already in flight.
	reserved := 0.0
	for _, i := range l.byValue {
		other := &l.classes[i]
		if other == c {
			break
		}
		if other.rateUpdatedAt < now {
			other.updateRate(now, 0)
		}
		demand := other.rate * other.expectedLatency() * other.latencyRatio
		reserved += max(0, demand+demandDeviations*math.Sqrt(demand)-float64(other.inFlight))
	}
	admit := float64(l.inFlight)+reserved < l.limit
	if !admit {
		l.limitReached = true
		if float64(l.inFlight) >= demandShare*l.limit { // otherwise the rest is only reserved, not in use
			l.nearLimit = true
		}
		if c.credit += minAdmittedShare; c.credit >= 1 && float64(l.inFlight) < l.limit*1.1 {
			c.credit--
			admit = true
		}
	}
	if !admit {
		return false
	}
	l.inFlight++
	l.admitted++
	c.inFlight++
	if inFlight := float64(l.inFlight); inFlight > l.peakInFlight {
		l.peakInFlight = inFlight
	}
	if float64(l.inFlight) >= 0.8*l.limit {
		l.nearLimit = true
	}
	return true
}

// targetRatio returns the latency ratio up to which the limit may grow.
func (l *Limit) targetRatio() float64 {
	target := maxTargetRatio
	for i := range l.classes {
		c := &l.classes[i]
		if c.baseline > 0 && c.LatencyTarget > 0 {
			target = min(target, 1+targetQueueingShare*(float64(c.LatencyTarget)/float64(time.Millisecond)/c.baseline-1))
		}
	}
	return max(minTargetRatio, target)
}

// Outcome is how an admitted request ended.
type Outcome uint8

// The outcomes.
const (
	Answered     Outcome = iota // a server responded
	NoCapacity                  // the servers rejected it for lack of capacity
	Inconclusive                // says nothing about the servers' capacity
)

// End records the outcome of an admitted request and its latency.
func (l *Limit) End(now time.Duration, class int, latency time.Duration, outcome Outcome) {
	c := l.class(class)
	l.inFlight, c.inFlight = max(0, l.inFlight-1), max(0, c.inFlight-1)
	if outcome == NoCapacity {
		l.serversFull++
	}
	if outcome != Answered {
		return
	}
	ms := max(0.1, float64(latency)/float64(time.Millisecond))
	if c.responses++; c.responses <= 20 {
		c.baseline += (ms - c.baseline) / float64(c.responses) // the mean at first, as most of these are not slowed by a burst
	} else if !l.nearLimit && float64(l.inFlight) < l.limit/2 {
		c.baseline += (min(ms, 3*c.baseline) - c.baseline) * baselineGain
	}
	c.latencyRatio += (clamp(ms/c.expectedLatency(), 0.5, 4) - c.latencyRatio) / 20
	if now-latency < l.steppedAt { // sent before the last step, under another limit
		return
	}
	l.latencySum, l.baselineSum, l.responses = l.latencySum+ms, l.baselineSum+c.expectedLatency(), l.responses+1
	if l.responses >= stepResponses {
		l.step(now)
	}
}

// Tick updates the averages, lowers an unused limit, and makes a step if responses are missing. It must be called several times a
// second.
func (l *Limit) Tick(now time.Duration) {
	if now-l.tickedAt < tickInterval {
		return
	}
	span := min(1, (now - l.tickedAt).Seconds())
	l.tickedAt = now
	l.peakInFlight = max(float64(l.inFlight), l.peakInFlight*math.Exp(-span/2))
	if !l.limitReached {
		l.usualInFlight += (float64(l.inFlight) - l.usualInFlight) * min(1, max(span/usualTimeConstant.Seconds(), span/max(now.Seconds(), span)))
	}
	if !l.nearLimit {
		l.limit = max(l.lowerBound(), min(l.limit, max(initialLimit, headroom*l.peakInFlight+minLimit)))
	}
	if now-l.steppedAt > 5*tickInterval && (l.responses > 0 || l.inFlight > 0) {
		l.step(now)
	}
	l.limitReached = false
	l.sortByValue()
}

// lowerBound returns the lowest permitted limit.
func (l *Limit) lowerBound() float64 { return max(minLimit, headroom*l.usualInFlight) }

// step adjusts the limit by the responses since the last step.
func (l *Limit) step(now time.Duration) {
	ratio, target := 1.0, l.targetRatio()
	if l.responses > 0 {
		ratio = l.latencySum / l.baselineSum
	} else {
		ratio = 2 * target // there was no response
	}
	if float64(l.serversFull) > maxRejectedShare*float64(l.admitted) {
		ratio = max(ratio, 1.5*target)
	}
	switch {
	case ratio > target && l.nearLimit:
		l.limit = max(l.limit*max(maxCut, target/ratio), l.lowerBound())
	case ratio <= target && l.nearLimit:
		l.limit *= 1 + (maxGrowth-1)*min(1, 2*(target-ratio)/target)
	}
	l.steppedAt, l.latencySum, l.baselineSum, l.responses, l.admitted, l.serversFull = now, 0, 0, 0, 0, 0
	l.nearLimit = float64(l.inFlight) >= 0.8*l.limit
}

// MaxInFlight returns the current limit of requests in flight.
func (l *Limit) MaxInFlight() float64 { return l.limit }

// InFlight returns the number of requests in flight.
func (l *Limit) InFlight() int { return l.inFlight }

func clamp(v, lowest, highest float64) float64 { return max(lowest, min(highest, v)) }
