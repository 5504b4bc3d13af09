package http

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"cedararch/internal/core"
	"cedararch/internal/poller"
	"cedararch/internal/socket"
	"cedararch/internal/wheel"
)

// PollFront is the front on the kernel's readiness: a connection without a request has no goroutine, no timer of its own
// and no buffer. One goroutine reads all of them; answers are written by whoever has them, and what does not fit is written
// when the kernel says that there is room.
//
// Its lock is for what concerns all connections (places, queues, time-outs) and is the innermost: who holds it takes no
// connection's.
type PollFront struct {
	cfg      Config
	exchange core.Exchange
	start    time.Time
	failed   chan error
	accepted chan struct{} // closed when no connection is taken any more
	state
	most    atomic.Int64 // connections
	strange rate.Sometimes
	cuts    rate.Sometimes // bounds what is logged of answers cut short
	poller  *poller.Poller
	tasks   sync.WaitGroup
	date    atomic.Pointer[date] // of answers
	sooner  chan struct{}        // something is due before the alarm; has room for one

	scratch []byte // the poller's own

	mu        sync.Mutex
	ln        net.Listener
	listening *os.File // another descriptor of it
	closed    bool
	open      int
	wheel     *wheel.Wheel[*pollConn]
	alarm     time.Duration // when tick looks next
	silent    queue         // connections that never asked, the oldest first
	idle      queue         // between two requests, the longest idle first
	ended     queue         // that wait for their client to read the last answer
	partly    queue         // with a request on its way, the one that began first first
	empty     chan struct{}
}

// queue is a list of connections through their own links.
type queue struct {
	first, last *pollConn
	n           int
}

func (q *queue) push(c *pollConn) {
	c.queue, c.prev, c.next = q, q.last, nil
	if q.last != nil {
		q.last.next = c
	} else {
		q.first = c
	}
	q.last = c
	q.n++
}

// leave takes a connection out of its queue.
func (c *pollConn) leave() {
	q := c.queue
	if q == nil {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		q.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		q.last = c.prev
	}
	c.queue, c.prev, c.next = nil, nil, nil
	q.n--
}

// NewPoll returns a front that hands requests to an exchange.
func NewPoll(cfg Config, exchange core.Exchange) (*PollFront, error) {
	p, err := poller.New()
	if err != nil {
		return nil, err
	}
	f := &PollFront{
		cfg: cfg, exchange: exchange, start: time.Now(), failed: make(chan error, 1), accepted: make(chan struct{}),
		poller: p, scratch: make([]byte, readAtOnce), wheel: wheel.New[*pollConn](wheelTick, wheelSlots),
		strange: rate.Sometimes{First: 3, Interval: time.Second}, cuts: rate.Sometimes{First: 5, Interval: time.Second},
		sooner: make(chan struct{}, 1),
	}
	f.Resize(cfg.Connections)
	return f, nil
}

const (
	wheelTick  = 50 * time.Millisecond
	wheelSlots = 1024 // so that most time-outs lie within one round
)

// readAtOnce is the one buffer into which connections are read; what is left of a request that is not whole is kept by its
// connection.
const readAtOnce = 64 << 10

func (f *PollFront) now() time.Duration { return time.Since(f.start) }

// date is the value of answers' Date in one second.
type date struct {
	second int64
	text   string
}

// dated returns the value of Date now.
func (f *PollFront) dated() string {
	now := time.Now()
	d := f.date.Load()
	if d == nil || d.second != now.Unix() {
		d = &date{now.Unix(), now.UTC().Format(time.RFC1123[:len(time.RFC1123)-3] + "GMT")}
		f.date.Store(d)
	}
	return d.text
}

// Serve takes connections until End, on goroutines of its own. What goes wrong comes on Failed.
func (f *PollFront) Serve(ln net.Listener) {
	listening, err := fileOf(ln)
	if err != nil {
		f.failed <- err
		return
	}
	f.mu.Lock()
	f.ln, f.listening = ln, listening
	f.mu.Unlock()
	f.tasks.Go(func() {
		defer close(f.accepted)
		if err := f.accept(listening); err != nil && !errors.Is(err, net.ErrClosed) {
			f.failed <- err
		}
	})
	f.tasks.Go(func() { f.poller.Run(func() {}, nil) })
	done := make(chan struct{})
	f.tasks.Go(func() { f.tick(done) })
	f.tasks.Go(func() {
		<-f.exchange.Done()
		f.shut()
		close(done)
	})
}

// Failed tells why the front has stopped serving, before End.
func (f *PollFront) Failed() <-chan error { return f.failed }

