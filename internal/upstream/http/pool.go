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
	connectTimeout time.Duration
	idleTime       time.Duration
	restTime       time.Duration
	silence, fresh time.Duration // Config's
	most           int           // open connections

	mu   sync.Mutex
	open int                        // dialled, in use and idle
	idle map[*core.Endpoint][]*conn // the most recently used last
	// resting holds idle connections that were not looked at since their last use, in order; one may have been taken
	// meanwhile.
	resting   []resting
	rested    chan struct{}  // there is one more; has room for one
	late      *core.Endpoint // that was last caught sending late, at lateAt
	lateAt    time.Time
	lateUntil time.Time                    // until then connections to all servers rest longer
	lateOnes  map[*core.Endpoint]time.Time // servers that were caught, and until when no connection to them is used again
	noteLate  func(*core.Endpoint)
	seed      maphash.Seed

	// Where the kernel's readiness is waited for: adopt makes a goroutine's connection one that is polled, and polledUpTo is
	// a time before which everything that came on idle connections has been handled. Nil elsewhere.
	adopt      func(*conn) bool
	polledUpTo func() time.Time
}

func newPool(connectTimeout, idleTime, restTime time.Duration, most int) *pool {
	return &pool{
		connectTimeout: connectTimeout, idleTime: idleTime, restTime: restTime,
		most: most, idle: map[*core.Endpoint][]*conn{}, rested: make(chan struct{}, 1),
		lateOnes: map[*core.Endpoint]time.Time{}, noteLate: func(*core.Endpoint) {}, seed: maphash.MakeSeed(),
	}
}

// get returns an idle connection that still stands, or a new one.
func (p *pool) get(ctx context.Context, e *core.Endpoint, cut time.Time, within time.Duration) (*conn, error) {
	for {
		c := p.takeIdle(e, within)
		if c == nil {
			break
		}
		// The server may have closed it, or died, while it was idle. A request written to it would end as a
		// reset, which may have run; a new connection is sure.
		if c = p.check(c, e); c == nil {
			continue
		}
		if c.polled == nil {
			return c, nil
		}
		var err error
		if c.Conn, err = c.polled.detach(); err == nil {
			c.polled, c.in = nil, newAnswerReader(c.Conn)
			return c, nil
		}
		p.drop(c)
	}
	if !p.reserve() {
		return nil, errNoSocket
	}
	c, err := p.dial(ctx, e, cut)
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
func (p *pool) check(c *conn, e *core.Endpoint) *conn {
	state := c.state()
	if c.addr == e.Addr() && state == socket.Idle {
		return c
	}
	p.end(c, state)
	return nil
}

// end drops a connection that is nobody's any more, of which state was found.
func (p *pool) end(c *conn, state socket.PeekState) {
	p.mu.Lock()
	noted := p.judge(c, state)
	p.mu.Unlock()
	p.drop(c)
	p.note(noted)
}

func (p *pool) dial(ctx context.Context, e *core.Endpoint, cut time.Time) (*conn, error) {
	dialer := net.Dialer{Timeout: p.connectTimeout, Deadline: cut, KeepAlive: -1}
	addr := e.Addr()
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { socket.SetPeerTimeout(int(fd), p.silence) }) // fails only on a closed connection
		}
	}
	return &conn{Conn: c, in: newAnswerReader(c), endpoint: e, addr: addr}, nil
}

// within is how long a connection may have been idle to carry a message; 0: as long as any.
func (p *pool) within(m *core.Message) time.Duration {
	if m.Safe {
		return 0
	}
	return p.fresh
}

// giveBack ends the use of a connection.
func (p *pool) giveBack(c *conn, reusable bool) {
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
	c.idleFrom, c.looked = time.Now(), false
	c.uses++
	keep := !c.endpoint.Closed() && c.idleFrom.After(p.lateOnes[c.endpoint])
	if keep {
		p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
		if p.polledUpTo == nil {
			p.resting = append(p.resting, resting{c, c.uses})
		}
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	} else if p.polledUpTo == nil {
		select {
		case p.rested <- struct{}{}:
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
		if p.open < p.most {
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
		p.most = n
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
