package balance

import (
	"fmt"
	"math"
	"sort"
)

// connectFailureWindow is the number of attempts over which the share of connect failures is averaged.
const connectFailureWindow = recentWindow / 2

// Handle takes an event at a time in ms, which must not decrease, and returns the actions to carry out, in order. The
// actions are valid until the next call. An error means that the event is inconsistent with earlier ones; the balancer
// is then unchanged.
func (b *Balancer) Handle(now float64, ev Event) ([]Action, error) {
	b.now, b.actions = now, b.actions[:0]
	var err error
	switch ev := ev.(type) {
	case Request:
		err = b.onRequest(ev)
	case Outcome:
		err = b.onOutcome(ev)
	case TimerFired:
		b.onTimer(ev)
	case ServerList:
		b.onList(ev)
	case ProbeResult:
		b.onProbeResult(ev)
	case ClientDisconnected:
		if r := b.requests[ev.Request]; r != nil {
			b.closeRequest(r)
		}
	case ResponseStarted:
		b.onResponseStarted(ev)
	case UploadComplete:
		b.onUploadComplete(ev)
	case Shutdown:
		b.onShutdown(ev)
	}
	return b.actions, err
}

// Ejected reports whether a listed server is ejected at a time in ms because of the results of earlier attempts or
// probes. No attempts are sent to an ejected server unless all eligible servers are ejected.
func (b *Balancer) Ejected(id ServerID, now float64) bool {
	s := b.byID[id]
	return s != nil && s.isEjected(now)
}

// onOutcome ends an attempt, records its outcome and decides what its request needs next.
func (b *Balancer) onOutcome(ev Outcome) error {
	r, a, err := b.endAttempt(&ev)
	if err != nil {
		return err
	}
	b.recordOutcome(r, a, &ev)
	r.bodyConsumed = r.bodyConsumed || ev.BodyConsumed
	if r.answered || ev.Finished || r.streaming {
		b.closeRequest(r)
	}
	b.step(r)
	return nil
}

// onList applies a server list, or schedules a retry of a list request that failed.
func (b *Balancer) onList(ev ServerList) {
	if ev.Kind == ListFailed {
		b.retryList()
		return
	}
	if ev.Kind != ListDelta {
		b.markUnlisted(ev.Servers)
		b.rotation.zonePreference = ev.ZonePreference
	}
	if ev.Kind != ListCached {
		b.listFailures = 0
	}
	for i := range ev.Servers {
		if e := &ev.Servers[i]; e.State != Gone || b.byID[e.ID] != nil {
			b.updateServer(e)
		}
	}
	b.removeGone()
}

// onTimer continues the list request or the request that the timer was set for. It does not compare the timer's time
// with the clock, as a timer may fire early by a rounding error.
func (b *Balancer) onTimer(ev TimerFired) {
	if ev.Token == listTimer {
		b.emit(Action{Kind: Subscribe})
	} else if r := b.requests[RequestID(ev.Token)]; r != nil {
		r.timerAt = math.Inf(1)
		b.step(r)
	}
}

// onResponseStarted marks the request as streaming, without a deadline and retries, and cancels its other attempts.
func (b *Balancer) onResponseStarted(ev ResponseStarted) {
	if r := b.requests[ev.Request]; r != nil && !r.answered && !r.streaming {
		r.streaming = true
		b.cancelOthers(r, ev.Attempt)
	}
}

// onUploadComplete starts the deadline of an uploaded request and counts its load.
func (b *Balancer) onUploadComplete(ev UploadComplete) {
	r := b.requests[ev.Request]
	if r == nil || r.answered || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].uploading {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.uploading, a.sentAt = false, b.now
	a.server.load += 1 / r.class.LatencyTarget
	r.arrivedAt, r.deadline = b.now, min(b.now+r.Remaining, b.shutdownAt)
	b.scheduleTimer(r)
}

// onShutdown limits the deadlines of open requests; openRequest limits those of new ones.
func (b *Balancer) onShutdown(ev Shutdown) {
	b.shutdownAt = b.now + max(0, ev.Within)
	var limited []*request
	for _, r := range b.requests {
		if !r.answered && !r.streaming && r.deadline > b.shutdownAt {
			limited = append(limited, r)
		}
	}
	sort.Slice(limited, func(i, j int) bool { return limited[i].ID < limited[j].ID })
	for _, r := range limited {
		r.deadline = b.shutdownAt
		b.scheduleTimer(r)
	}
}

// send starts an attempt at a server and counts it.
func (b *Balancer) send(r *request, s *server) {
	a := attempt{server: s, sentAt: b.now, inFlight: true, pendingBefore: -1, uploading: r.Upload}
	if b.reportFresh(s) {
		a.pendingBefore = b.pendingAt(s)
	}
	s.slowStartTokens--
	if s.inFlight == 0 && b.now >= s.lastSentAt+b.cfg.ConnIdle {
		s.conns = 0
	}
	s.inFlight++
	b.inFlight++
	r.inFlight++
	s.conns = max(s.conns, s.inFlight)
	s.lastSentAt = b.now
	s.sentSinceReport++
	if !r.Upload {
		s.load += 1 / r.class.LatencyTarget
	}
	r.attempts = append(r.attempts, a)
	b.emit(Action{Kind: Send, Request: r.ID, Server: s.ID})
}

// endAttempt marks an attempt as ended and returns it with its request.
func (b *Balancer) endAttempt(ev *Outcome) (*request, *attempt, error) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return nil, nil, fmt.Errorf("outcome of request %d, attempt %d, which is not in flight", ev.Request, ev.Attempt)
	}
	a := &r.attempts[ev.Attempt]
	a.inFlight, a.notExecuted, a.reset = false, ev.Result.ProvesNotExecuted(), ev.Result == Reset
	a.notDelivered = ev.NotDelivered || b.cfg.LastHop && ev.Result.ProvesNotSent()
	b.releaseAttempt(r, a, ev.Result)
	b.recordReport(a.server, ev.Report)
	b.connectFailureShare -= b.connectFailureShare / connectFailureWindow
	if ev.Result == ConnectFailed {
		b.connectFailureShare += 1. / connectFailureWindow
	}
	return r, a, nil
}

// releaseAttempt removes an attempt that has ended from the counts of attempts, connections and load in flight.
func (b *Balancer) releaseAttempt(r *request, a *attempt, result Result) {
	b.inFlight--
	r.inFlight--
	a.server.inFlight--
	connectionKept := result == OK || result == Failed || result == Rejected
	if !connectionKept && a.server.conns > 0 {
		a.server.conns--
	}
	if a.overdue {
		b.shedder.markLost(r, a, -1)
	}
	if !a.uploading {
		a.server.load -= 1 / r.class.LatencyTarget
	}
}
