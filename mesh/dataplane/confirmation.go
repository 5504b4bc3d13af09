package dataplane

import (
	"time"

	"firplank/mesh/dataplane/distribution"
)

// confirmationRequest asks the loop to report when another process has received the announced state of the local server.
type confirmationRequest struct {
	announceFirst bool          // the state has changed, and is announced first
	done          chan struct{} // closed when the announcement is confirmed
}

// handle implements event.
func (e confirmationRequest) handle(p *Proxy, now time.Duration) {
	if e.announceFirst {
		p.node.Announce(now)
	}
	p.confirmations.add(now, p.node.AnnouncedSequence(), e.done)
}

// pendingConfirmations has the requests that are not confirmed yet. It is owned by the loop. Its size is bounded by the concurrent calls of
// the local server, each of which waits for at most confirmTimeout.
type pendingConfirmations struct{ pending []pendingConfirmation }

type pendingConfirmation struct {
	sequence uint64
	expires  time.Duration
	done     chan struct{}
}

func (c *pendingConfirmations) add(now time.Duration, sequence uint64, done chan struct{}) {
	c.pending = append(c.pending, pendingConfirmation{sequence: sequence, expires: now + confirmTimeout, done: done})
}

// closeConfirmed completes the requests whose sequence a parent of the node has confirmed, and drops expired ones.
func (c *pendingConfirmations) closeConfirmed(now time.Duration, n *distribution.Node) {
	remaining := c.pending[:0]
	for _, w := range c.pending {
		switch {
		case w.sequence <= n.ConfirmedSequence():
			close(w.done)
		case now < w.expires:
			remaining = append(remaining, w)
		}
	}
	c.pending = remaining
}

// confirmAnnouncement lets the loop announce the server's state if changed is set, and waits for at most confirmTimeout until another
// process has received the latest announcement. It returns false if none has. It runs on the goroutine of a call of the local server.
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
