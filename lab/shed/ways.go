package shed

import (
	"math/rand/v2"
	"slices"
	"time"

	"firplank/lab/scenario"
	"firplank/overload"
)

// The ways that the limit is compared with, each by its public description, with what a sidecar can see: how long its
// tries take.

// open lets all in.
type open struct{}

func (open) Offer(time.Duration, int) bool                           { return true }
func (open) End(time.Duration, int, time.Duration, overload.Outcome) {}
func (open) Tick(time.Duration)                                      {}

// codel drops more and more often while the least delay of an interval stays above a target (RFC 8289), the delay being
// what answers take beyond the quickest.
type codel struct {
	s        *scenario.Scenario
	rng      *rand.Rand
	quickest time.Duration
	least    time.Duration // of the interval
	from     time.Duration
	part     float64 // that is dropped
}

const (
	codelTarget   = 40 * time.Millisecond
	codelInterval = 100 * time.Millisecond
)

func (c *codel) Offer(time.Duration, int) bool { return c.rng.Float64() >= c.part }

func (c *codel) End(_ time.Duration, _ int, took time.Duration, how overload.Outcome) {
	if how != overload.Answered {
		return
	}
	if c.quickest == 0 || took < c.quickest {
		c.quickest = took
	}
	if c.least == 0 || took < c.least {
		c.least = took
	}
}

func (c *codel) Tick(now time.Duration) {
	if now-c.from < codelInterval {
		return
	}
	if c.least > c.quickest+codelTarget {
		c.part = min(0.98, c.part+0.1)
	} else {
		c.part = max(0, c.part-0.05)
	}
	c.from, c.least = now, 0
}

// dagor lets in the classes above a level, which moves with the mean delay beyond the usual one (Zhou et al., 2018): one
// step down for a slow window, one up for a quick one.
type dagor struct {
	levels []int // of each class: 0 is the most worth
	level  int   // levels below are let in, in steps of a class's users
	most   int
	sum    time.Duration
	n      int
	usual  time.Duration
	from   time.Duration
	next   int
}

// dagorUsers is into how many parts the requests of a class are divided, as DAGOR does by users.
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
	d := &dagor{levels: make([]int, len(order)), most: len(order) * dagorUsers}
	for rank, class := range order {
		d.levels[class] = rank
	}
	d.level = d.most
	return d
}

func (d *dagor) Offer(_ time.Duration, class int) bool {
	d.next = (d.next + 1) % dagorUsers
	return d.levels[class]*dagorUsers+d.next < d.level
}

func (d *dagor) End(_ time.Duration, _ int, took time.Duration, how overload.Outcome) {
	if how == overload.Answered {
		d.sum += took
		d.n++
	}
}

func (d *dagor) Tick(now time.Duration) {
	if now-d.from < codelInterval || d.n == 0 {
		return
	}
	mean := d.sum / time.Duration(d.n)
	if d.usual == 0 || mean < d.usual {
		d.usual = mean
	}
	if mean > d.usual*2 {
		d.level = max(1, d.level-max(1, d.level/20)) // five in a hundred less
	} else {
		d.level = min(d.most, d.level+1)
	}
	d.from, d.sum, d.n = now, 0, 0
}
