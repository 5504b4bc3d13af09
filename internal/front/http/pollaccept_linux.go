package http

// This file turns the request that a polled connection has read into a call.

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"firplank/internal/bodypipe"
	"firplank/internal/core"
	"firplank/internal/httpwire"
	"firplank/overload"
)

// startCall returns the call for the request, with its body or the stream of it. It returns nil if it has answered the request. The
// caller holds mu.
func (c *pollConn) startCall(body []byte, stream *bodypipe.Pipe) *pollCall {
	h, f := c.head, c.front
	// An answer before the end of a streamed body closes the connection.
	c.closeAfter, c.http10, c.mustLinger = h.closeAfter || stream != nil, h.http10, stream != nil
	if c.answerLocally(h) {
		return nil
	}
	class := -1
	if f.cfg.Dialect == nil {
		class = f.cfg.classOf(h.header)
	}
	if ok, holdOff := f.cfg.Shedder.Admit(class); !ok {
		if f.cfg.Dialect == nil {
			f.cfg.countRejected(class, h.header)
		}
		c.closeAfter = c.closeAfter || f.closesAfterAnswer()
		c.sendAnswer(core.Refusal(holdOff.Truncate(time.Millisecond)))
		return nil
	}
	call := &pollCall{conn: c}
	call.Client = call
	call.Message.Stream = stream
	// The body is copied, as the buffer is reused before the call ends.
	direct, err := f.cfg.fillCall(&call.Call, h, append([]byte(nil), body...))
	if err != nil || direct != nil {
		f.cfg.Shedder.RequestEnded(class, 0, overload.Inconclusive)
	}
	if err != nil {
		c.reject(err)
		return nil
	}
	if direct != nil {
		c.closeAfter = c.closeAfter || f.closesAfterAnswer()
		c.sendAnswer(direct)
		return nil
	}
	c.call, c.state = call, pollInFlight
	if stream != nil {
		return call // startStreamedCall continues
	}
	c.reset()
	f.mu.Lock()
	f.moveTo(c, nil, 0)
	f.mu.Unlock()
	return call
}

// answerLocally answers a request that is not forwarded, for readiness or for an unknown path, and reports whether it did. The caller
// holds mu.
func (c *pollConn) answerLocally(h *head) bool {
	f := c.front
	switch {
	case f.cfg.Dialect != nil, h.path == "/api", strings.HasPrefix(h.path, "/api/"):
		return false
	case h.path == "/up" && h.method == http.MethodGet:
		c.closeAfter = c.closeAfter || f.closesAfterAnswer()
		if !f.isReady() || !f.exchange.Ready() {
			c.sendText(http.StatusServiceUnavailable, "not ready\n")
		} else {
			c.sendText(http.StatusOK, "ready\n")
		}
	default:
		c.reject(&badRequest{http.StatusNotFound, "no such path"})
	}
	return true
}

// reset releases the buffer and the parser's state of the request.
func (c *pollConn) reset() {
	if c.buf != nil && cap(c.buf) <= maxPooledBytes {
		//lint:ignore SA6002 the header that is allocated here is small beside the buffer that is saved
		readBuffers.Put(c.buf[:0])
	}
	c.requestStarted, c.buf, c.scan, c.head, c.headEnd, c.chunks = false, nil, headScanner{}, nil, 0, nil
}

// reject answers a bad request and closes its connection, on which the next request's start is unknown. The caller holds mu.
func (c *pollConn) reject(err error) {
	status := http.StatusBadRequest
	var bad *badRequest
	switch {
	case errors.As(err, &bad):
		status = bad.status
	case errors.Is(err, httpwire.ErrBodyTooLong):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, httpwire.ErrTrailersTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	c.closeAfter, c.mustLinger = true, true
	if d := c.front.cfg.Dialect; d != nil {
		c.sendAnswer(d.ErrorAnswer(status, err.Error()))
		return
	}
	c.sendText(status, err.Error()+"\n")
}

// sendText answers with a text. The caller holds mu.
func (c *pollConn) sendText(status int, text string) {
	c.send(status, &core.Answer{Meta: map[string][]string{"Content-Type": {"text/plain; charset=utf-8"}}, Body: []byte(text)})
}
