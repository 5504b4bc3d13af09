package balance

import "math"

// attempt is one attempt of a request at a server. Its number is its index in request.attempts.
type attempt struct {
	server        *server
	sentAt        float64
	inFlight      bool
	notExecuted   bool    // its result proves that it was not executed
	reset         bool    // its connection was reset
	notDelivered  bool    // it never reached a server
	overdue       bool    // it has been counted as an error while in flight
	uploading     bool    // its body is still being sent: its time and load do not count
	pendingBefore float64 // requests pending at the server before it, by a fresh report; -1: unknown
}

// request is an open request: one without a final answer or with an attempt in flight.
type request struct {
	Request
	class             *Class
	stats             *classStats
	tenant            *counter
	arrivedAt         float64
	deadline          float64
	attempts          []attempt
	inFlight          int       // attempts
	answered          bool      // it has its final answer
	streaming         bool      // the client has begun to receive its answer: there is no deadline and no retry
	bodyConsumed      bool      // an attempt consumed its body: no further attempt is possible
	pickingCandidates bool      // the present pick is among the candidates
	retryRejected     bool      // a server whose sidecar rejected the request may get another attempt
	timerAt           float64   // when its next timer fires; +Inf: none is set
	probed            []*server // probed before the first attempt
	probesUntil       float64   // until when the first attempt waits for probes; 0: it does not wait
}

// openRequest adds a new request.
func (b *Balancer) openRequest(ev Request) *request {
	r := &request{
		Request:   ev,
		class:     &b.cfg.Classes[ev.Class],
		stats:     &b.traffic.classes[ev.Class],
		tenant:    b.traffic.tenant(ev.Tenant),
		arrivedAt: b.now,
		deadline:  b.now + ev.Remaining,
		timerAt:   math.Inf(1),
	}
	if r.Upload {
		r.deadline = math.Inf(1)
	}
	r.deadline = min(r.deadline, b.shutdownAt)
	b.requests[ev.ID] = r
	r.stats.requests++
	r.tenant.requests++
	return r
}

// closeRequest marks a request as answered and cancels its attempts in flight. It removes the request if there are
// none.
func (b *Balancer) closeRequest(r *request) {
	r.answered = true
	b.cancelOthers(r, -1)
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// cancelOthers cancels all attempts in flight but the one with the index keep; -1: all, if Config.Cancel allows it.
func (b *Balancer) cancelOthers(r *request, keep int) {
	for i := range r.attempts {
		if r.attempts[i].inFlight && i != keep && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

// mayHaveExecuted reports whether an attempt is in flight, or ended without proof that it was not executed.
func (r *request) mayHaveExecuted() bool {
	for i := range r.attempts {
		if !r.attempts[i].notExecuted {
			return true
		}
	}
	return false
}

// exhaustedCause returns the cause with which an exhausted request ends.
func (r *request) exhaustedCause() Cause {
	if len(r.attempts) > 0 {
		return AttemptsExhausted
	}
	return WaitExpired
}

// delivered counts the attempts that may have reached a server.
func (r *request) delivered() int {
	n := 0
	for i := range r.attempts {
		if !r.attempts[i].notDelivered {
			n++
		}
	}
	return n
}

// resets counts the attempts whose connections were reset.
func (r *request) resets() int {
	n := 0
	for i := range r.attempts {
		if r.attempts[i].reset {
			n++
		}
	}
	return n
}

// hasProbed reports whether the server was probed for the request.
func (r *request) hasProbed(s *server) bool {
	for _, p := range r.probed {
		if p == s {
			return true
		}
	}
	return false
}
