package http

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"firplank/internal/bodypipe"
	"firplank/internal/core"
	"firplank/internal/httpwire"
	"firplank/internal/poller"
	"firplank/internal/timerwheel"
)

// pollState is the state of a connection.
type pollState uint8

const (
	pollReading   pollState = iota // waits for a request, or the rest of one
	pollInFlight                   // a request was submitted to the exchange
	pollWriting                    // an answer is being written
	pollLingering                  // the answer was written: waits for the client to read it and close
	pollClosed
)

// lingerTimeout is how long a connection is kept after its last answer for the client to read it: on a close with unread bytes
// the kernel would reset the connection, and the client could lose the answer.
const (
	lingerTimeout     = 500 * time.Millisecond
	longLingerTimeout = 10 * time.Second // for a client that was still sending its request
)

// pollConn is a client's connection. Its lock guards the state of reading and writing.
type pollConn struct {
	front        *PollFront
	registration poller.Registration

	mu             sync.Mutex
	fd             int
	state          pollState
	used           bool   // a byte was received
	closeAfter     bool   // the connection closes after the current answer
	readClosed     bool   // the client has ended its sending
	inputPending   bool   // bytes were received after the open request
	mustLinger     bool   // the client may still be sending: the close must wait until it has read the answer
	requestStarted bool   // a byte of the current request was received
	buf            []byte // received bytes of the current request; nil if there are none
	scan           headScanner
	head           *head
	headEnd        int
	chunks         *httpwire.ChunkReader
	call           *pollCall
	out            []byte // bytes of the answer that are not written yet

	bodyStart     time.Duration  // when the head was complete, later by the time for which the client was not read
	bodyReceived  int64          // bytes after the head
	upload        *bodypipe.Pipe // body of the open request that is still being received
	uploadLeft    int64          // bytes of it that are not received yet; -1: chunked
	blockedSince  time.Duration  // since when the pipe of the body has been full; 0: it is not
	download      *bodypipe.Pipe // body of the answer that is still being written
	chunked       bool           // the answer is sent in chunks
	safe          bool           // the answered request is safe to repeat
	answeredEarly bool           // the request was answered before its body was received
	http10        bool           // of the open request

	// Guarded by front.mu.
	queue      *queue
	prev, next *pollConn
	queuedAt   time.Duration // when it was added to the queue
	timeout    timerwheel.Timer[*pollConn]
}

// pollCall is a core.Call of a connection.
type pollCall struct {
	core.Call
	conn *pollConn
}

// Answer implements core.Client.
func (c *pollCall) Answer(_ *core.Call, a *core.Answer) { c.conn.writeAnswer(c, a) }

// onTimeout handles the connection's time-out.
func (c *pollConn) onTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.front
	f.mu.Lock()
	rescheduled := c.timeout.IsSet() // it was set again meanwhile
	f.mu.Unlock()
	switch {
	case rescheduled || c.state == pollClosed:
	case c.state == pollInFlight:
		if c.upload != nil {
			c.onUploadTimeout()
		}
	case c.state == pollReading && c.head != nil && c.bodyTimeLeft() > 0:
		c.setTimeout(c.bodyTimeLeft())
	case c.state == pollReading && c.head != nil:
		c.reject(errBodyTimeout)
	case c.state == pollReading && c.requestStarted:
		c.reject(&badRequest{http.StatusRequestTimeout, "the head does not come"})
	default:
		if c.state == pollWriting {
			c.logTruncated("client does not read its answer", nil)
		}
		c.close()
	}
}

// logTruncated logs why an answer was cut short, within the limit. The caller holds mu.
func (c *pollConn) logTruncated(msg string, err error) {
	c.front.truncationLogLimit.Do(func() {
		c.front.cfg.Log.Info(msg, "peer", peerAddr(c.fd), "unwritten", len(c.out), "passing", c.download != nil, "error", err)
	})
}

// closeIfIdle closes the connection unless a request is open on it or was received completely, and reports whether it did.
func (c *pollConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == pollLingering {
		c.close()
		return true
	}
	if c.state != pollReading || c.isComplete() {
		return false
	}
	if !c.requestStarted {
		var b [1]byte
		if n, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); err == nil && n > 0 {
			return false // a request that the poller has not read yet counts as open
		}
	}
	c.close()
	return true
}

// close closes the descriptor and removes the connection. Further calls do nothing. The caller holds mu. A call that is still open
// is not cancelled; its answer is dropped.
func (c *pollConn) close() {
	if c.state == pollClosed {
		return
	}
	c.state = pollClosed
	c.call = nil
	if c.upload != nil {
		c.upload.CloseWrite(errClosed)
		c.upload = nil
	}
	if c.download != nil {
		c.download.CloseRead(errClosed)
		c.download = nil
	}
	c.reset()
	c.out = nil
	f := c.front
	f.mu.Lock()
	c.dequeue()
	f.wheel.Clear(&c.timeout)
	f.open--
	if f.open == 0 && f.drained != nil {
		close(f.drained)
		f.drained = nil
	}
	f.mu.Unlock()
	f.poller.Unregister(c.registration)
	_ = unix.Close(c.fd) // the descriptor is released even where this fails
}
