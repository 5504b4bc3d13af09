package http

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"firplank/balance"
	"firplank/internal/bodypipe"
	"firplank/internal/core"
	"firplank/internal/httpwire"
	"firplank/internal/socket"
)

// This file streams bodies: of requests that are still being received, and of responses that exceed what is buffered.

const (
	copyBufferBytes = 16 << 10 // bytes per read or write
	// stallTimeout bounds how long a streamed body may make no progress: the server accepts nothing of a request or
	// sends nothing of a response, or the client accepts nothing of a response.
	stallTimeout = 10 * time.Second
	// holdTimeout is how long the first bytes of a response of unknown length are buffered. The response may turn out to
	// be short, and the request can be retried as long as the client has received none of it.
	holdTimeout = 100 * time.Millisecond
	// uploadReadTimeout bounds the wait for the next part of a request body. The front end cancels requests that arrive
	// too slowly.
	uploadReadTimeout = time.Minute
	// earlyResponseInterval is how long a request body may make no progress before the connection is checked for a response.
	earlyResponseInterval = 50 * time.Millisecond
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// encodeHead encodes the head of a request whose body follows, in chunks if length is negative.
func encodeHead(req *http.Request, length int64) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URL.Opaque, req.Host)
	req.Header.Del("Content-Length")
	req.Header.Del("Transfer-Encoding")
	req.Header.Del("Expect")
	if v := req.Header["User-Agent"]; len(v) == 1 && v[0] == "" {
		req.Header.Del("User-Agent")
	}
	_ = req.Header.Write(&out) // writes to a bytes.Buffer do not fail
	if length >= 0 {
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", length)
	} else {
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	}
	return out.Bytes()
}

// uploadEnd is how the upload of a body ended.
type uploadEnd uint8

const (
	uploadComplete    uploadEnd = iota // the body was written completely
	uploadInterrupted                  // the server has responded before that, or closed the connection
	uploadFailed                       // the rest can't be written
)

// upload writes the body of a request, whose head was written, as the body is received. It also returns how much of the request was sent.
func (u *upstream) upload(a *attempt, c *conn) (end uploadEnd, sent progress) {
	s := a.Message.Stream
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	const chunkHeadBytes = 10 // for the size line before a chunk; 2 bytes for the line end after it
	for {
		responded, n, err := u.readPart(a, c, buf[chunkHeadBytes:copyBufferBytes-2])
		switch {
		case responded:
			return uploadInterrupted, partlySent
		case err != nil && !errors.Is(err, io.EOF):
			return uploadFailed, partlySent // a failure of the client, not of the server
		}
		out := buf[chunkHeadBytes : chunkHeadBytes+n]
		if s.Length() < 0 {
			if n > 0 {
				head := strconv.AppendInt(nil, int64(n), 16)
				head = append(head, '\r', '\n')
				copy(buf[chunkHeadBytes-len(head):], head)
				copy(buf[chunkHeadBytes+n:], "\r\n")
				out = buf[chunkHeadBytes-len(head) : chunkHeadBytes+n+2]
			}
			if errors.Is(err, io.EOF) {
				out = append(out, "0\r\n\r\n"...)
			}
		}
		var writeErr error
		responded, writeErr = u.writePart(a, c, out)
		switch {
		case a.ctx.Err() != nil:
			return uploadFailed, partlySent
		case responded || writeErr != nil: // after an error the connection is closed, perhaps after a response
			return uploadInterrupted, partlySent
		}
		if errors.Is(err, io.EOF) {
			if !a.extendDeadline(c, a.Message.Remaining) {
				return uploadFailed, completelySent
			}
			return uploadComplete, completelySent
		}
	}
}

// readPart reads the next part of a request body from the client. It returns early if the server has responded meanwhile, or closed the
// connection.
func (u *upstream) readPart(a *attempt, c *conn, buf []byte) (responded bool, n int, err error) {
	for waited := time.Duration(0); ; waited += earlyResponseInterval {
		if u.hasEarlyResponse(c) {
			return true, 0, nil
		}
		n, err = a.Message.Stream.ReadTimeout(buf, earlyResponseInterval)
		if !errors.Is(err, bodypipe.ErrStalled) || a.ctx.Err() != nil || waited >= uploadReadTimeout {
			return false, n, err
		}
	}
}

// writePart writes a part of a request body, which blocks while the server reads nothing. It returns early if the server has responded
// meanwhile. It fails if the attempt is cancelled, or if the server accepts nothing for stallTimeout.
func (u *upstream) writePart(a *attempt, c *conn, part []byte) (responded bool, err error) {
	for lastProgress := time.Now(); len(part) > 0; {
		if !a.extendDeadline(c, earlyResponseInterval) {
			return false, a.ctx.Err()
		}
		n, err := c.Write(part)
		part = part[n:]
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false, err
		case n > 0:
			lastProgress = time.Now()
		case time.Since(lastProgress) >= stallTimeout:
			return false, err
		}
		if len(part) > 0 && a.extendDeadline(c, stallTimeout) && u.hasEarlyResponse(c) {
			return true, nil
		}
	}
	return false, nil
}

// extendDeadline sets the deadline of a connection to d from now, and reports whether the attempt is still wanted.
func (a *attempt) extendDeadline(c *conn, d time.Duration) bool {
	_ = c.SetDeadline(time.Now().Add(d)) // fails only on a closed connection, and so does the next call
	if a.ctx.Err() != nil {              // cancelled meanwhile, which had set a past deadline
		_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection, and so does the next call
		return false
	}
	return true
}

// hasEarlyResponse reports whether a server has responded before it received the whole request, or closed the
// connection. With a dialect, which evaluates responses, interim ones are discarded.
func (u *upstream) hasEarlyResponse(c *conn) bool {
	for c.state() != socket.Idle || c.reader.Buffered() > 0 {
		if u.dialect == nil || !c.reader.discardInterim() {
			return true
		}
	}
	return false
}

