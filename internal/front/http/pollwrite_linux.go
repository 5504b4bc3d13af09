package http

// This file writes an answer to a polled connection.

import (
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/sys/unix"

	"firplank/internal/core"
)

// answer writes the final answer of a call, from the exchange's goroutine.
func (c *pollConn) writeAnswer(call *pollCall, a *core.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call != call { // its connection is closed
		if a.Stream != nil {
			a.Stream.CloseRead(errClosed)
		}
		return
	}
	c.call, c.safe = nil, call.Message.Safe
	if c.upload != nil { // the rest of the request is of no use
		c.upload = nil
		c.closeAfter, c.mustLinger, c.answeredEarly = true, true, true
	} else {
		c.mustLinger = false
	}
	// Decided when the answer is there, not when the request came: many wait when the end comes.
	c.closeAfter = c.closeAfter || a.Reason == core.DuplicateName || c.front.closesAfterAnswer() || c.inputPending || c.readClosed || c.front.tooManyIdle()
	c.sendAnswer(a)
}

// reply writes an answer of the exchange's. The caller holds mu.
func (c *pollConn) sendAnswer(a *core.Answer) { c.send(statusOf(a), a) }

// send writes an answer, as much of it as there is room for. The caller holds mu.
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

// readBuffers hold a request from its first byte until it is handed over.
var readBuffers = sync.Pool{New: func() any { return make([]byte, 0, 2<<10) }}

// outBuffers hold answers from when they are made until they are written, most of them in one step.
var outBuffers = sync.Pool{New: func() any { return make([]byte, 0, 4<<10) }}

// mostKept is the size up to which a buffer goes back.
const maxPooledBytes = 128 << 10

// flush writes what waits. The caller holds mu, and the state is pollWriting.
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

// flushOut writes out, and reports whether all of it has gone. The caller holds mu.
func (c *pollConn) writeOut() bool {
	whole := c.out
	for len(c.out) > 0 {
		n, err := unix.Write(c.fd, c.out)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			if &whole[0] != &c.out[0] { // what is left moves to the front, or the buffer would be lost to the pool
				c.out = whole[:copy(whole, c.out)]
			}
			if c.download != nil { // it is the client's turn
				c.setTimeout(streamTimeout)
			}
			return false
		case err != nil:
			c.logTruncated("a client has left its answer", err)
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

// written goes on after an answer: to the next request, or to the end. The caller holds mu.
func (c *pollConn) onAnswerWritten() {
	f := c.front
	if !c.closeAfter {
		c.state = pollReading
		f.mu.Lock()
		f.moveTo(c, &f.idle, f.cfg.idleTimeout())
		f.mu.Unlock()
		if c.inputPending { // it came while the answer was written, and the kernel tells of it once
			c.inputPending = false
			c.rearmLocked()
		}
		return
	}
	if c.readClosed || !c.mustLinger && !c.inputPending { // nothing is unread, so that the answer goes ahead of the end
		c.close()
		return
	}
	_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails only where the client has closed already
	c.state = pollLingering
	f.mu.Lock()
	timeout := lingerTimeout
	if c.answeredEarly { // it reads when it has said all; of what has come the kernel has told already
		c.inputPending = true
		timeout = longLingerTimeout
	}
	f.moveTo(c, &f.lingering, timeout)
	f.mu.Unlock()
	if c.inputPending { // of that the kernel has told already, and closed with bytes unread it would destroy the answer
		c.discardInput()
	}
}

// drain drops what has come, but no more than a little: whoever sends on is heard of again.
func (c *pollConn) discardInput() {
	var b [4 << 10]byte
	for range 32 {
		if n, err := unix.Read(c.fd, b[:]); n <= 0 && err != unix.EINTR {
			return
		}
	}
}

// render makes an answer's bytes.
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
		return append(dst, "\r\n"...) // it ends with the connection
	case a.Stream != nil:
		dst = append(dst, "Content-Length: "...)
		return append(strconv.AppendInt(dst, a.Stream.Length(), 10), "\r\n\r\n"...)
	}
	dst = append(dst, "Content-Length: "...)
	dst = append(strconv.AppendInt(dst, int64(len(body)), 10), "\r\n\r\n"...)
	return append(dst, body...)
}
