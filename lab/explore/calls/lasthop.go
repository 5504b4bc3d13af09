package calls

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	httpback "firplank/internal/upstream/http"
	"firplank/mesh/admission"
	"firplank/mesh/attempts"
	"firplank/mesh/dataplane/lasthop"
	"firplank/mesh/directory"
	"firplank/mesh/timing"
)

// Slots and the heartbeat time-out are large enough never to limit an order. Neither is explored here.
const (
	serverSlots      = 64
	heartbeatTimeout = time.Hour
)

func newLog(incarnation uint64) *attempts.Log[*link, response] {
	return attempts.New[*link, response](incarnation)
}

// lastHop is the sidecar beside a server, with its connections to that server.
type lastHop struct {
	w           *world
	number      int
	incarnation uint64
	heartbeats  uint64 // sequence number of its server's last heartbeat
	gate        lasthop.Gate[*link, response]
	conns       []*serverConn // open, or closed with a request that the server still has
}

func newLastHop(w *world, number int) *lastHop {
	h := &lastHop{w: w, number: number, incarnation: 1}
	h.start()
	return h
}

// start starts a process, which registers its server by the server's next heartbeat.
func (h *lastHop) start() {
	h.gate = lasthop.Gate[*link, response]{
		Admission: admission.New(timing.Server{HeartbeatTimeout: heartbeatTimeout}),
		Link:      admission.NewLink(0),
		Outcomes:  newLog(h.incarnation),
	}
	h.heartbeat()
}

func (h *lastHop) heartbeat() {
	h.heartbeats++
	h.gate.Admission.HandleHeartbeat(h.w.now, admission.Heartbeat{
		ServerID: serverID(h.number), Service: "one", Slots: serverSlots, Sequence: admission.NewSequence(h.heartbeats),
	})
}

// unresponsive reports whether the server refused a connection and has sent no heartbeat since.
func (h *lastHop) unresponsive() bool {
	var e directory.Entry
	h.gate.Admission.FillEntry(&e)
	return e.State == directory.Unresponsive
}

// serverID returns the ID of a last hop's server.
func serverID(number int) string { return fmt.Sprint("server", number) }

func addr(number int) string { return fmt.Sprint("hop", number) }

func (h *lastHop) choices() {
	for _, c := range h.conns {
		c.choices()
	}
	h.w.addFault(h.restart, "last hop %d restarts", h.number)
	if h.unresponsive() {
		h.w.addChoice(h.heartbeat, "the server of last hop %d sends a heartbeat", h.number)
	}
}

// restart loses all state of the process. Its server keeps running.
func (h *lastHop) restart() {
	if !h.w.defect.keepsIncarnation {
		h.incarnation++
	}
	h.start()
	for _, c := range h.conns {
		c.closed = true
	}
	h.conns = slices.DeleteFunc(h.conns, func(c *serverConn) bool { return c.requestID == "" })
	for _, l := range h.w.links {
		if l.lastHop == h.number && l.undelivered == 0 && !l.closed && !l.answered {
			l.closed = true
			h.w.sender.handleClose(l)
		}
	}
}

// receive handles an attempt or a query. If serverReachable is false, the server refuses the connection.
func (h *lastHop) receive(l *link, serverReachable bool) {
	if l.query != nil {
		h.answerQuery(l)
		return
	}
	d := h.gate.Begin(h.w.now, h.requestOf(l))
	switch {
	case d.Admitted() && serverReachable:
		h.forward(l)
	case d.Admitted():
		h.finish(l, lasthop.Result[response]{NotStarted: true, Refused: true}, notReceived)
	case d.Attempt == attempts.Duplicate:
		l.reply(indeterminate)
	case d.Attempt == attempts.WrongIncarnation:
		rejection := notReceived
		rejection.incarnation = h.gate.Outcomes.Incarnation()
		l.reply(rejection)
	default:
		l.reply(notReceived)
	}
}

