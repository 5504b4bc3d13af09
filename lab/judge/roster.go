package judge

// This file knows what the roster said of servers, to whom and when.

import (
	"time"
)

type sidecarServer struct {
	sidecar int
	server  string
}

type span struct{ from, to time.Duration }

type change struct {
	server string
	ready  bool
	at     time.Duration
}

const never = time.Duration(1<<63 - 1)

// closedSince returns since when the roster has had a server as draining or gone.
func (j *Judge) closedSince(server string) (at time.Duration, closed bool) {
	for _, c := range j.changes {
		if c.server != server {
			continue
		}
		if c.ready {
			closed = false
		} else if !closed {
			at, closed = c.at, true
		}
	}
	return at, closed
}

// closedBy returns the change with which the roster closed a server; -1: it is open.
func (j *Judge) closingChange(server string) int {
	by := -1
	for i, c := range j.changes {
		if c.server != server {
			continue
		}
		if c.ready {
			by = -1
		} else if by < 0 {
			by = i
		}
	}
	return by
}

// telling returns what counts as told to a sidecar.
func (j *Judge) tracker(sidecar int) *NotificationTracker {
	t := j.trackers[sidecar]
	if t == nil {
		t = j.newTracker(0)
		j.trackers[sidecar] = t
	}
	return t
}

func (j *Judge) newTracker(since time.Duration) *NotificationTracker {
	t := &NotificationTracker{PollWithin: j.cfg.PollWithin, StartedAt: since}
	for _, c := range j.changes {
		t.Changed(max(c.at, since))
	}
	return t
}

// Call says that a call has reached the roster, and returns its number; ends is told of its end.
func (j *Judge) RosterCall(sidecar int, at, hold time.Duration, waits bool) (ends func(CallEnd, time.Duration)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.tracker(sidecar)
	call := t.CallStarted(at, hold, waits)
	return func(how CallEnd, at time.Duration) {
		j.mu.Lock()
		defer j.mu.Unlock()
		switch how {
		case CallAnswered:
			t.CallAnswered(call, at)
		case CallBroken:
			t.CallBroke(call, at)
		case CallRejected:
			t.CallFailed(call, at)
		case CallCanceled:
			t.CallCanceled(call, at)
		}
	}
}

// CallEnd is how a call to the roster ended.
type CallEnd int

// The ends.
const (
	CallAnswered CallEnd = iota
	CallBroken
	CallRejected
	CallCanceled
)

// Changed says that the roster knows of a server's state since at.
func (j *Judge) Changed(server string, ready bool, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, change{server, ready, at})
	for _, t := range j.trackers {
		t.Changed(at)
	}
}

// Told says that the roster has written a server's state to a sidecar.
func (j *Judge) Notified(sidecar int, server string, ready bool, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	key := sidecarServer{sidecar, server}
	spans := j.closedSpans[key]
	open := len(spans) > 0 && spans[len(spans)-1].to == never
	switch {
	case ready && open:
		spans[len(spans)-1].to = at
	case !ready && !open:
		j.closedSpans[key] = append(spans, span{at, never})
	}
}

// Started says that a sidecar starts anew: it holds the list of its configuration, and has asked nothing yet.
func (j *Judge) SidecarStarted(sidecar int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.trackers[sidecar] = j.newTracker(at)
}
