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

// PollFront is the front on the kernel's readiness: a connection without a request has no goroutine, no timer of its own
// and no buffer. One goroutine reads all of them; answers are written by whoever has them, and what does not fit is written
// when the kernel says that there is room.
//
// Its lock is for what concerns all connections (places, queues, time-outs) and is the innermost: who holds it takes no
// connection's.
type PollFront struct {
	cfg        Config
	exchange   core.Exchange
	start      time.Time
	failed     chan error
	acceptDone chan struct{} // closed when no connection is taken any more
	drainState
	maxConns           atomic.Int64 // connections
	mismatchLogLimit   rate.Sometimes
	truncationLogLimit rate.Sometimes // bounds what is logged of answers cut short
	poller             *poller.Poller
	tasks              sync.WaitGroup
	date               atomic.Pointer[date] // of answers
	wakeUp             chan struct{}        // something is due before the alarm; has room for one

	readBuffer []byte // the poller's own

	mu         sync.Mutex
	ln         net.Listener
	listenFile *os.File // another descriptor of it
	closed     bool
	open       int
	wheel      *timerwheel.Wheel[*pollConn]
	wakeAt     time.Duration // when tick looks next
	unused     queue         // connections that never asked, the oldest first
	idle       queue         // between two requests, the longest idle first
	lingering  queue         // that wait for their client to read the last answer
	partial    queue         // with a request on its way, in the order in which they began
	drained    chan struct{}
}

// NewPoll returns a front that hands requests to an exchange.
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
	wheelSlots = 1024 // so that most time-outs lie within one round
)

// readAtOnce is the one buffer into which connections are read; what is left of a request that is not whole is kept by its
// connection.
const readBufferBytes = 64 << 10

func (f *PollFront) now() time.Duration { return time.Since(f.start) }

// date is the value of answers' Date in one second.
type date struct {
	second int64
	text   string
}

// dated returns the value of Date now.
func (f *PollFront) dateValue() string {
	now := time.Now()
	d := f.date.Load()
	if d == nil || d.second != now.Unix() {
		d = &date{now.Unix(), now.UTC().Format(time.RFC1123[:len(time.RFC1123)-3] + "GMT")}
		f.date.Store(d)
	}
	return d.text
}

// Serve takes connections until End, on goroutines of its own. What goes wrong comes on Failed.
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

// Failed tells why the front has stopped serving, before End.
func (f *PollFront) Failed() <-chan error { return f.failed }

// fileOf returns another descriptor of a listener, on which the runtime can wait for who accepts bare descriptors: the
// listener itself lets nobody.
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

// accept takes connections in as bare descriptors.
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
			// What waits in the backlog counts as taken, so that the pause must be short.
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

// add takes in a new connection, for which others may have to go. Where all have open requests, it is the new one that is
// closed.
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
