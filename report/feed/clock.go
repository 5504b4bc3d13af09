package feed

import "time"

// mostHold is how far the clock may be stepped back for intervals to wait until it has caught up.
const maxStepBack = 5 * time.Minute

// Clock tells when intervals end. Their ends are whole multiples of their length by the wall clock, as receivers that keep one
// value for each such time want it, and no end is told twice: after a step back nothing ends until the clock has caught up, so
// that what was told before stays. A step of more than five minutes is believed.
//
// The first interval is longer than the others, and the last ends at the next multiple: so a process that follows at once does
// not end one at the same time.
type Clock struct {
	interval time.Duration
	started  time.Time // when the interval began
	lastEnd  time.Time // end of the one before, or where there is none the time before which none ends
}

// NewClock begins the first interval. every is whole seconds.
func NewClock(start time.Time, interval time.Duration) *Clock {
	return &Clock{interval: interval, started: start.Round(0), lastEnd: start.Round(0).Truncate(interval).Add(interval)}
}

// Next is when the present interval ends.
func (c *Clock) Next() time.Time { return c.lastEnd.Truncate(c.interval).Add(c.interval) }

// End ends the interval, if it is time.
func (c *Clock) End(now time.Time) (end time.Time, span time.Duration, ok bool) {
	now = now.Round(0) // by the wall clock alone
	end = now.Truncate(c.interval)
	switch {
	case c.lastEnd.Sub(now) > maxStepBack+c.interval: // the clock was wrong before
		span = c.interval
	case !end.After(c.lastEnd):
		return end, 0, false
	default:
		span = end.Sub(c.started)
	}
	c.lastEnd, c.started = end, end
	return end, span, true
}

// Last ends the interval that the process does not see the end of.
func (c *Clock) EndFinal(now time.Time) (end time.Time, span time.Duration) {
	end = now.Round(0).Truncate(c.interval).Add(c.interval)
	if behind := c.lastEnd.Sub(end); behind > 0 && c.started.Equal(c.lastEnd) { // the clock was stepped back
		end = c.lastEnd.Add(c.interval)
	}
	span = max(now.Round(0).Sub(c.started), time.Millisecond)
	c.lastEnd, c.started = end, end
	return end, span
}
