package fleet

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// record is the latest value of a topic of one incarnation.
type record struct {
	version       uint32 // 0: no value is known
	transmitsLeft uint8  // times that it still has to be forwarded as new
	value         []byte
}

// formerIncarnation is what is kept of a member's former incarnation.
type formerIncarnation struct {
	inc     Incarnation
	records []record // by topic; the heartbeat is not used
}

// member is this node's state of one member.
type member struct {
	inc     Incarnation         // the latest one known
	records []record            // of that incarnation, by topic; nil until one is received
	former  []formerIncarnation // former incarnations, latest first

	versionSum         uint32        // of the versions of all records
	hash               uint32        // of the versions of all records
	lastDatagram       time.Duration // when its own last datagram arrived; -1: never
	lastHeartbeat      time.Duration // when its last new heartbeat arrived, also through others; -1: never
	completeAsOf       time.Duration // its records include all requests that it received before then; -1: unknown
	formerUnreported   uint64        // upper bound on the requests that former incarnations received beyond their records
	ackedSentAt        time.Duration // when this node wrote the heartbeat that the member last acknowledged
	lastSeq            uint32        // highest sequence number of its datagrams in seqInc
	seqWindow          uint64        // bit i: datagram lastSeq-i has arrived
	seqInc             Incarnation
	missing            []uint16 // members of which it lacks records
	missingTopic       int      // next topic of missing[0] to send to it
	nextOwnTopic       int      // next topic of this node's own to send to it, without the heartbeat
	requestedBlock     int      // 1 + the block of which it has newer records; 0: none
	loggedUnreachable  bool     // as logged last
	heartbeatAtPublish uint32   // version of its heartbeat that this node had when it last published; sent as acknowledgement
	formerRate         uint32   // rate announced by its former incarnation
	superseded         bool     // its last datagram was of an incarnation below the latest one known
	unreportedKnown    bool     // for this node's own member: another member has sent a value for formerUnreported
	unbounded          bool     // no bound is known on the unreported requests of a former incarnation
	conflict           bool     // two values of one version were received
}

// topicCount returns the number of an incarnation's topics: the heartbeat, the counters of each cell, the history of each cell.
func (n *Node) topicCount() int           { return 1 + 2*n.cfg.Cells }
func (n *Node) historyTopic(cell int) int { return 1 + n.cfg.Cells + cell }

func (m *member) record(topic int) *record {
	if topic >= len(m.records) {
		return &record{}
	}
	return &m.records[topic]
}

// update is a record as it is sent, with its member, topic and incarnation.
type update struct {
	member, topic int
	inc           Incarnation
	version       uint32
	value         []byte
}

// mergeUpdate stores an update that is newer than the known record, and reports whether it did.
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
				n.log(u.member, "sent two values under one version: two processes may have its number")
			}
			// All members have to keep the same one of the two.
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

// store replaces a record, and queues it to be forwarded.
func (n *Node) store(m *member, u *update) {
	w := &m.records[u.topic]
	m.versionSum += u.version - w.version
	m.hash ^= versionHash(u.topic, w.version) ^ versionHash(u.topic, u.version)
	w.version, w.value = u.version, append(w.value[:0], u.value...)
	if w.transmitsLeft == 0 {
		if len(n.broadcasts)-n.broadcastHead >= maxBroadcasts {
			return // the queue is full: digests and the background repair spread it
		}
		n.broadcasts = append(n.broadcasts, recordKey{uint16(u.member), uint16(u.topic)})
	}
	w.transmitsLeft = n.transmitLimit()
}

// versionHash hashes a topic and its version; 0 if there is no version.
func versionHash(topic int, version uint32) uint32 {
	if version == 0 {
		return 0
	}
	h := (uint32(topic)+1)*0x9e3779b1 ^ version*0x85ebca6b
	h = (h ^ h>>15) * 0x2c1b3c6d
	h = (h ^ h>>12) * 0x297a2d39
	return h ^ h>>15
}

// startIncarnation begins a new incarnation of a member. The former one's records are kept until the member itself has merged them
// into its history.
func (n *Node) startIncarnation(memberIndex int, inc Incarnation) {
	m := &n.members[memberIndex]
	if m.inc != 0 {
		// The former incarnation ended now at the latest, and kept to its announced rate until then. Without an announced rate
		// its requests remain without a bound.
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
		n.log(memberIndex, "restarted")
	}
	m.inc, m.records, m.versionSum, m.hash = inc, nil, 0, 0
}

// mergeFormer stores a late update of a former incarnation, unless the member has already folded that incarnation, and reports
// whether it did.
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

// isFolded reports whether the current incarnation has folded a former one in any cell. Records of that one are not needed then.
func (n *Node) isFolded(m *member, inc Incarnation) bool {
	for cell := range n.cfg.Cells {
		if p, ok := decodeHistory(m.record(n.historyTopic(cell)).value); ok && inc <= p.horizon {
			return true
		}
	}
	return false
}

// mergeOwn merges an update of this member itself. Records of former incarnations are merged into its history. An incarnation above
// this one is another process with the same number, or the clock was set back: this node raises its own incarnation above it.
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

// raiseIncarnation gives this process a new incarnation above inc, a received one of the same number. If that repeats, two processes
// have the number. This one then sends nothing for muteDuration, so that the fleet does not get a new incarnation each second.
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
	// The counters reported so far remain those of the former incarnation; the new one reports only what exceeds them.
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
		n.log(n.cfg.Number, fmt.Sprintf("another process has this member's number: this one sends nothing for %v", muteDuration))
		return
	}
	n.log(n.cfg.Number, "received a record of another incarnation of this member: raised its own above it")
}

// publishHistory folds and publishes a cell's history if it differs from the published one, and reports whether it did.
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

// writeOwn writes a new version of one of this node's own records.
func (n *Node) writeOwn(topic int, value []byte) {
	me := n.self()
	if me.records == nil {
		me.records = make([]record, n.topicCount())
	}
	n.store(me, &update{member: n.cfg.Number, topic: topic, version: me.records[topic].version + 1, value: value})
}
