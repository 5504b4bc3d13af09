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
	Worth float64       // of an answer within Aim
	Aim   time.Duration // 0: none is known
}

// The figures of the limit. Ratios are of how long answers take to how long they take where nothing waits.
const (
	firstLimit = 48.0 // until answers tell
	leastLimit = 8.0
	// The limit aims at the ratio that lies waits of the way from 1 to where the class that is nearest to it misses its aim.
	waits = 0.06
	// fastest and slowest bound that.
	fastest, slowest = 1.2, 4.0
	// grow and cut change the limit in a step at the most. A step is made of stepAnswers answers to what was sent since the last
	// one, so that they tell of the limit as it is: faster, it would go far beyond before the first slow answer.
	grow, cut   = 1.3, 0.75
	stepAnswers = 10
	tick        = 100 * time.Millisecond
	// fullPart is the part of what was let in that the servers had no place for, from which that counts as slow.
	fullPart = 0.05
	// spare is what the limit may be above what was open lately: a rush begins with that.
	spare = 1.6
	// usualLife is the time over which the usual number of open requests is learned, which the limit never goes below.
	usualLife = 30 * time.Second
	// rateLife is the time over which the rate of a class's requests is taken: short, as a rush comes in a moment.
	rateLife = 150 * time.Millisecond
	// pressing is the part of the limit that has to be open for a request that is turned away to count as a reason to raise it.
	pressing = 0.7
	// scatter is by how many standard deviations of a Poisson number a class may want more places than on the mean.
	scatter = 3.0
	// kept is the share of its requests that a class keeps which has no room: it is still somebody's.
	kept = 0.01
	// baseGain is the step by which the time of an answer where nothing waits is learned.
	baseGain = 0.02
)

// Limit bounds how many requests are open at the servers together, so that what is let in is answered within its aim, and
// fills that from the class of the most worth for its work down. It learns from answers alone how long they take where
// nothing waits, and from that how many the servers carry: a limit that grows while answers are quick and it is in the way,
// and shrinks where they are slow (the gradient of Vegas, in steps of some answers). A class leaves as much room as
// those of more worth for their work are expected to want by their present rates. It is not safe for concurrent use.
type Limit struct {
	classes     []limited
	order       []int // by worth for work, the most first
	limit       float64
	open        int
	peak        float64 // of open, fading
	usual       float64 // of open, while nothing was turned away
	pressed     bool    // the limit was in the way since the last step
	tight       bool    // ... or nearly
	steppedAt   time.Duration
	tickedAt    time.Duration
	sum, base   float64 // ms of answers to what was sent since the last step, and what they would take where nothing waits
	n, in, full int     // ... how many, how many were let in, and for how many there was no place
}

type limited struct {
	Class
	base   float64 // ms, where nothing waits; 0: not known
	rate   float64 // requests a ms
	rateAt time.Duration
	open   int
	credit float64
	known  int     // answers so far
	ratio  float64 // of what answers take lately to base
}

// NewLimit returns a limit for classes.
func NewLimit(classes []Class) *Limit {
	l := &Limit{limit: firstLimit}
	for i, c := range classes {
		l.classes = append(l.classes, limited{Class: c, ratio: 1})
		l.order = append(l.order, i)
	}
	if len(classes) == 0 {
		l.classes, l.order = make([]limited, 1), []int{0}
	}
	l.sort()
	return l
}

func (l *Limit) class(i int) *limited {
	if i < 0 || i >= len(l.classes) {
		i = l.order[len(l.order)-1]
	}
	return &l.classes[i]
}

// takes is how long an answer of the class takes where nothing waits, in ms, as far as that is known.
func (c *limited) takes() float64 {
	if c.base > 0 {
		return c.base
	}
	if c.Aim > 0 {
		return float64(c.Aim) / float64(time.Millisecond) / 3
	}
	return 100
}

func (c *limited) value() float64 { return c.Worth / c.takes() }

func (l *Limit) sort() {
	slices.SortStableFunc(l.order, func(a, b int) int {
		switch va, vb := l.classes[a].value(), l.classes[b].value(); {
		case va > vb:
			return -1
		case va < vb:
			return 1
		}
		return 0
	})
}

// fade brings a class's rate up to now, with more requests.
func (c *limited) fade(now time.Duration, more float64) {
	c.rate = c.rate*math.Exp(-float64(now-c.rateAt)/float64(rateLife)) + more/(float64(rateLife)/float64(time.Millisecond))
	c.rateAt = now
}

