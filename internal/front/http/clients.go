package http

import (
	queues "container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"firplank/internal/socket"
)

const (
	// mayClose is how long a connection has to be without a request before it is closed in favour of a new one
	// while there are others that never asked.
	minIdleBeforeEviction = 2 * time.Second
	// onItsWay is how long a connection is spared from when a request on it began: a request comes in one piece,
	// but its serving goroutine may have to wait for the processor.
	partialRequestGrace = time.Second
	// keptShare is the part of the connections that are kept for a next request beside those with an open one.
	defaultIdleDivisor = 4
	// triedAtOnce bounds the system calls in a search for one to close.
	maxEvictionCandidates = 32
)

// clients holds the connections of the application to a number of descriptors. Without it, connections that
// stay and say nothing take every descriptor, and nobody is served any more.
type connTracker struct {
	maxConns           int
	maxIdleFraction    float64             // see Config.Waiting
	onProtocolMismatch func(peer net.Addr) // told of who speaks something else; nil: nobody is

	mu     sync.Mutex
	open   int
	unused queues.List // connections that never asked, the oldest first
	idle   queues.List // connections between two requests, the longest idle first
	active queues.List // connections of which a head has come
}

// client is one connection of the application.
type clientConn struct {
	*net.TCPConn
	tracker *connTracker
	scanner requestScanner
	handled atomic.Int64 // requests that reached the handler

	// Guarded by owner.mu.
	queue    *queues.List // nil once it is to be closed
	element  *queues.Element
	queuedAt time.Time // when it joined the queue
	closed   bool
}

// add takes in a new connection, for which others may have to go. Where all have open requests, it is the new
// one that is closed.
func (cs *connTracker) add(c *net.TCPConn) *clientConn {
	cl := &clientConn{TCPConn: c, tracker: cs}
	cs.mu.Lock()
	cs.open++
	full := cs.open > cs.maxConns
	var victim *clientConn
	if full {
		victim = cs.victim(time.Now())
	}
	if !full || victim != nil {
		cs.enqueue(cl, &cs.unused)
	}
	cs.mu.Unlock()
	switch {
	case victim != nil:
		_ = victim.Close() // it is given up, whatever came of it
	case full:
		_ = cl.Close() // it was never served
		return nil
	}
	return cl
}

// crowded reports whether so many connections wait for a request that no more are kept. The application has a
// number of descriptors too: clients that ask once and keep their connections use them up, and others cannot connect.
func (cs *connTracker) tooManyIdle() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.unused.Len()+cs.idle.Len() >= maxIdleConns(cs.maxConns, cs.maxIdleFraction)
}

// evict closes the connection that is missed least, and reports whether there was one.
func (cs *connTracker) evict() bool {
	cs.mu.Lock()
	victim := cs.victim(time.Now())
	cs.mu.Unlock()
	if victim == nil {
		return false
	}
	_ = victim.Close() // it is given up, whatever came of it
	return true
}

// victim finds the connection that is missed least: the one silent for longest, but one that never asked rather
// than one that has been idle for a short while. Where none is silent it is the one whose request has been on its
// way for longest without being whole, or clients that send a little now and then would hold every place. It leaves
// its queue. The caller holds mu.
func (cs *connTracker) victim(now time.Time) *clientConn {
	first, second := &cs.unused, &cs.idle
	if c := oldest(second); c != nil && now.Sub(c.queuedAt) >= minIdleBeforeEviction {
		if s := oldest(first); s == nil || c.queuedAt.Before(s.queuedAt) {
			first, second = second, first
		}
	}
	for _, queue := range []*queues.List{first, second} {
		triesLeft := maxEvictionCandidates
		for element := queue.Front(); element != nil && triesLeft > 0; element = element.Next() {
			c := element.Value.(*clientConn)
			if began, partial := c.scanner.partial(); partial && now.Sub(began) < partialRequestGrace {
				continue
			}
			// A whole request that waits for the processor is taken, though its handler has not begun.
			if c.scanner.completed.Load() > c.handled.Load() {
				continue
			}
			triesLeft--
			if socket.Peek(c.TCPConn) == socket.Idle {
				cs.dequeue(c)
				return c
			}
		}
	}
	slowest := cs.slowest()
	if slowest != nil {
		cs.dequeue(slowest)
	}
	return slowest
}

// slowest returns the connection with the request that began first of those that are not whole. The caller holds mu.
func (cs *connTracker) slowest() (slowest *clientConn) {
	first := time.Time{}
	for _, queue := range []*queues.List{&cs.unused, &cs.idle, &cs.active} {
		for element := queue.Front(); element != nil; element = element.Next() {
			c := element.Value.(*clientConn)
			if began, partial := c.scanner.partial(); partial && (slowest == nil || began.Before(first)) {
				slowest, first = c, began
			}
		}
	}
	return slowest
}

func oldest(queue *queues.List) *clientConn {
	if element := queue.Front(); element != nil {
		return element.Value.(*clientConn)
	}
	return nil
}

func (cs *connTracker) enqueue(c *clientConn, queue *queues.List) {
	if !c.closed {
		c.queue, c.queuedAt = queue, time.Now()
		c.element = queue.PushBack(c)
	}
}

func (cs *connTracker) dequeue(c *clientConn) {
	if c.queue != nil {
		c.queue.Remove(c.element)
		c.queue, c.element = nil, nil
	}
}

// follow is the server's ConnState hook.
func (cs *connTracker) onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch state {
	case http.StateActive:
		cs.dequeue(c)
		cs.enqueue(c, &cs.active)
	case http.StateIdle:
		cs.dequeue(c)
		cs.enqueue(c, &cs.idle)
	}
}

// Read passes on what the application sends as far as it can be told apart into requests.
func (c *clientConn) Read(p []byte) (int, error) {
	if err := c.scanner.err; err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	// No method begins with such a byte, and every frame of MessagePack-RPC does. net/http answers 400.
	if n > 0 && p[0] >= 0x80 && c.scanner.started.Load() == 0 && c.tracker.onProtocolMismatch != nil {
		c.tracker.onProtocolMismatch(c.RemoteAddr())
	}
	if fit := c.scanner.scan(p[:n], time.Now()); fit < n {
		if fit == 0 {
			return 0, c.scanner.err
		}
		return fit, nil
	}
	return n, err
}

// Close frees the descriptor, and its place in the budget, once.
func (c *clientConn) Close() error {
	cs := c.tracker
	cs.mu.Lock()
	if !c.closed {
		c.closed = true
		cs.open--
		cs.dequeue(c)
	}
	cs.mu.Unlock()
	return c.TCPConn.Close()
}

// next counts a request that reached the handler.
func (c *clientConn) countRequest() { c.handled.Add(1) }

// behind tells what came behind the open request. An application sends one request at a time: if there is more, the
// length is wrong, or the request hides another.
func (c *clientConn) peekAfterRequest() socket.PeekState {
	if c.scanner.started.Load() > c.handled.Load() {
		return socket.Readable
	}
	return socket.Peek(c.TCPConn)
}

// listener hands out connections within the budget.
type listener struct {
	net.Listener
	conns *connTracker
	evict func() bool // closes a connection elsewhere
}

func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := socket.Accept(l.Listener, func() bool { return l.evict() || l.conns.evict() })
		if err != nil {
			return nil, err
		}
		if cl := l.conns.add(c.(*net.TCPConn)); cl != nil {
			return cl, nil
		}
	}
}
