package http

// This file finds servers that send something on a connection after the answer.

import (
	"hash/maphash"
	"slices"
	"time"

	"firplank/internal/core"
	"firplank/internal/socket"
)

const (
	// A server that has sent something on a connection long after the answer, a second copy of it say, may do so when
	// the next request is out, and that would get an answer made for another: no answer names its request. lateMemory
	// is how long connections to such a server carry one request only; where it were two servers, those to all others
	// rest for lateRest meanwhile.
	lateMemory = 30 * time.Second
	lateRest   = 250 * time.Millisecond
)

// judge records what was found on an idle connection, and returns its endpoint if it was not suspected before. The caller holds mu.
func (p *pool) judge(c *conn, state socket.PeekState) *core.Endpoint {
	if state == socket.Readable && p.polledUpTo != nil && p.polledUpTo().Sub(c.idleFrom) >= p.restTime {
		c.looked = true // silent until then, or it would have been ended
	}
	if state != socket.Readable || !c.looked {
		return nil // what came right behind the answer could do no harm: nothing is sent until the rest is over
	}
	e, now := c.endpoint, time.Now()
	if p.late != nil && p.late != e && now.Sub(p.lateAt) < lateMemory {
		p.lateUntil = now.Add(lateMemory)
	}
	news := now.After(p.lateOnes[e])
	for old, until := range p.lateOnes { // those that are over, so that servers gone for good are let go
		if now.After(until) {
			delete(p.lateOnes, old)
		}
	}
	p.late, p.lateAt, p.lateOnes[e] = e, now, now.Add(lateMemory)
	if !news {
		return nil
	}
	return e
}

// suspicious reports whether a server was caught sending late a short while ago.
func (p *pool) suspicious() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.late != nil && time.Since(p.lateAt) < lateMemory
}

// isCopy takes in the body of an answer and reports whether it is that of the request before on the connection, while
// servers are known to send copies.
func (p *pool) isCopy(c *conn, body []byte) bool {
	sum := uint64(0)
	if len(body) > 0 {
		sum = maphash.Bytes(p.seed, body)
	}
	same := sum != 0 && sum == c.lastBody
	c.lastBody = sum
	if !same || !p.suspicious() {
		return false
	}
	p.mu.Lock()
	c.looked = true
	caught := p.judge(c, socket.Readable)
	p.mu.Unlock()
	p.note(caught)
	return true
}

// note reports an endpoint that was caught sending late; at most once in lateMemory for each.
func (p *pool) note(e *core.Endpoint) {
	if e != nil {
		p.closeIdle(e)
		p.noteLate(e)
	}
}

// look looks at the connections whose rest is over, and returns when the next one's will be; 0 if none rests. What has
// come on one by then came right behind its answer.
func (p *pool) look(now time.Time) (next time.Duration) {
	var dropped []*conn
	p.mu.Lock()
	for len(p.resting) > 0 && next == 0 {
		r := p.resting[0]
		if left := p.restTime - now.Sub(r.conn.idleFrom); left > 0 && r.uses == r.conn.uses {
			next = left
			break
		}
		p.resting[0] = resting{}
		p.resting = p.resting[1:]
		idle := p.idle[r.conn.endpoint]
		i := slices.Index(idle, r.conn)
		if i < 0 || r.uses != r.conn.uses { // taken, or gone
			continue
		}
		if r.conn.looked = r.conn.state() == socket.Idle; !r.conn.looked {
			p.setIdle(r.conn.endpoint, slices.Delete(idle, i, i+1))
			dropped = append(dropped, r.conn)
		}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		p.drop(c)
	}
	return next
}
