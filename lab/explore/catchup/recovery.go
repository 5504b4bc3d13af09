package catchup

import (
	"fmt"
	"time"

	"firplank/mesh/configversion"
)

const (
	// CatchUpTime is the time from a machine's start, or from the last fault after it, within which the machine must
	// have published, and stored on its disk, the newest version received by anyone before the start.
	CatchUpTime = 2500 * time.Millisecond
	// CatchUpValues bounds the bytes sent to the machine until then: this many values, however many changes it missed,
	// and one more for each change made meanwhile.
	CatchUpValues = 16
	// CatchUpBytes bounds the bytes sent to it besides values.
	CatchUpBytes = 16 << 10
)

// CatchUp has the worst figures of all machines that caught up after a start.
type CatchUp struct {
	Starts int                   // starts after which the machine caught up
	Time   time.Duration         // until the newest version was published and on disk
	Values float64               // bytes sent to the machine until then, in values of the largest size
	Missed configversion.Version // changes missed before the start
}

// String implements fmt.Stringer.
func (c CatchUp) String() string {
	return fmt.Sprintf("caught up %d times, at worst in %.2f s and with the bytes of %.1f values, after %d missed changes at most",
		c.Starts, c.Time.Seconds(), c.Values, c.Missed)
}

// catchingUp is the progress of a machine that has started and not caught up yet.
type catchingUp struct {
	since         time.Duration // start of the period that CatchUpTime bounds
	wantedVersion configversion.Version
	missedChanges configversion.Version
	bytes         int // received since the start
	published     bool
	changesSince  int // acknowledged since the start
}

// started records that a machine started with a version on its disk.
func (h *history) started(machine string, version configversion.Version, now time.Duration) {
	want := h.highestBefore(now + 1)
	h.catchingUp[machine] = &catchingUp{since: now, wantedVersion: want, missedChanges: want - min(want, version)}
}

func (h *history) stopped(machine string) { delete(h.catchingUp, machine) }

func (h *history) isCatchingUp(machine string) bool { return h.catchingUp[machine] != nil }

// faultOccurred restarts the catch-up period of all machines that have not caught up.
func (h *history) faultOccurred(now time.Duration) {
	for _, c := range h.catchingUp {
		c.since = now
	}
}

// received records the sizes of a received frame and of the value in it; 0 if it has none.
func (h *history) received(machine string, frame, value int) {
	if value > 0 {
		h.largestFrame = max(h.largestFrame, frame)
	}
	if c := h.catchingUp[machine]; c != nil {
		c.bytes += frame
	}
}

// onDisk records the version on a machine's disk. A machine that has published the newest version has then caught up.
func (h *history) onDisk(machine string, version configversion.Version, now time.Duration) {
	c := h.catchingUp[machine]
	if c == nil || !c.published || version < c.wantedVersion {
		return
	}
	delete(h.catchingUp, machine)
	if limit := (CatchUpValues+c.changesSince)*h.largestFrame + CatchUpBytes; c.bytes > limit {
		h.fail("%s was sent %d bytes before it caught up, the limit is %d", machine, c.bytes, limit)
	}
	worst := &h.catchUp
	worst.Starts++
	worst.Time = max(worst.Time, now-c.since)
	worst.Missed = max(worst.Missed, c.missedChanges)
	if h.largestFrame > 0 {
		worst.Values = max(worst.Values, float64(c.bytes)/float64(h.largestFrame))
	}
}

// checkDeadlines records a breach if a machine has not caught up in time.
func (h *history) checkDeadlines(now time.Duration) {
	for machine, c := range h.catchingUp {
		if now > c.since+CatchUpTime {
			h.fail("%s has not caught up to version %d (published: %v) in %v", machine, c.wantedVersion, c.published, CatchUpTime)
		}
	}
}
