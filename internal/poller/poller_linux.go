// Package poller waits for the readiness of many bare descriptors, with epoll, on one goroutine and without blocking a thread. It owns
// the registration of descriptors, and that no event reaches a handler after its registration has ended. It does not read or write.
//
// Start reading at Poller.
package poller

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Events of a descriptor; a handler is notified of each change once.
const (
	Readable = unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
	Writable = unix.EPOLLOUT | unix.EPOLLHUP | unix.EPOLLERR
	// PeerClosed means that the peer has ended its sending, or the connection has failed: a read after the buffered bytes shows which.
	PeerClosed = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
)

// Handler handles the events of a descriptor, on the poller's goroutine. It must not block.
type Handler interface{ Ready(events uint32) }

// Registration identifies a descriptor at a poller. The zero value is none.
type Registration struct{ slot, gen int32 }

// Poller waits for events, edge-triggered. Its methods are safe for concurrent use.
type Poller struct {
	file   *os.File
	raw    syscall.RawConn
	events []unix.EpollEvent

	mu    sync.Mutex
	slots []Handler // nil where free
	gens  []int32   // by slot: changes with each registration and its end; 0: never used
	free  []int32
}

// maxEvents is the number of events that one system call returns at most.
const maxEvents = 256

// New returns a poller, which Close releases.
func New() (*Poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("poll: %w", err)
	}
	// Non-blocking, so that the runtime waits for it as for any file: no thread blocks in epoll_wait.
	if err := unix.SetNonblock(fd, true); err != nil {
		_ = unix.Close(fd) // the descriptor is released even where this fails
		return nil, fmt.Errorf("poll: %w", err)
	}
	p := &Poller{file: os.NewFile(uintptr(fd), "epoll"), events: make([]unix.EpollEvent, maxEvents)}
	if p.raw, err = p.file.SyscallConn(); err != nil {
		_ = p.file.Close() // an epoll descriptor holds no data
		return nil, fmt.Errorf("poll: %w", err)
	}
	return p, nil
}

// ErrNotNotified means that the system does not report an epoll set as readable in another epoll set, which Run relies on.
var ErrNotNotified = errors.New("the system does not report an epoll set as readable in another epoll set")

const (
	checkWait   = 10 * time.Millisecond // for an event that has happened
	checkRounds = 30                    // a process that gets no processor in one round succeeds in a later one
)

// Check checks whether a Poller works on this system. Run waits for its epoll set with the runtime's, one set in another; on a system
// that has epoll but not that, handlers would never be notified, without an error.
func Check() error {
	p, err := New()
	if err != nil {
		return err
	}
	defer p.Close()
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return fmt.Errorf("poll: %w", err)
	}
	defer func() { _ = unix.Close(fd) }() // the descriptor is released even where this fails
	if err := p.Register(fd, nil, new(Registration)); err != nil {
		return err
	}
	return p.awaitReadiness(func() { _, _ = unix.Write(fd, eventfdOne[:]) }) // a lost event is caused again in the next round
}

// eventfdOne is the value that makes an eventfd readable, in the byte order of every machine: no byte of it is zero.
var eventfdOne = [8]byte{1, 1, 1, 1, 1, 1, 1, 1}

// awaitReadiness waits until the runtime reports an event, without looking for one itself. cause is called to cause an event, once the wait
// has begun: its beginning makes the runtime forget what it was told before.
func (p *Poller) awaitReadiness(cause func()) error {
	for range checkRounds {
		_ = p.file.SetReadDeadline(time.Now().Add(checkWait)) // fails only on a closed descriptor, as Read does
		waited := false
		err := p.raw.Read(func(uintptr) bool {
			before := waited
			waited = true
			if !before {
				cause()
			}
			return before
		})
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("poll: %w", err)
		}
	}
	return ErrNotNotified
}

// Register notifies the handler of all events of a descriptor, those that are pending included. r is set before the first event.
func (p *Poller) Register(fd int, h Handler, r *Registration) error {
	p.mu.Lock()
	if n := len(p.free); n > 0 {
		r.slot, p.free = p.free[n-1], p.free[:n-1]
	} else {
		r.slot = int32(len(p.slots))
		p.slots, p.gens = append(p.slots, nil), append(p.gens, 0)
	}
	p.slots[r.slot] = h
	p.gens[r.slot]++
	r.gen = p.gens[r.slot]
	p.mu.Unlock()
	event := unix.EpollEvent{
		Events: unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET, Fd: r.slot, Pad: r.gen,
	}
	err := p.control(func(epoll int) error { return unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, fd, &event) })
	if err != nil {
		p.Unregister(*r)
		return fmt.Errorf("poll: %w", err)
	}
	return nil
}

// Rearm has the kernel report the pending events again.
func (p *Poller) Rearm(fd int, r Registration) error {
	event := unix.EpollEvent{
		Events: unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET, Fd: r.slot, Pad: r.gen,
	}
	return p.control(func(epoll int) error { return unix.EpollCtl(epoll, unix.EPOLL_CTL_MOD, fd, &event) })
}

// Unregister ends a registration. The caller closes the descriptor, or has called Detach where it stays open.
func (p *Poller) Unregister(r Registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.gen == 0 || p.gens[r.slot] != r.gen || p.slots[r.slot] == nil {
		return
	}
	p.slots[r.slot] = nil
	p.gens[r.slot]++ // a late event finds another generation
	p.free = append(p.free, r.slot)
}

// Detach removes a descriptor that stays open from the epoll set.
func (p *Poller) Detach(fd int) error {
	return p.control(func(epoll int) error { return unix.EpollCtl(epoll, unix.EPOLL_CTL_DEL, fd, nil) })
}

func (p *Poller) control(do func(epoll int) error) error {
	var failed error
	if err := p.raw.Control(func(fd uintptr) { failed = do(int(fd)) }); err != nil {
		return err
	}
	return failed
}

// SetAlarm sets when Run calls its alarm next, in place of an earlier time; never at the zero time.
func (p *Poller) SetAlarm(at time.Time) {
	_ = p.file.SetReadDeadline(at) // fails only once the poller is closed
}

// Run notifies handlers of events until Close. At the time of SetAlarm it calls alarm, which has to set another. After each round of
// events, those pending when the round began, it calls done unless that is nil.
func (p *Poller) Run(alarm func(), done func(began time.Time)) {
	for {
		n := 0
		var began time.Time
		err := p.raw.Read(func(fd uintptr) bool {
			var err error
			if done != nil {
				began = time.Now()
			}
			n, err = unix.EpollWait(int(fd), p.events, 0)
			return n > 0 || err != nil && err != unix.EINTR
		})
		if errors.Is(err, os.ErrDeadlineExceeded) {
			alarm()
			continue
		}
		if err != nil || n < 0 {
			return // closed
		}
		for _, e := range p.events[:n] {
			p.mu.Lock()
			var h Handler
			if int(e.Fd) < len(p.slots) && p.gens[e.Fd] == e.Pad {
				h = p.slots[e.Fd] // else the registration has ended, and its slot may be in use again
			}
			p.mu.Unlock()
			if h != nil {
				h.Ready(e.Events)
			}
		}
		if done != nil && n < len(p.events) {
			done(began)
		}
	}
}

// Handlers returns the handlers of all registrations.
func (p *Poller) Handlers() []Handler {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Handler
	for _, h := range p.slots {
		if h != nil {
			all = append(all, h)
		}
	}
	return all
}

// Close ends Run.
func (p *Poller) Close() {
	_ = p.file.Close() // an epoll descriptor holds no data
}
