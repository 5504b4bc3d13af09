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
	lateSenderTTL      = 30 * time.Second
	extendedReuseDelay = 250 * time.Millisecond
)

// judge records what was found on an idle connection, and returns its endpoint if it was not suspected before. The caller holds mu.
func (p *pool) recordPeek(c *conn, state socket.PeekState) *core.Endpoint {
	if state == socket.Readable && p.polledUpTo != nil && p.polledUpTo().Sub(c.idleSince) >= p.reuseDelay {
		c.verifiedQuiet = true // silent until then, or it would have been ended
	}
	if state != socket.Readable || !c.verifiedQuiet {
		return nil // what came right behind the answer could do no harm: nothing is sent until the rest is over
	}
	e, now := c.endpoint, time.Now()
	if p.lastLate != nil && p.lastLate != e && now.Sub(p.lastLateAt) < lateSenderTTL {
		p.extendedDelayUntil = now.Add(lateSenderTTL)
	}
	newlyCaught := now.After(p.lateSenders[e])
	for old, until := range p.lateSenders { // those that are over, so that servers gone for good are let go
		if now.After(until) {
			delete(p.lateSenders, old)
		}
	}
	p.lastLate, p.lastLateAt, p.lateSenders[e] = e, now, now.Add(lateSenderTTL)
	if !newlyCaught {
		return nil
	}
	return e
}

// suspicious reports whether a server was caught sending late a short while ago.
func (p *pool) lateSenderSuspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastLate != nil && time.Since(p.lastLateAt) < lateSenderTTL
}

// isCopy takes in the body of an answer and reports whether it is that of the request before on the connection, while
// servers are known to send copies.
func (p *pool) isDuplicate(c *conn, body []byte) bool {
	sum := uint64(0)
	if len(body) > 0 {
		sum = maphash.Bytes(p.seed, body)
	}
	same := sum != 0 && sum == c.lastBodyHash
	c.lastBodyHash = sum
	if !same || !p.lateSenderSuspected() {
		return false
	}
	p.mu.Lock()
	c.verifiedQuiet = true
	caught := p.recordPeek(c, socket.Readable)
	p.mu.Unlock()
	p.reportLate(caught)
	return true
}

// note reports an endpoint that was caught sending late; at most once in lateMemory for each.
func (p *pool) reportLate(e *core.Endpoint) {
	if e != nil {
		p.closeIdle(e)
		p.onLateData(e)
	}
}

// look looks at the connections whose rest is over, and returns when the next one's will be; 0 if none rests. What has
// come on one by then came right behind its answer.
func (p *pool) checkPending(now time.Time) (next time.Duration) {
	var dropped []*conn
	p.mu.Lock()
	for len(p.pendingChecks) > 0 && next == 0 {
		r := p.pendingChecks[0]
		if left := p.reuseDelay - now.Sub(r.conn.idleSince); left > 0 && r.uses == r.conn.uses {
			next = left
			break
		}
		p.pendingChecks[0] = pendingCheck{}
		p.pendingChecks = p.pendingChecks[1:]
		idle := p.idle[r.conn.endpoint]
		i := slices.Index(idle, r.conn)
		if i < 0 || r.uses != r.conn.uses { // taken, or gone
			continue
		}
		if r.conn.verifiedQuiet = r.conn.state() == socket.Idle; !r.conn.verifiedQuiet {
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
