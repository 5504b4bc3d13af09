package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/socket"
	codec "firplank/msgpackrpc"
)

// attempt is a core.Attempt on its connection, whose mu guards the fields.
type attempt struct {
	*core.Attempt
	conn  *conn
	id    uint32
	state state
	// start and end are the offsets of its frame in the batch that is being written.
	start, end int
}

// state is the progress of an attempt.
type state uint8

const (
	queued  state = iota // no byte has been passed to the kernel
	writing              // it is in the batch that is being written
	sent                 // its last byte was passed to the kernel
	done                 // it has ended
)

// endedAttempt is an attempt that was abandoned, or whose connection failed, with its outcome.
type endedAttempt struct {
	attempt *attempt
	outcome balance.Result
}

// conn is a connection to a server. One goroutine dials and reads it; another writes, and exists only while there is something to
// write.
type conn struct {
	backend  *Backend
	endpoint *core.Endpoint
	addr     string

	mu           sync.Mutex
	nc           net.Conn // nil until it is connected
	queued       []*attempt
	batch        []*attempt          // being written
	open         map[uint32]*attempt // by id: in the batch, or sent
	abandoned    map[uint32]bool     // ids of abandoned attempts, whose responses may still arrive
	nextID       uint32
	flushing     bool
	retired      bool // no attempt is added
	dead         bool
	lastUse      time.Time
	timer        *time.Timer // for nextDeadline
	nextDeadline time.Time
	buffer       []byte // the writer's batch
}

// newConn returns a connection that isn't connected yet. Its ids start at random, so that those of another connection are unlikely to
// match.
func newConn(b *Backend, e *core.Endpoint, addr string) *conn {
	c := &conn{
		backend:   b,
		endpoint:  e,
		addr:      addr,
		open:      map[uint32]*attempt{},
		abandoned: map[uint32]bool{},
		nextID:    rand.Uint32(),
		lastUse:   time.Now(),
	}
	c.timer = time.AfterFunc(time.Hour, c.expire)
	return c
}

// load returns the number of attempts on the connection, and whether it accepts another one to a server at addr.
func (c *conn) load(addr string) (n int, fit bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queued) + len(c.open), !c.retired && !c.dead && c.addr == addr
}

// add queues an attempt; false if the connection was retired meanwhile.
func (c *conn) add(t *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.dead {
		return false
	}
	t.conn = c
	c.queued = append(c.queued, t)
	c.lastUse = time.Now()
	if c.nextDeadline.IsZero() || t.Deadline.Before(c.nextDeadline) {
		c.nextDeadline = t.Deadline
		c.timer.Reset(time.Until(t.Deadline))
	}
	c.startFlush()
	return true
}

// startFlush starts the writer if there is something to write. The caller holds mu.
func (c *conn) startFlush() {
	if c.nc != nil && !c.flushing && !c.dead && len(c.queued) > 0 {
		c.flushing = true
		c.backend.running.Go(c.flush)
	}
}

// cancel abandons an attempt.
func (c *conn) cancel(t *attempt) {
	c.mu.Lock()
	e, ok := c.abandon(t, balance.Cancelled)
	c.mu.Unlock()
	if ok {
		c.backend.endAsync(e.attempt, e.outcome)
	}
}

// abandon ends an attempt; one of which nothing was written was not executed. The caller holds mu.
func (c *conn) abandon(t *attempt, outcome balance.Result) (endedAttempt, bool) {
	switch t.state {
	case done:
		return endedAttempt{}, false
	case queued:
		outcome = balance.NotSent // the writer skips it
	default:
		delete(c.open, t.id)
		c.abandoned[t.id] = true
		if len(c.abandoned) >= maxAbandoned {
			c.retired = true
		}
	}
	t.state = done
	return endedAttempt{t, outcome}, true
}

