package fleet

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Reachability is this member's judgment of another member, from the datagrams and records that it has received.
type Reachability string

// The values of Reachability.
const (
	Reachable    Reachability = "here"       // its heartbeat is recent, and datagrams pass in both directions
	Unknown      Reachability = "unknown"    // no record of it was ever received
	Unreachable  Reachability = "gone"       // no member has a recent heartbeat of it
	LinkDown     Reachability = "cut link"   // other members have its recent heartbeats, but its own datagrams don't arrive here
	OneWay       Reachability = "unheard by" // its datagrams arrive here, but this member's don't arrive there
	Undetermined Reachability = "unclear"    // this member is isolated, or has just resumed after a suspension
)

// heartbeat is the value of topic 0, in which an incarnation describes itself.
type heartbeat struct {
	maxRate      uint32   // requests a second; 0: it announces no limit
	receivesFrom []uint64 // a bit for each member whose datagrams arrived recently; empty in a large fleet
}

// maxBitmapMembers is the largest fleet whose heartbeats have a bitmap of the members whose datagrams arrive.
const maxBitmapMembers = 512

func (n *Node) encodeHeartbeat() []byte {
	b := binary.AppendUvarint(nil, uint64(min(n.cfg.MaxRate, math.MaxUint32)))
	if n.cfg.Members > maxBitmapMembers {
		return b
	}
	bitmap := make([]byte, (n.cfg.Members+7)/8)
	for i := range n.members {
		if n.receivesFrom(i) {
			bitmap[i/8] |= 1 << (i % 8)
		}
	}
	return append(b, bitmap...)
}

func decodeHeartbeat(v []byte) (b heartbeat, ok bool) {
	maxRate, consumed := binary.Uvarint(v)
	if consumed <= 0 || maxRate > math.MaxUint32 {
		return b, false
	}
	b.maxRate = uint32(maxRate)
	for i, x := range v[consumed:] {
		if i%8 == 0 {
			b.receivesFrom = append(b.receivesFrom, 0)
		}
		b.receivesFrom[i/8] |= uint64(x) << (8 * (i % 8))
	}
	return b, true
}

// cycleDuration returns the time in which each member sends a datagram to every other member, rounded up to whole rounds.
func (n *Node) cycleDuration() time.Duration {
	return time.Duration((n.cfg.Members+Fanout-1)/Fanout) * Interval
}

// silenceTimeout returns the time without a new heartbeat after which a member counts as unreachable.
func (n *Node) silenceTimeout() time.Duration {
	return 2*time.Second + 2*n.publishInterval() + 2*n.cycleDuration()
}

// receivesFrom reports whether a member's own datagrams arrived recently.
func (n *Node) receivesFrom(i int) bool {
	m := &n.members[i]
	return i == n.cfg.Number || m.lastDatagram >= 0 && n.now-m.lastDatagram <= 2*time.Second+4*n.cycleDuration()
}

// Reachability judges member i.
func (n *Node) Reachability(i int) Reachability {
	m := &n.members[i]
	switch {
	case i == n.cfg.Number:
		return Reachable
	case n.Isolated():
		return Undetermined
	case m.inc == 0:
		return Unknown
	case n.now-m.lastHeartbeat > n.silenceTimeout():
		return Unreachable
	case !n.receivesFrom(i):
		return LinkDown
	case n.isOneWay(m):
		return OneWay
	}
	return Reachable
}

// isOneWay reports whether this member's datagrams don't arrive at m, while those of m arrive here. This follows from the bitmap in
// m's heartbeat or, in a large fleet, from the age of the heartbeat that m last acknowledged.
func (n *Node) isOneWay(m *member) bool {
	b, ok := decodeHeartbeat(m.record(0).value)
	if number := n.cfg.Number; ok && number/64 < len(b.receivesFrom) {
		return n.now > n.silenceTimeout() && b.receivesFrom[number/64]>>(number%64)&1 == 0
	}
	return n.now-m.ackedSentAt > n.silenceTimeout()+n.publishInterval()
}

