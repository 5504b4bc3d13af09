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
func (s *polledConn) read(ended bool) *ending {
	scratch := s.backend.scratch
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
		if s.state == polledGone || n < len(scratch) && !ended {
			return nil // a short read has emptied it, and the kernel reports what comes next
		}
	}
}

// take takes in bytes of the answer, or its end. The caller holds mu.
func (s *polledConn) take(b []byte, eof bool, err error) *ending {
	if s.state == polledWriting && !s.provesEarly(b) {
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
// while it comes fails. It reports whether it did either. first: the head of the answer has only arrived now.
func (s *polledConn) takeLong(b []byte, first, whole bool) (e *ending, over bool) {
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
		s.backend.setTimeout(s, min(heldBack, time.Until(s.current.cut)))
	case got > 0 && time.Since(s.headAt) >= heldBack: // its first bytes came late: held, it would be cut off at its time
		s.handOver(b, heldBack)
		return nil, true
	}
	return nil, false
}

// takeWhole ends the attempt with an answer that has come to its end.
func (s *polledConn) takeWhole(b []byte, eof bool) *ending {
	h := s.ans.head
	body, rest := s.ans.body(b)
	if !h.chunked && len(body) > 0 {
		body = bytes.Clone(body)
	}
	if s.current.attempt == nil {
		return s.end(s.backend.up.probed(h, body), !h.last && rest == 0)
	}
	if d := s.backend.up.dialect; d != nil && !d.Ours(s.current.attempt, h.header) { // a surplus one: the next may be ours
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
	r, reusable := s.backend.up.answered(s.current.attempt, s.conn, h, body, rest)
	return s.end(r, reusable && !eof && s.state != polledWriting)
}

// provesEarly reports whether what comes before the request is written proves anything: an answer that a dialect judges, of which b are the
// next bytes or its end. Else the server has not begun. The caller holds mu.
func (s *polledConn) provesEarly(b []byte) bool {
	return s.backend.up.dialect != nil && s.current.attempt != nil && (len(b) > 0 || s.answered())
}

// answered reports whether a byte of an answer has come. The caller holds mu.
func (s *polledConn) answered() bool { return len(s.in) > 0 || s.ans.head != nil }

// passes reports whether an answer may be passed on while it comes: it is a good one that is long, or may be.
func (s *polledConn) passes(h *answerHead) bool {
	return s.current.attempt != nil && s.current.attempt.Message.AcceptsStream && s.backend.up.passes(s.current.attempt, h) && !s.ans.short &&
		(h.length < 0 || h.length > httpwire.MaxBufferedBody)
}
