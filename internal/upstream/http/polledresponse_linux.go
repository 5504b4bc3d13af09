package http

// This file reads responses on polled connections.

import (
	"bytes"
	"time"

	"golang.org/x/sys/unix"

	"firplank/balance"
	"firplank/internal/httpwire"
)

// read reads the bytes that have arrived. ended is set if the peer may have closed the connection. The caller holds mu.
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
			return nil // a short read emptied the socket buffer; the poller reports new bytes
		}
	}
}

// handleInput handles bytes of the response, or its end. The caller holds mu.
func (s *polledConn) handleInput(b []byte, eof bool, err error) *endedRequest {
	if s.state == polledWriting && !s.acceptsEarlyResponse(b) {
		return s.failUnanswered(endedByConnection)
	}
	if err != nil { // a failed connection doesn't delimit a body
		return s.failUnanswered(endedByConnection)
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

// handleLong hands over a response that exceeds what is buffered or that was buffered for holdTimeout; the attempt fails
// if the response is too long and may not be streamed. It reports whether it did either. headCompleted is set if b
// completed the head.
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
	case bodyBytes > 0 && time.Since(s.headCompletedAt) >= holdTimeout: // the body started late, and buffering would last until the deadline
		s.handOver(b, holdTimeout)
		return nil, true
	}
	return nil, false
}

// handleComplete ends the attempt with a complete response.
func (s *polledConn) handleComplete(b []byte, eof bool) *endedRequest {
	h := s.parser.head
	body, trailing := s.parser.body(b)
	if !h.chunked && len(body) > 0 {
		body = bytes.Clone(body)
	}
	if s.current.attempt == nil {
		return s.end(s.backend.up.probeResult(h, body), !h.willClose && trailing == 0)
	}
	if d := s.backend.up.dialect; d != nil && !d.Matches(s.current.attempt, h.header) { // a response to another request: the next may match
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

// acceptsEarlyResponse reports whether input before the request is written counts as a response: only if a dialect
// evaluates it, and a byte of it is in b or was received before. The caller holds mu.
func (s *polledConn) acceptsEarlyResponse(b []byte) bool {
	return s.backend.up.dialect != nil && s.current.attempt != nil && (len(b) > 0 || s.responseStarted())
}

// responseStarted reports whether a byte of a response was received. The caller holds mu.
func (s *polledConn) responseStarted() bool { return len(s.received) > 0 || s.parser.head != nil }

// streamable reports whether a response may be streamed: a success whose length exceeds what is buffered or is unknown.
func (s *polledConn) streamable(h *responseHead) bool {
	return s.current.attempt != nil && s.current.attempt.Message.AcceptsStream &&
		s.backend.up.streamable(s.current.attempt, h) && !s.parser.headOnly && (h.length < 0 || h.length > httpwire.MaxBufferedBody)
}
