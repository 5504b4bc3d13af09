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
	// minIdleBeforeEviction is how long a connection must have been idle before it may be evicted in preference to one that never
	// carried a request.
	minIdleBeforeEviction = 2 * time.Second
	// partialRequestGrace protects a connection from eviction after the first byte of a request: the request usually arrives in
	// one piece, but the goroutine that reads it may have to wait for a processor.
	partialRequestGrace = time.Second
	// defaultIdleDivisor is the divisor of the maximum of connections that yields the default maximum of idle ones.
	defaultIdleDivisor = 4
	// maxEvictionCandidates bounds the system calls of one search for a connection to evict.
	maxEvictionCandidates = 32
)

// connTracker limits the number of clients' connections. Without the limit, idle connections use up all descriptors, and no client is
// served anymore.
type connTracker struct {
	maxConns           int
	maxIdleFraction    float64             // see Config.MaxIdleFraction
	onProtocolMismatch func(peer net.Addr) // called when a client speaks another protocol; may be nil

	mu     sync.Mutex
	open   int
	unused queues.List // connections that never carried a request, oldest first
	idle   queues.List // connections between two requests, longest idle first
	active queues.List // connections with a request whose head has been received
}

// clientConn is a client's connection.
type clientConn struct {
	*net.TCPConn
	tracker *connTracker
	scanner requestScanner
	handled atomic.Int64 // requests that reached the handler

	// Guarded by tracker.mu.
	queue    *queues.List // nil once the connection is being closed
	element  *queues.Element
	queuedAt time.Time // when it was added to the queue
	closed   bool
}

// add tracks a new connection and evicts another one if there are too many. If all others have open requests, it closes the new one
// and returns nil.
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
		_ = victim.Close() // the descriptor is released even where this fails
	case full:
		_ = cl.Close() // no request was read from it
		return nil
	}
	return cl
}

// tooManyIdle reports whether no more idle connections are kept. The application has a limited number of descriptors too: clients
// that send one request and keep the connection open use them up, and others cannot connect.
func (cs *connTracker) tooManyIdle() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.unused.Len()+cs.idle.Len() >= maxIdleConns(cs.maxConns, cs.maxIdleFraction)
}

// evict closes the connection that victim selects, and reports whether there was one.
func (cs *connTracker) evict() bool {
	cs.mu.Lock()
	victim := cs.victim(time.Now())
	cs.mu.Unlock()
	if victim == nil {
		return false
	}
	_ = victim.Close() // the descriptor is released even where this fails
	return true
}

// victim selects a connection to evict and removes it from its queue: the one idle for longest, where one that never carried a request
// is preferred to one idle for less than minIdleBeforeEviction. If none is idle, it is the one whose incomplete request started first;
// otherwise clients that send a byte now and then could occupy all connections. The caller holds mu.
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
			// A complete request counts as accepted even if its handler has not started for want of a processor.
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

// slowest returns the connection whose incomplete request started first. The caller holds mu.
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

// onConnState is the server's ConnState hook.
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

// Read returns what the client sends, up to the point where the boundaries of requests are ambiguous.
func (c *clientConn) Read(p []byte) (int, error) {
	if err := c.scanner.err; err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	// No HTTP method begins with such a byte, but every frame of MessagePack-RPC does. net/http answers 400.
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

// Close closes the connection and stops tracking it. Further calls have no effect on the count.
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

// countRequest counts a request that reached the handler.
func (c *clientConn) countRequest() { c.handled.Add(1) }

// peekAfterRequest returns whether anything was received after the open request. An application sends one request at a time: further
// bytes mean a wrong length, or request smuggling.
func (c *clientConn) peekAfterRequest() socket.PeekState {
	if c.scanner.started.Load() > c.handled.Load() {
		return socket.Readable
	}
	return socket.Peek(c.TCPConn)
}

// listener accepts connections within the limit of its tracker.
type listener struct {
	net.Listener
	conns *connTracker
	evict func() bool // closes an idle connection to a server
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
