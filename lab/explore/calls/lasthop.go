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

// serverSlots is more than all requests need, and heartbeatTimeout longer than any order takes: neither is explored here.
const (
	serverSlots      = 64
	heartbeatTimeout = time.Hour
)

func newLog(incarnation uint64) *attempts.Log[*link, response] {
	return attempts.New[*link, response](incarnation)
}

// lastHop is the sidecar of a server, with its connections to that server.
type lastHop struct {
	w           *world
	number      int
	incarnation uint64
	heartbeats  uint64 // of its server, as they are numbered
	gate        lasthop.Gate[*link, response]
	conns       []*serverConn // that stand
}

func newLastHop(w *world, number int) *lastHop {
	h := &lastHop{w: w, number: number, incarnation: 1}
	h.start()
	return h
}

// start begins a process, which knows its server by that server's next heartbeat.
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
		ServerID: serverID(h.number), Service: "one", Slots: serverSlots, Sequence: h.heartbeats,
	})
}

// silent reports whether nobody listened at the server's address, and it has not been heard since.
func (h *lastHop) unresponsive() bool {
	var e directory.Entry
	h.gate.Admission.FillEntry(&e)
	return e.State == directory.Unresponsive
}

// serverID is the id of a last hop's server, and addr the last hop's own address.
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

// restart loses all state of the process; its server goes on.
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

// arrive takes in an attempt or a query. Where reached is false nobody listens at the server's address.
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
		gate = &lasthop.Gate[*link, response]{Outcomes: newLog(h.incarnation)} // asked of another log, this one bars nothing
	}
	status, cached := gate.Query(h.w.now, l.id, l)
	for _, query := range gate.Expire(h.w.now) {
		query.reply(indeterminate)
	}
	if status == attempts.Running && h.w.defect.runningIsNotStarted {
		status = attempts.NotStarted
	}
	switch status {
	case attempts.Running: // finish answers it
	case attempts.NotStarted:
		l.reply(barred)
	case attempts.Finished:
		l.reply(cached)
	default:
		l.reply(indeterminate)
	}
}

// What a last hop answers by itself.
var (
	barred        = response{outcome: attempts.Barred, status: http.StatusServiceUnavailable}
	notReceived   = response{outcome: attempts.NotReceived, status: http.StatusServiceUnavailable}
	indeterminate = response{outcome: attempts.Indeterminate, status: http.StatusBadGateway}
)

// pass writes an attempt to the server, on a connection that has nothing to read as far as is seen, or on a new one.
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

// ended takes in what the server's connection brought for an attempt; nil: it broke.
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

// finish takes in how an attempt has ended, whose sender gets a response; queries that wait get the same, but where nothing has begun.
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

// serverResultOf is what evidence of a server's response means for its health.
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
