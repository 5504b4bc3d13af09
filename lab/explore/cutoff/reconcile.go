package cutoff

import (
	"time"

	"firplank/mesh/lease"
	"firplank/mesh/replacement"
	"firplank/mesh/timing"
)

// durations are those of a deployment with the documented settings.
var durations = timing.DefaultInForce(inForceBound)

// reconcileMembers closes connections to silent peers and ticks the shipped reconciler. While a connection is blocked, its other end does
// not notice the close.
func (c *controlMachine) reconcileMembers(now time.Duration) {
	for _, p := range c.peers.Silent(now, durations.Replacement.DetectionTimeout/2) {
		if to := c.w.nodeID(p.Addr); c.w.blocked(c.id, to) || c.w.blocked(to, c.id) {
			c.reconnect(p)
		} else {
			c.w.net.close(p.Conn)
		}
	}
	c.reconciler.Tick(now)
}

// SendLease implements reconcile.Sink.
func (c *controlMachine) SendLease(m lease.Message) { c.w.net.send(c.connTo(m.To), c.id, m, 60) }

// ReplacementProposed implements reconcile.Sink.
func (c *controlMachine) ReplacementProposed(replacement.Change) {}

// HandoverProposed implements reconcile.Sink.
func (c *controlMachine) HandoverProposed(replacement.Change) {}

// RepairCompleted implements reconcile.Sink.
func (c *controlMachine) RepairCompleted(int, time.Duration) {}

// Depart implements reconcile.Sink. No machine departs on these days.
func (c *controlMachine) Depart(error, bool) {}