// readEarlyResponse reads the response of a server that responds before it received the whole request, or closes the connection. With a
// dialect the response counts like any other; in the platform of package settings it counts only if it states that the request was
// rejected.
func (u *upstream) readEarlyResponse(a *attempt, c *conn) core.Result {
	if !a.extendDeadline(c, u.earlyResponseTimeout(a)) {
		return core.Result{Outcome: u.unansweredOutcome(partlySent, endedByCancel)}
	}
	if u.dialect == nil {
		return core.Result{Outcome: u.earlyOutcome(c)}
	}
	r, _ := u.receive(a, c) // the connection can't be reused after an incomplete request
	return r
}

// earlyResponseTimeout returns how long to wait for the rest of an early response.
func (u *upstream) earlyResponseTimeout(a *attempt) time.Duration {
	switch {
	case u.dialect == nil:
		return u.pool.connectTimeout
	case a.Message.Stream == nil:
		return time.Until(a.Deadline)
	}
	return a.Message.Remaining
}

// earlyOutcome returns the outcome that an early response proves in the platform of package settings.
func (u *upstream) earlyOutcome(c *conn) balance.Result {
	resp, err := c.reader.readHead(http.MethodPost, httpwire.MaxStreamedBody)
	if err == nil && headOf(resp).outcome() == balance.Rejected {
		return balance.Rejected
	}
	return u.unansweredOutcome(partlySent, endedByConnection)
}

// streamResponse forwards a response whose body is of unknown length or exceeds what is buffered. A response that turns
// out to be short is handled like any other.
func (u *upstream) streamResponse(a *attempt, c *conn, resp *http.Response) (core.Result, bool) {
	r := &responseStream{a: a, u: u, conn: c, head: headOf(resp), pipe: bodypipe.New(resp.ContentLength)}
	r.pipe.OnAbort(a.cancel) // without it, the reader could wait seconds for the next bytes of the server
	if resp.ContentLength < 0 {
		timer := time.AfterFunc(holdTimeout-a.heldFor, func() { r.startStreaming(false) })
		defer timer.Stop()
	} else {
		r.startStreaming(true)
	}
	c.lastBodyHash = 0
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	total := int64(0)
	for {
		if r.isStreaming() && !a.extendDeadline(c, stallTimeout) {
			return r.abort(os.ErrDeadlineExceeded), false
		}
		n, err := resp.Body.Read(buf[:])
		if total += int64(n); total > httpwire.MaxStreamedBody {
			return r.abort(errResponseTooLarge), false
		}
		if n > 0 {
			if writeErr := r.write(buf[:n]); writeErr != nil {
				return r.abort(writeErr), false
			}
		}
		if err == io.EOF {
			if !r.isStreaming() && r.keepWhole() {
				return u.result(a.Attempt, c, r.head, r.buffered, c.reader.Buffered())
			}
			r.pipe.CloseWrite(nil)
			return core.Result{}, !resp.Close && c.reader.Buffered() == 0
		}
		if err != nil {
			return r.abort(err), false
		}
	}
}

// responseStream is a response that is being received to be streamed.
type responseStream struct {
	a    *attempt
	u    *upstream
	conn *conn
	head *responseHead
	pipe *bodypipe.Pipe

	mu        sync.Mutex
	buffered  []byte // the body so far, until streaming begins
	streaming bool   // the body is forwarded as it arrives
	keptWhole bool   // the response is reported complete, or not at all
}

func (r *responseStream) isStreaming() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streaming
}

// keepWhole prevents streaming, and reports whether it did: not if streaming has begun.
func (r *responseStream) keepWhole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keptWhole = !r.streaming
	return r.keptWhole
}

// startStreaming ends the attempt with a response whose body follows, beginning with the buffered bytes. If none are
// buffered, it does so only if allowEmpty is set.
func (r *responseStream) startStreaming(allowEmpty bool) {
	r.mu.Lock()
	defer r.mu.Unlock() // after End: the reading goroutine must not finish the stream before
	if r.streaming || r.keptWhole || len(r.buffered) == 0 && !allowEmpty {
		return
	}
	r.streaming = true
	r.a.extendDeadline(r.conn, stallTimeout)
	if len(r.buffered) > 0 {
		_ = r.pipe.Append(r.buffered) // fails if the client has disconnected, and so does the next write
		r.buffered = nil
	}
	report := loadReport(r.head.header, r.u.reportFields)
	answer := r.head.newAnswer()
	if r.u.dialect != nil {
		answer.Status = r.head.status
	}
	answer.Stream = r.pipe
	r.u.end(r.a.Attempt, core.Result{Outcome: balance.OK, Report: report, Answer: answer})
}

// write handles a part of the body. It fails if the client accepts no more.
func (r *responseStream) write(b []byte) error {
	r.mu.Lock()
	if !r.streaming {
		r.buffered = append(r.buffered, b...)
		full := len(r.buffered) > httpwire.MaxBufferedBody || r.a.heldFor >= holdTimeout // no timer is set
		r.mu.Unlock()
		if full {
			r.startStreaming(true)
		}
		return nil
	}
	r.mu.Unlock()
	return r.pipe.WriteTimeout(b, stallTimeout)
}

// abort ends a response that failed: the attempt, or the body that the client is receiving.
func (r *responseStream) abort(err error) core.Result {
	if !r.keepWhole() {
		r.pipe.CloseWrite(errors.Join(errResponseAborted, err))
	}
	return core.Result{Outcome: r.u.responseFailure(r.a, err)}
}

var errResponseAborted = errors.New("response was aborted")
