package calls

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	httpback "firplank/internal/upstream/http"
	"firplank/mesh/attempts"
	"firplank/mesh/dataplane/inflight"
)

// timeLeft is the time that each request has left for queries. Deadlines are not explored.
const timeLeft = time.Minute

// sender is the client's sidecar.
type sender struct {
	w         *world
	inFlight  *inflight.Tracker[*link]
	announced []uint64 // incarnations of the last hops that the directory has announced
	requests  []*request
}

// request is a client's request at the sender.
type request struct {
	id       string
	attempts int // that have reached a server or still may
	sends    int
	rejected [lastHopCount]bool // by last hop; no retry there: an old rejection could be matched to it
	done     bool
}

func newSender(w *world) sender {
	s := sender{w: w, inFlight: inflight.New[*link]("s.1"), announced: make([]uint64, lastHopCount)}
	for i, h := range w.hops {
		s.announce(i, h.incarnation)
	}
	return s
}

func (s *sender) announce(hop int, incarnation uint64) {
	s.announced[hop] = incarnation
	s.inFlight.SetAnnouncedIncarnation(addr(hop), incarnation)
}

func (s *sender) choices() {
	if len(s.requests) < s.w.bounds.Requests {
		id := fmt.Sprint("r", len(s.requests)+1)
		s.w.addChoice(func() {
			r := &request{id: id}
			s.requests = append(s.requests, r)
			s.send(r)
		}, "the client sends %s", id)
	}
	for i, h := range s.w.hops {
		if s.announced[i] != h.incarnation {
			s.w.addChoice(func() { s.announce(i, h.incarnation) }, "the directory announces the restart of last hop %d", i)
		}
	}
}

// send sends an attempt of a request to the next last hop whose server has not rejected it.
func (s *sender) send(r *request) {
	to := r.sends % lastHopCount
	if r.rejected[to] {
		to = 1 - to
	}
	if r.rejected[to] {
		s.finish(r, refused, "")
		return
	}
	l := &link{w: s.w, request: r, lastHop: to, forwarded: r.sends, undelivered: 1}
	r.sends++
	r.attempts++
	l.id = s.inFlight.Begin(l, addr(to))
	s.w.links = append(s.w.links, l)
}

// handleClose handles a connection that broke before its response was complete.
func (s *sender) handleClose(l *link) {
	if s.w.defect.closedIsNotStarted {
		s.handleEvidence(l, attempts.NeverExecuted, "")
		return
	}
	unanswered, ok := s.inFlight.HandleClose(l)
	switch {
	case ok:
		s.query(l, unanswered.FirstQuery(timeLeft))
	case l.query != nil:
		s.query(l, l.query.Next(timeLeft))
	default:
		s.handleEvidence(l, attempts.Inconclusive, "")
	}
}

// query sends a query about an attempt. A nil query means that none is left and the outcome stays unknown.
func (s *sender) query(l *link, q *inflight.Query) {
	if q == nil {
		s.handleEvidence(l, attempts.Inconclusive, "")
		return
	}
	to := l.lastHop
	if s.w.defect.queriesOtherHop {
		to = 1 - to
		q.Attempt.ID.Incarnation = s.announced[to]
	}
	queryLink := &link{w: s.w, request: l.request, lastHop: to, id: q.Attempt.ID, query: q, undelivered: 1}
	s.inFlight.BeginQuery(queryLink, q)
	s.w.links = append(s.w.links, queryLink)
}

// handleResponse handles a complete response.
func (s *sender) handleResponse(l *link, p *httpback.MatchedResponse) {
	outcome, incarnation := attempts.Outcome(p.Header.Get("Firplank-Fate")), uint64(0)
	if n, err := strconv.ParseUint(p.Header.Get("Firplank-Life"), 16, 64); err == nil {
		incarnation = n
	}
	evidence := s.inFlight.HandleResponse(l, outcome, responseOf(l.request.id, p), incarnation)
	if l.query != nil && !l.query.Answered() {
		if !s.w.defect.rejectedQueryIsNotStarted {
			s.handleClose(l)
			return
		}
		evidence = attempts.NeverExecuted
	}
	s.handleEvidence(l, evidence, string(p.Body))
}

// handleEvidence answers or retries a request according to the evidence about its attempt.
func (s *sender) handleEvidence(l *link, evidence attempts.Evidence, body string) {
	r := l.request
	if r.done {
		s.w.history.fail("%s: an attempt ended after its request was answered", r.id)
		return
	}
	switch evidence {
	case attempts.Succeeded:
		s.finish(r, served, body)
	case attempts.Failed:
		s.finish(r, failed, body)
	case attempts.NeverExecuted, attempts.RejectedByServer:
		if evidence == attempts.NeverExecuted {
			r.attempts--
		} else if !s.w.defect.retriesRejectingServer {
			r.rejected[l.lastHop] = true
		}
		if r.attempts >= maxAttempts || r.sends >= 2*maxAttempts {
			s.finish(r, refused, "")
			return
		}
		s.send(r)
	default:
		s.finish(r, unknown, "")
	}
}

func (s *sender) finish(r *request, st status, body string) {
	r.done = true
	s.w.history.recordAnswer(r.id, st, body)
}

// responseOf returns the properties of a response that evidence is derived from.
func responseOf(id string, p *httpback.MatchedResponse) attempts.Response {
	return attempts.Response{
		Success:        p.Status == http.StatusOK,
		MatchesRequest: p.Header.Get("Try-Id") == id,
		Postmarked:     p.Header.Get("Postmark") != "",
		NotDelivered:   p.Header.Get("Not-Delivered") != "",
	}
}
