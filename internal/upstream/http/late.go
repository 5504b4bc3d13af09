package http

// This file detects servers that send bytes on a connection after the response.

import (
	"hash/maphash"
	"slices"
	"time"

	"firplank/internal/core"
	"firplank/internal/socket"
)

const (
	// A server that has sent bytes long after a response, such as a duplicate of it, may do so again while the next
	// request is in flight. That request would then receive the wrong response, because responses do not identify their
	// request. For lateSenderTTL, each connection to such a server carries only one request. If two servers were
	// detected within that time, connections to all servers use extendedReuseDelay meanwhile.
	lateSenderTTL      = 30 * time.Second
	extendedReuseDelay = 250 * time.Millisecond
)

// recordPeek records the state that was found on an idle connection. It returns the endpoint if this makes it a late
// sender that was not known as one. The caller holds mu.
func (p *pool) recordPeek(c *conn, state socket.PeekState) *core.Endpoint {
	if state == socket.Readable && p.polledUpTo != nil && p.polledUpTo().Sub(c.idleSince) >= p.reuseDelay {
		c.verifiedQuiet = true // no bytes before, or the poller would have dropped it
	}
	if state != socket.Readable || !c.verifiedQuiet {
		return nil // bytes directly after the response are harmless: no request is sent before the reuse delay ends
	}
	e, now := c.endpoint, time.Now()
	if p.lastLate != nil && p.lastLate != e && now.Sub(p.lastLateAt) < lateSenderTTL {
		p.extendedDelayUntil = now.Add(lateSenderTTL)
	}
	newlyCaught := now.After(p.lateSenders[e])
	for old, until := range p.lateSenders { // remove expired entries, so that removed servers are not retained
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

// lateSenderSuspected reports whether a late sender was detected within lateSenderTTL.
func (p *pool) lateSenderSuspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastLate != nil && time.Since(p.lastLateAt) < lateSenderTTL
}

// isDuplicate records the body of a response. It reports whether the body equals that of the previous response on the
// connection while a late sender is suspected.
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

// reportLate reports an endpoint that was detected as a late sender, at most once within lateSenderTTL. It does nothing
// if e is nil.
func (p *pool) reportLate(e *core.Endpoint) {
	if e != nil {
		p.closeIdle(e)
		p.onLateData(e)
	}
}

// checkPending checks the connections whose reuse delay has ended, and returns the time until the next one's ends; 0 if
// none is pending. Bytes that have arrived by then came directly after the response.
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
		if i < 0 || r.uses != r.conn.uses { // in use, or closed
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
