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

// errNoSocket means that no connection was attempted because the local socket limit is reached.
var errNoSocket = errors.New("socket limit reached")

// pool holds the connections to endpoints, within a limit on their number.
type pool struct {
	connectTimeout             time.Duration
	idleTimeout                time.Duration
	reuseDelay                 time.Duration
	peerTimeout, maxUnsafeIdle time.Duration // see Config
	maxOpen                    int           // limit of open

	mu   sync.Mutex
	open int                        // number of connections: dialing, in use and idle
	idle map[*core.Endpoint][]*conn // most recently used last
	// pendingChecks holds idle connections that were not checked since their last use, oldest first. A connection may
	// have been reused meanwhile.
	pendingChecks      []pendingCheck
	checkAdded         chan struct{}  // signals an addition to pendingChecks; capacity 1
	lastLate           *core.Endpoint // the latest late sender, detected at lastLateAt
	lastLateAt         time.Time
	extendedDelayUntil time.Time                    // until then connections to all servers use extendedReuseDelay
	lateSenders        map[*core.Endpoint]time.Time // late senders, and until when connections to them are not reused
	onLateData         func(*core.Endpoint)
	seed               maphash.Seed

	// Set if sockets are polled: adopt starts polling the connection of a goroutine, and polledUpTo returns a time
	// before which all input on idle connections has been handled. Otherwise nil.
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

// get returns a usable idle connection or a new one. maxIdle is as for takeIdle.
func (p *pool) get(ctx context.Context, e *core.Endpoint, deadline time.Time, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.takeIdle(e, maxIdle)
		if c == nil {
			break
		}
		// The server may have closed the connection or failed while it was idle. A request written to it would end in a
		// reset, after which it is unknown whether the request ran.
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

// checkIdle returns a connection that was taken from the idle ones if it is open and has no bytes to read. Otherwise it
// closes it and returns nil.
func (p *pool) checkIdle(c *conn, e *core.Endpoint) *conn {
	state := c.state()
	if c.addr == e.Addr() && state == socket.Idle {
		return c
	}
	p.dropIdle(c, state)
	return nil
}

// dropIdle closes a connection that was removed from the idle ones and found in state.
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

// maxIdle returns how long a connection may have been idle to carry the message; 0 means unlimited.
func (p *pool) maxIdle(m *core.Message) time.Duration {
	if m.Safe {
		return 0
	}
	return p.maxUnsafeIdle
}

// returnConn returns a connection to the pool after use, or closes it.
func (p *pool) returnConn(c *conn, reusable bool) {
	if reusable {
		p.put(c)
	} else {
		p.drop(c)
	}
}

// put returns a connection to the pool.
func (p *pool) put(c *conn) {
	if c.polled == nil {
		_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, and so does the next call
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
	_ = c.Close() // the connection is released even where this fails
	p.release()
}

// reserve counts one more connection. At the limit it evicts an idle one, and reports false if there is none.
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

// resize changes the connection limit and evicts idle connections beyond it.
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
