package core

import (
	"container/heap"
	"math"
	"time"

	"firplank/balance"
	"firplank/contract"
	"firplank/internal/invariant"
)

// overQuotaRetryAfterMillis is the retry-after time of a call that FleetQuota rejects.
const overQuotaRetryAfterMillis = 1000

// request is the state of a client's request until it is answered and no attempt is in flight.
type request struct {
	id             balance.RequestID
	call           *Call // nil once the request is removed
	deadline       float64
	expiry         timer // fails the request after its deadline if the balancer does not
	grant          contract.Grant
	class          int // as submitted: the admission controller may change the call's
	tenant         int
	attempts       []*Attempt
	inFlight       int           // attempts
	answered       bool          // it has its final answer
	serverAnswer   *Answer       // the last server's own answer of a failed attempt
	uploading      bool          // its body is still being received: its deadline does not count yet
	countedInFleet bool          // FleetQuota has accepted it
	cause          balance.Cause // the balancer's reason for not serving it
}

// beginRequest admits a call and passes it to the balancer.
func (l *Loop) beginRequest(c *Call) {
	l.lastID++
	r := &request{id: l.lastID, call: c, class: c.Request.Class, tenant: c.Request.Tenant}
	l.cfg.Counts.RequestReceived(r.class, r.tenant, c.Request.Retry)
	l.record.requestReceived()
	if denied := l.admit(r); denied != nil {
		l.finish(r, denied)
		return
	}
	req := c.Request
	req.ID = r.id
	margin := float64(l.cfg.Shedder.DeadlineMargin()) / float64(time.Millisecond)
	req.Remaining = max(0, req.Remaining-(l.now-l.millisAt(c.Received))-margin)
	r.deadline = min(l.now+req.Remaining, l.shutdownAt)
	l.requests[r.id], l.byCall[c] = r, r
	if c.Message.Stream != nil { // the front limits the time for receiving the body
		req.Upload, r.uploading, r.deadline = true, true, l.shutdownAt
		c.Message.Remaining = millis(req.Remaining)
	}
	l.scheduleExpiry(r)
	l.notify(req)
}

// admit checks the fleet's quota, the uniqueness of the name and the admission controller for a new request. It returns the
// final answer of a request that is not admitted.
func (l *Loop) admit(r *request) *Answer {
	c := r.call
	if l.cfg.FleetQuota != nil {
		r.countedInFleet = l.cfg.FleetQuota.Take(l.elapsed(), r.class, r.tenant, c.Request.Retry)
		if !r.countedInFleet {
			return l.refusal(overQuotaRetryAfterMillis)
		}
	}
	if c.Name != "" {
		if l.byName[c.Name] != nil {
			// Servers and clients identify a request by its name: with the name of an open request, the answers of the
			// two could be exchanged.
			return failed(DuplicateName, "a request of this id is open")
		}
		l.byName[c.Name] = r
	}
	if l.cfg.Admission == nil {
		return nil
	}
	var denied *Answer
	r.grant, denied = l.cfg.Admission.Admit(l.elapsed(), c)
	return denied
}

// scheduleExpiry sets or moves the timer that fails a request after its deadline, if it has a deadline.
func (l *Loop) scheduleExpiry(r *request) {
	if math.IsInf(r.deadline, 1) {
		return
	}
	if r.expiry.request != nil {
		if r.expiry.index >= 0 {
			r.expiry.at = r.deadline + expiryGraceMillis
			heap.Fix(&l.timers, r.expiry.index)
		}
		return
	}
	r.expiry = timer{at: r.deadline + expiryGraceMillis, request: r}
	heap.Push(&l.timers, &r.expiry)
}

// limitDeadlines limits the deadlines of open requests at shutdown; beginRequest limits those of later ones.
func (l *Loop) limitDeadlines(deadline time.Time) {
	l.shutdownAt = l.millisAt(deadline)
	for _, r := range l.requests {
		if !r.answered && r.deadline > l.shutdownAt {
			r.deadline = l.shutdownAt
			l.scheduleExpiry(r)
		}
	}
	l.notify(balance.Shutdown{Within: l.shutdownAt - l.now})
}

// startDeadline starts the deadline of a request whose body was completely written by an attempt.
func (l *Loop) startDeadline(a *Attempt) {
	r := l.requests[a.request]
	if r == nil || r.answered || !r.uploading {
		return
	}
	r.uploading = false
	r.deadline = min(l.now+float64(r.call.Message.Remaining)/float64(time.Millisecond), l.shutdownAt)
	l.scheduleExpiry(r)
	l.notify(balance.UploadComplete{Request: r.id, Attempt: a.number})
}

// finish gives a request its final answer, or none if a is nil; only the first call has an effect. All answers to clients
// are sent here.
func (l *Loop) finish(r *request, a *Answer) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	l.checkAnswer(r, a)
	l.observeEnd(r, a)
	l.countEnd(r, a)
	l.cfg.Shedder.RequestEnded(r.class, time.Since(r.call.Received), overloadEnding(a))
	delete(l.byCall, r.call)
	for _, attempt := range r.attempts {
		attempt.SetAnswered()
	}
	if s := r.call.Message.Stream; s != nil {
		s.CloseRead(errAnswered)
	}
	if r.grant.Valid() {
		l.cfg.Admission.Release(l.elapsed(), r.grant, a == nil || a.Kind != Refused)
	}
	if a != nil {
		r.call.Client.Answer(r.call, a)
	}
	l.forget(r)
}

// forget removes a request that is answered and has no attempt in flight. It also removes the request's timer: otherwise
// most of the heap would be timers of answered requests.
func (l *Loop) forget(r *request) {
	if !r.answered || r.inFlight > 0 || r.call == nil {
		return
	}
	delete(l.requests, r.id)
	if name := r.call.Name; name != "" && l.byName[name] == r {
		delete(l.byName, name)
	}
	if r.expiry.request != nil && r.expiry.index >= 0 {
		heap.Remove(&l.timers, r.expiry.index)
	}
	r.call, r.attempts = nil, nil
}

// expire fails a request that is still open after its deadline, independently of the balancer's state.
func (l *Loop) expire(r *request) {
	if r.answered {
		return
	}
	l.log.Error("request still open after its deadline", "request", r.id)
	l.violated(invariant.AnsweredByDeadline, r, "received", r.call.Received, "in flight", r.inFlight)
	l.finish(r, failed(DeadlineExceeded, "out of time"))
	l.notify(balance.ClientDisconnected{Request: r.id})
}
