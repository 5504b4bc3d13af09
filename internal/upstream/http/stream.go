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

// This file is about bodies that pass through: requests whose body is still coming, and answers that are longer than what
// is held whole.

const (
	copyBufferBytes = 16 << 10 // bytes that are read or written at a time
	// stall is how long a server may take nothing of a request, or give nothing of an answer, that passes through; and a client
	// take nothing of one.
	stallTimeout = 10 * time.Second
	// heldBack is how long the first bytes of an answer of unknown length are kept: it may be short, and can be asked for
	// again as long as the client has none of it.
	holdTimeout = 100 * time.Millisecond
	// uploadWait bounds the wait for the next piece of a request; the front ends those that come too slowly.
	uploadReadTimeout = time.Minute
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// encodeHead writes the head of a request whose body follows; of unknown length it follows in chunks.
func encodeHead(req *http.Request, length int64) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URL.Opaque, req.Host)
	req.Header.Del("Content-Length")
	req.Header.Del("Transfer-Encoding")
	req.Header.Del("Expect")
	if v := req.Header["User-Agent"]; len(v) == 1 && v[0] == "" {
		req.Header.Del("User-Agent")
	}
	_ = req.Header.Write(&out) // a bytes.Buffer's Write does not fail
	if length >= 0 {
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", length)
	} else {
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	}
	return out.Bytes()
}

// uploadEnd is how the writing of a body ended.
type uploadEnd uint8

const (
	uploadComplete    uploadEnd = iota // all of it was written
	uploadInterrupted                  // the server has something to say before that, or has closed the connection
	uploadFailed                       // it can't be written to its end
)

// upload writes a body as it comes. The outcome is that of an upload that is broken.
func (u *upstream) upload(a *attempt, c *conn) (end uploadEnd, outcome balance.Result) {
	s := a.Message.Stream
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	const chunkHeadBytes = 10 // for the size of a chunk ahead of it, and 2 for the line end behind
	for {
		if u.hasEarlyResponse(c) {
			return uploadInterrupted, 0
		}
		n, err := s.ReadTimeout(buf[chunkHeadBytes:copyBufferBytes-2], uploadReadTimeout)
		if err != nil && !errors.Is(err, io.EOF) {
			return uploadFailed, balance.NotSent // the client's end, not the server's
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
		if !a.extendDeadline(c, stallTimeout) {
			return uploadFailed, balance.NotSent
		}
		if len(out) > 0 {
			if _, writeErr := c.Write(out); writeErr != nil {
				if a.ctx.Err() != nil {
					return uploadFailed, balance.NotSent
				}
				return uploadInterrupted, 0 // the connection is closed, maybe behind an answer
			}
		}
		if errors.Is(err, io.EOF) {
			if !a.extendDeadline(c, a.Message.Remaining) {
				return uploadFailed, 0
			}
			return uploadComplete, 0
		}
	}
}

// extend gives a connection a time from now, and reports whether the attempt still goes on.
func (a *attempt) extendDeadline(c *conn, d time.Duration) bool {
	_ = c.SetDeadline(time.Now().Add(d)) // fails only on a closed connection, as the next call on it does
	if a.ctx.Err() != nil {              // given up meanwhile, which had set another
		_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection, as the next call on it does
		return false
	}
	return true
}

// answersEarly reports whether a server has something to say before it has the whole request, or has closed the connection. Interim
// answers are dropped where a dialect judges answers.
func (u *upstream) hasEarlyResponse(c *conn) bool {
	for c.state() != socket.Idle || c.reader.Buffered() > 0 {
		if u.dialect == nil || !c.reader.discardInterim() {
			return true
		}
	}
	return false
}

// early reads the answer of a server that answers before it has the whole request. By the platform of package settings no server begins
// before the last byte. Where a dialect judges answers, this one counts like any other, as a server may begin by the head alone; one that
// closes the connection without a word has not begun.
func (u *upstream) readEarlyResponse(a *attempt, c *conn) core.Result {
	if !a.extendDeadline(c, u.pool.connectTimeout) {
		return core.Result{Outcome: balance.NotSent}
	}
	if u.dialect == nil {
		return core.Result{Outcome: u.earlyOutcome(c)}
	}
	if !c.reader.waitForByte() {
		return core.Result{Outcome: balance.ConnectFailed}
	}
	if !a.extendDeadline(c, a.Message.Remaining) {
		return core.Result{Outcome: balance.Cancelled}
	}
	r, _ := u.receive(a, c) // what is missing of the request makes the connection useless
	return r
}

// earlyRejection is what an early answer proves by the platform of package settings.
func (u *upstream) earlyOutcome(c *conn) balance.Result {
	resp, err := c.reader.readHead(http.MethodPost, httpwire.MaxStreamedBody)
	if err == nil && headOf(resp).outcome() == balance.Rejected {
		return balance.Rejected
	}
	return balance.ConnectFailed
}

// relay passes an answer on whose body is longer than what is held whole, or of unknown length. What turns out to be short
// is answered like any other.
func (u *upstream) streamResponse(a *attempt, c *conn, resp *http.Response) (core.Result, bool) {
	r := &responseStream{a: a, u: u, conn: c, head: headOf(resp), pipe: bodypipe.New(resp.ContentLength)}
	r.pipe.OnAbort(a.cancel) // the server's next bytes may be seconds away
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

// relaying is an answer on its way.
type responseStream struct {
	a    *attempt
	u    *upstream
	conn *conn
	head *responseHead
	pipe *bodypipe.Pipe

	mu        sync.Mutex
	buffered  []byte // as long as nothing has been passed on
	streaming bool   // the client gets it as it comes
	keptWhole bool   // it is answered as a whole, or not at all
}

func (r *responseStream) isStreaming() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streaming
}

// hold keeps the answer from being passed on, unless it is already.
func (r *responseStream) keepWhole() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keptWhole = !r.streaming
	return r.keptWhole
}

// pass ends the attempt with an answer whose body follows, and with it what was held back; without any only if empty is set.
func (r *responseStream) startStreaming(allowEmpty bool) {
	r.mu.Lock()
	defer r.mu.Unlock() // after End: the one who reads on must not end the attempt before
	if r.streaming || r.keptWhole || len(r.buffered) == 0 && !allowEmpty {
		return
	}
	r.streaming = true
	r.a.extendDeadline(r.conn, stallTimeout)
	if len(r.buffered) > 0 {
		_ = r.pipe.Append(r.buffered) // fails where the client has gone, and so does the next write
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

// take takes in a piece. It fails when the client takes no more.
func (r *responseStream) write(b []byte) error {
	r.mu.Lock()
	if !r.streaming {
		r.buffered = append(r.buffered, b...)
		full := len(r.buffered) > httpwire.MaxBufferedBody || r.a.heldFor >= holdTimeout // no timer is to come
		r.mu.Unlock()
		if full {
			r.startStreaming(true)
		}
		return nil
	}
	r.mu.Unlock()
	return r.pipe.WriteTimeout(b, stallTimeout)
}

// broken ends what does not come to its end: the attempt, or the body that the client is reading.
func (r *responseStream) abort(err error) core.Result {
	if !r.keepWhole() {
		r.pipe.CloseWrite(errors.Join(errResponseAborted, err))
	}
	return core.Result{Outcome: r.a.failureOutcome(err)}
}

var errResponseAborted = errors.New("an answer that breaks off")
