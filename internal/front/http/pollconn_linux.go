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

// pollState is what a connection is doing.
type pollState uint8

const (
	pollReading   pollState = iota // for a request, or the rest of one
	pollInFlight                   // a request is with the exchange
	pollWriting                    // an answer waits for room
	pollLingering                  // all is said: the client is to read it and close
	pollClosed
)

// lingering is how long a connection that has been ended is kept for its client to read what was written: closed with
// bytes unread, the kernel would reset it and destroy the answer.
const (
	lingerTimeout     = 500 * time.Millisecond
	longLingerTimeout = 10 * time.Second // ... for one that was still sending
)

// pollConn is one connection of the application. Its lock guards what it reads and writes.
type pollConn struct {
	front        *PollFront
	registration poller.Registration

	mu             sync.Mutex
	fd             int
	state          pollState
	used           bool   // a byte has come
	closeAfter     bool   // it ends with the answer that is being made or written
	readClosed     bool   // the client has ended its sending
	inputPending   bool   // something came behind the request that is open
	mustLinger     bool   // more may come: the end has to wait for the client to have read its answer
	requestStarted bool   // a request is on its way
	buf            []byte // what has come of it; nil where nothing has
	scan           headScanner
	head           *head
	headEnd        int
	chunks         *httpwire.ChunkReader
	call           *pollCall
	out            []byte // of an answer, what is not written

	bodyStart     time.Duration  // when the head was whole
	bodyReceived  int64          // bytes behind it so far
	upload        *bodypipe.Pipe // the open request's body, which is still coming
	uploadLeft    int64          // ... bytes of it; -1: chunks tell
	blockedSince  time.Duration  // since when the other side of it has been waited for; 0: it is not
	download      *bodypipe.Pipe // of the answer, what is still coming
	chunked       bool           // ... goes out in chunks
	safe          bool           // the request that is answered may run again
	answeredEarly bool           // it was answered before its body had come
	http10        bool           // the open request speaks HTTP/1.0

	// Guarded by front.mu.
	queue      *queue
	prev, next *pollConn
	queuedAt   time.Duration // when it joined the queue
	timeout    timerwheel.Timer[*pollConn]
}

// pollCall is a core.Call with the way back to its connection.
type pollCall struct {
	core.Call
	conn *pollConn
}

// Answer implements core.Client.
func (c *pollCall) Answer(_ *core.Call, a *core.Answer) { c.conn.writeAnswer(c, a) }

// expired handles the connection's time-out.
func (c *pollConn) onTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.front
	f.mu.Lock()
	rescheduled := c.timeout.IsSet() // it was set anew meanwhile
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
		c.reject(&badRequest{http.StatusRequestTimeout, "the body does not come"})
	case c.state == pollReading && c.requestStarted:
		c.reject(&badRequest{http.StatusRequestTimeout, "the head does not come"})
	default:
		if c.state == pollWriting {
			c.logTruncated("a client does not take its answer", nil)
		}
		c.close()
	}
}

// note logs what cut an answer short, some of many. The caller holds mu.
func (c *pollConn) logTruncated(msg string, err error) {
	c.front.truncationLogLimit.Do(func() {
		c.front.cfg.Log.Info(msg, "peer", peerAddr(c.fd), "unwritten", len(c.out), "passing", c.download != nil, "error", err)
	})
}

// closeIfUnused closes the connection if no request is open on it, nor wholly on its way.
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
			return false // a request that the poller has not read: it is worth as much as one that is open
		}
	}
	c.close()
	return true
}

// close frees the descriptor and the connection's place, once. The caller holds mu. Who waits for an answer is told when
// there is one that its connection is gone.
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