// expire ends the attempts whose deadline has passed, and sets the timer to the next.
func (c *conn) expire() {
	var ended []endedAttempt
	c.mu.Lock()
	now := time.Now()
	c.nextDeadline = time.Time{}
	check := func(t *attempt) {
		if t.state != done && !now.Before(t.Deadline) {
			if e, ok := c.abandon(t, balance.TimedOut); ok {
				ended = append(ended, e)
			}
		} else if t.state != done && (c.nextDeadline.IsZero() || t.Deadline.Before(c.nextDeadline)) {
			c.nextDeadline = t.Deadline
		}
	}
	for _, t := range c.queued {
		check(t)
	}
	for _, t := range c.open {
		check(t)
	}
	if !c.nextDeadline.IsZero() {
		c.timer.Reset(c.nextDeadline.Sub(now))
	}
	finished := c.finished()
	c.mu.Unlock()
	endAll(ended)
	if finished {
		c.fail(nil)
	}
}

// endAll reports the outcomes of attempts. The caller holds no lock.
func endAll(ended []endedAttempt) {
	for _, e := range ended {
		e.attempt.End(core.Result{Outcome: e.outcome})
	}
}

// finished reports whether a retired connection has no attempt left. The caller holds mu.
func (c *conn) finished() bool { return c.retired && len(c.open) == 0 && len(c.queued) == 0 }

// closeIf closes the connection where test, with the number of its attempts and its last use, is true; else it retires the
// connection if retire is set. It reports whether it has closed it.
func (c *conn) closeIf(test func(open int, last time.Time) bool, retire bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = c.retired || retire
	if c.dead || !test(len(c.open)+len(c.queued), c.lastUse) {
		return false
	}
	c.retired = true // it has no attempt: the reader ends it
	if c.nc != nil {
		_ = c.nc.Close() // the connection is released even where this fails
	}
	return true
}

// run connects, and reads until the connection ends.
func (c *conn) run() {
	defer c.backend.remove(c)
	defer c.timer.Stop()
	nc, err := c.backend.dial(c.addr)
	if err != nil {
		c.connectFailed(err)
		return
	}
	stop := context.AfterFunc(c.backend.ctx, func() { _ = nc.Close() }) // the connection is released even where this fails
	defer stop()
	defer func() { _ = nc.Close() }() // the connection is released even where this fails
	c.mu.Lock()
	c.nc = nc
	closed := c.retired && len(c.queued) == 0
	c.startFlush()
	c.mu.Unlock()
	if closed {
		c.fail(nil)
		return
	}
	c.fail(c.read(nc))
}

// connectFailed ends the attempts of a connection that failed to connect: none was executed.
func (c *conn) connectFailed(err error) {
	outcome := balance.ConnectFailed
	if socket.Exhausted(err) || c.backend.ctx.Err() != nil {
		outcome = balance.NotSent // not the server's failure
	}
	c.mu.Lock()
	c.dead = true
	var ended []endedAttempt
	for _, t := range c.queued {
		if t.state == done {
			continue
		}
		t.state = done
		ended = append(ended, endedAttempt{t, outcome})
	}
	c.queued = nil
	c.mu.Unlock()
	endAll(ended)
}

// read handles responses until the connection ends or its frames are malformed.
func (c *conn) read(nc net.Conn) error {
	in := codec.NewReader(nc, c.backend.cfg.Limits)
	for {
		f, err := in.Next()
		if err != nil {
			return err
		}
		if f.Kind == codec.Notification {
			continue // some servers notify of progress
		}
		if f.Kind != codec.Response {
			return fmt.Errorf("%w: no response frame from the server", codec.ErrMalformed)
		}
		if finished := c.handleResponse(&f); finished {
			return nil
		}
	}
}

// handleResponse ends the attempt of a response, and reports whether the connection has no more use.
func (c *conn) handleResponse(f *codec.Frame) (finished bool) {
	c.mu.Lock()
	t := c.open[f.ID] // perhaps still in state writing: the response can precede the return of the write
	known := t != nil || c.abandoned[f.ID]
	delete(c.abandoned, f.ID)
	if !known {
		c.retired = true
	} else if t != nil {
		delete(c.open, f.ID)
		t.state = done
	}
	finished = c.finished()
	c.mu.Unlock()
	switch {
	case !known:
		// After a second response to an id, or a response with an unknown one, other responses on this connection are
		// unreliable too. Open attempts go on, because a response to them is still better than an unknown outcome.
		n := c.backend.unmatched.Add(1)
		c.logProblem("response id matches nothing; the connection gets no new requests", fmt.Errorf("id %d, %d so far", f.ID, n))
	case t != nil:
		t.End(c.backend.result(f))
	}
	return finished
}

