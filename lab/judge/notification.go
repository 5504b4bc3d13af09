package judge

import "time"

// The figures of the rule on news of the list, from the users' page of the protocol ("Discovery", "The rules on sockets", "Figures").
const (
	dueAfterWait     = 2 * time.Second        // a call that may wait has told all by then, counted from the end of its wait
	dueAfterCall     = 6 * time.Second        // any other call
	watchGap         = 200 * time.Millisecond // a call that comes by then after an answer goes on with the watch
	failedPollFactor = 4                      // times the limit for asking, after a call that failed
)

// Telling is the rule on when a change of the list counts as told to one sidecar, by what discovery saw of that sidecar's calls. It knows
// nothing of the sidecar. Where the page leaves something open it takes the reading by which news count as told sooner
// (docs/questions.md). Times are since any one moment and never go back. Its memory grows with the calls and changes that it is told of.
type NotificationTracker struct {
	PollWithin time.Duration // the limit for asking, of a sidecar without a watch; 0: none
	StartedAt  time.Duration // the sidecar's start, with all changes until then

	calls      []trackedCall
	changes    []time.Duration // of revisions 1, 2, ... of the oracle's own count
	notifiedAt []time.Duration
}

type trackedCall struct {
	at, hold    time.Duration
	mayWait     bool
	end         time.Duration // forever: it is open
	outcome     callOutcome
	changesSent int // changes written, or meant to be
}

type callOutcome uint8

const (
	callOpen callOutcome = iota
	callComplete
	callBroken
	callFailed
	callCanceled
)

// Called says that a call has reached discovery, and returns its number. One that may wait has a hold.
func (t *NotificationTracker) CallStarted(at, hold time.Duration, waits bool) int {
	if n := len(t.calls); waits && n > 0 {
		if last := t.calls[n-1]; last.outcome == callComplete && at <= last.end+watchGap {
			for c := last.changesSent; c < len(t.changes); c++ {
				t.setNotified(c, t.changes[c])
			}
		}
	}
	for c := range t.changes { // what has been told by now a call cannot put off
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

// Changed says that the list has changed; changes are numbered from 0.
func (t *NotificationTracker) Changed(at time.Duration) {
	t.changes = append(t.changes, at)
	t.notifiedAt = append(t.notifiedAt, never)
}

// Wrote says that a whole answer was written, with all changes so far.
func (t *NotificationTracker) CallAnswered(call int, at time.Duration) {
	t.endCall(call, at, callComplete)
	for c := range t.changes {
		t.setNotified(c, at)
	}
}

// Broke says that an answer broke off, stopped, or was written so that it can't be read.
func (t *NotificationTracker) CallBroke(call int, at time.Duration) { t.endCall(call, at, callBroken) }

// Failed says that discovery has answered that it can't.
func (t *NotificationTracker) CallFailed(call int, at time.Duration) { t.endCall(call, at, callFailed) }

// Left says that the sidecar has given the call up.
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

// ToldAt is when a change counts as told, by what has happened so far; a change may be told sooner by what happens yet, never later.
// Forever: nothing obliges yet.
func (t *NotificationTracker) NotifiedBy(change int) time.Duration {
	notified, changedAt := t.notifiedAt[change], t.changes[change]
	watched := false
	for _, c := range t.calls {
		if c.outcome == callComplete && c.changesSent > change || c.outcome == callFailed || changedAt >= c.end {
			continue // it has told it, or was over
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
	// Without a watch: counted from the last call, or from the change if that is later.
	last, limit := t.StartedAt, t.PollWithin
	if n := len(t.calls); n > 0 {
		last = t.calls[n-1].at
		if t.calls[n-1].outcome == callFailed {
			limit = failedPollFactor * t.PollWithin
		}
	}
	return min(notified, max(changedAt+t.PollWithin, last+limit))
}
