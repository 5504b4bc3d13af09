package msgpackrpc

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"firplank/internal/core"
	codec "firplank/msgpackrpc"
	"firplank/overload"
)

// conn is a client's connection. One goroutine reads it; another writes, and exists only while there is something to write.
type conn struct {
	front     *Front
	nc        net.Conn
	idleSince atomic.Int64 // Unix nanoseconds; 0 while a request is open

	mu                sync.Mutex
	open              map[uint32]*call // by the client's id: accepted and not answered
	openNotifications int              // notifications that haven't ended
	outgoing          []byte           // responses that aren't written yet
	spare             []byte           // the buffer that outgoing alternates with
	writing           bool             // the writer exists
	closing           bool             // no further request is accepted: the connection closes after the last response
	readClosed        bool             // the client has ended its sending
	dead              bool             // nothing can be written anymore
	answered          chan struct{}    // closed with the last response, or with the connection
}

// call is a core.Call of a connection.
type call struct {
	core.Call
	conn         *conn
	id           uint32
	notification bool
	duplicates   int // requests with the same id while this one was open
}

// Answer implements core.Client.
func (c *call) Answer(_ *core.Call, a *core.Answer) { c.conn.respond(c, a) }

func newConn(f *Front, nc net.Conn) *conn {
	c := &conn{front: f, nc: nc, open: map[uint32]*call{}, answered: make(chan struct{})}
	c.idleSince.Store(time.Now().UnixNano())
	return c
}

// frameReader sets a read deadline in the middle of a frame, and none between two frames.
type frameReader struct {
	c        *conn
	r        *codec.Reader
	midFrame bool
}

func (p *frameReader) Read(b []byte) (int, error) {
	partial := p.r.Buffered() > 0
	if partial != p.midFrame {
		p.midFrame = partial
		deadline := time.Time{}
		if partial {
			deadline = time.Now().Add(frameTimeout)
		}
		_ = p.c.nc.SetReadDeadline(deadline) // fails only on a closed connection, as the next call on it does
	}
	return p.c.nc.Read(b)
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.front.remove(c)
	p := &frameReader{c: c}
	p.r = codec.NewReader(p, c.front.cfg.Limits)
	var err error
	for err == nil {
		var f codec.Frame
		if f, err = p.r.Next(); err == nil {
			err = c.handle(&f)
		}
	}
	c.readEnded(err)
}

// readEnded ends the connection after a read failed. A client that has only ended its sending still gets its responses.
func (c *conn) readEnded(err error) {
	if errors.Is(err, io.EOF) {
		c.mu.Lock()
		c.closing, c.readClosed = true, true
		finished := c.finished() || c.dead
		c.mu.Unlock()
		if !finished {
			<-c.answered
		}
		_ = c.nc.Close() // the connection is released even where this fails
		return
	}
	c.mu.Lock()
	expected := c.closing // the linger time is over
	c.mu.Unlock()
	var network net.Error
	if !expected && (!errors.As(err, &network) || network.Timeout()) {
		c.front.logProblem("client connection closed", c.nc, err)
	}
	c.drop()
}

// drop closes the connection and cancels its open requests.
func (c *conn) drop() {
	c.mu.Lock()
	if !c.dead {
		c.dead, c.closing = true, true
		close(c.answered)
	}
	cancelled := make([]*call, 0, len(c.open))
	for _, open := range c.open {
		cancelled = append(cancelled, open)
	}
	clear(c.open)
	c.mu.Unlock()
	_ = c.nc.Close() // the connection is released even where this fails
	for _, open := range cancelled {
		c.front.exchange.Disconnect(&open.Call)
	}
}

// finished reports whether the connection is closing and has no response left to write. The caller holds mu.
func (c *conn) finished() bool {
	return c.closing && len(c.open) == 0 && !c.writing && len(c.outgoing) == 0
}

// finish closes the connection after the responses to its open requests; new requests are refused.
func (c *conn) finish() {
	c.mu.Lock()
	c.closing = true
	finished := c.finished()
	c.mu.Unlock()
	if finished {
		c.linger()
	}
}

// linger ends the sending and, after lingerTimeout, the connection. Requests that arrive meanwhile are refused if a response can still
// be sent.
func (c *conn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only where the connection is closed already
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection, as the next call on it does
}

// handle handles a frame; an error ends the connection.
func (c *conn) handle(f *codec.Frame) error {
	switch f.Kind {
	case codec.Response:
		return fmt.Errorf("%w: a response from a client", codec.ErrMalformed)
	case codec.Notification:
		c.handleNotification(f)
		return nil
	}
	received := time.Now()
	c.mu.Lock()
	first := c.open[f.ID]
	if first != nil {
		first.duplicates++ // answered after the first: the client would take a response now for that of the first
	}
	full := len(c.open)+c.openNotifications >= c.front.cfg.MaxOpen
	c.mu.Unlock()
	if first != nil {
		if first.duplicates > c.front.cfg.MaxOpen {
			return errReusedID
		}
		return nil
	}
	if full || c.front.ending.Load() {
		c.refuse(f.ID, 0)
		return nil
	}
	c.accept(f, received)
	return nil
}

