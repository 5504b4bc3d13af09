package http

// This file holds the queues of connections, eviction and time-outs.

import (
	"time"
)

// queue is an intrusive list of connections.
type queue struct {
	first, last *pollConn
	length      int
}

func (q *queue) push(c *pollConn) {
	c.queue, c.prev, c.next = q, q.last, nil
	if q.last != nil {
		q.last.next = c
	} else {
		q.first = c
	}
	q.last = c
	q.length++
}

// dequeue removes a connection from its queue. The caller holds the front's mu.
func (c *pollConn) dequeue() {
	q := c.queue
	if q == nil {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		q.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		q.last = c.prev
	}
	c.queue, c.prev, c.next = nil, nil, nil
	q.length--
}

// moveTo moves a connection to a queue, or to none if q is nil, and sets its time-out; 0 clears it. The caller holds mu.
func (f *PollFront) moveTo(c *pollConn, q *queue, timeout time.Duration) {
	c.dequeue()
	if q != nil {
		q.push(c)
		c.queuedAt = f.now()
	}
	if timeout > 0 {
		f.setTimeoutAt(c, f.now()+timeout)
	} else {
		f.wheel.Clear(&c.timeout)
	}
}

// tooManyIdle reports whether no more idle connections are kept.
func (f *PollFront) tooManyIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unused.length+f.idle.length >= maxIdleConns(int(f.maxConns.Load()), f.cfg.MaxIdleFraction)
}

// evict closes a connection without an open request, and reports whether there was one. Its order: one that lingers; the one idle for
// longest, where one that never carried a request is preferred to one idle for less than minIdleBeforeEviction; the one whose incomplete
// request started first.
func (f *PollFront) evict() bool {
	var candidates []*pollConn
	f.mu.Lock()
	first, second := &f.unused, &f.idle
	if c := second.first; c != nil && f.now()-c.queuedAt >= minIdleBeforeEviction &&
		(first.first == nil || c.queuedAt < first.first.queuedAt) {
		first, second = second, first
	}
	for _, q := range []*queue{&f.lingering, first, second} {
		for c := q.first; c != nil && len(candidates) < maxEvictionCandidates; c = c.next {
			candidates = append(candidates, c)
		}
	}
	if c := f.partial.first; c != nil {
		candidates = append(candidates, c)
	}
	f.mu.Unlock()
	for _, c := range candidates {
		if c.closeIfIdle() {
			return true
		}
	}
	return false
}

// runTimeouts handles time-outs when they are due, and runs each wheelTick while there are surplus connections to close.
func (f *PollFront) runTimeouts(done <-chan struct{}) {
	timer := time.NewTimer(wheelTick)
	defer timer.Stop()
	var due []*pollConn
	for {
		select {
		case <-timer.C:
		case <-f.wakeUp:
		case <-done:
			return
		}
		f.mu.Lock()
		now := f.now()
		due = f.wheel.Advance(now, due[:0])
		f.mu.Unlock()
		for _, c := range due {
			c.onTimeout()
		}
		clear(due)
		f.closeSurplus()
		f.mu.Lock()
		f.wakeAt = now + maxWakeInterval
		if next, ok := f.wheel.Next(); ok {
			f.wakeAt = min(f.wakeAt, next)
		}
		if f.paused.Load() != 0 || f.open > int(f.maxConns.Load()) {
			f.wakeAt = min(f.wakeAt, now+wheelTick)
		}
		timer.Reset(f.wakeAt - f.now())
		f.mu.Unlock()
	}
}

// maxWakeInterval is the interval at which runTimeouts runs if nothing is due.
const maxWakeInterval = time.Minute

// setTimeoutAt sets a connection's time-out, and wakes runTimeouts if it would run too late for it. The caller holds mu.
func (f *PollFront) setTimeoutAt(c *pollConn, at time.Duration) {
	f.wheel.Set(&c.timeout, at)
	if at < f.wakeAt-wheelTick {
		f.wakeAt = at
		f.wakeTimeouts()
	}
}

// wakeTimeouts makes runTimeouts run now.
func (f *PollFront) wakeTimeouts() {
	select {
	case f.wakeUp <- struct{}{}:
	default:
	}
}
