package dataplane

import (
	"time"

	"firplank/mesh/dataplane/distribution"
)

// announcement waits until another process has what this sidecar announces of its server.
type announcement struct {
	announce bool          // it has changed, and is to be announced first
	done     chan struct{} // closed once it is confirmed
}

// handle implements event.
func (e announcement) handle(p *Proxy, now time.Duration) {
	if e.announce {
		p.node.Announce(now)
	}
	p.announcements.await(now, p.node.AnnouncedSequence(), e.done)
}

// announcements are those that wait, by the sequence of this sidecar's entry. It belongs to the loop. Its size is bounded by the calls of
// the local server that wait, each for confirmTimeout.
type announcements struct{ waiting []waitingAnnouncement }

type waitingAnnouncement struct {
	sequence uint64
	expires  time.Duration
	done     chan struct{}
}

func (a *announcements) await(now time.Duration, sequence uint64, done chan struct{}) {
	a.waiting = append(a.waiting, waitingAnnouncement{sequence: sequence, expires: now + confirmTimeout, done: done})
}

// confirm ends the waiting of those that a node's parent has, and forgets those whose caller waits no more.
func (a *announcements) confirm(now time.Duration, n *distribution.Node) {
	remaining := a.waiting[:0]
	for _, w := range a.waiting {
		switch {
		case w.sequence <= n.ConfirmedSequence():
			close(w.done)
		case now < w.expires:
			remaining = append(remaining, w)
		}
	}
	a.waiting = remaining
}

// confirmAnnouncement has the loop announce the server's state, if it has changed, and waits for confirmTimeout at most until another
// process has it. It is called by the goroutine of a call of the local server.
func (p *Proxy) confirmAnnouncement(changed bool) bool {
	e := announcement{announce: changed, done: make(chan struct{})}
	if !p.post(e) {
		return false
	}
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	select {
	case <-e.done:
		return true
	case <-timer.C:
	case <-p.ctx.Done():
	}
	return false
}