func (h *lastHop) requestOf(l *link) lasthop.Request {
	return lasthop.Request{ServerID: serverID(h.number), Attempt: l.id, Forwarded: l.forwarded}
}

// answerQuery answers a query about an attempt.
func (h *lastHop) answerQuery(l *link) {
	gate := &h.gate
	if h.w.defect.doesNotBar && h.gate.Outcomes.Check(l.id) == attempts.Admitted {
		gate = &lasthop.Gate[*link, response]{Outcomes: newLog(h.incarnation)} // a query at another log bars nothing in this one
	}
	status, cached := gate.Query(h.w.now, l.id, l)
	for _, query := range gate.Expire(h.w.now) {
		query.reply(indeterminate)
	}
	if status == attempts.Running && h.w.defect.runningIsNotStarted {
		status = attempts.NotStarted
	}
	switch status {
	case attempts.Running: // finish replies later
	case attempts.NotStarted:
		l.reply(barred)
	case attempts.Finished:
		l.reply(cached)
	default:
		l.reply(indeterminate)
	}
}

// Responses that the last hop makes itself.
var (
	barred        = response{outcome: attempts.Barred, status: http.StatusServiceUnavailable}
	notReceived   = response{outcome: attempts.NotReceived, status: http.StatusServiceUnavailable}
	indeterminate = response{outcome: attempts.Indeterminate, status: http.StatusBadGateway}
)

// forward sends an attempt to the server, on an idle connection with no unsolicited data noticed, or on a new one.
func (h *lastHop) forward(l *link) {
	for _, c := range h.conns {
		if c.attempt == nil && !c.closed && !c.unsolicited {
			c.send(l)
			return
		}
	}
	c := &serverConn{w: h.w, hop: h}
	h.conns = append(h.conns, c)
	c.send(l)
}

// handleServerResult handles the server's response to an attempt. A nil response means that the connection broke.
func (h *lastHop) handleServerResult(l *link, p *httpback.MatchedResponse) {
	resp, result := indeterminate, lasthop.Result[response]{Health: admission.Failure}
	if p != nil {
		seen := responseOf(l.request.id, p)
		if named := p.Header.Get("Try-Id") != ""; h.w.defect.acceptsUnnamedRejection && !named || h.w.defect.matchesByPosition && named {
			seen.MatchesRequest = true
		}
		evidence := attempts.FromServer(seen)
		if outcome, ok := outcomeOf(evidence); ok {
			result.Responded, result.Health = true, serverResultOf(evidence)
			resp = response{
				outcome:    outcome,
				status:     p.Status,
				id:         p.Header.Get("Try-Id"),
				body:       string(p.Body),
				postmarked: p.Header.Get("Postmark") != "",
			}
		}
	}
	result.Response, result.CacheBytes = resp, len(resp.bytes())
	h.finish(l, result, resp)
}

// finish records the result of an attempt and replies to its sender and to waiting queries. If it never started, queries get barred.
func (h *lastHop) finish(l *link, result lasthop.Result[response], resp response) {
	done := h.gate.Finish(h.w.now, h.requestOf(l), result)
	toQueries := resp
	if result.NotStarted {
		toQueries = barred
	}
	for _, query := range done.WaitingQueries {
		query.reply(toQueries)
	}
	l.reply(resp)
}

// serverResultOf returns what a server's response means for its health.
func serverResultOf(e attempts.Evidence) admission.Result {
	switch e {
	case attempts.Succeeded:
		return admission.Success
	case attempts.RejectedByServer:
		return admission.Rejection
	}
	return admission.Failure
}

func outcomeOf(e attempts.Evidence) (attempts.Outcome, bool) {
	switch e {
	case attempts.Succeeded, attempts.Failed:
		return attempts.Executed, true
	case attempts.RejectedByServer:
		return attempts.Rejected, true
	}
	return "", false
}
