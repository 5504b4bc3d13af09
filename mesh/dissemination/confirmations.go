package dissemination

import (
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/timing"
)

// maxPendingOperations is the maximum number of deferred operations. Further operations are confirmed at once.
const maxPendingOperations = 256

// QuorumLost reports whether a control machine counts as out of contact with a majority: a majority last replied at lastReply (negative if
// never), more than timeout ago (timing.Dissemination.QuorumTimeout). Times are measured from the machine's start, so a machine that has
// just started has that time to complete its first phase. The control plane uses it to reject operations (operations.Health).
func QuorumLost(now, lastReply, timeout time.Duration) bool { return now-max(lastReply, 0) > timeout }

// Confirmations decides when a control machine confirms an operation that the register has committed: as soon as the version is in force
// at all sidecars that subscribe, directly or through relays, to this machine or to other control machines in contact, and at the latest
// timing.Dissemination.AckTimeout after the operation arrived. So a partitioned or slow sidecar delays each change by that time at most,
// and only while it counts as a subscriber. It is not safe for concurrent use.
type Confirmations struct {
	durations timing.Dissemination
	peers     map[string]peerReport
	pending   []pendingOperation
}

// NewConfirmations returns a Confirmations without deferred operations.
func NewConfirmations(t timing.Dissemination) *Confirmations {
	return &Confirmations{durations: t, peers: map[string]peerReport{}}
}

// peerReport is the lowest version in force at the subscribers of another control machine, and when that was reported.
type peerReport struct {
	lowestInForce configversion.Version
	receivedAt    time.Duration
}

type pendingOperation struct {
	id       uint64
	version  configversion.Version
	deadline time.Duration
}

// RecordPeer records the lowest version in force that another control machine reports for its subscribers.
func (c *Confirmations) RecordPeer(peer string, lowest configversion.Version, now time.Duration) {
	c.peers[peer] = peerReport{lowestInForce: lowest, receivedAt: now}
}

// lowestInForce returns the lowest version in force at any sidecar. The argument lowest is the one of this machine's subscribers. Expired
// peer reports are deleted.
func (c *Confirmations) lowestInForce(lowest configversion.Version, now time.Duration) configversion.Version {
	for peer, report := range c.peers {
		if now-report.receivedAt > c.durations.PeerReportTTL {
			delete(c.peers, peer)
			continue
		}
		lowest = min(lowest, report.lowestInForce)
	}
	return lowest
}

// Defer defers the confirmation of an operation whose request arrived at arrivedAt. localLowest is the lowest version in force at this
// machine's subscribers. Defer returns false if the operation is to be confirmed at once.
func (c *Confirmations) Defer(id uint64, version, localLowest configversion.Version, arrivedAt, now time.Duration) bool {
	deadline := arrivedAt + c.durations.AckTimeout
	if len(c.pending) >= maxPendingOperations || now >= deadline || c.lowestInForce(localLowest, now) >= version {
		return false
	}
	c.pending = append(c.pending, pendingOperation{id: id, version: version, deadline: deadline})
	return true
}

// Release removes the operations that are to be confirmed now and returns their IDs. next is when to call it again if no report arrives
// earlier.
func (c *Confirmations) Release(localLowest configversion.Version, now time.Duration) (confirmed []uint64, next time.Duration) {
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

// Clear discards the deferred operations.
func (c *Confirmations) Clear() { c.pending = c.pending[:0] }
