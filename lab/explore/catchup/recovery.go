package catchup

import (
	"fmt"
	"time"
)

const (
	// CatchUpTime is within what time of its start, or of the last fault after it, a machine has to publish what was
	// acknowledged before, and have it on its disk.
	CatchUpTime = 2500 * time.Millisecond
	// CatchUpValues bounds the bytes that it is sent until then: so many values, however many changes it has missed, and
	// one more for each change made meanwhile.
	CatchUpValues = 16
	// CatchUpBytes is what it may be sent besides.
	CatchUpBytes = 16 << 10
)

// CatchUp is the worst of all machines that started.
type CatchUp struct {
	Starts int           // that have caught up
	Time   time.Duration // until the newest was published and on disk
	Values float64       // bytes that the machine was sent until then, in values of the largest size
	Missed uint32        // changes that it had missed
}

// String implements fmt.Stringer.
func (c CatchUp) String() string {
	return fmt.Sprintf("caught up %d times, at worst in %.2f s and with the bytes of %.1f values, after %d missed changes at most",
		c.Starts, c.Time.Seconds(), c.Values, c.Missed)
}

// catchingUp is a machine that has started and has not caught up.
type catchingUp struct {
	since         time.Duration // from when its time counts
	wantedVersion uint32        // version
	missedChanges uint32        // changes
	bytes         int           // received
	published     bool
	changesSince  int // acknowledged meanwhile
}

// started takes in that a machine started with a version on its disk.
func (h *history) started(machine string, version uint32, now time.Duration) {
	want := h.highestBefore(now + 1)
	h.catchingUp[machine] = &catchingUp{since: now, wantedVersion: want, missedChanges: want - min(want, version)}
}

func (h *history) stopped(machine string) { delete(h.catchingUp, machine) }

func (h *history) isCatchingUp(machine string) bool { return h.catchingUp[machine] != nil }

// faultOccurred restarts the time of all that have not caught up.
func (h *history) faultOccurred(now time.Duration) {
	for _, c := range h.catchingUp {
		c.since = now
	}
}

// received takes in the bytes of a frame, and those of the value in it.
func (h *history) received(machine string, frame, value int) {
	if value > 0 {
		h.largestFrame = max(h.largestFrame, frame)
	}
	if c := h.catchingUp[machine]; c != nil {
		c.bytes += frame
	}
}

// onDisk takes in what a machine has on its disk, which is the last condition for having caught up.
func (h *history) onDisk(machine string, version uint32, now time.Duration) {
	c := h.catchingUp[machine]
	if c == nil || !c.published || version < c.wantedVersion {
		return
	}
	delete(h.catchingUp, machine)
	if limit := (CatchUpValues+c.changesSince)*h.largestFrame + CatchUpBytes; c.bytes > limit {
		h.fail("%s was sent %d bytes until it had caught up, %d at most is promised", machine, c.bytes, limit)
	}
	worst := &h.catchUp
	worst.Starts++
	worst.Time = max(worst.Time, now-c.since)
	worst.Missed = max(worst.Missed, c.missedChanges)
	if h.largestFrame > 0 {
		worst.Values = max(worst.Values, float64(c.bytes)/float64(h.largestFrame))
	}
}

// checkDeadlines fails where a machine has not caught up in time.
func (h *history) checkDeadlines(now time.Duration) {
	for machine, c := range h.catchingUp {
		if now > c.since+CatchUpTime {
			h.fail("%s has not caught up to version %d (handed out: %v) in %v", machine, c.wantedVersion, c.published, CatchUpTime)
		}
	}
}
