package http

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/poller"
	"firplank/internal/socket"
	"firplank/internal/timerwheel"
)

// PollBackend makes attempts over polled sockets: an attempt whose request is written at once and whose response is
// buffered needs no goroutine. The request is written on the goroutine of the exchange, and the response is read on the
// poller's goroutine. Streamed bodies and endpoints that need name resolution use a goroutine each, as in Backend.
//
// Lock order: a connection's lock before the pool's and the timer wheel's. No lock is held when an attempt is ended,
// because the exchange may wait for any of them.
type PollBackend struct {
	*Backend
	poller     *poller.Poller
	readBuffer []byte // used by the poller only

	start      time.Time
	polledUpTo atomic.Int64 // since start; everything that was received before on any connection has been handled

	mu    sync.Mutex
	wheel *timerwheel.Wheel[*polledConn]
	alarm time.Duration // when the poller's alarm is due; 0 if it is not set
}

const (
	// Resolution of the timer wheel. An attempt times out at most one tick late, plus scheduling delay.
	timeoutTick     = time.Millisecond
	timeoutSlots    = 4096
	readBufferBytes = 64 << 10
)

// NewPoll returns a backend that polls its sockets. Its attempts end when ctx does.
func NewPoll(ctx context.Context, cfg Config) (*PollBackend, error) {
	p, err := poller.New()
	if err != nil {
		return nil, err
	}
	b := &PollBackend{
		Backend: New(ctx, cfg), poller: p, readBuffer: make([]byte, readBufferBytes), start: time.Now(),
		wheel: timerwheel.New[*polledConn](timeoutTick, timeoutSlots),
	}
	b.up.pool.adopt = b.adopt
	b.up.pool.polledUpTo = func() time.Time { return b.start.Add(time.Duration(b.polledUpTo.Load())) }
	b.running.Go(func() {
		b.poller.Run(b.runTimeouts, func(began time.Time) { b.polledUpTo.Store(int64(began.Sub(b.start))) })
	})
	context.AfterFunc(ctx, b.closeConns)
	return b, nil
}

// closeConns closes all connections. The exchange has ended, so nothing waits for the attempts.
func (b *PollBackend) closeConns() {
	for _, h := range b.poller.Handlers() {
		_ = h.(*polledConn).Close() // the result is not used
	}
	b.poller.Close()
}

// Begin implements core.Backend.
func (b *PollBackend) Begin(a *core.Attempt) {
	addr, err := netip.ParseAddrPort(a.Endpoint.Addr())
	if a.Message.Stream != nil || err != nil || addr.Addr().Zone() != "" {
		b.Backend.Begin(a)
		return
	}
	t := &polledRequest{up: b.up, attempt: a, endpoint: a.Endpoint, deadline: a.Deadline}
	a.State = t
	b.startRequest(t, addr)
}

// Cancel implements core.Backend.
func (b *PollBackend) Cancel(a *core.Attempt) {
	t, polled := a.State.(*polledRequest)
	if !polled {
		b.Backend.Cancel(a)
		return
	}
	if s := t.conn; s != nil {
		s.cancel(t)
	}
}

// Probe implements core.Backend.
func (b *PollBackend) Probe(e *core.Endpoint, done func(core.Result)) {
	addr, err := netip.ParseAddrPort(e.Addr())
	if err != nil || addr.Addr().Zone() != "" {
		b.Backend.Probe(e, done)
		return
	}
	t := &polledRequest{up: b.up, probe: done, endpoint: e, deadline: time.Now().Add(b.up.pool.connectTimeout + probeGrace)}
	b.startRequest(t, addr)
}

// polledRequest is an attempt or a probe on a polled connection.
type polledRequest struct {
	up         *upstream
	attempt    *core.Attempt // nil for a probe
	probe      func(core.Result)
	endpoint   *core.Endpoint
	deadline   time.Time
	conn       *polledConn             // set before Begin returns, then constant
	handedOver atomic.Pointer[attempt] // set when a goroutine takes over to stream the response
}

// obsolete reports whether nothing may be sent for the request any more.
func (t *polledRequest) obsolete() bool {
	if t.attempt != nil {
		return t.attempt.Obsolete()
	}
	return !time.Now().Before(t.deadline)
}

// encode encodes the request, with the time remaining.
func (t *polledRequest) encode(b *PollBackend) ([]byte, error) {
	if t.attempt != nil {
		return b.up.encode(t.attempt)
	}
	return b.up.probeRequest(t.endpoint.Addr()), nil
}

// end reports the result. It may wait for the exchange.
func (t *polledRequest) end(r core.Result) {
	if t.attempt != nil {
		t.up.end(t.attempt, r)
	} else {
		t.probe(r)
	}
}

