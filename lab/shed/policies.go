package shed

import (
	"math/rand/v2"
	"slices"
	"time"

	"firplank/lab/scenario"
	"firplank/overload"
)

// The policies that the limit is compared with. Each follows its published description, with the latency of tries as its only
// input, since a sidecar observes nothing else.

// admitAll admits every try.
type admitAll struct{}

func (admitAll) Offer(time.Duration, int) bool                           { return true }
func (admitAll) End(time.Duration, int, time.Duration, overload.Outcome) {}
func (admitAll) Tick(time.Duration)                                      {}

// codel raises the dropped share while the minimum delay of an interval is above a target (RFC 8289). The delay is the latency
// beyond the lowest latency so far.
type codel struct {
	s                  *scenario.Scenario
	rng                *rand.Rand
	minLatency         time.Duration
	intervalMinLatency time.Duration // in the present interval
	intervalStart      time.Duration
	dropShare          float64 // of the tries that is dropped
}

const (
	codelTarget   = 40 * time.Millisecond
	codelInterval = 100 * time.Millisecond
)

func (c *codel) Offer(time.Duration, int) bool { return c.rng.Float64() >= c.dropShare }

func (c *codel) End(_ time.Duration, _ int, took time.Duration, how overload.Outcome) {
	if how != overload.Answered {
		return
	}
	if c.minLatency == 0 || took < c.minLatency {
		c.minLatency = took
	}
	if c.intervalMinLatency == 0 || took < c.intervalMinLatency {
		c.intervalMinLatency = took
	}
}

func (c *codel) Tick(now time.Duration) {
	if now-c.intervalStart < codelInterval {
		return
	}
	if c.intervalMinLatency > c.minLatency+codelTarget {
		c.dropShare = min(0.98, c.dropShare+0.1)
	} else {
		c.dropShare = max(0, c.dropShare-0.05)
	}
	c.intervalStart, c.intervalMinLatency = now, 0
}

// dagor admits the classes above a level of priority that follows the mean latency (Zhou et al., 2018). The level falls by 5 % after a
// window with more than twice the lowest mean latency, and rises by one step after any other window.
type dagor struct {
	levels         []int // by class; 0 has the highest worth per work
	level          int   // lower levels are admitted; each class has dagorUsers levels
	maxLevel       int
	latencySum     time.Duration
	latencyCount   int
	minMeanLatency time.Duration
	intervalStart  time.Duration
	nextUser       int
}

// dagorUsers is the number of user groups into which the requests of a class are divided, as in DAGOR.
const dagorUsers = 16

func newDagor(s *scenario.Scenario) *dagor {
	order := make([]int, len(s.Classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		va, vb := s.Classes[a].Worth/s.Classes[a].WorkMS, s.Classes[b].Worth/s.Classes[b].WorkMS
		if va > vb {
			return -1
		}
		return 1
	})
	d := &dagor{levels: make([]int, len(order)), maxLevel: len(order) * dagorUsers}
	for rank, class := range order {
		d.levels[class] = rank
	}
	d.level = d.maxLevel
	return d
}

func (d *dagor) Offer(_ time.Duration, class int) bool {
	d.nextUser = (d.nextUser + 1) % dagorUsers
	return d.levels[class]*dagorUsers+d.nextUser < d.level
}

func (d *dagor) End(_ time.Duration, _ int, took time.Duration, how overload.Outcome) {
	if how == overload.Answered {
		d.latencySum += took
		d.latencyCount++
	}
}

func (d *dagor) Tick(now time.Duration) {
	if now-d.intervalStart < codelInterval || d.latencyCount == 0 {
		return
	}
	mean := d.latencySum / time.Duration(d.latencyCount)
	if d.minMeanLatency == 0 || mean < d.minMeanLatency {
		d.minMeanLatency = mean
	}
	if mean > d.minMeanLatency*2 {
		d.level = max(1, d.level-max(1, d.level/20)) // 5 % less
	} else {
		d.level = min(d.maxLevel, d.level+1)
	}
	d.intervalStart, d.latencySum, d.latencyCount = now, 0, 0
}
