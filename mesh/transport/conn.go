// Package transport carries frames between the processes of the mesh over TCP. It owns the connections, bounds what waits to be sent on
// each, and does not interpret frames.
//
// Start reading at Dial and Serve.
package transport

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"firplank/mesh/wire"
)

const (
	// sendQueueFrames bounds the frames that wait to be written on a connection. One whose queue is full is closed, as its peer does not
	// read.
	sendQueueFrames = 512
	// userTimeout is how long written bytes may go unacknowledged before the kernel ends the connection (TCP_USER_TIMEOUT, RFC 5482).
	userTimeout = 2500 * time.Millisecond
	// bufferBytes is the size of a connection's buffer in each direction.
	bufferBytes = 16 << 10
)

// Handler receives what arrives on connections. Its methods are called on the goroutine of the connection, so for several connections at
// once, and for one connection one after the other. A slow handler stops reading, and with it the peer.
type Handler interface {
	// HandleFrame takes a frame, which belongs to the handler from now on.
	HandleFrame(c *Conn, f *wire.FrameT)
	// HandleClose is called once, after the last frame, when both goroutines of the connection have ended or are about to.
	HandleClose(c *Conn)
}

// queuedFrame is an encoded frame that waits to be written, since a time.
type queuedFrame struct {
	encoded  []byte
	queuedAt time.Time
}

// bytes returns the frame as it is written now: the ages in it count from when it is sent.
func (q queuedFrame) bytesWithAge() []byte {
	wire.AddAge(q.encoded, time.Since(q.queuedAt))
	return q.encoded
}

// Conn is a connection. It has a goroutine for each direction; both end when it is closed, by either side. It is safe for concurrent use.
type Conn struct {
	conn          net.Conn
	sendQueue     chan queuedFrame
	closed        chan struct{} // closed by Close
	closeOnce     sync.Once
	writeLoopDone chan struct{} // closed when the writing goroutine has ended

	bytesReceived atomic.Int64
	bytesConsumed atomic.Int64 // the part of them that complete frames make up
}

// newConn starts writing on a connection; the caller reads.
func newConn(conn net.Conn) *Conn {
	setUserTimeout(conn)
	c := &Conn{
		conn:          conn,
		sendQueue:     make(chan queuedFrame, sendQueueFrames),
		closed:        make(chan struct{}),
		writeLoopDone: make(chan struct{}),
	}
	go c.writeLoop()
	return c
}

// setUserTimeout sets the time-out of unacknowledged bytes. Without it a dead peer is noticed by the kernel's much longer default.
func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // closed already, which the first read reports
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Send queues a frame. It reports false where the connection has ended, and where its queue is full, which closes it.
func (c *Conn) Send(f *wire.FrameT) bool {
	select {
	case c.sendQueue <- queuedFrame{wire.Encode(f), time.Now()}:
		return true
	case <-c.closed:
		return false
	default:
		c.Close()
		return false
	}
}

// Close ends the connection without sending what is queued. It may be called more than once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.conn.Close() // what was not sent is given up
	})
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// PartialBytes returns how many bytes have arrived of a frame that is not complete: 0 between two frames.
func (c *Conn) PartialBytes() int64 { return c.bytesReceived.Load() - c.bytesConsumed.Load() }

// write sends queued frames until the connection ends, those that have queued up in one write.
func (c *Conn) writeLoop() {
	defer close(c.writeLoopDone)
	defer c.Close()
	w := bufio.NewWriterSize(c.conn, bufferBytes)
	for {
		select {
		case frame := <-c.sendQueue:
			if _, err := w.Write(frame.bytesWithAge()); err != nil {
				return
			}
		case <-c.closed:
			return
		}
		if c.writeQueued(w) != nil || w.Flush() != nil {
			return
		}
	}
}

// writeQueued writes the frames that wait at present.
func (c *Conn) writeQueued(w *bufio.Writer) error {
	for {
		select {
		case frame := <-c.sendQueue:
			if _, err := w.Write(frame.bytesWithAge()); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// read hands over frames until the connection ends, by whatever side or error.
func (c *Conn) readLoop(h Handler) {
	defer h.HandleClose(c)
	defer func() { <-c.writeLoopDone }() // at once, as the connection is closed
	defer c.Close()
	r := bufio.NewReaderSize(countingReader{c}, bufferBytes)
	for {
		f, err := wire.ReadFrame(r)
		if err != nil {
			return
		}
		c.bytesConsumed.Store(c.bytesReceived.Load() - int64(r.Buffered()))
		h.HandleFrame(c, f)
	}
}

// countingReader counts the bytes that are read from a connection.
type countingReader struct{ c *Conn }

func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.c.conn.Read(b)
	r.c.bytesReceived.Add(int64(n))
	return n, err
}
