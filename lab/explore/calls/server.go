package calls

import (
	"fmt"
	"net/http"
	"slices"

	httpback "firplank/internal/upstream/http"
)

// serverConn is a connection between a last hop and its server.
type serverConn struct {
	w    *world
	hop  *lastHop
	link *link // whose response the last hop waits for
	lost bool  // the last hop is gone; the server does not know yet
	seen bool  // something came while it was idle: it carries nothing more

	asked string // the request that the server has, and has not answered
	begun bool   // ... and has begun
	last  []byte // what the server has sent before
	back  []byte // what the last hop has yet to read
	pair  httpback.ResponseMatcher
}

// begin writes a request.
func (c *serverConn) begin(l *link) {
	c.link, c.pair, c.asked, c.begun = l, httpback.ResponseMatcher{}, l.request.id, false
}

func (c *serverConn) choices() {
	w := c.w
	if id := c.asked; id != "" {
		if !c.begun {
			w.add(func() { c.run() }, "server %d begins %s", c.hop.number, id)
			w.add(func() {
				c.respond(fmt.Sprintf("HTTP/1.1 503 X\r\nNot-Delivered: 1\r\nTry-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
			},
				"server %d rejects %s", c.hop.number, id)
			w.fault(func() { c.back = append(c.back, "HTTP/1.1 503 X\r\nNot-Delivered: 1\r\nContent-Length: 0\r\n\r\n"...) },
				"server %d rejects without a name ahead of its response to %s", c.hop.number, id)
		} else {
			for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
				w.add(func() {
					c.respond(fmt.Sprintf("HTTP/1.1 %d X\r\nTry-Id: %s\r\nPostmark: p\r\nContent-Length: %d\r\n\r\n%s", status, id, len(id), id))
				}, "server %d answers %s with %d", c.hop.number, id, status)
			}
		}
	}
	if len(c.last) > 0 {
		w.fault(func() { c.back = append(c.back, c.last...) }, "server %d sends its last response again", c.hop.number)
	}
	if n := len(c.back); n > 0 && !c.lost {
		w.add(func() { c.read(n) }, "last hop %d reads all that its server has sent", c.hop.number)
		w.add(func() { c.read((n + 1) / 2) }, "last hop %d reads half of what its server has sent", c.hop.number)
	}
	if c.link != nil && !c.lost {
		w.fault(c.broke, "the connection of last hop %d to its server breaks under %s", c.hop.number, c.link.request.id)
	}
}

// run begins a request, of which the server may know nothing else.
func (c *serverConn) run() {
	c.begun = true
	c.w.history.ran(c.asked)
}

// respond answers the request that the server has.
func (c *serverConn) respond(text string) {
	c.asked, c.last = "", []byte(text)
	c.back = append(c.back, text...)
	if c.lost {
		c.leave()
	}
}

// read reads some bytes, which belong to the request that is out, or to none.
func (c *serverConn) read(n int) {
	b := c.back[:n]
	c.back = c.back[n:]
	if c.link == nil {
		c.seen = true
		c.leave()
		return
	}
	id := c.link.request.id
	p, err := c.pair.Feed(b, false, func(h http.Header) bool { return c.w.belongsTo(id, h) })
	switch {
	case err != nil:
		c.broke()
	case p != nil:
		l := c.link
		c.link = nil
		if !p.Reusable || c.asked != "" {
			c.lost = true
			c.leave()
		}
		c.hop.ended(l, p)
	}
}

// broke ends the connection under a request, which the server may go on with, or begin, all the same.
func (c *serverConn) broke() {
	l := c.link
	c.link, c.lost = nil, true
	c.leave()
	c.hop.ended(l, nil)
}

// leave forgets a connection that nothing more can happen on.
func (c *serverConn) leave() {
	if c.asked == "" || c.seen {
		c.hop.conns = slices.DeleteFunc(c.hop.conns, func(o *serverConn) bool { return o == c })
	}
}
