package judge

// This file records the changes of the roster's list and when each sidecar was sent them.

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

// closedSince returns since when the roster lists a server as draining or gone; false if it is listed as ready.
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

// closingChange returns the index of the change by which a server became draining or gone; -1 if it is ready.
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

// tracker returns a sidecar's tracker, creating it if needed.
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

// RosterCall records that a call has reached the roster. The caller calls ends with how and when the call ended.
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

// CallEnd is the outcome of a call to the roster.
type CallEnd int

// The outcomes of calls.
const (
	CallAnswered CallEnd = iota
	CallBroken
	CallRejected
	CallCanceled
)

// Changed records that the roster lists a new state of a server from at on.
func (j *Judge) Changed(server string, ready bool, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, change{server, ready, at})
	for _, t := range j.trackers {
		t.Changed(at)
	}
}

// Notified records that the roster has sent a server's state to a sidecar.
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

// SidecarStarted records a start of a sidecar: it has the list of its configuration and has made no call yet.
func (j *Judge) SidecarStarted(sidecar int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.trackers[sidecar] = j.newTracker(at)
}
