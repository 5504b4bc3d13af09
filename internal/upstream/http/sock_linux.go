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
	"firplank/internal/httpwire"
	"firplank/internal/poller"
	"firplank/internal/socket"
	"firplank/internal/timerwheel"
)

// sockState is what a connection is doing.
type sockState uint8

const (
	sockIdle       sockState = iota // in the pool, or on its way there
	sockConnecting                  // the request waits for the connection
	sockWriting                     // ... for room
	sockWaiting                     // for the answer
	sockGone                        // closed, or a goroutine's
)

// sock is a connection to a server that is polled. Its lock guards what follows it.
type sock struct {
	back  *PollBack
	conn  *conn
	place poller.Registration

	mu    sync.Mutex
	fd    int
	state sockState
	try   *try   // nil while it is idle
	out   []byte // of the request, what is not written
	in    []byte // of the answer, what has come in pieces
	ans   incoming
	// headAt is when the head was whole of an answer that may pass through.
	headAt time.Time

	timeout timerwheel.Timer[*sock] // guarded by back.mu
}

// peek implements polled.
func (s *sock) peek() socket.PeekState { return socket.PeekFD(s.fd) }

// begin writes a request to a connection that was idle.
func (s *sock) begin(t *try) {
	s.mu.Lock()
	if s.state != sockIdle { // closed at the end of all
		s.mu.Unlock()
		s.back.settle(t, balance.NotSent)
		return
	}
	s.try, t.sock = t, s
	e := s.send()
	s.mu.Unlock()
	if e != nil {
		s.back.running.Go(e.do)
	}
}

// send writes the try's request. The caller holds mu.
func (s *sock) send() *ending {
	request, err := s.try.encode(s.back)
	if err != nil {
		return s.failed(balance.NotSent)
	}
	s.state, s.out = sockWriting, request
	s.back.setTimeout(s, time.Until(s.try.cut))
	if err := s.write(); err != nil { // its last byte never went out, and nothing was read meanwhile
		return s.failed(balance.ConnectFailed)
	}
	return nil
}

// ending is how a try ended, which is told when no lock is held.
type ending struct {
	sock     *sock
	try      *try
	result   core.Result
	reusable bool
}

// end takes the try off the connection. The caller holds mu.
func (s *sock) end(r core.Result, reusable bool) *ending {
	e := &ending{s, s.try, r, reusable}
	s.back.clearTimeout(s)
	s.try, s.out, s.ans = nil, nil, incoming{}
	if s.state != sockGone {
		s.state = sockIdle
	}
	if s.in != nil {
		if cap(s.in) <= mostKept {
			//lint:ignore SA6002 the header that is allocated here is small beside the buffer that is saved
			inBuffers.Put(s.in[:0])
		}
		s.in = nil
	}
	return e
}

// inBuffers hold answers that come in more than one piece.
var inBuffers = sync.Pool{New: func() any { return make([]byte, 0, 4<<10) }}

const mostKept = 128 << 10

// do tells of it; it may wait for the exchange.
func (e *ending) do() {
	if e == nil {
		return
	}
	e.sock.back.up.pool.giveBack(e.sock.conn, e.reusable)
	if e.try.attempt == nil && e.result.Outcome == balance.NotSent {
		e.result.Outcome = balance.ConnectFailed
	}
	e.try.end(e.result)
}

func (s *sock) failed(outcome balance.Result) *ending {
	return s.end(core.Result{Outcome: outcome}, false)
}

// write writes what is left of the request. The caller holds mu, and the state is sockWriting.
func (s *sock) write() error {
	for len(s.out) > 0 {
		n, err := unix.Write(s.fd, s.out)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return nil
		case err != nil:
			return err
		default:
			s.out = s.out[n:]
		}
	}
	s.out, s.state = nil, sockWaiting
	if s.try.attempt != nil {
		s.try.attempt.Written()
	}
	return nil
}

// Ready implements poller.Handler.
func (s *sock) Ready(events uint32) {
	var e *ending
	s.mu.Lock()
	if s.state == sockConnecting && events&poller.Writable != 0 {
		e = s.connected()
	}
	if e == nil && s.state == sockWriting && events&poller.Writable != 0 {
		e = s.writeOn()
	}
	if e == nil && (s.state == sockWriting || s.state == sockWaiting) && events&poller.Readable != 0 {
		e = s.read(events&poller.PeerClosed != 0)
	}
	idle := s.state == sockIdle && e == nil
	s.mu.Unlock()
	e.do()
	if idle && events&poller.Readable != 0 {
		s.back.up.pool.stir(s.conn)
	}
}

