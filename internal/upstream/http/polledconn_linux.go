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

// polledState is the state of a polled connection.
type polledState uint8

const (
	polledIdle       polledState = iota // in the pool, or being returned to it
	polledConnecting                    // the request waits until it is connected
	polledWriting                       // the request waits for buffer space
	polledWaiting                       // waiting for the response
	polledReleased                      // closed, or handed over to a goroutine
)

// polledConn is a polled connection to a server. mu guards the fields below it.
type polledConn struct {
	backend      *PollBackend
	conn         *conn
	registration poller.Registration

	mu       sync.Mutex
	fd       int
	state    polledState
	current  *polledRequest // nil while idle
	unsent   []byte         // rest of the request
	sentAny  bool           // a byte of the request was accepted by the kernel
	received []byte         // bytes of a response that is not yet complete
	parser   responseParser
	// headCompletedAt is when the head of a streamable response was complete.
	headCompletedAt time.Time

	timeout timerwheel.Timer[*polledConn] // guarded by backend.mu
}

// peek implements polledSocket.
func (s *polledConn) peek() socket.PeekState { return socket.PeekFD(s.fd) }

// startRequest writes a request to an idle connection.
func (s *polledConn) startRequest(t *polledRequest) {
	s.mu.Lock()
	if s.state != polledIdle { // closed at shutdown
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
	if err := s.write(); err != nil { // no response was read
		return s.failUnanswered(endedByConnection)
	}
	return nil
}

// progress returns how much of the current request was sent. The caller holds mu.
func (s *polledConn) progress() progress {
	switch {
	case s.state == polledWaiting:
		return completelySent
	case s.sentAny:
		return partlySent
	}
	return nothingSent
}

// failUnanswered ends the current request without a response. The caller holds mu.
func (s *polledConn) failUnanswered(why ending) *endedRequest {
	return s.fail(s.backend.up.unansweredOutcome(s.progress(), why))
}

// endedRequest is a request with its result, to be reported when no lock is held.
type endedRequest struct {
	conn     *polledConn
	request  *polledRequest
	result   core.Result
	reusable bool
}

// end detaches the request from the connection and returns it with its result. The caller holds mu.
func (s *polledConn) end(r core.Result, reusable bool) *endedRequest {
	e := &endedRequest{s, s.current, r, reusable}
	s.backend.clearTimeout(s)
	s.current, s.unsent, s.sentAny, s.parser = nil, nil, false, responseParser{}
	if s.state != polledReleased {
		s.state = polledIdle
	}
	if s.received != nil {
		if cap(s.received) <= maxPooledBufferBytes {
			//lint:ignore SA6002 the slice header allocated here is small compared with the reused buffer
			receiveBuffers.Put(s.received[:0])
		}
		s.received = nil
	}
	return e
}

// receiveBuffers holds buffers for responses that arrive in several reads.
var receiveBuffers = sync.Pool{New: func() any { return make([]byte, 0, 4<<10) }}

const maxPooledBufferBytes = 128 << 10

// report returns the connection to the pool and reports the result. It may wait for the exchange.
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

// write writes the rest of the request. The caller holds mu, and the state is polledWriting.
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
			s.unsent, s.sentAny = s.unsent[n:], true
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

// continueWrite writes more of a request. If that fails, the server may have responded before it closed the connection.
// It is called on the poller's goroutine, with mu held.
func (s *polledConn) continueWrite() *endedRequest {
	if err := s.write(); err == nil {
		return nil
	}
	if e := s.read(true); e != nil || s.state == polledReleased {
		return e
	}
	return s.failUnanswered(endedByConnection)
}

// handleConnected handles the result of connecting. The caller holds mu.
func (s *polledConn) handleConnected() *endedRequest {
	switch code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR); {
	case err != nil || code != 0:
		if code != 0 && socket.Exhausted(unix.Errno(code)) {
			return s.failUnanswered(endedByCancel)
		}
		return s.failUnanswered(endedByConnection)
	}
	// Connecting may have taken until the server stopped accepting requests or the deadline passed. Nothing was sent
	// yet.
	if s.current.obsolete() {
		return s.end(core.Result{Outcome: balance.NotSent}, true)
	}
	return s.send()
}

// handOver hands the connection over to a goroutine, which parses the response again from its first byte. The caller
// holds mu.
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
		_ = c.SetDeadline(a.Deadline) // fails only on a closed connection, and so does the next call
		// Fails only on a closed connection, and so does the next call.
		stop := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		r, reusable := backend.up.receive(a, c)
		backend.up.pool.returnConn(c, stop() && reusable && written)
		backend.up.end(a.Attempt, r)
	})
}

// release stops polling the descriptor and returns it as a connection. The caller holds mu.
func (s *polledConn) release() (net.Conn, error) {
	err := s.backend.poller.Detach(s.fd)
	s.backend.poller.Unregister(s.registration)
	s.state = polledReleased
	return fileConn{os.NewFile(uintptr(s.fd), "server")}, err
}

// detach implements polledSocket.
func (s *polledConn) detach() (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != polledIdle {
		return nil, net.ErrClosed
	}
	return s.release()
}

// fileConn is a socket that the Go runtime polls.
type fileConn struct{ *os.File }

func (fileConn) LocalAddr() net.Addr  { return nil }
func (fileConn) RemoteAddr() net.Addr { return nil }

// cancel ends a request that the exchange cancelled, on the goroutine of the exchange.
func (s *polledConn) cancel(t *polledRequest) {
	s.mu.Lock()
	if s.current != t {
		s.mu.Unlock()
		if a := t.handedOver.Load(); a != nil {
			a.cancel()
		}
		return
	}
	e := s.failUnanswered(endedByCancel)
	s.mu.Unlock()
	s.backend.running.Go(e.report)
}

// handleTimeout handles the time-out of a connection.
func (s *polledConn) handleTimeout() {
	s.mu.Lock()
	s.backend.mu.Lock()
	rearmed := s.timeout.IsSet() // set again since it expired
	s.backend.mu.Unlock()
	var e *endedRequest
	if t := s.current; t != nil && !rearmed {
		pastDeadline := !time.Now().Before(t.deadline)
		switch {
		case s.state == polledConnecting && pastDeadline, s.state == polledWriting && !s.responseStarted():
			e = s.failUnanswered(endedByDeadline)
		case s.state == polledConnecting:
			e = s.failUnanswered(endedByConnection)
		case pastDeadline:
			e = s.failUnanswered(endedByDeadline)
		case len(s.parser.chunks.Body) > 0 || len(s.received) > s.parser.offset && s.parser.head != nil && !s.parser.head.chunked:
			s.handOver(s.received, holdTimeout) // the length is unknown, and the body did not end within holdTimeout
		default: // no byte of the body was received
			s.backend.setTimeout(s, time.Until(t.deadline))
		}
	}
	s.mu.Unlock()
	e.report()
}

// Close implements polledSocket.
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
