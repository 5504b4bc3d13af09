package fleet

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// word is the latest value of a topic, by one life of a member.
type record struct {
	version       uint32 // 0: none is known
	transmitsLeft uint8  // times that it is still to be passed on as new
	value         []byte
}

// life is what is kept of a former life of a member.
type formerIncarnation struct {
	inc     Incarnation
	records []record // of its counts, and what it said of its own past; by topic
}

// member is what is known of a member.
type member struct {
	inc     Incarnation         // of its latest life that was heard of
	records []record            // of that life: the beat, its chunks, and what it says of its former lives; nil until one is heard
	former  []formerIncarnation // former ones, the latest first

	versionSum         uint32        // versions of all words together
	hash               uint32        // ... and a hash of them
	lastDatagram       time.Duration // when it was last heard from itself; -1: never
	lastHeartbeat      time.Duration // when a newer beat of it last came, by whatever way
	completeAsOf       time.Duration // all that it took before then is in its words; -1: not known
	formerUnreported   uint64        // requests that its former lives may have taken beyond their words
	ackedSentAt        time.Duration // when the beat of ours was sent that it last said to hold
	lastSeq            uint32        // of its datagrams: the latest, and which of the 64 before it came
	seqWindow          uint64
	seqInc             Incarnation
	missing            []uint16 // members of which it lacks words
	missingTopic       int      // how far its first one is told
	nextOwnTopic       int      // which of our words it is told next
	requestedBlock     int      // a block of which it knows more, and one; 0: none
	loggedUnreachable  bool     // it was said to be
	heartbeatAtPublish uint32   // the beat of it that we held when we last published
	formerRate         uint32   // the rate that a former life kept to
	superseded         bool     // it spoke last by a life that is below another of it
	unreportedKnown    bool     // of this member alone: others have told what its former lives may have done beyond their words
	unbounded          bool     // what a former life may have done has no bound that is known
	conflict           bool
}

// topics of a life: the beat, then a cell's counts each, then what it says of each cell in its former lives.
func (n *Node) topicCount() int           { return 1 + 2*n.cfg.Cells }
func (n *Node) historyTopic(cell int) int { return 1 + n.cfg.Cells + cell }

func (m *member) record(topic int) *record {
	if topic >= len(m.records) {
		return &record{}
	}
	return &m.records[topic]
}

// item is a word on its way.
type update struct {
	member, topic int
	inc           Incarnation
	version       uint32
	value         []byte
}

// merge takes in a word if it is newer than what is known, and reports whether it was.
func (n *Node) mergeUpdate(u *update) bool {
	m := &n.members[u.member]
	if u.member == n.cfg.Number {
		return n.mergeOwn(u)
	}
	switch {
	case u.inc > m.inc:
		n.startIncarnation(u.member, u.inc)
	case u.inc < m.inc && n.planted != FormerIncarnationWins:
		return n.mergeFormer(m, u)
	case u.inc < m.inc:
		n.startIncarnation(u.member, u.inc)
	}
	if m.records == nil {
		m.records = make([]record, n.topicCount())
	}
	w := &m.records[u.topic]
	if u.version <= w.version && n.planted != OldVersionWins {
		if u.version == w.version && !bytes.Equal(u.value, w.value) {
			n.drops.Conflicting++
			if !m.conflict {
				m.conflict = true
				n.log(u.member, "says two things under one version: two processes may have its number")
			}
			// All have to keep the same of the two.
			if bytes.Compare(u.value, w.value) <= 0 {
				return false
			}
		} else {
			n.drops.Stale++
			return false
		}
	}
	n.store(m, u)
	if u.topic == 0 {
		m.lastHeartbeat = n.now
	}
	return true
}

// set makes a word the latest, and one to be passed on.
func (n *Node) store(m *member, u *update) {
	w := &m.records[u.topic]
	m.versionSum += u.version - w.version
	m.hash ^= versionHash(u.topic, w.version) ^ versionHash(u.topic, u.version)
	w.version, w.value = u.version, append(w.value[:0], u.value...)
	if w.transmitsLeft == 0 {
		if len(n.broadcasts)-n.broadcastHead >= maxBroadcasts {
			return // the background and digests bring it
		}
		n.broadcasts = append(n.broadcasts, recordKey{uint16(u.member), uint16(u.topic)})
	}
	w.transmitsLeft = n.transmitLimit()
}

// mix hashes a version of a topic; 0 for none.
func versionHash(topic int, version uint32) uint32 {
	if version == 0 {
		return 0
	}
	h := (uint32(topic)+1)*0x9e3779b1 ^ version*0x85ebca6b
	h = (h ^ h>>15) * 0x2c1b3c6d
	h = (h ^ h>>12) * 0x297a2d39
	return h ^ h>>15
}

// newLife begins a life of a member; what its former one has told of counts stays, until the member itself has taken it in.
func (n *Node) startIncarnation(memberIndex int, inc Incarnation) {
	m := &n.members[memberIndex]
	if m.inc != 0 {
		// Until now at the latest it went on, within its stated rate. Where nothing bounds that, nothing will.
		m.unbounded = m.unbounded || m.completeAsOf < 0 || n.announcedRate(m) == 0
		if n.planted != UnreportedForgotten {
			m.formerUnreported = n.maxUnreported(m)
		}
		m.completeAsOf = n.now
		if b, ok := decodeHeartbeat(m.record(0).value); ok {
			m.formerRate = b.maxRate
		}
		if m.records != nil && n.planted != HistoryForgotten {
			m.former = append([]formerIncarnation{{m.inc, m.records}}, m.former...)
			m.former = m.former[:min(len(m.former), maxFormerIncarnations)]
		}
		n.log(memberIndex, "has started anew")
	}
	m.inc, m.records, m.versionSum, m.hash = inc, nil, 0, 0
}

