package http

// This file reads answers on polled connections.

import (
	"bytes"
	"time"

	"golang.org/x/sys/unix"

	"firplank/balance"
	"firplank/internal/httpwire"
)

// read reads what has arrived. ended: the connection's end may be behind it. The caller holds mu.
func (s *polledConn) read(ended bool) *endedRequest {
	scratch := s.backend.readBuffer
	for {
		n, err := unix.Read(s.fd, scratch)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return nil
		case err != nil, n == 0:
			return s.handleInput(nil, true, err)
		}
		if e := s.handleInput(scratch[:n], false, nil); e != nil {
			return e
		}
		if s.state == polledReleased || n < len(scratch) && !ended {
			return nil // a short read has emptied it, and the kernel reports what comes next
		}
	}
}

// take takes in bytes of the answer, or its end. The caller holds mu.
func (s *polledConn) handleInput(b []byte, eof bool, err error) *endedRequest {
	if s.state == polledWriting && !s.acceptsEarlyResponse(b) {
		return s.fail(balance.ConnectFailed)
	}
	if err != nil { // what broke off has no end that could be one
		return s.fail(balance.Reset)
	}
	if s.received != nil {
		s.received = append(s.received, b...)
		b = s.received
	}
	headPending := s.parser.head == nil
	complete, err := s.parser.parse(b, eof)
	if err != nil {
		return s.fail(balance.Reset)
	}
	if s.parser.head != nil {
		if e, over := s.handleLong(b, headPending, complete); over {
			return e
		}
	}
	if !complete {
		if s.received == nil {
			s.received = append(receiveBuffers.Get().([]byte)[:0], b...)
		}
		return nil
	}
	return s.handleComplete(b, eof)
}

// takeLong hands an answer over that is too long to be held, or has been held for long enough; one that may not be passed on
// while it comes fails. It reports whether it did either. first: the head of the answer has only arrived now.
func (s *polledConn) handleLong(b []byte, headCompleted, complete bool) (e *endedRequest, handled bool) {
	h := s.parser.head
	bodyBytes := len(b) - s.parser.offset
	if h.chunked {
		bodyBytes = len(s.parser.chunks.Body)
	}
	tooLong := h.length > httpwire.MaxBufferedBody || h.length < 0 && bodyBytes > httpwire.MaxBufferedBody ||
		!complete && len(b) > maxResponseHeadBytes+maxFramingFactor*httpwire.MaxBufferedBody
	switch {
	case tooLong && s.streamable(h):
		s.handOver(b, 0)
		return nil, true
	case tooLong:
		return s.fail(balance.Reset), true
	case complete || h.length >= 0 || !s.streamable(h):
	case headCompleted:
		s.headCompletedAt = time.Now()
		s.backend.setTimeout(s, min(holdTimeout, time.Until(s.current.deadline)))
	case bodyBytes > 0 && time.Since(s.headCompletedAt) >= holdTimeout: // its first bytes came late: held, it would be cut off at its time
		s.handOver(b, holdTimeout)
		return nil, true
	}
	return nil, false
}

// takeWhole ends the attempt with an answer that has come to its end.
func (s *polledConn) handleComplete(b []byte, eof bool) *endedRequest {
	h := s.parser.head
	body, trailing := s.parser.body(b)
	if !h.chunked && len(body) > 0 {
		body = bytes.Clone(body)
	}
	if s.current.attempt == nil {
		return s.end(s.backend.up.probeResult(h, body), !h.willClose && trailing == 0)
	}
	if d := s.backend.up.dialect; d != nil && !d.Matches(s.current.attempt, h.header) { // a surplus one: the next may be ours
		unread, usable := s.parser.discard(b, eof)
		if !usable {
			return s.fail(balance.Reset)
		}
		unread = bytes.Clone(unread)
		s.received, s.parser = nil, responseParser{}
		if len(unread) > 0 {
			return s.handleInput(unread, false, nil)
		}
		return nil
	}
	r, reusable := s.backend.up.result(s.current.attempt, s.conn, h, body, trailing)
	return s.end(r, reusable && !eof && s.state != polledWriting)
}

// provesEarly reports whether what comes before the request is written proves anything: an answer that a dialect judges, of which b are the
// next bytes or its end. Else the server has not begun. The caller holds mu.
func (s *polledConn) acceptsEarlyResponse(b []byte) bool {
	return s.backend.up.dialect != nil && s.current.attempt != nil && (len(b) > 0 || s.responseStarted())
}

// answered reports whether a byte of an answer has come. The caller holds mu.
func (s *polledConn) responseStarted() bool { return len(s.received) > 0 || s.parser.head != nil }

// passes reports whether an answer may be passed on while it comes: it is a good one that is long, or may be.
func (s *polledConn) streamable(h *responseHead) bool {
	return s.current.attempt != nil && s.current.attempt.Message.AcceptsStream &&
		s.backend.up.streamable(s.current.attempt, h) && !s.parser.headOnly && (h.length < 0 || h.length > httpwire.MaxBufferedBody)
}