// fileOf returns another descriptor of a listener, on which the runtime can wait for who accepts bare descriptors: the
// listener itself lets nobody.
func fileOf(ln net.Listener) (*os.File, error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("listen: %T has no descriptor", ln)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fd, failed := -1, error(nil)
	if err := raw.Control(func(l uintptr) { fd, failed = unix.FcntlInt(l, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if failed != nil {
		return nil, fmt.Errorf("listen: %w", failed)
	}
	return os.NewFile(uintptr(fd), "listener"), nil
}

// accept takes connections in as bare descriptors.
func (f *PollFront) accept(listening *os.File) error {
	raw, err := listening.SyscallConn()
	if err != nil {
		return fmt.Errorf("accept: %w", err)
	}
	for {
		fd, failed := -1, error(nil)
		err := raw.Read(func(l uintptr) bool {
			fd, _, failed = unix.Accept4(int(l), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			return failed != unix.EAGAIN
		})
		switch {
		case err != nil:
			return net.ErrClosed
		case failed == unix.EINTR || failed == unix.ECONNABORTED:
		case failed != nil && socket.Exhausted(failed):
			// What waits in the backlog counts as taken, so that the pause must be short.
			if !f.cfg.Evict() && !f.evict() {
				time.Sleep(2 * time.Millisecond)
			}
		case failed != nil:
			return fmt.Errorf("accept: %w", failed)
		default:
			f.add(fd)
		}
	}
}

// add takes in a new connection, for which others may have to go. Where all have open requests, it is the new one that is
// closed.
func (f *PollFront) add(fd int) {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	f.mu.Lock()
	full := f.open >= int(f.most.Load())
	f.mu.Unlock()
	if full && !f.evict() {
		unix.Close(fd)
		return
	}
	c := &pollConn{front: f, fd: fd}
	c.timeout.Owner = c
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		unix.Close(fd)
		return
	}
	f.open++
	f.enter(c, &f.silent, headTimeout)
	f.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != pollClosed && f.poller.Add(fd, c, &c.place) != nil {
		c.close()
	}
}

// enter puts a connection into a queue and sets its time-out; 0 sets none. The caller holds mu.
func (f *PollFront) enter(c *pollConn, q *queue, timeout time.Duration) {
	c.leave()
	if q != nil {
		q.push(c)
		c.since = f.now()
	}
	if timeout > 0 {
		f.setDue(c, f.now()+timeout)
	} else {
		f.wheel.Clear(&c.timeout)
	}
}

// crowded reports whether so many connections wait for a request that no more are kept.
func (f *PollFront) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent.n+f.idle.n >= waiting(int(f.most.Load()), f.cfg.Waiting)
}

// evict closes the connection that is missed least, and reports whether there was one: the one silent for longest, but one
// that never asked rather than one that has been idle for a short while; where there is neither, the one whose request has
// been on its way for longest without being whole.
func (f *PollFront) evict() bool {
	var candidates []*pollConn
	f.mu.Lock()
	first, second := &f.silent, &f.idle
	if c := second.first; c != nil && f.now()-c.since >= mayClose && (first.first == nil || c.since < first.first.since) {
		first, second = second, first
	}
	for _, q := range []*queue{&f.ended, first, second} {
		for c := q.first; c != nil && len(candidates) < triedAtOnce; c = c.next {
			candidates = append(candidates, c)
		}
	}
	if c := f.partly.first; c != nil {
		candidates = append(candidates, c)
	}
	f.mu.Unlock()
	for _, c := range candidates {
		if c.closeIfUnused() {
			return true
		}
	}
	return false
}

// tick plays the time-outs when they are due, and looks each wheelTick while connections are to go.
func (f *PollFront) tick(done <-chan struct{}) {
	timer := time.NewTimer(wheelTick)
	defer timer.Stop()
	var due []*pollConn
	for {
		select {
		case <-timer.C:
		case <-f.sooner:
		case <-done:
			return
		}
		f.mu.Lock()
		now := f.now()
		due = f.wheel.Advance(now, due[:0])
		f.mu.Unlock()
		for _, c := range due {
			c.expired()
		}
		clear(due)
		f.sendAway()
		f.mu.Lock()
		f.alarm = now + rarely
		if at, ok := f.wheel.Next(); ok {
			f.alarm = min(f.alarm, at)
		}
		if f.paused.Load() != 0 || f.open > int(f.most.Load()) {
			f.alarm = min(f.alarm, now+wheelTick)
		}
		timer.Reset(f.alarm - f.now())
		f.mu.Unlock()
	}
}

// rarely is how often tick looks where nothing is due.
const rarely = time.Minute

// setDue sets a connection's time-out, and has tick look in time. The caller holds mu.
func (f *PollFront) setDue(c *pollConn, at time.Duration) {
	f.wheel.Set(&c.timeout, at)
	if at < f.alarm-wheelTick {
		f.alarm = at
		f.look()
	}
}

// look has tick look now, and set its alarm anew.
func (f *PollFront) look() {
	select {
	case f.sooner <- struct{}{}:
	default:
	}
}

// Pause implements what state does, and begins to send clients away.
func (f *PollFront) Pause(on bool) {
	f.state.Pause(on)
	f.look()
}

// sendAway closes connections that carry nothing: some of those beyond the budget after it was lowered, and while clients
// are sent away all that could have been used since.
func (f *PollFront) sendAway() {
	f.mu.Lock()
	over := f.open - int(f.most.Load())
	f.mu.Unlock()
	for range min(over, triedAtOnce) {
		if !f.evict() {
			break
		}
	}
	if !f.away() {
		return
	}
	var unused []*pollConn
	f.mu.Lock()
	for _, q := range []*queue{&f.idle, &f.silent} {
		for c := q.first; c != nil && f.now()-c.since >= awayIdle; c = c.next {
			unused = append(unused, c)
		}
	}
	f.mu.Unlock()
	for _, c := range unused {
		c.closeIfUnused()
	}
}

// Open returns how many connections there are.
func (f *PollFront) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// Resize changes how many connections may be open. Beyond it those that carry nothing go, one after another.
func (f *PollFront) Resize(n int) {
	f.most.Store(int64(max(1, n)))
	f.look()
}

// End takes new connections for a little while yet, and answers all that was taken, within a time.
func (f *PollFront) End(within time.Duration) error {
	limit, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	late := time.NewTimer(within - lastWords)
	defer late.Stop()
	f.ending.Store(true)
	select {
	case <-time.After(f.lastCalls(f.cfg.LastCalls)):
	case err := <-f.failed:
		return fmt.Errorf("serve: %w", err)
	}
	f.drainBacklog()
	f.mu.Lock()
	f.unlisten()
	f.mu.Unlock()
	select { // one that was just accepted is yet to come in
	case <-f.accepted:
	case <-limit.Done():
	}
	f.mu.Lock()
	empty := make(chan struct{})
	if f.open == 0 {
		close(empty)
	} else {
		f.empty = empty
	}
	f.mu.Unlock()
	for _, c := range f.members(&f.idle) { // not those that never asked: a request may be on its way
		c.closeIfUnused()
	}
	select {
	case <-empty:
	case <-late.C:
		f.sayLast()
		select {
		case <-empty:
		case <-limit.Done():
		}
	}
	f.shut()
	return nil
}

// lastWords is how long before the end whatever is still open is given its answer, for that to be written and read.
const lastWords = 100 * time.Millisecond

// sayLast ends what nothing is owed to and answers the rest: by now the exchange has answered all that it was handed, unless
// the processor was short.
func (f *PollFront) sayLast() {
	for _, c := range f.members(&f.idle, &f.silent) {
		c.closeIfUnused()
	}
	for _, c := range f.members(&f.partly) {
		c.mu.Lock()
		if c.state == pollWaiting && c.began {
			c.last, c.wary = true, true
			c.reply(core.Refusal(0))
		}
		c.mu.Unlock()
	}
	for _, h := range f.poller.All() {
		c := h.(*pollConn)
		c.mu.Lock()
		if c.state == pollOpen && c.call != nil {
			call := c.call
			c.mu.Unlock()
			c.answer(call, &core.Answer{Kind: core.Failed, Reason: core.OutOfTime, Text: "the sidecar ends"})
			continue
		}
		c.mu.Unlock()
	}
}

// members lists who is in some queues.
func (f *PollFront) members(queues ...*queue) (all []*pollConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range queues {
		for c := q.first; c != nil; c = c.next {
			all = append(all, c)
		}
	}
	return all
}

// drainBacklog takes in what the kernel has accepted: closing the listener would reset it.
func (f *PollFront) drainBacklog() {
	f.mu.Lock()
	listening := f.listening
	f.mu.Unlock()
	if listening == nil {
		return
	}
	raw, err := listening.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(l uintptr) {
		for range mostBacklog {
			fd, _, err := unix.Accept4(int(l), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == unix.EINTR || err == unix.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			f.add(fd)
		}
	})
}

// mostBacklog bounds what is taken in at the end.
const mostBacklog = 4096

// unlisten ends the taking of connections. The caller holds mu.
func (f *PollFront) unlisten() {
	if f.ln != nil {
		f.ln.Close()
		f.listening.Close()
	}
}

// shut closes everything at once; what the goroutines wait for ends with it.
func (f *PollFront) shut() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	f.unlisten()
	f.mu.Unlock()
	for _, h := range f.poller.All() {
		c := h.(*pollConn)
		c.mu.Lock()
		c.close()
		c.mu.Unlock()
	}
	f.poller.Close()
}

// Wait returns when all that Serve started has ended, after the exchange has.
func (f *PollFront) Wait() { f.tasks.Wait() }