// writeOn writes more of a request. Where that fails the server may have answered before it has closed the connection. The caller holds mu,
// on the poller's goroutine.
func (s *sock) writeOn() *ending {
	if err := s.write(); err == nil {
		return nil
	}
	if e := s.read(true); e != nil || s.state == sockGone {
		return e
	}
	return s.failed(balance.ConnectFailed)
}

// connected goes on when the connection has come up, or has not. The caller holds mu.
func (s *sock) connected() *ending {
	switch code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR); {
	case err != nil || code != 0:
		if code != 0 && socket.Exhausted(unix.Errno(code)) {
			return s.failed(balance.NotSent)
		}
		return s.failed(balance.ConnectFailed)
	}
	// It can outlast the news that the server drains, or the request itself. Nothing was sent yet.
	if s.try.over() {
		return s.end(core.Result{Outcome: balance.NotSent}, true)
	}
	return s.send()
}

// read takes in what has come. ended says that the connection's end may be behind it. The caller holds mu.
func (s *sock) read(ended bool) *ending {
	scratch := s.back.scratch
	for {
		n, err := unix.Read(s.fd, scratch)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return nil
		case err != nil, n == 0:
			return s.take(nil, true, err)
		}
		if e := s.take(scratch[:n], false, nil); e != nil {
			return e
		}
		if s.state == sockGone || n < len(scratch) && !ended {
			return nil // a short read has emptied it, and the kernel tells of what comes next
		}
	}
}

// take takes in bytes of the answer, or its end. The caller holds mu.
func (s *sock) take(b []byte, eof bool, err error) *ending {
	if s.state == sockWriting && !s.provesEarly(b) {
		return s.failed(balance.ConnectFailed)
	}
	if err != nil { // what broke off has no end that could be one
		return s.failed(balance.Reset)
	}
	if s.in != nil {
		s.in = append(s.in, b...)
		b = s.in
	}
	first := s.ans.head == nil
	whole, err := s.ans.next(b, eof)
	if err != nil {
		return s.failed(balance.Reset)
	}
	if s.ans.head != nil {
		if e, over := s.takeLong(b, first, whole); over {
			return e
		}
	}
	if !whole {
		if s.in == nil {
			s.in = append(inBuffers.Get().([]byte)[:0], b...)
		}
		return nil
	}
	return s.takeWhole(b, eof)
}

// takeLong hands an answer over that is too long to be held, or has been held for long enough; one that may not be passed on
// while it comes fails. It reports whether it did either. first says that the head of the answer has only come now.
func (s *sock) takeLong(b []byte, first, whole bool) (e *ending, over bool) {
	h := s.ans.head
	got := len(b) - s.ans.from
	if h.chunked {
		got = len(s.ans.chunks.Body)
	}
	long := h.length > httpwire.MaxBufferedBody || h.length < 0 && got > httpwire.MaxBufferedBody ||
		!whole && len(b) > maxAnswerHead+maxFraming*httpwire.MaxBufferedBody
	switch {
	case long && s.passes(h):
		s.handOver(b, 0)
		return nil, true
	case long:
		return s.failed(balance.Reset), true
	case whole || h.length >= 0 || !s.passes(h):
	case first:
		s.headAt = time.Now()
		s.back.setTimeout(s, min(heldBack, time.Until(s.try.cut)))
	case got > 0 && time.Since(s.headAt) >= heldBack: // its first bytes came late: held, it would be cut off at its time
		s.handOver(b, heldBack)
		return nil, true
	}
	return nil, false
}

// takeWhole ends the attempt with an answer that has come to its end.
func (s *sock) takeWhole(b []byte, eof bool) *ending {
	h := s.ans.head
	body, rest := s.ans.body(b)
	if !h.chunked && len(body) > 0 {
		body = bytes.Clone(body)
	}
	if s.try.attempt == nil {
		return s.end(s.back.up.probed(h, body), !h.last && rest == 0)
	}
	if d := s.back.up.dialect; d != nil && !d.Ours(s.try.attempt, h.header) { // a surplus one: the next may be ours
		left, more := s.ans.surplus(b, eof)
		if !more {
			return s.failed(balance.Reset)
		}
		left = bytes.Clone(left)
		s.in, s.ans = nil, incoming{}
		if len(left) > 0 {
			return s.take(left, false, nil)
		}
		return nil
	}
	r, reusable := s.back.up.answered(s.try.attempt, s.conn, h, body, rest)
	return s.end(r, reusable && !eof && s.state != sockWriting)
}

