package calls

import (
	"fmt"
	"net/http"
	"slices"

	httpback "firplank/internal/upstream/http"
)

// serverConn is a connection between a last hop and its server.
type serverConn struct {
	w           *world
	hop         *lastHop
	attempt     *link // whose response the last hop waits for; nil if idle
	closed      bool  // at the last hop; the server has not noticed
	unsolicited bool  // data arrived while the connection was idle, so it is not reused

	requestID    string // the request that the server has not answered yet; empty if none
	started      bool   // the server has started that request
	lastResponse []byte // the server's last response
	unread       []byte // bytes that the last hop has not read
	matcher      httpback.ResponseMatcher
}

// send sends an attempt's request to the server.
func (c *serverConn) send(l *link) {
	c.attempt, c.matcher, c.requestID, c.started = l, httpback.ResponseMatcher{}, l.request.id, false
}

func (c *serverConn) choices() {
	w := c.w
	if id := c.requestID; id != "" {
		if !c.started {
			w.addChoice(func() { c.startRequest() }, "server %d starts %s", c.hop.number, id)
			w.addChoice(func() {
				c.respond(fmt.Sprintf("HTTP/1.1 503 X\r\nNot-Delivered: 1\r\nTry-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
			},
				"server %d rejects %s", c.hop.number, id)
			w.addFault(func() {
				c.unread = append(c.unread, "HTTP/1.1 503 X\r\nNot-Delivered: 1\r\nContent-Length: 0\r\n\r\n"...)
			},
				"server %d sends a rejection without a request ID before its response to %s", c.hop.number, id)
		} else {
			for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
				w.addChoice(func() {
					c.respond(fmt.Sprintf("HTTP/1.1 %d X\r\nTry-Id: %s\r\nPostmark: p\r\nContent-Length: %d\r\n\r\n%s", status, id, len(id), id))
				}, "server %d answers %s with %d", c.hop.number, id, status)
			}
		}
	}
	if len(c.lastResponse) > 0 {
		w.addFault(func() { c.unread = append(c.unread, c.lastResponse...) }, "server %d sends its last response again", c.hop.number)
	}
	if n := len(c.unread); n > 0 && !c.closed {
		w.addChoice(func() { c.read(n) }, "last hop %d reads all that its server has sent", c.hop.number)
		w.addChoice(func() { c.read((n + 1) / 2) }, "last hop %d reads half of what its server has sent", c.hop.number)
	}
	if c.attempt != nil && !c.closed {
		w.addFault(c.connLost, "the connection of last hop %d to its server breaks during %s", c.hop.number, c.attempt.request.id)
	}
}

// startRequest starts the request. The server has no memory of earlier requests and would start one twice.
func (c *serverConn) startRequest() {
	c.started = true
	c.w.history.recordStart(c.requestID)
}

// respond sends the response to the current request.
func (c *serverConn) respond(text string) {
	c.requestID, c.lastResponse = "", []byte(text)
	c.unread = append(c.unread, text...)
	if c.closed {
		c.removeIfDone()
	}
}

// read reads n bytes. They belong to the attempt in flight; without one they are unsolicited.
func (c *serverConn) read(n int) {
	b := c.unread[:n]
	c.unread = c.unread[n:]
	if c.attempt == nil {
		c.unsolicited = true
		c.removeIfDone()
		return
	}
	id := c.attempt.request.id
	p, err := c.matcher.Feed(b, false, func(h http.Header) bool { return c.w.belongsTo(id, h) })
	switch {
	case err != nil:
		c.connLost()
	case p != nil:
		l := c.attempt
		c.attempt = nil
		if !p.Reusable || c.requestID != "" {
			c.closed = true
			c.removeIfDone()
		}
		c.hop.handleServerResult(l, p)
	}
}

// connLost breaks the connection during a request. The server may still start or finish that request.
func (c *serverConn) connLost() {
	l := c.attempt
	c.attempt, c.closed = nil, true
	c.removeIfDone()
	c.hop.handleServerResult(l, nil)
}

// removeIfDone removes a connection if its server has no unanswered request or if it received unsolicited data.
func (c *serverConn) removeIfDone() {
	if c.requestID == "" || c.unsolicited {
		c.hop.conns = slices.DeleteFunc(c.hop.conns, func(o *serverConn) bool { return o == c })
	}
}
