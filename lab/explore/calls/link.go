package calls

import (
	"fmt"
	"net/http"

	httpback "firplank/internal/upstream/http"
	"firplank/mesh/attempts"
	"firplank/mesh/dataplane/inflight"
)

// link is a connection between two sidecars that carries one request: an attempt, or a query about one.
type link struct {
	w       *world
	request *request
	lastHop int
	id      attempts.ID
	query   *inflight.Query // nil for an attempt

	forwarded int // earlier attempts of the request

	undelivered int    // copies that the last hop has not read; a broken connection may still deliver them
	answered    bool   // the last hop has replied
	closed      bool   // at the sender
	unread      []byte // bytes of the response that the sender has not read
	matcher     httpback.ResponseMatcher
}

func (l *link) choices() {
	w, name := l.w, l.name()
	if l.undelivered > 0 {
		w.addChoice(func() { l.undelivered--; w.hops[l.lastHop].receive(l, true) }, "%s reaches last hop %d", name, l.lastHop)
		if l.query == nil && w.refusals < w.bounds.Refusals {
			w.addFault(func() { w.refusals++; l.undelivered--; w.hops[l.lastHop].receive(l, false) },
				"%s reaches last hop %d, whose server refuses the connection",
				name, l.lastHop)
		}
		if l.query != nil && l.undelivered == 1 {
			w.addFault(func() { l.undelivered++ }, "%s is duplicated", name)
		}
		if l.query != nil {
			w.addFault(func() { l.undelivered--; l.reply(notReceived) }, "last hop %d rejects %s without reading it", l.lastHop, name)
		}
		if l.closed {
			w.addChoice(func() { l.undelivered = 0 }, "%s is lost", name)
		}
	}
	if l.closed {
		return
	}
	if n := len(l.unread); n > 0 {
		w.addChoice(func() { l.read(n) }, "the sender reads the response to %s", name)
		w.addChoice(func() { l.read((n + 1) / 2) }, "the sender reads half of the response to %s", name)
	}
	w.addFault(func() { l.closed = true; w.sender.handleClose(l) }, "the connection of %s breaks at its sender", name)
}

func (l *link) name() string {
	if l.query != nil {
		return fmt.Sprintf("query %d about attempt %d of %s", l.query.Number, l.id.Number, l.request.id)
	}
	return fmt.Sprintf("attempt %d of %s", l.id.Number, l.request.id)
}

// read reads some bytes of the response.
func (l *link) read(n int) {
	b := l.unread[:n]
	l.unread = l.unread[n:]
	p, err := l.matcher.Feed(b, false, func(h http.Header) bool { return l.w.belongsTo(l.request.id, h) })
	switch {
	case err != nil:
		l.closed = true
		l.w.sender.handleClose(l)
	case p != nil:
		l.closed = true
		l.w.sender.handleResponse(l, p)
	}
}

// belongsTo reports whether a response may belong to a request: it has the request's ID, or none.
func (w *world) belongsTo(id string, h http.Header) bool {
	name := h.Get("Try-Id")
	return name == "" || name == id || w.defect.matchesByPosition
}

// reply responds to an attempt or a query. Only the first reply on a link is sent, also when a query is received twice.
func (l *link) reply(r response) {
	if !l.answered {
		l.answered, l.unread = true, r.bytes()
	}
}

// response is a last hop's response.
type response struct {
	outcome     attempts.Outcome
	status      int
	id          string // request ID in the server's response; empty for the last hop's own responses
	body        string
	postmarked  bool
	incarnation uint64 // of the last hop; 0 if not sent
}

func (r response) bytes() []byte {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nFirplank-Fate: %s\r\nContent-Length: %d\r\n", r.status, r.outcome, len(r.body))
	if r.id != "" {
		text += "Try-Id: " + r.id + "\r\n"
	}
	if r.postmarked {
		text += "Postmark: p\r\n"
	}
	if r.incarnation != 0 {
		text += fmt.Sprintf("Firplank-Life: %x\r\n", r.incarnation)
	}
	return []byte(text + "\r\n" + r.body)
}
