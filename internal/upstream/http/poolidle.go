package http

// This file manages the idle connections of the pool.

import (
	"context"
	"slices"
	"time"

	"firplank/internal/core"
	"firplank/internal/socket"
)

// pendingCheck is a connection at the time it was returned to the pool.
type pendingCheck struct {
	conn *conn
	uses int
}

// handleIdleReadable handles input on a connection, if it is idle in the pool. The connection is closed unless its input
// was part of the previous response.
func (p *pool) handleIdleReadable(c *conn) {
	p.mu.Lock()
	idle := p.idle[c.endpoint]
	i := slices.Index(idle, c)
	if i < 0 { // whoever has taken it also checks it
		p.mu.Unlock()
		return
	}
	state := c.state()
	if state == socket.Idle {
		p.mu.Unlock()
		return
	}
	p.setIdle(c.endpoint, slices.Delete(idle, i, i+1))
	caught := p.recordPeek(c, state)
	p.mu.Unlock()
	p.drop(c)
	p.reportLate(caught)
}

// takeIdle removes and returns the most recently used connection whose reuse delay has passed and that has been idle for
// at most maxIdle (0: unlimited); nil if there is none.
func (p *pool) takeIdle(e *core.Endpoint, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle, now, delay := p.idle[e], time.Now(), p.reuseDelay
	if now.Before(p.extendedDelayUntil) {
		delay = max(delay, extendedReuseDelay)
	}
	for i := len(idle) - 1; i >= 0; i-- {
		if maxIdle > 0 && now.Sub(idle[i].idleSince) > maxIdle {
			return nil // the others have been idle for longer
		}
		if c := idle[i]; now.Sub(c.idleSince) >= delay {
			p.setIdle(e, slices.Delete(idle, i, i+1))
			return c
		}
	}
	return nil
}

func (p *pool) setIdle(e *core.Endpoint, idle []*conn) {
	if len(idle) == 0 {
		delete(p.idle, e)
	} else {
		p.idle[e] = idle
	}
}

// evict closes the connection that has been idle for longest, and reports whether there was one.
func (p *pool) evict() bool {
	p.mu.Lock()
	var oldest *conn
	for _, idle := range p.idle {
		if oldest == nil || idle[0].idleSince.Before(oldest.idleSince) {
			oldest = idle[0]
		}
	}
	if oldest != nil {
		p.setIdle(oldest.endpoint, p.idle[oldest.endpoint][1:])
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	p.drop(oldest)
	return true
}

// closeIdle closes the idle connections to an endpoint.
func (p *pool) closeIdle(e *core.Endpoint) {
	p.closeWhere(func(c *conn) bool { return c.endpoint == e })
}

// closeWhere closes the idle connections for which match returns true.
func (p *pool) closeWhere(match func(*conn) bool) {
	var dropped []*conn
	p.mu.Lock()
	for e, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if match(c) {
				dropped = append(dropped, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(idle[len(kept):])
		p.setIdle(e, kept)
	}
	p.mu.Unlock()
	for _, c := range dropped {
		p.drop(c)
	}
}

// sweep closes connections that exceed the idle time-out, were closed by the peer, or have bytes to read.
func (p *pool) sweep(now time.Time) {
	var caught []*core.Endpoint
	p.closeWhere(func(c *conn) bool {
		if now.Sub(c.idleSince) >= p.idleTimeout {
			return true
		}
		state := c.state()
		if e := p.recordPeek(c, state); e != nil {
			caught = append(caught, e)
		}
		return state != socket.Idle
	})
	for _, e := range caught {
		p.reportLate(e)
	}
}

func (p *pool) closeAll() { p.closeWhere(func(*conn) bool { return true }) }

// run checks and closes idle connections until ctx ends.
func (p *pool) run(ctx context.Context) {
	ticker := time.NewTicker(max(p.idleTimeout/20, time.Millisecond))
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.sweep(now)
			continue
		case <-p.checkAdded:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if next := p.checkPending(time.Now()); next > 0 {
			timer.Reset(next)
		}
	}
}
