package http

// This file pauses, resizes and ends the front on the kernel's readiness.

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"firplank/internal/core"
)

// Pause implements what state does, and begins to send clients away.
func (f *PollFront) Pause(on bool) {
	f.drainState.Pause(on)
	f.wakeTimeouts()
}

// sendAway closes connections that carry nothing: some of those beyond the budget after it was lowered, and while clients
// are sent away all that could have been used since.
func (f *PollFront) closeSurplus() {
	f.mu.Lock()
	over := f.open - int(f.maxConns.Load())
	f.mu.Unlock()
	for range min(over, maxEvictionCandidates) {
		if !f.evict() {
			break
		}
	}
	if !f.closesIdle() {
		return
	}
	var unused []*pollConn
	f.mu.Lock()
	for _, q := range []*queue{&f.idle, &f.unused} {
		for c := q.first; c != nil && f.now()-c.queuedAt >= minIdleBeforeClose; c = c.next {
			unused = append(unused, c)
		}
	}
	f.mu.Unlock()
	for _, c := range unused {
		c.closeIfIdle()
	}
}

// Open returns how many connections there are.
func (f *PollFront) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// Resize changes how many connections may be open. Beyond it those that carry nothing go, one after another.
func (f *PollFront) Resize(n int) {
	f.maxConns.Store(int64(max(1, n)))
	f.wakeTimeouts()
}

// End takes new connections for a little while yet, and answers all that was taken, within a time.
func (f *PollFront) End(within time.Duration) error {
	limit, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	finalAnswers := time.NewTimer(within - finalAnswerTime)
	defer finalAnswers.Stop()
	f.ending.Store(true)
	select {
	case <-time.After(f.acceptGrace(f.cfg.AcceptGrace)):
	case err := <-f.failed:
		return fmt.Errorf("serve: %w", err)
	}
	f.drainBacklog()
	f.mu.Lock()
	f.closeListener()
	f.mu.Unlock()
	select { // one that was just accepted is yet to come in
	case <-f.acceptDone:
	case <-limit.Done():
	}
	f.mu.Lock()
	empty := make(chan struct{})
	if f.open == 0 {
		close(empty)
	} else {
		f.drained = empty
	}
	f.mu.Unlock()
	for _, c := range f.queuedConns(&f.idle) { // not those that never asked: a request may be on its way
		c.closeIfIdle()
	}
	select {
	case <-empty:
	case <-finalAnswers.C:
		f.answerRemaining()
		select {
		case <-empty:
		case <-limit.Done():
		}
	}
	f.closeAll()
	return nil
}

// lastWords is how long before the end whatever is still open is given its answer, for that to be written and read.
const finalAnswerTime = 100 * time.Millisecond

// sayLast ends what nothing is owed to and answers the rest: by now the exchange has answered all that it was handed, unless
// the processor was short.
func (f *PollFront) answerRemaining() {
	for _, c := range f.queuedConns(&f.idle, &f.unused) {
		c.closeIfIdle()
	}
	for _, c := range f.queuedConns(&f.partial) {
		c.mu.Lock()
		if c.state == pollReading && c.requestStarted {
			c.closeAfter, c.mustLinger = true, true
			c.sendAnswer(core.Refusal(0))
		}
		c.mu.Unlock()
	}
	for _, h := range f.poller.Handlers() {
		c := h.(*pollConn)
		c.mu.Lock()
		if c.state == pollInFlight && c.call != nil {
			call := c.call
			c.mu.Unlock()
			c.writeAnswer(call, &core.Answer{Kind: core.Failed, Reason: core.DeadlineExceeded, Text: "the sidecar ends"})
			continue
		}
		c.mu.Unlock()
	}
}

// members lists who is in some queues.
func (f *PollFront) queuedConns(queues ...*queue) (all []*pollConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range queues {
		for c := q.first; c != nil; c = c.next {
			all = append(all, c)
		}
	}
	return all
}

// drainBacklog takes in what the kernel has accepted: closing the listener would reset it.
func (f *PollFront) drainBacklog() {
	f.mu.Lock()
	listenFile := f.listenFile
	f.mu.Unlock()
	if listenFile == nil {
		return
	}
	raw, err := listenFile.SyscallConn()
	if err != nil {
		return
	}
	// Fails only on a closed listener, whose backlog is gone.
	_ = raw.Control(func(l uintptr) {
		for range maxBacklog {
			fd, _, err := unix.Accept4(int(l), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == unix.EINTR || err == unix.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			f.add(fd)
		}
	})
}

// mostBacklog bounds what is taken in at the end.
const maxBacklog = 4096

// unlisten ends the taking of connections. The caller holds mu.
func (f *PollFront) closeListener() {
	if f.ln != nil {
		_ = f.ln.Close()         // accepting ends either way
		_ = f.listenFile.Close() // a copy of the listener's descriptor
	}
}

// shut closes everything at once; what the goroutines wait for ends with it.
func (f *PollFront) closeAll() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	f.closeListener()
	f.mu.Unlock()
	for _, h := range f.poller.Handlers() {
		c := h.(*pollConn)
		c.mu.Lock()
		c.close()
		c.mu.Unlock()
	}
	f.poller.Close()
}

// Wait returns when all that Serve started has ended, after the exchange has.
func (f *PollFront) Wait() { f.tasks.Wait() }