// provesEarly reports whether what comes before the request is written proves anything: an answer that a dialect judges, of which b are the
// next bytes or its end. Else the server has not begun. The caller holds mu.
func (s *sock) provesEarly(b []byte) bool {
	return s.back.up.dialect != nil && s.try.attempt != nil && (len(b) > 0 || s.answered())
}

// answered reports whether a byte of an answer has come. The caller holds mu.
func (s *sock) answered() bool { return len(s.in) > 0 || s.ans.head != nil }

// passes reports whether an answer may be passed on while it comes: it is a good one that is long, or may be.
func (s *sock) passes(h *answerHead) bool {
	return s.try.attempt != nil && s.try.attempt.Message.AcceptsStream && s.back.up.passes(s.try.attempt, h) && !s.ans.short &&
		(h.length < 0 || h.length > httpwire.MaxBufferedBody)
}

// handOver gives the connection to a goroutine, which reads the answer once more from its first byte. The caller holds mu.
func (s *sock) handOver(b []byte, heldFor time.Duration) {
	t, c, back := s.try, s.conn, s.back
	a := &attempt{Attempt: t.attempt, heldFor: heldFor}
	a.ctx, a.cancel = context.WithCancel(back.ctx)
	t.taken.Store(a)
	got, written := bytes.Clone(b), s.state != sockWriting
	file, _ := s.release()
	s.end(core.Result{}, false)
	c.Conn, c.polled = file, nil
	c.in = newAnswerReader(io.MultiReader(bytes.NewReader(got), file))
	back.running.Go(func() {
		defer a.cancel()
		_ = c.SetDeadline(a.Deadline) // fails only on a closed connection, as the next call on it does
		// Fails only on a closed connection, as the next call on it does.
		stop := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		r, reusable := back.up.receive(a, c)
		back.up.pool.giveBack(c, stop() && reusable && written)
		back.up.end(a.Attempt, r)
	})
}

// release takes the descriptor from the poller. The caller holds mu.
func (s *sock) release() (net.Conn, error) {
	err := s.back.poller.Detach(s.fd)
	s.back.poller.Unregister(s.place)
	s.state = sockGone
	return fileConn{os.NewFile(uintptr(s.fd), "server")}, err
}

// detach implements polled.
func (s *sock) detach() (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != sockIdle {
		return nil, net.ErrClosed
	}
	return s.release()
}

// fileConn is a socket that Go's own poller waits for.
type fileConn struct{ *os.File }

func (fileConn) LocalAddr() net.Addr  { return nil }
func (fileConn) RemoteAddr() net.Addr { return nil }

// giveUp ends a try that the exchange has given up, on the exchange's goroutine.
func (s *sock) giveUp(t *try) {
	s.mu.Lock()
	if s.try != t {
		s.mu.Unlock()
		if a := t.taken.Load(); a != nil {
			a.cancel()
		}
		return
	}
	outcome := balance.NotSent
	if s.state == sockWaiting || s.answered() {
		outcome = balance.Cancelled
	}
	e := s.failed(outcome)
	s.mu.Unlock()
	s.back.running.Go(e.do)
}

// expired handles the time-out.
func (s *sock) expired() {
	s.mu.Lock()
	s.back.mu.Lock()
	again := s.timeout.IsSet() // it was set anew meanwhile
	s.back.mu.Unlock()
	var e *ending
	if t := s.try; t != nil && !again {
		late := !time.Now().Before(t.cut)
		switch {
		case s.state == sockConnecting && late, s.state == sockWriting && !s.answered():
			e = s.failed(balance.NotSent)
		case s.state == sockConnecting:
			e = s.failed(balance.ConnectFailed)
		case late:
			e = s.failed(balance.TimedOut)
		case len(s.ans.chunks.Body) > 0 || len(s.in) > s.ans.from && s.ans.head != nil && !s.ans.head.chunked:
			s.handOver(s.in, heldBack) // its end was not announced, and has not come soon
		default: // not a byte of it has come
			s.back.setTimeout(s, time.Until(t.cut))
		}
	}
	s.mu.Unlock()
	e.do()
}

// Close implements polled.
func (s *sock) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == sockGone {
		return nil
	}
	s.state, s.try = sockGone, nil
	s.back.clearTimeout(s)
	s.back.poller.Unregister(s.place)
	return unix.Close(s.fd)
}
