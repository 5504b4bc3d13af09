package http

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"sync"
	"syscall"
	"time"

	"firplank/internal/core"
	"firplank/internal/socket"
)

// errNoSocket: no connection was tried, as this side has no socket left for it.
var errNoSocket = errors.New("no socket to spare")

// pool keeps the connections to endpoints, within a number of sockets.
type pool struct {
	connectTimeout             time.Duration
	idleTimeout                time.Duration
	reuseDelay                 time.Duration
	peerTimeout, maxUnsafeIdle time.Duration // Config's
	maxOpen                    int           // open connections

	mu   sync.Mutex
	open int                        // dialled, in use and idle
	idle map[*core.Endpoint][]*conn // the most recently used last
	// resting holds idle connections that were not looked at since their last use, in order; one may have been taken
	// meanwhile.
	pendingChecks      []pendingCheck
	checkAdded         chan struct{}  // there is one more; has room for one
	lastLate           *core.Endpoint // that was last caught sending late, at lateAt
	lastLateAt         time.Time
	extendedDelayUntil time.Time                    // until then connections to all servers rest longer
	lateSenders        map[*core.Endpoint]time.Time // servers that were caught, and until when no connection to them is used again
	onLateData         func(*core.Endpoint)
	seed               maphash.Seed

	// Where the kernel's readiness is waited for: adopt makes a goroutine's connection one that is polled, and polledUpTo is
	// a time before which everything that came on idle connections has been handled. Nil elsewhere.
	adopt      func(*conn) bool
	polledUpTo func() time.Time
}

func newPool(connectTimeout, idleTimeout, reuseDelay time.Duration, maxOpen int) *pool {
	return &pool{
		connectTimeout: connectTimeout, idleTimeout: idleTimeout, reuseDelay: reuseDelay,
		maxOpen: maxOpen, idle: map[*core.Endpoint][]*conn{}, checkAdded: make(chan struct{}, 1),
		lateSenders: map[*core.Endpoint]time.Time{}, onLateData: func(*core.Endpoint) {}, seed: maphash.MakeSeed(),
	}
}

// get returns an idle connection that still stands, or a new one.
func (p *pool) get(ctx context.Context, e *core.Endpoint, deadline time.Time, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.takeIdle(e, maxIdle)
		if c == nil {
			break
		}
		// The server may have closed it, or died, while it was idle. A request written to it would end as a
		// reset, which may have run; a new connection is sure.
		if c = p.checkIdle(c, e); c == nil {
			continue
		}
		if c.polled == nil {
			return c, nil
		}
		var err error
		if c.Conn, err = c.polled.detach(); err == nil {
			c.polled, c.reader = nil, newResponseReader(c.Conn)
			return c, nil
		}
		p.drop(c)
	}
	if !p.reserve() {
		return nil, errNoSocket
	}
	c, err := p.dial(ctx, e, deadline)
	if err != nil {
		p.release()
		if socket.Exhausted(err) {
			p.evict()
			return nil, fmt.Errorf("%w: %w", errNoSocket, err)
		}
		return nil, err
	}
	return c, nil
}

// check returns an idle connection that was taken if it still stands and is silent; else it ends it.
func (p *pool) checkIdle(c *conn, e *core.Endpoint) *conn {
	state := c.state()
	if c.addr == e.Addr() && state == socket.Idle {
		return c
	}
	p.dropIdle(c, state)
	return nil
}

// end drops a connection that is nobody's any more, of which state was found.
func (p *pool) dropIdle(c *conn, state socket.PeekState) {
	p.mu.Lock()
	caught := p.recordPeek(c, state)
	p.mu.Unlock()
	p.drop(c)
	p.reportLate(caught)
}

func (p *pool) dial(ctx context.Context, e *core.Endpoint, deadline time.Time) (*conn, error) {
	dialer := net.Dialer{Timeout: p.connectTimeout, Deadline: deadline, KeepAlive: -1}
	addr := e.Addr()
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { socket.SetPeerTimeout(int(fd), p.peerTimeout) }) // fails only on a closed connection
		}
	}
	return &conn{Conn: c, reader: newResponseReader(c), endpoint: e, addr: addr}, nil
}

// within is how long a connection may have been idle to carry a message; 0: as long as any.
func (p *pool) maxIdle(m *core.Message) time.Duration {
	if m.Safe {
		return 0
	}
	return p.maxUnsafeIdle
}

// giveBack ends the use of a connection.
func (p *pool) returnConn(c *conn, reusable bool) {
	if reusable {
		p.put(c)
	} else {
		p.drop(c)
	}
}

// put gives a connection back for further use.
func (p *pool) put(c *conn) {
	if c.polled == nil {
		_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, as the next call on it does
		if p.adopt != nil && !p.adopt(c) {
			p.drop(c)
			return
		}
	}
	p.mu.Lock()
	c.idleSince, c.verifiedQuiet = time.Now(), false
	c.uses++
	keep := !c.endpoint.Closed() && c.idleSince.After(p.lateSenders[c.endpoint])
	if keep {
		p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
		if p.polledUpTo == nil {
			p.pendingChecks = append(p.pendingChecks, pendingCheck{c, c.uses})
		}
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	} else if p.polledUpTo == nil {
		select {
		case p.checkAdded <- struct{}{}:
		default:
		}
	}
}

func (p *pool) drop(c *conn) {
	_ = c.Close() // it is given up, whatever came of it
	p.release()
}

// reserve counts one more connection, for which an idle one may have to go.
func (p *pool) reserve() bool {
	for {
		p.mu.Lock()
		if p.open < p.maxOpen {
			p.open++
			p.mu.Unlock()
			return true
		}
		p.mu.Unlock()
		if !p.evict() {
			return false
		}
	}
}

// resize changes how many connections may be open.
func (p *pool) resize(n int) {
	for {
		p.mu.Lock()
		p.maxOpen = n
		over := p.open > n
		p.mu.Unlock()
		if !over || !p.evict() {
			return
		}
	}
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
