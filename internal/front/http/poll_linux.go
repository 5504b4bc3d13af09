package http

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"firplank/internal/core"
	"firplank/internal/poller"
	"firplank/internal/socket"
	"firplank/internal/timerwheel"
)

// PollFront serves clients with epoll: a connection without a request has no goroutine, no timer and no buffer. One goroutine
// reads all connections. Answers are written on the goroutine that has them, and what the socket does not accept is written when
// the kernel reports that there is room.
//
// Its lock guards what concerns all connections (count, queues, time-outs). It is the innermost lock: whoever holds it must not
// lock a connection.
type PollFront struct {
	cfg        Config
	exchange   core.Exchange
	start      time.Time
	failed     chan error
	acceptDone chan struct{} // closed when accepting has ended
	drainState
	maxConns           atomic.Int64 // maximum of connections
	mismatchLogLimit   rate.Sometimes
	truncationLogLimit rate.Sometimes // of answers cut short
	poller             *poller.Poller
	tasks              sync.WaitGroup
	date               atomic.Pointer[date] // the current Date header
	wakeUp             chan struct{}        // runTimeouts must run before wakeAt; capacity one

	readBuffer []byte // used only on the poller's goroutine

	mu         sync.Mutex
	ln         net.Listener
	listenFile *os.File // duplicate of its descriptor
	closed     bool
	open       int
	wheel      *timerwheel.Wheel[*pollConn]
	wakeAt     time.Duration // when runTimeouts runs next
	unused     queue         // connections that never carried a request, oldest first
	idle       queue         // between two requests, longest idle first
	lingering  queue         // until the client has read the last answer
	partial    queue         // with an incomplete request, in the order of its first byte
	drained    chan struct{}
}

// NewPoll returns a front that submits requests to an exchange.
func NewPoll(cfg Config, exchange core.Exchange) (*PollFront, error) {
	p, err := poller.New()
	if err != nil {
		return nil, err
	}
	f := &PollFront{
		cfg: cfg, exchange: exchange, start: time.Now(), failed: make(chan error, 1), acceptDone: make(chan struct{}),
		poller: p, readBuffer: make([]byte, readBufferBytes), wheel: timerwheel.New[*pollConn](wheelTick, wheelSlots),
		mismatchLogLimit: rate.Sometimes{First: 3, Interval: time.Second}, truncationLogLimit: rate.Sometimes{First: 5, Interval: time.Second},
		wakeUp: make(chan struct{}, 1),
	}
	f.Resize(cfg.Connections)
	return f, nil
}

const (
	wheelTick  = 50 * time.Millisecond
	wheelSlots = 1024 // most time-outs are within one revolution
)

// readBufferBytes is the size of the buffer that all connections share for reading. An incomplete request is copied to its
// connection's buffer.
const readBufferBytes = 64 << 10

func (f *PollFront) now() time.Duration { return time.Since(f.start) }

// date is the value of the Date header for one second.
type date struct {
	second int64
	text   string
}

// dateValue returns the current value of the Date header.
func (f *PollFront) dateValue() string {
	now := time.Now()
	d := f.date.Load()
	if d == nil || d.second != now.Unix() {
		d = &date{now.Unix(), now.UTC().Format(time.RFC1123[:len(time.RFC1123)-3] + "GMT")}
		f.date.Store(d)
	}
	return d.text
}

// Serve accepts connections until End, on goroutines that Wait waits for, and returns at once. Failed delivers its error.
func (f *PollFront) Serve(ln net.Listener) {
	listenFile, err := duplicateListener(ln)
	if err != nil {
		f.failed <- err
		return
	}
	f.mu.Lock()
	f.ln, f.listenFile = ln, listenFile
	f.mu.Unlock()
	f.tasks.Go(func() {
		defer close(f.acceptDone)
		if err := f.accept(listenFile); err != nil && !errors.Is(err, net.ErrClosed) {
			f.failed <- err
		}
	})
	f.tasks.Go(func() { f.poller.Run(func() {}, nil) })
	done := make(chan struct{})
	f.tasks.Go(func() { f.runTimeouts(done) })
	f.tasks.Go(func() {
		<-f.exchange.Done()
		f.closeAll()
		close(done)
	})
}

// Failed delivers the error that ended serving before End.
func (f *PollFront) Failed() <-chan error { return f.failed }

// duplicateListener returns a duplicate of a listener's descriptor, with which the runtime waits for connections that are accepted as
// bare descriptors; the listener itself does not allow that.
func duplicateListener(ln net.Listener) (*os.File, error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("listen: %T has no descriptor", ln)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fd, failed := -1, error(nil)
	if err := raw.Control(func(l uintptr) { fd, failed = unix.FcntlInt(l, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if failed != nil {
		return nil, fmt.Errorf("listen: %w", failed)
	}
	return os.NewFile(uintptr(fd), "listener"), nil
}

// accept accepts connections as bare descriptors.
func (f *PollFront) accept(listenFile *os.File) error {
	raw, err := listenFile.SyscallConn()
	if err != nil {
		return fmt.Errorf("accept: %w", err)
	}
	for {
		fd, failed := -1, error(nil)
		err := raw.Read(func(l uintptr) bool {
			fd, _, failed = unix.Accept4(int(l), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			return !errors.Is(failed, unix.EAGAIN)
		})
		switch {
		case err != nil:
			return net.ErrClosed
		case errors.Is(failed, unix.EINTR) || errors.Is(failed, unix.ECONNABORTED):
		case failed != nil && socket.Exhausted(failed):
			// Connections in the backlog count as accepted for their clients, so the pause must be short.
			if !f.cfg.Evict() && !f.evict() {
				time.Sleep(2 * time.Millisecond)
			}
		case failed != nil:
			return fmt.Errorf("accept: %w", failed)
		default:
			f.add(fd)
		}
	}
}

// add registers a new connection and evicts another one if there are too many. If all others have open requests, it closes the new
// one.
func (f *PollFront) add(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // the connection works without the option
	f.mu.Lock()
	full := f.open >= int(f.maxConns.Load())
	f.mu.Unlock()
	if full && !f.evict() {
		_ = unix.Close(fd) // the descriptor is released even where this fails
		return
	}
	c := &pollConn{front: f, fd: fd}
	c.timeout.Owner = c
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		_ = unix.Close(fd) // the descriptor is released even where this fails
		return
	}
	f.open++
	f.moveTo(c, &f.unused, headTimeout)
	f.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != pollClosed && f.poller.Register(fd, c, &c.registration) != nil {
		c.close()
	}
}
