package http

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/poller"
	"firplank/internal/socket"
	"firplank/internal/timerwheel"
)

// polledState is what a connection is doing.
type polledState uint8

const (
	polledIdle       polledState = iota // in the pool, or on its way there
	polledConnecting                    // the request waits for the connection
	polledWriting                       // ... for room
	polledWaiting                       // for the answer
	polledReleased                      // closed, or a goroutine's
)

// polledConn is a connection to a server that is polled. Its lock guards what follows it.
type polledConn struct {
	backend      *PollBackend
	conn         *conn
	registration poller.Registration

	mu       sync.Mutex
	fd       int
	state    polledState
	current  *polledRequest // nil while it is idle
	unsent   []byte         // of the request, what is not written
	received []byte         // of the answer, what has come in pieces
	parser   responseParser
	// headAt is when the head was whole of an answer that may pass through.
	headCompletedAt time.Time

	timeout timerwheel.Timer[*polledConn] // guarded by backend.mu
}

// peek implements polled.
func (s *polledConn) peek() socket.PeekState { return socket.PeekFD(s.fd) }

// begin writes a request to a connection that was idle.
func (s *polledConn) startRequest(t *polledRequest) {
	s.mu.Lock()
	if s.state != polledIdle { // closed at the end of all
		s.mu.Unlock()
		s.backend.endAsync(t, balance.NotSent)
		return
	}
	s.current, t.conn = t, s
	e := s.send()
	s.mu.Unlock()
	if e != nil {
		s.backend.running.Go(e.report)
	}
}

// send writes the current request. The caller holds mu.
func (s *polledConn) send() *endedRequest {
	request, err := s.current.encode(s.backend)
	if err != nil {
		return s.fail(balance.NotSent)
	}
	s.state, s.unsent = polledWriting, request
	s.backend.setTimeout(s, time.Until(s.current.deadline))
	if err := s.write(); err != nil { // its last byte never went out, and nothing was read meanwhile
		return s.fail(balance.ConnectFailed)
	}
	return nil
}

// ending is how a request ended. It is reported when no lock is held.
type endedRequest struct {
	conn     *polledConn
	request  *polledRequest
	result   core.Result
	reusable bool
}

// end takes the request off the connection. The caller holds mu.
func (s *polledConn) end(r core.Result, reusable bool) *endedRequest {
	e := &endedRequest{s, s.current, r, reusable}
	s.backend.clearTimeout(s)
	s.current, s.unsent, s.parser = nil, nil, responseParser{}
	if s.state != polledReleased {
		s.state = polledIdle
	}
	if s.received != nil {
		if cap(s.received) <= maxPooledBufferBytes {
			//lint:ignore SA6002 the header that is allocated here is small beside the buffer that is saved
			receiveBuffers.Put(s.received[:0])
		}
		s.received = nil
	}
	return e
}

// inBuffers hold answers that come in more than one piece.
var receiveBuffers = sync.Pool{New: func() any { return make([]byte, 0, 4<<10) }}

const maxPooledBufferBytes = 128 << 10

// do reports the end; it may wait for the exchange.
func (e *endedRequest) report() {
	if e == nil {
		return
	}
	e.conn.backend.up.pool.returnConn(e.conn.conn, e.reusable)
	if e.request.attempt == nil && e.result.Outcome == balance.NotSent {
		e.result.Outcome = balance.ConnectFailed
	}
	e.request.end(e.result)
}

func (s *polledConn) fail(outcome balance.Result) *endedRequest {
	return s.end(core.Result{Outcome: outcome}, false)
}

// write writes what is left of the request. The caller holds mu, and the state is polledWriting.
func (s *polledConn) write() error {
	for len(s.unsent) > 0 {
		n, err := unix.Write(s.fd, s.unsent)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return nil
		case err != nil:
			return err
		default:
			s.unsent = s.unsent[n:]
		}
	}
	s.unsent, s.state = nil, polledWaiting
	if s.current.attempt != nil {
		s.current.attempt.Written()
	}
	return nil
}

// Ready implements poller.Handler.
func (s *polledConn) Ready(events uint32) {
	var e *endedRequest
	s.mu.Lock()
	if s.state == polledConnecting && events&poller.Writable != 0 {
		e = s.handleConnected()
	}
	if e == nil && s.state == polledWriting && events&poller.Writable != 0 {
		e = s.continueWrite()
	}
	if e == nil && (s.state == polledWriting || s.state == polledWaiting) && events&poller.Readable != 0 {
		e = s.read(events&poller.PeerClosed != 0)
	}
	idle := s.state == polledIdle && e == nil
	s.mu.Unlock()
	e.report()
	if idle && events&poller.Readable != 0 {
		s.backend.up.pool.handleIdleReadable(s.conn)
	}
}