// Offer reports whether a request of a class may come in at now; if so it is open until End.
func (l *Limit) Offer(now time.Duration, class int) bool {
	c := l.class(class)
	c.fade(now, 1)
	// Classes of more worth want as many places as their rate fills; those that they hold already are counted in open.
	wanted := 0.0
	for _, i := range l.order {
		o := &l.classes[i]
		if o == c {
			break
		}
		if o.rateAt < now {
			o.fade(now, 0)
		}
		most := o.rate * o.takes() * o.ratio
		wanted += max(0, most+scatter*math.Sqrt(most)-float64(o.open))
	}
	in := float64(l.open)+wanted < l.limit
	if !in {
		l.pressed = true
		if float64(l.open) >= pressing*l.limit { // the rest is kept for others, who do not come
			l.tight = true
		}
		if c.credit += kept; c.credit >= 1 && float64(l.open) < l.limit*1.1 {
			c.credit--
			in = true
		}
	}
	if !in {
		return false
	}
	l.open++
	l.in++
	c.open++
	if open := float64(l.open); open > l.peak {
		l.peak = open
	}
	if float64(l.open) >= 0.8*l.limit {
		l.tight = true
	}
	return true
}

// target is the ratio that the limit aims at.
func (l *Limit) target() float64 {
	t := slowest
	for i := range l.classes {
		c := &l.classes[i]
		if c.base > 0 && c.Aim > 0 {
			t = min(t, 1+waits*(float64(c.Aim)/float64(time.Millisecond)/c.base-1))
		}
	}
	return max(fastest, t)
}

// Ending is how a request has ended that was let in.
type Ending uint8

// The endings. Void tells nothing of what servers can carry.
const (
	Answered Ending = iota // by a server
	NoPlace                // the servers had no place for it
	Void
)

// End ends an open request, after took.
func (l *Limit) End(now time.Duration, class int, took time.Duration, how Ending) {
	c := l.class(class)
	l.open, c.open = max(0, l.open-1), max(0, c.open-1)
	if how == NoPlace {
		l.full++
	}
	if how != Answered {
		return
	}
	ms := max(0.1, float64(took)/float64(time.Millisecond))
	if c.known++; c.known <= 20 {
		c.base += (ms - c.base) / float64(c.known) // the first ones, of which no rush has slowed most
	} else if !l.tight && float64(l.open) < l.limit/2 {
		c.base += (min(ms, 3*c.base) - c.base) * baseGain
	}
	c.ratio += (bound(ms/c.takes(), 0.5, 4) - c.ratio) / 20
	if now-took < l.steppedAt { // sent under another limit
		return
	}
	l.sum, l.base, l.n = l.sum+ms, l.base+c.takes(), l.n+1
	if l.n >= stepAnswers {
		l.step(now)
	}
}

// Tick lets time pass; it wants to be called some times a second.
func (l *Limit) Tick(now time.Duration) {
	if now-l.tickedAt < tick {
		return
	}
	span := min(1, (now - l.tickedAt).Seconds())
	l.tickedAt = now
	l.peak = max(float64(l.open), l.peak*math.Exp(-span/2))
	if !l.pressed {
		l.usual += (float64(l.open) - l.usual) * min(1, max(span/usualLife.Seconds(), span/max(now.Seconds(), span)))
	}
	if !l.tight {
		l.limit = max(l.least(), min(l.limit, max(firstLimit, spare*l.peak+leastLimit)))
	}
	if now-l.steppedAt > 5*tick && (l.n > 0 || l.open > 0) {
		l.step(now)
	}
	l.pressed = false
	l.sort()
}

func (l *Limit) least() float64 { return max(leastLimit, spare*l.usual) }

// step changes the limit by the answers since the last step.
func (l *Limit) step(now time.Duration) {
	ratio, target := 1.0, l.target()
	if l.n > 0 {
		ratio = l.sum / l.base
	} else {
		ratio = 2 * target // nothing comes back
	}
	if float64(l.full) > fullPart*float64(l.in) {
		ratio = max(ratio, 1.5*target)
	}
	switch {
	case ratio > target && l.tight:
		l.limit = max(l.limit*max(cut, target/ratio), l.least())
	case ratio <= target && l.tight:
		l.limit *= 1 + (grow-1)*min(1, 2*(target-ratio)/target)
	}
	l.steppedAt, l.sum, l.base, l.n, l.in, l.full = now, 0, 0, 0, 0, 0
	l.tight = float64(l.open) >= 0.8*l.limit
}

// Most is how many may be open at present, and Open how many are.
func (l *Limit) Most() float64 { return l.limit }

// Open is how many requests are open.
func (l *Limit) Open() int { return l.open }

func bound(v, least, most float64) float64 { return max(least, min(most, v)) }