// formerWord takes in a late word of a former life. What the member's present life has taken in, or closed, cannot count again.
func (n *Node) mergeFormer(m *member, u *update) bool {
	if u.topic == 0 || n.isFolded(m, u.inc) {
		n.drops.Stale++
		return false
	}
	i := 0
	for i < len(m.former) && m.former[i].inc > u.inc {
		i++
	}
	if i == len(m.former) || m.former[i].inc != u.inc {
		if i >= maxFormerIncarnations {
			n.drops.Stale++
			return false
		}
		m.former = slices.Insert(m.former, i, formerIncarnation{u.inc, make([]record, n.topicCount())})
		m.former = m.former[:min(len(m.former), maxFormerIncarnations)]
	}
	w := &m.former[i].records[u.topic]
	if u.version <= w.version {
		n.drops.Stale++
		return false
	}
	w.version, w.value = u.version, append([]byte(nil), u.value...)
	return true
}

// closed reports whether the present life has closed a former one in any cell: its words are of no use then.
func (n *Node) isFolded(m *member, inc Incarnation) bool {
	for cell := range n.cfg.Cells {
		if p, ok := decodeHistory(m.record(n.historyTopic(cell)).value); ok && inc <= p.horizon {
			return true
		}
	}
	return false
}

// ownWord takes in what others say of this member: words of its former lives are taken into its past. A life above this one is
// another process, or this one's clock went back: this life goes above it.
func (n *Node) mergeOwn(u *update) bool {
	me := n.self()
	switch {
	case u.inc > me.inc, u.inc == me.inc && u.version > me.record(u.topic).version:
		n.raiseIncarnation(max(u.inc, me.inc))
		return true
	case u.inc == me.inc || u.topic == 0:
		return false
	}
	cell := u.topic - 1
	if cell >= n.cfg.Cells {
		cell -= n.cfg.Cells
	}
	p, _ := decodeHistory(me.record(n.historyTopic(cell)).value)
	if u.topic == n.historyTopic(cell) {
		q, _ := decodeHistory(u.value)
		p.merge(&q)
	} else if c, ok := decodeCounts(u.value); ok {
		p.mergeEntry(historyEntry{u.inc, u.version, c})
	}
	return n.publishHistory(cell, &p)
}

const (
	maxRaises    = 3
	raiseWindow  = time.Minute
	muteDuration = time.Minute
)

// goAbove begins a new life of this process above one of its number that was heard of. Where that goes on and on, two processes have the
// number: this one falls silent for a while, so that the fleet does not see a new life each second.
func (n *Node) raiseIncarnation(inc Incarnation) {
	if n.planted == IncarnationNotRaised || n.now < n.raises.silentUntil || uint64(inc) >= 1<<63 {
		return
	}
	if n.raises.count > 0 && n.now-n.raises.last > raiseWindow {
		n.raises.count = 0
	}
	n.raises.count++
	n.raises.last = n.now
	me := n.self()
	// What this life has told stays under its name, as that of a former life; the new one counts on from there.
	formerRecords, formerInc := me.records, me.inc
	me.inc = (inc>>randomBits+1)<<randomBits | Incarnation(n.random()&(1<<randomBits-1))
	me.records, me.versionSum, me.hash = nil, 0, 0
	for cell := 0; cell < n.cfg.Cells && formerRecords != nil; cell++ {
		p, _ := decodeHistory(formerRecords[n.historyTopic(cell)].value)
		if w := &formerRecords[1+cell]; w.version > 0 {
			reported, _ := decodeCounts(w.value)
			p.mergeEntry(historyEntry{formerInc, w.version, reported})
			if n.planted != BaseNotSubtracted {
				n.counterBase[cell].add(&reported)
			}
		}
		n.publishHistory(cell, &p)
	}
	n.publishedAt = -time.Hour
	if n.raises.count > maxRaises {
		n.raises.silentUntil = n.now + muteDuration
		n.log(n.cfg.Number, fmt.Sprintf("another process has this member's number: this one says nothing for %v", muteDuration))
		return
	}
	n.log(n.cfg.Number, "heard of another life of this member, and goes above it")
}

// tellPast has this life say what a cell was in its former ones, if that is more than it has said.
func (n *Node) publishHistory(cell int, p *history) bool {
	p.fold(n.planted)
	if t := p.total(); t == (Counters{}) && p.horizon == 0 {
		return false
	}
	v := p.append(nil)
	if string(v) == string(n.self().record(n.historyTopic(cell)).value) {
		return false
	}
	n.writeOwn(n.historyTopic(cell), v)
	return true
}

// write sets a word of this life.
func (n *Node) writeOwn(topic int, value []byte) {
	me := n.self()
	if me.records == nil {
		me.records = make([]record, n.topicCount())
	}
	n.store(me, &update{member: n.cfg.Number, topic: topic, version: me.records[topic].version + 1, value: value})
}
