package http

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"firplank/internal/bodypipe"
	"firplank/internal/httpwire"
)

// This file streams request bodies that are forwarded while they are received, and answers that are written while they are produced.

const (
	// A client has bodyStartGrace to start its body, and must send minBodyBytesPerSecond on average from then on.
	bodyStartGrace        = time.Second
	minBodyBytesPerSecond = 56 << 10
)

var errClosed = errors.New("the client's connection is closed")

// setTimeout sets the connection's time-out without changing its queue.
func (c *pollConn) setTimeout(d time.Duration) {
	f := c.front
	f.mu.Lock()
	f.setTimeoutAt(c, f.now()+d)
	f.mu.Unlock()
}

// bodyTimeLeft returns how long the client still has for the next bytes of a body.
func (c *pollConn) bodyTimeLeft() time.Duration {
	due := c.bodyStart + bodyStartGrace + time.Duration(float64(c.bodyReceived)/minBodyBytesPerSecond*float64(time.Second))
	return due - c.front.now()
}

// isStreamed reports whether the request's body is too long to be buffered.
func (c *pollConn) isStreamed() bool {
	return c.head != nil && (c.head.length > httpwire.MaxBufferedBody && c.chunks == nil ||
		c.chunks != nil && c.head.length < 0 && len(c.chunks.Body) > httpwire.MaxBufferedBody)
}

// startStreamedCall returns the call for a request whose body is streamed, nil if it has been answered. The caller holds mu.
func (c *pollConn) startStreamedCall() *pollCall {
	h, rest := c.head, c.buf[c.headEnd:]
	pipe := bodypipe.New(h.length)
	call := c.startCall(nil, pipe)
	if call == nil { // it has been answered
		return nil
	}
	c.upload, c.uploadLeft, c.blockedSince = pipe, h.length, 0
	c.closeAfter, c.mustLinger = h.closeAfter, false
	if c.chunks != nil {
		c.uploadLeft = -1
		_ = pipe.Append(c.chunks.Body) // fails if the request has been answered already
		c.chunks.Body = nil
		c.buf = append([]byte(nil), rest...) // what the chunk reader has not consumed yet
		c.headEnd = 0
	} else {
		c.uploadLeft -= int64(len(rest))
		_ = pipe.Append(rest) // fails if the request has been answered already
		c.reset()
	}
	f := c.front
	f.mu.Lock()
	f.moveTo(c, nil, max(wheelTick, c.bodyTimeLeft()))
	f.mu.Unlock()
	return call
}

// readUpload reads more of a body, on the poller's goroutine. It reports whether to continue: not if nothing is received, or the pipe
// is full. The caller holds mu, and upload is set.
func (c *pollConn) readUpload() bool {
	f := c.front
	room := c.upload.Space()
	if room <= 0 {
		if c.upload.OnSpace(c.resumeUpload) {
			c.blockedSince = f.now()
			return false
		}
		if room = c.upload.Space(); room <= 0 { // the reader has closed: the bytes are dropped
			room = len(f.readBuffer)
		}
	}
	c.endBlock()
	room = min(room, len(f.readBuffer))
	if c.uploadLeft >= 0 {
		room = int(min(int64(room), c.uploadLeft))
	}
	n, err := unix.Read(c.fd, f.readBuffer[:room])
	switch {
	case errors.Is(err, unix.EINTR):
		return true
	case errors.Is(err, unix.EAGAIN):
		return false
	case err != nil || n == 0:
		c.upload.CloseWrite(io.ErrUnexpectedEOF)
		c.upload, c.readClosed = nil, true
		return true
	}
	c.bodyReceived += int64(n)
	done, err := c.forwardUpload(f.readBuffer[:n])
	if err != nil { // malformed body: the start of a next request is unknown
		c.upload.CloseWrite(err)
		c.upload, c.closeAfter, c.mustLinger, c.readClosed = nil, true, true, true
		return true
	}
	if done {
		c.upload.CloseWrite(nil)
		c.upload = nil
		c.reset()
		f.mu.Lock()
		f.moveTo(c, nil, 0)
		f.mu.Unlock()
	}
	return true
}

