package http

// This file writes answers to polled connections.

import (
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/sys/unix"

	"firplank/internal/core"
)

// writeAnswer writes the final answer of a call. It is called on the exchange's goroutine.
func (c *pollConn) writeAnswer(call *pollCall, a *core.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call != call { // the connection is closed
		if a.Stream != nil {
			a.Stream.CloseRead(errClosed)
		}
		return
	}
	c.call, c.safe = nil, call.Message.Safe
	if c.upload != nil { // the rest of the request is dropped
		c.upload = nil
		c.closeAfter, c.mustLinger, c.answeredEarly = true, true, true
	} else {
		c.mustLinger = false
	}
	// Decided with the answer, not with the request: many requests may be open when a drain starts.
	c.closeAfter = c.closeAfter || a.Reason == core.DuplicateName || c.front.closesAfterAnswer() || c.inputPending ||
		c.readClosed || c.front.tooManyIdle()
	c.sendAnswer(a)
}

// sendAnswer writes an answer with its status. The caller holds mu.
func (c *pollConn) sendAnswer(a *core.Answer) { c.send(statusOf(a), a) }

// send starts writing an answer; what the socket does not accept is written later. The caller holds mu.
func (c *pollConn) send(status int, a *core.Answer) {
	c.chunked = false
	if c.download = a.Stream; c.download != nil {
		c.chunked = c.download.Length() < 0 && !c.http10
		c.closeAfter = c.closeAfter || c.download.Length() < 0 && c.http10
		c.download.OnData(c.resumeDownload)
	}
	c.out = c.front.appendResponse(outBuffers.Get().([]byte)[:0], status, a, c.closeAfter, c.chunked)
	c.state = pollWriting
	c.reset()
	f := c.front
	f.mu.Lock()
	f.moveTo(c, nil, writeTimeout)
	f.mu.Unlock()
	c.flush()
}

// readBuffers hold a request from its first byte until it is submitted.
var readBuffers = sync.Pool{New: func() any { return make([]byte, 0, 2<<10) }}

// outBuffers hold answers until they are written.
var outBuffers = sync.Pool{New: func() any { return make([]byte, 0, 4<<10) }}

// maxPooledBytes bounds the size of buffers that return to a pool.
const maxPooledBytes = 128 << 10

// flush writes until the answer is complete, the socket is full, or the stream has no bytes. The caller holds mu, and the state is
// pollWriting.
func (c *pollConn) flush() {
	for c.writeOut() {
		if c.download == nil {
			c.onAnswerWritten()
			return
		}
		if !c.fillOut() {
			return
		}
	}
}

// writeOut writes c.out, and reports whether all of it was written. The caller holds mu.
func (c *pollConn) writeOut() bool {
	whole := c.out
	for len(c.out) > 0 {
		n, err := unix.Write(c.fd, c.out)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			if &whole[0] != &c.out[0] { // the rest moves to the front, or the buffer would be lost to the pool
				c.out = whole[:copy(whole, c.out)]
			}
			if c.download != nil { // the client has to read
				c.setTimeout(streamTimeout)
			}
			return false
		case err != nil:
			c.logTruncated("client disconnected before the end of its answer", err)
			c.close()
			return false
		default:
			c.out = c.out[n:]
		}
	}
	if whole != nil && cap(whole) <= maxPooledBytes {
		//lint:ignore SA6002 the header that is allocated here is small beside the buffer that is saved
		outBuffers.Put(whole[:0])
	}
	c.out = nil
	return true
}

// onAnswerWritten waits for the next request, or closes the connection. The caller holds mu.
func (c *pollConn) onAnswerWritten() {
	f := c.front
	if !c.closeAfter {
		c.state = pollReading
		f.mu.Lock()
		f.moveTo(c, &f.idle, f.cfg.idleTimeout())
		f.mu.Unlock()
		if c.inputPending { // received while the answer was written, and reported by the kernel only once
			c.inputPending = false
			c.rearmLocked()
		}
		return
	}
	if c.readClosed || !c.mustLinger && !c.inputPending { // nothing is unread: the close does not reset the connection
		c.close()
		return
	}
	_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails only if the client has closed already
	c.state = pollLingering
	f.mu.Lock()
	timeout := lingerTimeout
	if c.answeredEarly { // the client reads once it has sent its request; what has arrived was reported already
		c.inputPending = true
		timeout = longLingerTimeout
	}
	f.moveTo(c, &f.lingering, timeout)
	f.mu.Unlock()
	if c.inputPending { // the kernel does not report these bytes again, and a close with unread bytes resets the connection
		c.discardInput()
	}
}

// discardInput drops received bytes, up to a bound; the kernel reports those that arrive later.
func (c *pollConn) discardInput() {
	var b [4 << 10]byte
	for range 32 {
		if n, err := unix.Read(c.fd, b[:]); n <= 0 && err != unix.EINTR {
			return
		}
	}
}

// appendResponse appends an encoded answer.
func (f *PollFront) appendResponse(dst []byte, status int, a *core.Answer, closeAfter, chunked bool) []byte {
	dst = append(append(dst, "HTTP/1.1 "...), strconv.Itoa(status)...)
	dst = append(append(append(dst, ' '), http.StatusText(status)...), "\r\nDate: "...)
	dst = append(append(dst, f.dateValue()...), "\r\n"...)
	body := a.Body
	switch {
	case a.Kind != core.Served && a.Status == 0:
		dst = append(dst, "Content-Type: text/plain; charset=utf-8\r\n"...)
		body = append([]byte(a.Text), '\n')
		if a.RetryAfter > 0 {
			dst = append(dst, "Retry-After: "...)
			dst = append(strconv.AppendFloat(dst, a.RetryAfter.Seconds(), 'f', 3, 64), "\r\n"...)
		}
	case a.Meta == nil && a.ContentType != "":
		dst = append(append(append(dst, "Content-Type: "...), a.ContentType...), "\r\n"...)
	default:
		for name, values := range a.Meta {
			if name == "Content-Length" || name == "Date" {
				continue
			}
			for _, v := range values {
				dst = append(append(append(append(dst, name...), ": "...), v...), "\r\n"...)
			}
		}
	}
	if closeAfter {
		dst = append(dst, "Connection: close\r\n"...)
	}
	switch {
	case chunked:
		return append(dst, "Transfer-Encoding: chunked\r\n\r\n"...)
	case a.Stream != nil && a.Stream.Length() < 0:
		return append(dst, "\r\n"...) // the body ends with the connection
	case a.Stream != nil:
		dst = append(dst, "Content-Length: "...)
		return append(strconv.AppendInt(dst, a.Stream.Length(), 10), "\r\n\r\n"...)
	}
	dst = append(dst, "Content-Length: "...)
	dst = append(strconv.AppendInt(dst, int64(len(body)), 10), "\r\n\r\n"...)
	return append(dst, body...)
}
