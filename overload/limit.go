// Package overload decides which requests come in while not all of them can be carried. Limit goes by the servers: how many
// requests may be open there so that answers come within their aims. Processor goes by the sidecar's own part of the
// processor: how much work it has let in that is not done. Both fill what there is from the class of the most worth down.
//
// They do no I/O, have no goroutine and no clock of their own; what they cost for a request grows with the number of
// classes alone. Begin with Limit.
package overload

import (
	"math"
	"slices"
	"time"
)

// Class is what a class is to a Limit.
type Class struct {
	Value         float64       // of an answer within Aim
	LatencyTarget time.Duration // 0: none is known
}

// The figures of the limit. Ratios are of how long answers take to how long they take where nothing waits.
const (
	initialLimit = 48.0 // until answers tell
	minLimit     = 8.0
	// The limit aims at the ratio that lies waits of the way from 1 to where the class that is nearest to it misses its aim.
	targetQueueingShare = 0.06
	// fastest and slowest bound that.
	minTargetRatio, maxTargetRatio = 1.2, 4.0
	// grow and cut change the limit in a step at the most. A step is made of stepAnswers answers to what was sent since the last
	// one, so that they tell of the limit as it is: faster, it would go far beyond before the first slow answer.
	maxGrowth, maxCut = 1.3, 0.75
	stepResponses     = 10
	tickInterval      = 100 * time.Millisecond
	// fullPart is the part of what was let in that the servers had no place for, from which that counts as slow.
	maxRejectedShare = 0.05
	// spare is what the limit may be above what was open lately: a rush begins with that.
	headroom = 1.6
	// usualLife is the time over which the usual number of open requests is learned, which the limit never goes below.
	usualTimeConstant = 30 * time.Second
	// rateLife is the time over which the rate of a class's requests is taken: short, as a rush comes in a moment.
	rateTimeConstant = 150 * time.Millisecond
	// pressing is the part of the limit that has to be open for a request that is turned away to count as a reason to raise it.
	demandShare = 0.7
	// scatter is by how many standard deviations of a Poisson number a class may want more places than on the mean.
	demandDeviations = 3.0
	// kept is the share of its requests that a class keeps which has no room: it is still somebody's.
	minAdmittedShare = 0.01
	// baseGain is the step by which the time of an answer where nothing waits is learned.
	baselineGain = 0.02
)

// Limit bounds how many requests are open at the servers together, so that what is let in is answered within its aim, and
// fills that from the class of the most worth for its work down. It learns from answers alone how long they take where
// nothing waits, and from that how many the servers carry: a limit that grows while answers are quick and it is in the way,
// and shrinks where they are slow (the gradient of Vegas, in steps of some answers). A class leaves as much room as
// those of more worth for their work are expected to want by their present rates. It is not safe for concurrent use.
type Limit struct {
	classes                          []classState
	byValue                          []int // by worth for work, the most first
	limit                            float64
	inFlight                         int
	peakInFlight                     float64 // of open, fading
	usualInFlight                    float64 // of open, while nothing was turned away
	limitReached                     bool    // the limit was in the way since the last step
	nearLimit                        bool    // ... or nearly
	steppedAt                        time.Duration
	tickedAt                         time.Duration
	latencySum, baselineSum          float64 // ms of answers to what was sent since the last step, and what they would take where nothing waits
	responses, admitted, serversFull int     // ... how many, how many were let in, and for how many there was no place
}

type classState struct {
	Class
	baseline      float64 // ms, where nothing waits; 0: not known
	rate          float64 // requests a ms
	rateUpdatedAt time.Duration
	inFlight      int
	credit        float64
	responses     int     // answers so far
	latencyRatio  float64 // of what answers take lately to base
}

// NewLimit returns a limit for classes.
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

// takes is how long an answer of the class takes where nothing waits, in ms, as far as that is known.
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

// fade brings a class's rate up to now, with more requests.
func (c *classState) updateRate(now time.Duration, requests float64) {
	c.rate = c.rate*math.Exp(-float64(now-c.rateUpdatedAt)/float64(rateTimeConstant)) + requests/(float64(rateTimeConstant)/float64(time.Millisecond))
	c.rateUpdatedAt = now
}

// Offer reports whether a request of a class may come in at now; if so it is open until End.
func (l *Limit) Offer(now time.Duration, class int) bool {
	c := l.class(class)
	c.updateRate(now, 1)
	// Classes of more worth want as many places as their rate fills; those that they hold already are counted in open.
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
		if float64(l.inFlight) >= demandShare*l.limit { // the rest is kept for others, who do not come
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
	if open := float64(l.inFlight); open > l.peakInFlight {
		l.peakInFlight = open
	}
	if float64(l.inFlight) >= 0.8*l.limit {
		l.nearLimit = true
	}
	return true
}

// target is the ratio that the limit aims at.
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

// Ending is how a request has ended that was let in.
type Outcome uint8

// The endings. Void tells nothing of what servers can carry.
const (
	Answered   Outcome = iota // by a server
	NoCapacity                // the servers had no place for it
	Inconclusive
)

// End ends an open request, after took.
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
		c.baseline += (ms - c.baseline) / float64(c.responses) // the first ones, of which no rush has slowed most
	} else if !l.nearLimit && float64(l.inFlight) < l.limit/2 {
		c.baseline += (min(ms, 3*c.baseline) - c.baseline) * baselineGain
	}
	c.latencyRatio += (clamp(ms/c.expectedLatency(), 0.5, 4) - c.latencyRatio) / 20
	if now-latency < l.steppedAt { // sent under another limit
		return
	}
	l.latencySum, l.baselineSum, l.responses = l.latencySum+ms, l.baselineSum+c.expectedLatency(), l.responses+1
	if l.responses >= stepResponses {
		l.step(now)
	}
}

// Tick lets time pass; it wants to be called some times a second.
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

func (l *Limit) lowerBound() float64 { return max(minLimit, headroom*l.usualInFlight) }

// step changes the limit by the answers since the last step.
func (l *Limit) step(now time.Duration) {
	ratio, target := 1.0, l.targetRatio()
	if l.responses > 0 {
		ratio = l.latencySum / l.baselineSum
	} else {
		ratio = 2 * target // nothing comes back
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

// Most is how many may be open at present, and Open how many are.
func (l *Limit) MaxInFlight() float64 { return l.limit }

// Open is how many requests are open.
func (l *Limit) InFlight() int { return l.inFlight }

func clamp(v, lowest, highest float64) float64 { return max(lowest, min(highest, v)) }
