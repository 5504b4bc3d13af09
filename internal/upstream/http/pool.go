package http

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"cedararch/internal/core"
	"cedararch/internal/socket"
)

const (
	// A server that has sent something on a connection long after the answer, a second copy of it say, may do so when
	// the next request is out, and that would get an answer made for another: no answer names its request. lateMemory
	// is how long connections to such a server carry one request only; where it were two servers, those to all others
	// rest for lateRest meanwhile.
	lateMemory = 30 * time.Second
	lateRest   = 250 * time.Millisecond
)

// errNoSocket says that no connection was tried, as this side has no socket left for it.
var errNoSocket = errors.New("no socket to spare")

// conn is a connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn // nil while it is polled
	polled   polled
	in       answerReader // of what is not polled
	endpoint *core.Endpoint
	addr     string
	idleFrom time.Time
	uses     int  // how often it was given back
	looked   bool // it was silent when its rest was over

	lastBody uint64 // hash of the answer before; 0 if there was none, or it was empty
}

// polled is a connection that waits for the kernel's readiness, as long as no goroutine has it.
type polled interface {
	// peek is asked of a connection that is idle, by whoever took it out of the pool or holds the pool's lock.
	peek() socket.State
	Close() error
	// detach gives it to a goroutine.
	detach() (net.Conn, error)
}

// Close ends the connection.
func (c *conn) Close() error {
	if c.polled != nil {
		return c.polled.Close()
	}
	return c.Conn.Close()
}

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

	// Where the kernel's readiness is waited for: adopt makes a goroutine's connection one that is polled, and heard is a
	// time before which everything that came on idle connections has been heard of. Nil elsewhere.
	adopt func(*conn) bool
	heard func() time.Time
}

// resting is a connection as it was given back.
type resting struct {
	conn *conn
	uses int
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
		// reset, which may have run; a new connection tells for sure.
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
	if c.addr == e.Addr() && state == socket.Silent {
		return c
	}
	p.end(c, state)
	return nil
}

// end drops a connection that is nobody's any more, of which state was found.
func (p *pool) end(c *conn, state socket.State) {
	p.mu.Lock()
	noted := p.judge(c, state)
	p.mu.Unlock()
	p.drop(c)
	p.note(noted)
}

// stir looks at a connection on which something has come, if it is idle in the pool: it ends unless that was part of the
// answer before.
func (p *pool) stir(c *conn) {
	p.mu.Lock()
	idle := p.idle[c.endpoint]
	i := slices.Index(idle, c)
	if i < 0 { // who has taken it looks at it, too
		p.mu.Unlock()
		return
	}
	state := c.state()
	if state == socket.Silent {
		p.mu.Unlock()
		return
	}
	p.setIdle(c.endpoint, slices.Delete(idle, i, i+1))
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
			raw.Control(func(fd uintptr) { socket.Watch(int(fd), p.silence) })
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

// takeIdle takes the most recently used connection that has rested, if it was used within so long; 0: whenever.
func (p *pool) takeIdle(e *core.Endpoint, within time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle, now, rest := p.idle[e], time.Now(), p.restTime
	if now.Before(p.lateUntil) {
		rest = max(rest, lateRest)
	}
	for i := len(idle) - 1; i >= 0; i-- {
		if within > 0 && now.Sub(idle[i].idleFrom) > within {
			return nil // and those before it are older
		}
		if c := idle[i]; now.Sub(c.idleFrom) >= rest {
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
		c.SetDeadline(time.Time{})
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
		if p.heard == nil {
			p.resting = append(p.resting, resting{c, c.uses})
		}
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	} else if p.heard == nil {
		select {
		case p.rested <- struct{}{}:
		default:
		}
	}
}

func (p *pool) drop(c *conn) {
	c.Close()
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

// evict closes the connection that has been idle for longest, and reports whether there was one.
func (p *pool) evict() bool {
	p.mu.Lock()
	var oldest *conn
	for _, idle := range p.idle {
		if oldest == nil || idle[0].idleFrom.Before(oldest.idleFrom) {
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

// closeWhere closes the idle connections for which old holds.
func (p *pool) closeWhere(old func(*conn) bool) {
	var dropped []*conn
	p.mu.Lock()
	for e, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if old(c) {
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

// judge takes in what was found on an idle connection, and returns its endpoint if that is news. The caller holds mu.
func (p *pool) judge(c *conn, state socket.State) *core.Endpoint {
	if state == socket.Waiting && p.heard != nil && p.heard().Sub(c.idleFrom) >= p.restTime {
		c.looked = true // silent until then, or it would have been ended
	}
	if state != socket.Waiting || !c.looked {
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
	caught := p.judge(c, socket.Waiting)
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
		if r.conn.looked = r.conn.state() == socket.Silent; !r.conn.looked {
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

// sweep closes connections that have been idle for too long, that the other side has closed, or on which something has
// come.
func (p *pool) sweep(now time.Time) {
	var caught []*core.Endpoint
	p.closeWhere(func(c *conn) bool {
		if now.Sub(c.idleFrom) >= p.idleTime {
			return true
		}
		state := c.state()
		if e := p.judge(c, state); e != nil {
			caught = append(caught, e)
		}
		return state != socket.Silent
	})
	for _, e := range caught {
		p.note(e)
	}
}

// closeAll closes all idle connections.
func (p *pool) closeAll() { p.closeWhere(func(*conn) bool { return true }) }

// run looks after idle connections until ctx ends.
func (p *pool) run(ctx context.Context) {
	ticker := time.NewTicker(max(p.idleTime/20, time.Millisecond))
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.sweep(now)
			continue
		case <-p.rested:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if next := p.look(time.Now()); next > 0 {
			timer.Reset(next)
		}
	}
}

// state tells whether an idle connection is open and silent, as it has to be.
func (c *conn) state() socket.State {
	if c.polled != nil {
		return c.polled.peek()
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return socket.Closed
	}
	return socket.Peek(sc)
}