// forwardUpload appends bytes of a body to its pipe, and reports whether those were the last. The caller holds mu.
func (c *pollConn) forwardUpload(b []byte) (done bool, err error) {
	if c.uploadLeft >= 0 {
		c.uploadLeft -= int64(len(b))
		_ = c.upload.Append(b) // fails if the request has been answered already
		return c.uploadLeft == 0, nil
	}
	c.buf = append(c.buf, b...)
	taken, done, err := c.chunks.Next(c.buf)
	c.buf = c.buf[:copy(c.buf, c.buf[taken:])]
	if len(c.chunks.Body) > 0 {
		_ = c.upload.Append(c.chunks.Body) // fails if the request has been answered already
		c.chunks.Body = c.chunks.Body[:0]
	}
	return done, err
}

// resumeUpload continues to receive a body after its pipe has space again. It may be called on any goroutine.
func (c *pollConn) resumeUpload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != pollClosed {
		c.endBlock() // here, as the client may send nothing more
		c.rearmLocked()
	}
}

// endBlock notes that the pipe of the body has space. The client's time did not run while it had none. The caller holds mu.
func (c *pollConn) endBlock() {
	if c.blockedSince != 0 {
		c.bodyStart += c.front.now() - c.blockedSince
		c.blockedSince = 0
	}
}

// rearmLocked makes the kernel report the connection's pending events again. The caller holds mu.
func (c *pollConn) rearmLocked() {
	_ = c.front.poller.Rearm(c.fd, c.registration) // fails only on a closed descriptor, and the connection's is open
}

// onUploadTimeout handles the time-out of a streamed request body. The caller holds mu.
func (c *pollConn) onUploadTimeout() {
	left := c.bodyTimeLeft()
	if c.blockedSince != 0 {
		left = bodyStartGrace
	}
	if left > 0 {
		c.setTimeout(left)
		return
	}
	c.upload.CloseWrite(errBodyTimeout)
	c.upload, c.call = nil, nil
	c.rejectUpload()
}

// rejectUpload answers a request whose body stopped coming after the request was submitted. In the platform of package settings no server
// starts it before its last byte, so that it is answered like one that was not submitted. The caller holds mu.
func (c *pollConn) rejectUpload() {
	d := c.front.cfg.Dialect
	if d == nil {
		c.reject(errBodyTimeout)
		return
	}
	c.closeAfter, c.mustLinger = true, true
	c.sendAnswer(d.UploadErrorAnswer(errBodyTimeout.text))
}

// errBodyTimeout reports that a request's body does not come in time.
var errBodyTimeout = &badRequest{http.StatusRequestTimeout, "the body does not come"}

// resumeDownload continues to write a streamed answer after its pipe has received more. It may be called on any goroutine.
func (c *pollConn) resumeDownload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == pollWriting && c.download != nil && len(c.out) == 0 {
		c.flush()
	}
}

// fillOut reads more of a streamed answer from its pipe, and reports whether there is something to write or the answer is complete.
// The caller holds mu, and out is empty.
func (c *pollConn) fillOut() bool {
	const room = 8 // for the size of a chunk
	buf := append(outBuffers.Get().([]byte)[:0], make([]byte, room)...)
	buf, err := c.download.TakeAppend(buf, copyBufferBytes)
	n := len(buf) - room
	out := buf[room:]
	if c.chunked && n > 0 {
		size := append(strconv.AppendInt(make([]byte, 0, room), int64(n), 16), "\r\n"...)
		copy(buf[room-len(size):], size)
		out = append(buf[room-len(size):], "\r\n"...)
	}
	switch {
	case errors.Is(err, io.EOF):
		if c.chunked {
			out = append(out, "0\r\n\r\n"...)
		}
		c.download = nil
		c.setTimeout(streamTimeout)
	case err != nil: // aborted so that the client detects it
		if n > 0 {
			_, _ = unix.Write(c.fd, out) // as far as it is accepted; the connection is aborted next
		}
		//lint:ignore SA6002 the header that is allocated here is small beside the buffer that is saved
		outBuffers.Put(buf[:0])
		c.logTruncated("streamed answer truncated", err)
		c.abort()
		return false
	case n == 0:
		//lint:ignore SA6002 the header that is allocated here is small beside the buffer that is saved
		outBuffers.Put(buf[:0])
		f := c.front
		f.mu.Lock()
		f.wheel.Clear(&c.timeout) // waits for the server
		f.mu.Unlock()
		return false
	}
	c.out = out
	return true
}

// abort closes the connection so that its client can detect a truncated answer. One that ends with the connection would look
// complete after an ordinary close, so that connection is reset. The caller holds mu.
func (c *pollConn) abort() {
	if c.state != pollClosed && !c.chunked && c.http10 {
		// The connection works without the option.
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.close()
}
