// Package msgpackrpc is the downstream side of MessagePack-RPC. It owns clients' connections and the meaning of their frames: it
// reads pipelined requests, submits them to the exchange, and writes responses in the order in which they are ready. It makes no
// decision about servers and knows none; the codec is the package of the same name at the root.
//
// methods.go maps methods and parameters to requests, conn.go serves a connection, response.go encodes responses. Start reading at
// Front.
package msgpackrpc

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"firplank/internal/core"
	"firplank/internal/loadshed"
	"firplank/internal/socket"
	codec "firplank/msgpackrpc"
)

const (
	// frameTimeout bounds the time from a frame's first byte to its last.
	frameTimeout = 2500 * time.Millisecond
	// writeTimeout bounds a write to a client that does not read, maxUnreadBytes the responses that are queued for it meanwhile.
	writeTimeout   = 2 * time.Second
	maxUnreadBytes = 1 << 20
	// lingerTimeout is how long a connection is read after the last response, as a close with unread bytes would reset the
	// connection and lose responses in flight.
	lingerTimeout = 200 * time.Millisecond
)

// Config configures a Front.
type Config struct {
	Methods     *Methods
	Limits      codec.Limits
	MaxOpen     int // open requests of a connection; those beyond are refused
	Connections int // maximum of clients' connections
	Shedder     *loadshed.Shedder
	AcceptGrace time.Duration // how long requests are accepted after End
	Evict       func() bool   // closes an idle connection to a server when descriptors run out
	Log         *slog.Logger
}

// Why a connection is closed.
var (
	errAllBusy    = errors.New("every connection has open requests")
	errNotReading = errors.New("client does not read its responses")
	errReusedID   = errors.New("id of an open request reused too often")
)

// Exchange handles requests; *core.Loop implements it.
type Exchange interface {
	Submit(*core.Call)
	Disconnect(*core.Call)
}

// Front serves clients. It is safe for concurrent use.
type Front struct {
	cfg         Config
	exchange    Exchange
	failed      chan error
	ending      atomic.Bool // new requests are refused
	paused      atomic.Bool // connections close once no request is open on them
	succeeded   atomic.Bool // another process serves at the address
	tracePrefix string      // of generated trace ids
	traceCount  atomic.Uint64
	logLimit    rate.Sometimes // of problems with clients
	tasks       sync.WaitGroup

	mu      sync.Mutex
	ln      net.Listener
	conns   map[*conn]bool
	drained chan struct{} // closed with the last connection during End
}

// New returns a front that submits requests to an exchange.
func New(cfg Config, exchange Exchange) *Front {
	return &Front{
		cfg:         cfg,
		exchange:    exchange,
		failed:      make(chan error, 1),
		tracePrefix: fmt.Sprintf("%08x", rand.Uint32()),
		logLimit:    rate.Sometimes{First: 5, Interval: time.Second},
		conns:       map[*conn]bool{},
	}
}

// Serve accepts connections until End, on goroutines that Close waits for, and returns at once. Failed delivers its error.
func (f *Front) Serve(ln net.Listener) {
	f.mu.Lock()
	f.ln = ln
	f.mu.Unlock()
	f.tasks.Go(func() {
		for {
			c, err := socket.Accept(ln, func() bool { return f.cfg.Evict() || f.evict() })
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					f.failed <- err
				}
				return
			}
			f.add(c)
		}
	})
}

// Failed delivers the error that ended accepting before End.
func (f *Front) Failed() <-chan error { return f.failed }

// add serves a connection. Where there are too many, the one that has been idle for longest is closed, or the new one if all have
// open requests.
func (f *Front) add(nc net.Conn) {
	f.mu.Lock()
	full := len(f.conns) >= f.cfg.Connections
	f.mu.Unlock()
	if full && !f.evict() {
		f.logProblem("client connection rejected", nc, errAllBusy)
		_ = nc.Close() // the connection is released even where this fails
		return
	}
	c := newConn(f, nc)
	f.mu.Lock()
	f.conns[c] = true
	f.mu.Unlock()
	f.tasks.Go(c.serve)
	if f.ending.Load() || f.paused.Load() {
		c.finish()
	}
}

// evict closes the connection that has been idle for longest, and reports whether there was one.
func (f *Front) evict() bool {
	f.mu.Lock()
	var oldest *conn
	minIdleSince := int64(0)
	for c := range f.conns {
		if idleSince := c.idleSince.Load(); idleSince > 0 && (oldest == nil || idleSince < minIdleSince) {
			oldest, minIdleSince = c, idleSince
		}
	}
	if oldest != nil {
		delete(f.conns, oldest)
	}
	f.mu.Unlock()
	if oldest == nil {
		return false
	}
	_ = oldest.nc.Close() // the connection is released even where this fails
	return true
}

// remove removes a connection that has ended.
func (f *Front) remove(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	if f.drained != nil && len(f.conns) == 0 {
		close(f.drained)
		f.drained = nil
	}
}

// logProblem logs a problem with a client, rate-limited.
func (f *Front) logProblem(msg string, nc net.Conn, err error) {
	f.logLimit.Do(func() {
		f.cfg.Log.Warn(msg, "protocol", "MessagePack-RPC", "peer", nc.RemoteAddr().String(), "why", err)
	})
}

// Pause starts a drain, in which connections close after their last response, new ones too, or ends it.
func (f *Front) Pause(on bool) {
	f.paused.Store(on)
	if !on {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.finish()
	}
}

// HandOver notifies that another process accepts at the same address: End then accepts no further connection.
func (f *Front) HandOver() { f.succeeded.Store(true) }

// Open returns the number of connections.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Resize changes the maximum of connections; idle ones beyond it are closed when others arrive.
func (f *Front) Resize(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Connections = max(1, n)
}

// End accepts requests for Config.AcceptGrace, then refuses new ones, answers all that were accepted within a time, and closes.
func (f *Front) End(within time.Duration) error {
	limit, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	acceptGrace := f.cfg.AcceptGrace
	if f.succeeded.Load() {
		acceptGrace = 0
	}
	select {
	case <-time.After(acceptGrace):
	case err := <-f.failed:
		return fmt.Errorf("serve MessagePack-RPC: %w", err)
	}
	f.ending.Store(true)
	f.mu.Lock()
	_ = f.ln.Close() // accepting ends either way
	var drained chan struct{}
	if len(f.conns) > 0 {
		drained = make(chan struct{})
		f.drained = drained
	}
	for c := range f.conns {
		c.finish()
	}
	f.mu.Unlock()
	if drained != nil {
		select {
		case <-drained:
		case <-limit.Done():
		}
	}
	f.Close()
	return nil
}

// Close closes all connections, and returns when all goroutines of the front have ended.
func (f *Front) Close() {
	f.mu.Lock()
	if f.ln != nil {
		_ = f.ln.Close() // accepting ends either way
	}
	for c := range f.conns {
		_ = c.nc.Close() // the connection is released even where this fails
	}
	f.mu.Unlock()
	f.tasks.Wait()
}