// Isolated reports that no datagram arrived recently: this member is partitioned from all others, or has just resumed after a
// suspension and its view is stale.
func (n *Node) Isolated() bool {
	if n.cfg.Members == 1 {
		return false
	}
	for i := range n.members {
		if m := &n.members[i]; i != n.cfg.Number && m.lastDatagram >= 0 && m.lastDatagram >= n.resumedAt &&
			n.now-m.lastDatagram <= n.silenceTimeout() {
			return false
		}
	}
	return true
}

// Stale reports that this process is or was suspended, and has received nothing since. Its view is then as old as the suspension is
// long.
func (n *Node) Stale(now time.Duration) bool {
	return n.lastTick > 0 && now-n.lastTick > suspendThreshold || n.resumedAt > 0 && n.Isolated() && now-n.resumedAt < n.silenceTimeout()
}

// ReachableShare returns the share of the members that run, by recent heartbeats: 0 to 1.
func (n *Node) ReachableShare() float64 {
	reachable := 0
	for i := range n.members {
		if s := n.Reachability(i); s == Reachable || s == LinkDown || s == OneWay {
			reachable++
		}
	}
	return float64(reachable) / float64(n.cfg.Members)
}

// logChanges logs members that become unreachable or reachable again, and this member's own isolation.
func (n *Node) logChanges() {
	isolated := n.Isolated()
	if isolated != n.wasIsolated && n.now > n.silenceTimeout() {
		n.wasIsolated = isolated
		if isolated {
			n.log(n.cfg.Number, "received nothing from any member: this one is isolated, or all others have stopped")
		} else {
			n.log(n.cfg.Number, "receives datagrams from other members again")
		}
	}
	if isolated {
		return
	}
	for i := range n.members {
		m := &n.members[i]
		if s := n.Reachability(i); (s == Unreachable) != m.loggedUnreachable {
			m.loggedUnreachable = s == Unreachable
			if m.loggedUnreachable {
				n.log(i, fmt.Sprintf("unreachable: no new heartbeat for %v", (n.now-m.lastHeartbeat).Round(time.Millisecond)))
			} else {
				n.log(i, "reachable again")
			}
		}
	}
}

// MemberView is this member's view of one member, for operators.
type MemberView struct {
	Number         int
	Reachability   Reachability
	Incarnation    Incarnation
	SinceDatagram  time.Duration // since a datagram of its own arrived; below 0: never
	SinceHeartbeat time.Duration // since a new heartbeat of it arrived, also through others
	SinceComplete  time.Duration // since the time up to which its records are known to be complete; below 0: unknown
	ReceivesFrom   []bool        // by member, from its heartbeat; empty in a large fleet
	Counters       Counters      // over all cells and incarnations
	Conflict       bool
}

// Incarnation returns the latest known incarnation of a member; 0: none is known.
func (n *Node) Incarnation(member int) Incarnation { return n.members[member].inc }

// View returns this member's view of each member, by number.
func (n *Node) View() []MemberView {
	views := make([]MemberView, len(n.members))
	since := func(t time.Duration) time.Duration {
		if t < 0 {
			return -1
		}
		return n.now - t
	}
	for i := range n.members {
		m := &n.members[i]
		v := MemberView{Number: i, Reachability: n.Reachability(i), Incarnation: m.inc, SinceDatagram: since(m.lastDatagram),
			SinceHeartbeat: since(m.lastHeartbeat), SinceComplete: since(m.completeAsOf), Conflict: m.conflict}
		if i == n.cfg.Number {
			v.SinceDatagram, v.SinceHeartbeat, v.SinceComplete = 0, 0, 0
		}
		if b, ok := decodeHeartbeat(m.record(0).value); ok && len(b.receivesFrom) > 0 {
			v.ReceivesFrom = make([]bool, len(n.members))
			for j := range n.members {
				v.ReceivesFrom[j] = b.receivesFrom[min(j/64, len(b.receivesFrom)-1)]>>(j%64)&1 == 1
			}
		}
		for cell := range n.cfg.Cells {
			p := n.history(m, cell)
			t := p.total()
			v.Counters.add(&t)
			c, _ := decodeCounts(m.record(1 + cell).value)
			v.Counters.add(&c)
		}
		views[i] = v
	}
	return views
}