// logProblem logs a problem with the server, within the limit.
func (c *conn) logProblem(msg string, err error) {
	c.backend.logLimit.Do(func() {
		c.backend.cfg.Log.Warn(msg, "protocol", "MessagePack-RPC", "server", c.endpoint.Name(), "why", err)
	})
}

// fail ends the connection: attempts of which a byte was passed to the kernel may have been executed, others not.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return
	}
	c.dead = true
	if c.nc != nil {
		_ = c.nc.Close() // the connection is released even where this fails
	}
	outcome := balance.Reset
	if c.backend.ctx.Err() != nil {
		outcome = balance.Cancelled
	}
	var ended []endedAttempt
	for _, t := range c.queued {
		if t.state != done {
			t.state = done
			ended = append(ended, endedAttempt{t, balance.ConnectFailed})
		}
	}
	for id, t := range c.open {
		if t.state == writing {
			continue // batchWritten ends it
		}
		t.state = done
		delete(c.open, id)
		ended = append(ended, endedAttempt{t, outcome})
	}
	c.queued = nil
	c.mu.Unlock()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		c.logProblem("connection to server failed", err)
	}
	endAll(ended)
}

// flush writes queued attempts until there are none.
func (c *conn) flush() {
	for {
		obsolete, nc, ok := c.gather()
		endAll(obsolete)
		if !ok {
			return
		}
		_ = nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, and so does the next call
		n, err := nc.Write(c.buffer)
		c.batchWritten(n, err)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				err = fmt.Errorf("the server does not read: %w", err)
			}
			c.fail(err)
		}
	}
}

// maxBatchBytes bounds a batch, after the first frame beyond it: what is in a batch can't be withdrawn.
const maxBatchBytes = 16 << 10

// gather makes a batch of queued attempts that may still be sent. Without any the writer ends.
func (c *conn) gather() (obsolete []endedAttempt, nc net.Conn, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffer, c.batch = c.buffer[:0], c.batch[:0]
	taken := 0
	for _, t := range c.queued {
		if c.dead || len(c.buffer) >= maxBatchBytes {
			break
		}
		taken++
		if t.state == done {
			continue
		}
		if t.Obsolete() {
			t.state = done
			obsolete = append(obsolete, endedAttempt{t, balance.NotSent})
			continue
		}
		t.id, t.state, t.start = c.freeID(), writing, len(c.buffer)
		c.buffer = appendRequest(c.buffer, t.id, t.Message, c.backend.cfg.Limits)
		t.end = len(c.buffer)
		c.open[t.id] = t
		c.batch = append(c.batch, t)
	}
	kept := copy(c.queued, c.queued[taken:])
	clear(c.queued[kept:])
	c.queued = c.queued[:kept]
	if len(c.batch) == 0 {
		c.flushing = false
		if c.finished() && c.nc != nil {
			_ = c.nc.Close() // the connection is released even where this fails
		}
		return obsolete, nil, false
	}
	return obsolete, c.nc, true
}

// freeID returns an id to which no response can arrive. The caller holds mu.
func (c *conn) freeID() uint32 {
	for {
		c.nextID++
		if c.open[c.nextID] == nil && !c.abandoned[c.nextID] {
			return c.nextID
		}
	}
}

// batchWritten handles a write of n bytes of the batch. The server can have read no byte of what the kernel did not accept.
func (c *conn) batchWritten(n int, err error) {
	var ended []endedAttempt
	c.mu.Lock()
	for _, t := range c.batch {
		if t.end <= n {
			t.Written()
		}
		switch {
		case t.state != writing: // abandoned meanwhile
		case t.end <= n && !c.dead:
			t.state = sent
		default:
			t.state = done
			delete(c.open, t.id)
			outcome := balance.Reset
			if t.start >= n && err != nil {
				outcome = balance.ConnectFailed
			}
			ended = append(ended, endedAttempt{t, outcome})
		}
	}
	clear(c.batch)
	if cap(c.buffer) > 2*maxBatchBytes {
		c.buffer = nil
	}
	c.mu.Unlock()
	endAll(ended)
}