// accept submits a request to the exchange, or responds why not.
func (c *conn) accept(f *codec.Frame, received time.Time) {
	m := c.front.cfg.Methods.byName[string(f.Method)]
	if m == nil {
		c.reject(f.ID, "unknown_method", strconv.QuoteToASCII(string(f.Method)))
		return
	}
	if ok, holdOff := c.front.cfg.Shedder.Admit(m.class); !ok {
		c.refuse(f.ID, holdOff)
		return
	}
	cl := &call{conn: c, id: f.ID}
	if err := c.fill(cl, m, f, received); err != nil {
		c.front.cfg.Shedder.RequestEnded(m.class, 0, overload.Inconclusive)
		c.reject(f.ID, "bad_request", err.Error())
		return
	}
	c.mu.Lock()
	c.open[f.ID] = cl
	c.idleSince.Store(0)
	c.mu.Unlock()
	c.front.exchange.Submit(&cl.Call)
}

// handleNotification handles a notification, whose outcome the client doesn't learn: one that can't be accepted is dropped, and
// faulty ones are logged.
func (c *conn) handleNotification(f *codec.Frame) {
	m := c.front.cfg.Methods.byName[string(f.Method)]
	if m == nil || !m.Notify {
		c.front.logProblem("notification dropped", c.nc, fmt.Errorf("method %q accepts none", f.Method))
		return
	}
	if c.front.ending.Load() {
		return
	}
	if ok, _ := c.front.cfg.Shedder.Admit(m.class); !ok {
		return
	}
	cl := &call{conn: c, notification: true}
	if err := c.fill(cl, m, f, time.Now()); err != nil {
		c.front.cfg.Shedder.RequestEnded(m.class, 0, overload.Inconclusive)
		c.front.logProblem("notification dropped", c.nc, err)
		return
	}
	c.mu.Lock()
	full := len(c.open)+c.openNotifications >= c.front.cfg.MaxOpen
	if !full {
		c.openNotifications++
	}
	c.mu.Unlock()
	if full {
		c.front.cfg.Shedder.RequestEnded(m.class, 0, overload.Inconclusive)
		return
	}
	c.front.exchange.Submit(&cl.Call)
}

// fill sets a call's fields from a frame, whose parameters are copied.
func (c *conn) fill(cl *call, m *method, f *codec.Frame, received time.Time) error {
	params := append([]byte(nil), f.Params...)
	cl.Received, cl.Client = received, cl
	if err := c.front.cfg.Methods.fillCall(&cl.Call, m, params); err != nil {
		return err
	}
	if cl.Message.Trace == "" { // servers that require a trace id get a generated one, which matches no client's
		cl.Message.Trace = c.front.tracePrefix + strconv.FormatUint(c.front.traceCount.Add(1), 16)
	}
	return nil
}

// refuse responds that the request was not accepted and may be retried, after holdOff where that is set.
func (c *conn) refuse(id uint32, holdOff time.Duration) {
	c.mu.Lock()
	c.outgoing = appendResponse(c.outgoing, id, core.Refusal(holdOff))
	c.send()
}

// reject responds with an error of the client's.
func (c *conn) reject(id uint32, code, text string) {
	c.mu.Lock()
	c.outgoing = appendError(c.outgoing, id, code, text, 0)
	c.send()
}

// respond queues the response to a call. It is called on the exchange's goroutine.
func (c *conn) respond(cl *call, a *core.Answer) {
	c.mu.Lock()
	if cl.notification {
		c.openNotifications--
		c.mu.Unlock()
		return
	}
	if c.open[cl.id] != cl { // the connection has ended
		c.mu.Unlock()
		return
	}
	delete(c.open, cl.id)
	if len(c.open) == 0 {
		c.idleSince.Store(time.Now().UnixNano())
	}
	c.outgoing = appendResponse(c.outgoing, cl.id, a)
	for range cl.duplicates {
		c.outgoing = appendError(c.outgoing, cl.id, "bad_request", "a request of this id was open", 0)
	}
	c.send()
}

// send starts the writer unless it runs, without waiting for it. Where too many responses are queued it closes the connection. The
// caller holds mu, which send releases.
func (c *conn) send() {
	if c.dead {
		c.outgoing = nil
		c.mu.Unlock()
		return
	}
	start, full := !c.writing, len(c.outgoing) > maxUnreadBytes
	c.writing = true
	c.mu.Unlock()
	if full {
		c.front.logProblem("client connection closed", c.nc, errNotReading)
		_ = c.nc.Close() // ends the reader and the writer
	}
	if start {
		c.front.tasks.Go(c.flush)
	}
}

// flush writes queued responses until there are none.
func (c *conn) flush() {
	for {
		c.mu.Lock()
		b := c.outgoing
		if len(b) == 0 || c.dead {
			c.writing = false
			finished, readClosed := c.finished() && !c.dead, c.readClosed
			c.mu.Unlock()
			switch {
			case finished && readClosed:
				c.drop()
			case finished:
				c.linger()
			}
			return
		}
		c.outgoing = c.spare[:0]
		c.mu.Unlock()
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the next call on it does
		_, err := c.nc.Write(b)
		if cap(b) > maxSpareBytes {
			b = nil
		}
		c.mu.Lock()
		c.spare = b
		c.mu.Unlock()
		if err != nil {
			c.front.logProblem("client connection closed", c.nc, err)
			c.drop()
		}
	}
}

// maxSpareBytes bounds the buffers that a connection retains.
const maxSpareBytes = 16 << 10
