package http

// This file pauses, resizes and shuts down the PollFront.

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"firplank/internal/core"
)

// Pause starts a drain, in which connections close after their answer and idle ones after a delay, or ends it.
func (f *PollFront) Pause(on bool) {
	f.drainState.Pause(on)
	f.wakeTimeouts()
}

// closeSurplus closes idle connections: some of those beyond the maximum after it was lowered, and during a drain, after
// idleCloseDelay, all that have been idle for long enough.
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

// Open returns the number of connections.
func (f *PollFront) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// Resize changes the maximum of connections. Idle ones beyond it are closed in the background.
func (f *PollFront) Resize(n int) {
	f.maxConns.Store(int64(max(1, n)))
	f.wakeTimeouts()
}

// End accepts connections for Config.AcceptGrace, then answers all accepted requests, within a time, and closes.
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
	select { // a connection that was just accepted may not be added yet
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
	for _, c := range f.queuedConns(&f.idle) { // not the unused ones: a request may be in flight to them
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

// finalAnswerTime is how long before the end requests that are still open are answered, so that clients can read the answers.
const finalAnswerTime = 100 * time.Millisecond

// answerRemaining closes connections without a request and answers open requests. By now the exchange has answered all requests,
// unless processors were overloaded.
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

// queuedConns returns the connections in some queues.
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

// drainBacklog accepts the connections in the listener's backlog, which the kernel would reset when the listener closes.
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

// maxBacklog bounds the connections that drainBacklog accepts.
const maxBacklog = 4096

// closeListener ends accepting. The caller holds mu.
func (f *PollFront) closeListener() {
	if f.ln != nil {
		_ = f.ln.Close()         // accepting ends either way
		_ = f.listenFile.Close() // a duplicate of the listener's descriptor
	}
}

// closeAll closes the listener, all connections and the poller, which ends the front's goroutines.
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

// Wait returns when all goroutines of Serve have ended, which is after the exchange is done.
func (f *PollFront) Wait() { f.tasks.Wait() }
