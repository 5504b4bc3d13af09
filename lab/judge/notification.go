package judge

import "time"

// The limits of the rule on changes of the list, from the users' page on the protocol ("Discovery", "The rules on sockets", "Figures").
const (
	dueAfterWait     = 2 * time.Second        // limit for the response to a call that may wait, after the end of its wait
	dueAfterCall     = 6 * time.Second        // limit for any other call, from its start
	watchGap         = 200 * time.Millisecond // a call within this time after a response continues the watch
	failedPollFactor = 4                      // multiplies the poll limit after a failed call
)

// NotificationTracker decides when one sidecar counts as notified of a change of the list. It relies only on the calls that discovery
// observed from that sidecar. Where the page is ambiguous it uses the reading by which the sidecar counts as notified sooner
// (docs/questions.md). All times have the same origin and never decrease. Its memory grows with the recorded calls and changes.
type NotificationTracker struct {
	PollWithin time.Duration // limit between the polls of a sidecar without a watch; 0: none
	StartedAt  time.Duration // start of the sidecar, whose initial list has all earlier changes

	calls      []trackedCall
	changes    []time.Duration // times of the changes, numbered from 0
	notifiedAt []time.Duration
}

type trackedCall struct {
	at, hold    time.Duration
	mayWait     bool
	end         time.Duration // never: still open
	outcome     callOutcome
	changesSent int // number of changes in the response, even if it was not received in full
}

type callOutcome uint8

const (
	callOpen callOutcome = iota
	callComplete
	callBroken
	callFailed
	callCanceled
)

// CallStarted records that a call has reached discovery, and returns its number. A call with mayWait waits up to hold for a change.
func (t *NotificationTracker) CallStarted(at, hold time.Duration, waits bool) int {
	if n := len(t.calls); waits && n > 0 {
		if last := t.calls[n-1]; last.outcome == callComplete && at <= last.end+watchGap {
			for c := last.changesSent; c < len(t.changes); c++ {
				t.setNotified(c, t.changes[c])
			}
		}
	}
	for c := range t.changes { // a later call can't postpone a notification that is already due
		if t.notifiedAt[c] <= at {
			continue
		}
		if told := t.NotifiedBy(c); told <= at {
			t.setNotified(c, told)
		}
	}
	t.calls = append(t.calls, trackedCall{at: at, hold: hold, mayWait: waits, end: never})
	return len(t.calls) - 1
}

// Changed records a change of the list. Changes are numbered from 0.
func (t *NotificationTracker) Changed(at time.Duration) {
	t.changes = append(t.changes, at)
	t.notifiedAt = append(t.notifiedAt, never)
}

// CallAnswered records that a complete response with all changes so far was written.
func (t *NotificationTracker) CallAnswered(call int, at time.Duration) {
	t.endCall(call, at, callComplete)
	for c := range t.changes {
		t.setNotified(c, at)
	}
}

// CallBroke records that a response was truncated, stalled or malformed.
func (t *NotificationTracker) CallBroke(call int, at time.Duration) { t.endCall(call, at, callBroken) }

// CallFailed records that discovery answered with an error.
func (t *NotificationTracker) CallFailed(call int, at time.Duration) { t.endCall(call, at, callFailed) }

// CallCanceled records that the sidecar gave up the call.
func (t *NotificationTracker) CallCanceled(call int, at time.Duration) {
	t.endCall(call, at, callCanceled)
}

func (t *NotificationTracker) endCall(call int, at time.Duration, how callOutcome) {
	c := &t.calls[call]
	if c.outcome == callOpen {
		c.end, c.outcome, c.changesSent = at, how, len(t.changes)
	}
}

func (t *NotificationTracker) setNotified(change int, at time.Duration) {
	t.notifiedAt[change] = min(t.notifiedAt[change], at)
}

// NotifiedBy returns when a change counts as notified by the events so far. Further events can make that time earlier, never later.
// It returns the maximum duration (never) if no limit applies yet.
func (t *NotificationTracker) NotifiedBy(change int) time.Duration {
	notified, changedAt := t.notifiedAt[change], t.changes[change]
	watched := false
	for _, c := range t.calls {
		if c.outcome == callComplete && c.changesSent > change || c.outcome == callFailed || changedAt >= c.end {
			continue // the call has sent the change, failed, or ended before it
		}
		if c.mayWait && changedAt >= c.at {
			watched = true
		}
		due := c.at + dueAfterCall
		switch {
		case c.mayWait && c.outcome == callBroken:
			due = c.end + dueAfterWait
		case c.mayWait:
			due = c.at + max(c.hold+dueAfterWait, dueAfterCall)
		}
		notified = min(notified, max(due, changedAt))
	}
	if watched || t.PollWithin == 0 {
		return notified
	}
	// Without a watch the limit counts from the last call, or from the change if that is later.
	last, limit := t.StartedAt, t.PollWithin
	if n := len(t.calls); n > 0 {
		last = t.calls[n-1].at
		if t.calls[n-1].outcome == callFailed {
			limit = failedPollFactor * t.PollWithin
		}
	}
	return min(notified, max(changedAt+t.PollWithin, last+limit))
}
