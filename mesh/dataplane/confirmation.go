package dataplane

import (
	"time"

	"firplank/mesh/dataplane/distribution"
)

// announcement waits until another process has what this sidecar announces of its server.
type confirmationRequest struct {
	announceFirst bool          // it has changed, and is to be announced first
	done          chan struct{} // closed once it is confirmed
}

// handle implements event.
func (e confirmationRequest) handle(p *Proxy, now time.Duration) {
	if e.announceFirst {
		p.node.Announce(now)
	}
	p.confirmations.add(now, p.node.Announced(), e.done)
}

// announcements are those that wait, by the sequence of this sidecar's entry. It belongs to the loop. Its size is bounded by the calls of
// the local server that wait, each for confirmTimeout.
type pendingConfirmations struct{ pending []pendingConfirmation }

type pendingConfirmation struct {
	sequence uint64
	expires  time.Duration
	done     chan struct{}
}

func (c *pendingConfirmations) add(now time.Duration, sequence uint64, done chan struct{}) {
	c.pending = append(c.pending, pendingConfirmation{sequence: sequence, expires: now + confirmTimeout, done: done})
}

// confirm ends the waiting of those that a node's parent has, and forgets those whose caller waits no more.
func (c *pendingConfirmations) closeConfirmed(now time.Duration, n *distribution.Node) {
	remaining := c.pending[:0]
	for _, w := range c.pending {
		switch {
		case w.sequence <= n.Confirmed():
			close(w.done)
		case now < w.expires:
			remaining = append(remaining, w)
		}
	}
	c.pending = remaining
}

// confirmAnnouncement has the loop announce the server's state, if it has changed, and waits for confirmTimeout at most until another
// process has it. It is called by the goroutine of a call of the local server.
func (p *Proxy) confirmAnnouncement(changed bool) bool {
	e := confirmationRequest{announceFirst: changed, done: make(chan struct{})}
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
