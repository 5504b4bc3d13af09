package dataplane

import "time"

// maxDurableTombstones bounds the servers whose shutdowns are known to be durable. A machine has one server at a time; beyond the bound,
// the one that was recorded longest ago is recorded again if it is requested.
const maxDurableTombstones = 64

// tombstoneRequested asks the loop to make the shutdown of a local server durable, and to report when it is.
type tombstoneRequested struct {
	server        string
	announceFirst bool          // the server's state has changed, and is announced first
	done          chan struct{} // closed when the shutdown is durable
}

// handle implements event.
func (e tombstoneRequested) handle(p *Proxy, now time.Duration) {
	if e.announceFirst {
		p.node.Announce(now)
	}
	if p.tombstones.isDurable(now, e.server) {
		close(e.done)
		return
	}
	p.tombstones.wait(now, e.server, e.done)
	p.node.RecordTombstone(now, e.server)
}

// tombstoneWaiters are the calls of local servers that wait until the server's shutdown is durable, and the shutdowns that are. It is owned
// by the loop. The number of waiting calls is bounded by the concurrent calls of the local server.
type tombstoneWaiters struct {
	callTimeout, refreshAge time.Duration
	waiting                 map[string][]tombstoneWaiter
	durable                 map[string]time.Duration // by server: when it was recorded last
}

type tombstoneWaiter struct {
	done    chan struct{}
	expires time.Duration
}

func newTombstoneWaiters(callTimeout, refreshAge time.Duration) tombstoneWaiters {
	return tombstoneWaiters{
		callTimeout: callTimeout,
		refreshAge:  refreshAge,
		waiting:     map[string][]tombstoneWaiter{},
		durable:     map[string]time.Duration{},
	}
}

// isDurable reports whether a server's shutdown is durable and was recorded lately.
func (w *tombstoneWaiters) isDurable(now time.Duration, server string) bool {
	recordedAt, durable := w.durable[server]
	return durable && now-recordedAt < w.refreshAge
}

func (w *tombstoneWaiters) wait(now time.Duration, server string, done chan struct{}) {
	w.waiting[server] = append(w.waiting[server], tombstoneWaiter{done: done, expires: now + w.callTimeout})
}

// recorded ends the calls that wait for a server's shutdown to be durable.
func (w *tombstoneWaiters) recorded(now time.Duration, server string) {
	if len(w.durable) >= maxDurableTombstones {
		w.forgetOldest()
	}
	w.durable[server] = now
	for _, waiter := range w.waiting[server] {
		close(waiter.done)
	}
	delete(w.waiting, server)
}

func (w *tombstoneWaiters) forgetOldest() {
	oldest := ""
	for server, recordedAt := range w.durable {
		if oldest == "" || recordedAt < w.durable[oldest] {
			oldest = server
		}
	}
	delete(w.durable, oldest)
}

// expire drops the calls that no longer wait.
func (w *tombstoneWaiters) expire(now time.Duration) {
	for server, waiters := range w.waiting {
		if now >= waiters[len(waiters)-1].expires {
			delete(w.waiting, server)
		}
	}
}

// recordTombstone lets the loop announce the server's state if announceFirst is set, and waits for at most timing.Tombstones.CallTimeout
// until the server's shutdown is durable. It returns false if it is not known to be. It runs on the goroutine of a call of the local
// server.
func (p *Proxy) recordTombstone(server string, announceFirst bool) (durable bool) {
	e := tombstoneRequested{server: server, announceFirst: announceFirst, done: make(chan struct{})}
	if !p.post(e) {
		return false
	}
	timer := time.NewTimer(p.durations.Tombstones.CallTimeout)
	defer timer.Stop()
	select {
	case <-e.done:
		return true
	case <-timer.C:
	case <-p.ctx.Done():
	}
	return false
}
