package feed

import "time"

// maxStepBack is the largest backward step of the wall clock after which intervals wait until the clock has caught up.
const maxStepBack = 5 * time.Minute

// Clock determines when intervals end. They end at multiples of their length by the wall clock, as receivers that keep one
// value for each such time require, and no end is used twice. After a backward step of the clock no interval ends until the
// clock has caught up, so that values already sent aren't overwritten. A step of more than maxStepBack is followed at once.
//
// The first interval is longer than the others, and the final one ends at the next multiple. So a process that is started right
// after another doesn't end an interval at the same time.
type Clock struct {
	interval time.Duration
	started  time.Time // start of the current interval
	lastEnd  time.Time // of the previous interval; at first, the time until which no interval ends
}

// NewClock returns a clock whose first interval begins at start. interval is in whole seconds.
func NewClock(start time.Time, interval time.Duration) *Clock {
	return &Clock{interval: interval, started: start.Round(0), lastEnd: start.Round(0).Truncate(interval).Add(interval)}
}

// Next returns the end of the current interval.
func (c *Clock) Next() time.Time { return c.lastEnd.Truncate(c.interval).Add(c.interval) }

// End ends the current interval if its end has passed.
func (c *Clock) End(now time.Time) (end time.Time, span time.Duration, ok bool) {
	now = now.Round(0) // drops the monotonic clock reading
	end = now.Truncate(c.interval)
	switch {
	case c.lastEnd.Sub(now) > maxStepBack+c.interval: // the clock was wrong before this step
		span = c.interval
	case !end.After(c.lastEnd):
		return end, 0, false
	default:
		span = end.Sub(c.started)
	}
	c.lastEnd, c.started = end, end
	return end, span, true
}

// EndFinal ends the current interval early, as the process exits before its end.
func (c *Clock) EndFinal(now time.Time) (end time.Time, span time.Duration) {
	end = now.Round(0).Truncate(c.interval).Add(c.interval)
	if behind := c.lastEnd.Sub(end); behind > 0 && c.started.Equal(c.lastEnd) { // the clock was stepped back
		end = c.lastEnd.Add(c.interval)
	}
	span = max(now.Round(0).Sub(c.started), time.Millisecond)
	c.lastEnd, c.started = end, end
	return end, span
}
