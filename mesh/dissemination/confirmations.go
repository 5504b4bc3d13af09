package dissemination

import (
	"time"

	"firplank/mesh/timing"
)

// maxPending bounds the operations that wait; beyond it none does.
const maxPendingOperations = 256

// QuorumLost reports whether a control machine counts as out of contact with a majority: one has last replied at lastReply (below 0:
// never), more than timeout ago (timing.Dissemination.QuorumTimeout). Times count from the machine's start, so that a machine that has
// just started has that time to complete its first phase. The control plane refuses operations by it (operations.Health).
func QuorumLost(now, lastReply, timeout time.Duration) bool { return now-max(lastReply, 0) > timeout }

// Confirmations decides when a control machine confirms an operation that the register has committed: when the version is in force at all
// sidecars that subscribe to this machine or, directly or not, to the others in contact, at the latest timing.Dissemination.AckTimeout
// after the operation arrived. So a sidecar that is cut off or slow delays each change by that time at most, and only while it counts as
// a subscriber. It is not safe for concurrent use.
type Confirmations struct {
	durations timing.Dissemination
	peers     map[string]peerReport
	pending   []pendingOperation
}

// NewConfirmations returns confirmations for which no operation waits.
func NewConfirmations(t timing.Dissemination) *Confirmations {
	return &Confirmations{durations: t, peers: map[string]peerReport{}}
}

// peerReport is the lowest version in force below another control machine, and when it was reported.
type peerReport struct {
	lowestInForce uint32
	receivedAt    time.Duration
}

type pendingOperation struct {
	id       uint64
	version  uint32
	deadline time.Duration
}

// RecordPeer records the lowest version in force below another control machine.
func (c *Confirmations) RecordPeer(peer string, lowest uint32, now time.Duration) {
	c.peers[peer] = peerReport{lowestInForce: lowest, receivedAt: now}
}

// lowestInForce returns the lowest version in force anywhere, where lowest is that below this machine. It drops reports that have expired.
func (c *Confirmations) lowestInForce(lowest uint32, now time.Duration) uint32 {
	for peer, report := range c.peers {
		if now-report.receivedAt > c.durations.PeerReportTTL {
			delete(c.peers, peer)
			continue
		}
		lowest = min(lowest, report.lowestInForce)
	}
	return lowest
}

// Defer makes an operation wait whose request arrived at arrivedAt; lowest is the lowest version in force below this machine. It reports
// false where the operation is to be confirmed at once.
func (c *Confirmations) Defer(id uint64, version, localLowest uint32, arrivedAt, now time.Duration) bool {
	deadline := arrivedAt + c.durations.AckTimeout
	if len(c.pending) >= maxPendingOperations || now >= deadline || c.lowestInForce(localLowest, now) >= version {
		return false
	}
	c.pending = append(c.pending, pendingOperation{id: id, version: version, deadline: deadline})
	return true
}

// Release returns the operations to be confirmed now, which don't wait any longer, and when to call it again if no report comes before.
func (c *Confirmations) Release(localLowest uint32, now time.Duration) (confirmed []uint64, next time.Duration) {
	next = now + c.durations.AckTimeout
	if len(c.pending) == 0 {
		return nil, next
	}
	inForce := c.lowestInForce(localLowest, now)
	remaining := c.pending[:0]
	for _, op := range c.pending {
		if inForce >= op.version || now >= op.deadline {
			confirmed = append(confirmed, op.id)
			continue
		}
		next = min(next, op.deadline)
		remaining = append(remaining, op)
	}
	c.pending = remaining
	return confirmed, next
}

// Clear forgets the operations that wait.
func (c *Confirmations) Clear() { c.pending = c.pending[:0] }
