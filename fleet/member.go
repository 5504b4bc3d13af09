package fleet

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Standing is what this member makes of another, by what it hears of it.
type Reachability string

// The standings.
const (
	Reachable    Reachability = "here"       // its own word is new, by whatever way
	Unknown      Reachability = "unknown"    // nothing was ever heard of it
	Unreachable  Reachability = "gone"       // nobody has heard anything new of it
	LinkDown     Reachability = "cut link"   // others have new words of it, and it does not reach this member itself
	OneWay       Reachability = "unheard by" // it is heard, and does not hear this member
	Undetermined Reachability = "unclear"    // nothing can be said: this member is cut off, or has just gone on
)

// beat is the value of topic 0: what a life says of itself.
type heartbeat struct {
	maxRate      uint32   // requests a second that it takes at most
	receivesFrom []uint64 // members that it has heard itself of late, a bit each; empty in a large fleet
}

// mostBits bounds the members of whom a beat tells whether they are heard.
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

// round is the time in which each member tells each other one something itself, with some to spare for what is lost.
func (n *Node) cycleDuration() time.Duration {
	return time.Duration((n.cfg.Members+Fanout-1)/Fanout) * Interval
}

// silence is after how long without a new word a member counts as silent.
func (n *Node) silenceTimeout() time.Duration {
	return 2*time.Second + 2*n.publishInterval() + 2*n.cycleDuration()
}

// hears reports whether a member was heard from itself of late.
func (n *Node) receivesFrom(i int) bool {
	m := &n.members[i]
	return i == n.cfg.Number || m.lastDatagram >= 0 && n.now-m.lastDatagram <= 2*time.Second+4*n.cycleDuration()
}

// Standing judges a member.
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

// unheardBy reports whether a member that is heard says that it does not hear this one, or shows it by what it acknowledges.
func (n *Node) isOneWay(m *member) bool {
	b, ok := decodeHeartbeat(m.record(0).value)
	if number := n.cfg.Number; ok && number/64 < len(b.receivesFrom) {
		return n.now > n.silenceTimeout() && b.receivesFrom[number/64]>>(number%64)&1 == 0
	}
	return n.now-m.ackedSentAt > n.silenceTimeout()+n.publishInterval()
}

// Alone reports that nobody is heard: this member is cut off, or has just gone on after a pause and what it knows is old.
func (n *Node) Isolated() bool {
	if n.cfg.Members == 1 {
		return false
	}
	for i := range n.members {
		if m := &n.members[i]; i != n.cfg.Number && m.lastDatagram >= 0 && m.lastDatagram >= n.resumedAt && n.now-m.lastDatagram <= n.silenceTimeout() {
			return false
		}
	}
	return true
}

// Stale reports that this process has just gone on after standing still, and has heard nobody since: its view is as old as its pause.
func (n *Node) Stale(now time.Duration) bool {
	return n.lastTick > 0 && now-n.lastTick > suspendThreshold || n.resumedAt > 0 && n.Isolated() && now-n.resumedAt < n.silenceTimeout()
}

// Heard is the part of the members that are here.
func (n *Node) ReachableShare() float64 {
	reachable := 0
	for i := range n.members {
		if s := n.Reachability(i); s == Reachable || s == LinkDown || s == OneWay {
			reachable++
		}
	}
	return float64(reachable) / float64(n.cfg.Members)
}

// watch tells of members that fall silent or return, and of this one when it is cut off.
func (n *Node) logChanges() {
	isolated := n.Isolated()
	if isolated != n.wasIsolated && n.now > n.silenceTimeout() {
		n.wasIsolated = isolated
		if isolated {
			n.log(n.cfg.Number, "hears nobody: it is cut off, or all others are gone")
		} else {
			n.log(n.cfg.Number, "hears others again")
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
				n.log(i, fmt.Sprintf("silent: nobody has had a new word of it for %v", (n.now-m.lastHeartbeat).Round(time.Millisecond)))
			} else {
				n.log(i, "is heard again")
			}
		}
	}
}

// MemberView is what is known of a member, for operators.
type MemberView struct {
	Number         int
	Reachability   Reachability
	Incarnation    Incarnation
	SinceDatagram  time.Duration // since it was heard itself; below 0: never
	SinceHeartbeat time.Duration // since a new word of it came, by whatever way
	SinceComplete  time.Duration // since when it may have done more than is known; below 0: not known
	ReceivesFrom   []bool        // by member, as it says; empty in a large fleet
	Counters       Counters      // over all cells and lives
	Conflict       bool
}

// Life returns the latest life of a member that was heard of; 0: none was.
func (n *Node) Incarnation(member int) Incarnation { return n.members[member].inc }

// View returns what is known of each member.
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