// writeOn writes more of a request. Where that fails the server may have answered before it has closed the connection. The caller holds mu,
// on the poller's goroutine.
func (s *polledConn) continueWrite() *endedRequest {
	if err := s.write(); err == nil {
		return nil
	}
	if e := s.read(true); e != nil || s.state == polledReleased {
		return e
	}
	return s.fail(balance.ConnectFailed)
}

// connected goes on when the connection has come up, or has not. The caller holds mu.
func (s *polledConn) handleConnected() *endedRequest {
	switch code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR); {
	case err != nil || code != 0:
		if code != 0 && socket.Exhausted(unix.Errno(code)) {
			return s.fail(balance.NotSent)
		}
		return s.fail(balance.ConnectFailed)
	}
	// Connecting may take longer than the server accepts requests, or than the request has. Nothing was sent yet.
	if s.current.obsolete() {
		return s.end(core.Result{Outcome: balance.NotSent}, true)
	}
	return s.send()
}

// handOver gives the connection to a goroutine, which reads the answer once more from its first byte. The caller holds mu.
func (s *polledConn) handOver(b []byte, heldFor time.Duration) {
	t, c, backend := s.current, s.conn, s.backend
	a := &attempt{Attempt: t.attempt, heldFor: heldFor}
	a.ctx, a.cancel = context.WithCancel(backend.ctx)
	t.handedOver.Store(a)
	received, written := bytes.Clone(b), s.state != polledWriting
	file, _ := s.release()
	s.end(core.Result{}, false)
	c.Conn, c.polled = file, nil
	c.reader = newResponseReader(io.MultiReader(bytes.NewReader(received), file))
	backend.running.Go(func() {
		defer a.cancel()
		_ = c.SetDeadline(a.Deadline) // fails only on a closed connection, as the next call on it does
		// Fails only on a closed connection, as the next call on it does.
		stop := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		r, reusable := backend.up.receive(a, c)
		backend.up.pool.returnConn(c, stop() && reusable && written)
		backend.up.end(a.Attempt, r)
	})
}

// release takes the descriptor from the poller. The caller holds mu.
func (s *polledConn) release() (net.Conn, error) {
	err := s.backend.poller.Detach(s.fd)
	s.backend.poller.Unregister(s.registration)
	s.state = polledReleased
	return fileConn{os.NewFile(uintptr(s.fd), "server")}, err
}

// detach implements polled.
func (s *polledConn) detach() (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != polledIdle {
		return nil, net.ErrClosed
	}
	return s.release()
}

// fileConn is a socket that Go's own poller waits for.
type fileConn struct{ *os.File }

func (fileConn) LocalAddr() net.Addr  { return nil }
func (fileConn) RemoteAddr() net.Addr { return nil }

// giveUp ends a request that the exchange has given up, on the exchange's goroutine.
func (s *polledConn) cancel(t *polledRequest) {
	s.mu.Lock()
	if s.current != t {
		s.mu.Unlock()
		if a := t.handedOver.Load(); a != nil {
			a.cancel()
		}
		return
	}
	outcome := balance.NotSent
	if s.state == polledWaiting || s.responseStarted() {
		outcome = balance.Cancelled
	}
	e := s.fail(outcome)
	s.mu.Unlock()
	s.backend.running.Go(e.report)
}

// expired handles the time-out.
func (s *polledConn) handleTimeout() {
	s.mu.Lock()
	s.backend.mu.Lock()
	rearmed := s.timeout.IsSet() // it was set anew meanwhile
	s.backend.mu.Unlock()
	var e *endedRequest
	if t := s.current; t != nil && !rearmed {
		pastDeadline := !time.Now().Before(t.deadline)
		switch {
		case s.state == polledConnecting && pastDeadline, s.state == polledWriting && !s.responseStarted():
			e = s.fail(balance.NotSent)
		case s.state == polledConnecting:
			e = s.fail(balance.ConnectFailed)
		case pastDeadline:
			e = s.fail(balance.TimedOut)
		case len(s.parser.chunks.Body) > 0 || len(s.received) > s.parser.offset && s.parser.head != nil && !s.parser.head.chunked:
			s.handOver(s.received, holdTimeout) // its end was not announced, and has not come soon
		default: // not a byte of it has come
			s.backend.setTimeout(s, time.Until(t.deadline))
		}
	}
	s.mu.Unlock()
	e.report()
}

// Close implements polled.
func (s *polledConn) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == polledReleased {
		return nil
	}
	s.state, s.current = polledReleased, nil
	s.backend.clearTimeout(s)
	s.backend.poller.Unregister(s.registration)
	return unix.Close(s.fd)
}