// endAsync ends a request from a goroutine that must not wait for the exchange.
func (b *PollBackend) endAsync(t *polledRequest, outcome balance.Result) {
	if t.attempt == nil && outcome == balance.NotSent {
		outcome = balance.ConnectFailed // a probe reports no other failure to connect
	}
	b.running.Go(func() { t.end(core.Result{Outcome: outcome}) })
}

// startRequest starts a request on an idle connection or on a new one.
func (b *PollBackend) startRequest(t *polledRequest, addr netip.AddrPort) {
	if t.obsolete() {
		b.endAsync(t, balance.NotSent)
		return
	}
	p := b.up.pool
	maxIdle := time.Duration(0)
	if t.attempt != nil {
		maxIdle = p.maxIdle(t.attempt.Message)
	}
	for c := p.takeIdle(t.endpoint, maxIdle); c != nil; c = p.takeIdle(t.endpoint, maxIdle) {
		if c = p.checkIdle(c, t.endpoint); c == nil {
			continue
		}
		c.polled.(*polledConn).startRequest(t)
		return
	}
	if !p.reserve() {
		b.endAsync(t, balance.NotSent)
		return
	}
	fd, err := connect(addr, p.peerTimeout)
	if err != nil {
		p.release()
		if socket.Exhausted(err) {
			p.evict()
			b.endAsync(t, balance.NotSent)
		} else {
			b.endAsync(t, balance.ConnectFailed)
		}
		return
	}
	c := &conn{endpoint: t.endpoint, addr: t.endpoint.Addr()}
	s := &polledConn{backend: b, conn: c, fd: fd, state: polledConnecting, current: t}
	s.timeout.Owner, c.polled, t.conn = s, s, s
	s.mu.Lock()
	failed := b.poller.Register(fd, s, &s.registration) != nil
	if !failed {
		b.setTimeout(s, min(time.Until(t.deadline), p.connectTimeout))
	}
	s.mu.Unlock()
	if failed {
		s.cancel(t)
	}
}

// connect starts to connect to addr and returns the socket.
func connect(addr netip.AddrPort, silence time.Duration) (fd int, err error) {
	family := unix.AF_INET6
	var sockaddr unix.Sockaddr = &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
	if ip := addr.Addr().Unmap(); ip.Is4() {
		family, sockaddr = unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("connect: %w", err)
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // the connection works without the option
	socket.SetPeerTimeout(fd, silence)
	if err := unix.Connect(fd, sockaddr); err != nil && err != unix.EINPROGRESS && err != unix.EINTR {
		_ = unix.Close(fd) // the descriptor is released even where this fails
		return -1, fmt.Errorf("connect: %w", err)
	}
	return fd, nil
}

// adopt starts polling a connection that a goroutine used. It closes Go's descriptor and uses a duplicate.
func (b *PollBackend) adopt(c *conn) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	fd, failed := -1, error(nil)
	err = raw.Control(func(original uintptr) { fd, failed = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 0) })
	if err != nil || failed != nil {
		return false
	}
	_ = c.Conn.Close() // the connection is released even where this fails
	s := &polledConn{backend: b, conn: c, fd: fd}
	s.timeout.Owner = s
	c.Conn, c.polled = nil, s
	s.mu.Lock()
	defer s.mu.Unlock()
	return b.poller.Register(fd, s, &s.registration) == nil
}

// setTimeout sets the time-out of a connection, and the poller's alarm if it is the earliest.
func (b *PollBackend) setTimeout(s *polledConn, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := (time.Since(b.start) + max(0, delay) + timeoutTick - 1).Truncate(timeoutTick)
	b.wheel.Set(&s.timeout, due)
	if b.alarm == 0 || due < b.alarm {
		b.alarm = due
		b.poller.SetAlarm(b.start.Add(due))
	}
}

func (b *PollBackend) clearTimeout(s *polledConn) {
	b.mu.Lock()
	b.wheel.Clear(&s.timeout)
	b.mu.Unlock()
}

// runTimeouts handles the time-outs that are due, on the poller's goroutine.
func (b *PollBackend) runTimeouts() {
	b.mu.Lock()
	due := b.wheel.Advance(time.Since(b.start), nil)
	at, ok := b.wheel.Next()
	if ok {
		b.alarm = at
		b.poller.SetAlarm(b.start.Add(at))
	} else {
		b.alarm = 0
		b.poller.SetAlarm(time.Time{})
	}
	b.mu.Unlock()
	for _, s := range due {
		s.handleTimeout()
	}
}
