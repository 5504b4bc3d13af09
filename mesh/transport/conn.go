// Package transport sends and receives frames between the processes of the mesh over TCP. It owns the connections and bounds the send queue
// of each. It does not interpret frames.
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
	// sendQueueFrames bounds the send queue of a connection. A connection whose queue is full is closed, as its peer does not read.
	sendQueueFrames = 512
	// userTimeout is how long sent bytes may remain unacknowledged before the kernel closes the connection (TCP_USER_TIMEOUT, RFC 5482).
	userTimeout = 2500 * time.Millisecond
	// bufferBytes is the size of a connection's buffer in each direction.
	bufferBytes = 16 << 10
)

// Handler handles the frames and the ends of connections. Its methods are called on the connection's reading goroutine: sequentially for
// one connection, and concurrently for several. A slow handler delays reading, so that the peer's send queue fills up.
type Handler interface {
	// HandleFrame handles a received frame. The handler becomes its owner.
	HandleFrame(c *Conn, f *wire.FrameT)
	// HandleClose is called once, after the last frame, when both goroutines of the connection have ended or are about to end.
	HandleClose(c *Conn)
}

// queuedFrame is an encoded frame in a send queue.
type queuedFrame struct {
	encoded  []byte
	queuedAt time.Time
}

// bytesWithAge returns the encoded frame, to be written now. The time in the queue is added to the ages in the frame, because the receiver
// takes them as of the time at which it was sent.
func (q queuedFrame) bytesWithAge() []byte {
	wire.AddAge(q.encoded, time.Since(q.queuedAt))
	return q.encoded
}

// Conn is a connection. It has a goroutine for each direction. Both end when either side closes the connection. It is safe for concurrent
// use.
type Conn struct {
	conn          net.Conn
	sendQueue     chan queuedFrame
	closed        chan struct{} // closed by Close
	closeOnce     sync.Once
	writeLoopDone chan struct{} // closed when writeLoop has ended

	bytesReceived atomic.Int64
	bytesConsumed atomic.Int64 // those that belong to complete frames
}

// newConn starts the writing goroutine of a connection. The caller starts readLoop.
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

// setUserTimeout sets the time-out for unacknowledged bytes. Without it, a dead peer is detected only after the kernel's much longer
// default.
func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // already closed, which the first read reports
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Send queues a frame. It returns false if the connection has ended, or if the queue is full; a full queue closes the connection.
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

// Close closes the connection without sending queued frames. It may be called more than once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.conn.Close() // unsent frames are dropped
	})
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// PartialBytes returns the number of bytes received of an incomplete frame. It is 0 between two frames.
func (c *Conn) PartialBytes() int64 { return c.bytesReceived.Load() - c.bytesConsumed.Load() }

// writeLoop sends queued frames until the connection ends. Frames that are queued at the same time are sent in one write.
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

// writeQueued writes the frames that are queued now.
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

// readLoop passes frames to the handler until either side or an error ends the connection.
func (c *Conn) readLoop(h Handler) {
	defer h.HandleClose(c)
	defer func() { <-c.writeLoopDone }() // does not block long, as the connection is closed
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

// countingReader reads from a connection and counts the bytes.
type countingReader struct{ c *Conn }

func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.c.conn.Read(b)
	r.c.bytesReceived.Add(int64(n))
	return n, err
}
