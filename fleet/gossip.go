package fleet

import (
	"encoding/binary"
	"time"
)

// send fills a datagram for a member. This member's own records come first, as only its own datagrams show the receiver whether its
// copy is complete. Then follow records that the receiver lacks, new records of others, and old ones in turn. Every other datagram
// also has a digest, after the own records.
func (n *Node) send(to int) {
	m := &n.members[to]
	n.seq++
	h := header{
		members: n.cfg.Members, from: n.cfg.Number, to: to, inc: n.self().inc, seq: n.seq, sum: n.self().hash,
		ack: m.heartbeatAtPublish, ackInc: uint16(m.inc >> randomBits),
	}
	if h.formerUnreported = encodeUnreported(m.formerUnreported); m.unbounded || len(m.former) == 0 {
		h.formerUnreported = unreportedUnknown
	}
	b := h.append(make([]byte, 0, MaxDatagramSize))
	if m.superseded {
		b = n.appendNewerIncarnation(b, to)
	}
	b = n.appendOwn(b, m)
	if n.seq%2 == 0 || m.requestedBlock > 0 {
		b = n.appendDigest(b, m)
	}
	if len(m.former) > 0 {
		b, _ = n.appendFormer(b, to)
	}
	b = n.appendMissing(b, m)
	b = n.appendBroadcasts(b, to)
	b = n.appendBackground(b, to)
	n.bytesSent += len(b)
	n.actions = append(n.actions, Action{Kind: Send, To: to, Data: b})
}

// appendNewerIncarnation adds records of a member's own incarnation above the one that it sends with, so that it raises its own above
// that.
func (n *Node) appendNewerIncarnation(b []byte, to int) []byte {
	records := n.members[to].records
	if len(records) == 0 {
		return b
	}
	start := int(n.random() % uint64(len(records)))
	for k := range records {
		if t := (start + k) % len(records); records[t].version > 0 {
			var ok bool
			if b, ok = n.appendRecord(b, to, t); !ok || len(b) > headerSize+(MaxDatagramSize-headerSize)/2 {
				break
			}
		}
	}
	return b
}

// appendOwn adds the heartbeat and this member's own records in turn, up to half of the datagram in a fleet of more than two.
func (n *Node) appendOwn(b []byte, m *member) []byte {
	me := n.self()
	room := MaxDatagramSize
	if n.cfg.Members > 2 {
		room = headerSize + (MaxDatagramSize-headerSize)/2
	}
	for i := range me.records {
		topic := 0
		if i > 0 {
			topic = 1 + (m.nextOwnTopic+i-1)%(len(me.records)-1)
		}
		if me.records[topic].version == 0 {
			continue
		}
		if i > 0 && len(b) >= room {
			m.nextOwnTopic = topic - 1
			break
		}
		var ok bool
		if b, ok = n.appendRecord(b, n.cfg.Number, topic); !ok {
			m.nextOwnTopic = max(0, topic-1)
			break
		}
	}
	return b
}

func (n *Node) appendRecord(b []byte, member, topic int) ([]byte, bool) {
	m := &n.members[member]
	w := m.record(topic)
	return appendUpdate(b, &update{member: member, topic: topic, inc: m.inc, version: w.version, value: w.value})
}

// digestOf returns the digest of the records known of a member.
func (n *Node) digestOf(i int) digest {
	m := &n.members[i]
	d := digest{member: i, inc: uint16(m.inc >> randomBits), versionSum: m.versionSum, hash: uint16(m.hash)}
	return d
}

func (n *Node) blockCount() int { return (n.cfg.Members + maxDigestMembers - 1) / maxDigestMembers }

// appendDigest adds the digests of a block of members: one of which the receiver has newer records, or else the next in turn.
func (n *Node) appendDigest(b []byte, m *member) []byte {
	block := n.digestBlock % n.blockCount()
	if m.requestedBlock > 0 {
		block, m.requestedBlock = (m.requestedBlock-1)%n.blockCount(), 0
	} else {
		n.digestBlock++
	}
	first := block * maxDigestMembers
	count := min(maxDigestMembers, n.cfg.Members-first)
	if len(b)+1+3+1+count*digestSize > MaxDatagramSize {
		return b
	}
	b = append(b, partDigest)
	b = binary.AppendUvarint(b, uint64(first))
	b = append(b, byte(count))
	for i := range count {
		d := n.digestOf(first + i)
		b = binary.BigEndian.AppendUint16(b, d.inc)
		b = binary.BigEndian.AppendUint32(b, d.versionSum)
		b = binary.BigEndian.AppendUint16(b, d.hash)
	}
	return b
}

// maxMissing bounds the list of members of which another member lacks records.
const maxMissing = 32

// compareDigests records which members' records the sender lacks, and a block of which it has newer ones.
func (n *Node) compareDigests(from int, digests []digest) {
	m := &n.members[from]
	for _, d := range digests {
		if d.member == from || d.member == n.cfg.Number {
			continue // each member sends its own records in any case
		}
		own := n.digestOf(d.member)
		if own == d {
			continue
		}
		if len(m.missing) < maxMissing && n.members[d.member].records != nil {
			m.missing = append(m.missing, uint16(d.member))
		}
		if own.inc != d.inc || d.versionSum > own.versionSum || own.versionSum == d.versionSum {
			m.requestedBlock = 1 + d.member/maxDigestMembers
		}
	}
}

// appendMissing adds the records of members of which the receiver lacks some: all records of each such member, over several
// datagrams.
func (n *Node) appendMissing(b []byte, m *member) []byte {
	for len(m.missing) > 0 {
		memberIndex := int(m.missing[0])
		member := &n.members[memberIndex]
		for m.missingTopic < len(member.records) {
			if member.records[m.missingTopic].version > 0 {
				var ok bool
				if b, ok = n.appendRecord(b, memberIndex, m.missingTopic); !ok {
					return b
				}
			}
			m.missingTopic++
		}
		m.missing, m.missingTopic = m.missing[1:], 0
	}
	return b
}

// appendBroadcasts forwards new records in the order of their receipt.
func (n *Node) appendBroadcasts(b []byte, to int) []byte {
	for tries := len(n.broadcasts) - n.broadcastHead; tries > 0; tries-- {
		k := n.broadcasts[n.broadcastHead]
		w := n.members[k.member].record(int(k.topic))
		if w.transmitsLeft > 0 && int(k.member) != to {
			next, ok := n.appendRecord(b, int(k.member), int(k.topic))
			if !ok {
				break
			}
			b = next
			w.transmitsLeft--
		}
		n.broadcastHead++
		if w.transmitsLeft > 0 {
			n.broadcasts = append(n.broadcasts, k)
		}
	}
	if n.broadcastHead > maxBroadcasts {
		n.broadcasts = append(n.broadcasts[:0], n.broadcasts[n.broadcastHead:]...)
		n.broadcastHead = 0
	}
	return b
}

// appendBackground adds records regardless of their age, member by member: those of former incarnations that the member has not merged,
// and a random one of the current incarnation.
func (n *Node) appendBackground(b []byte, to int) []byte {
	for range min(n.cfg.Members, 64) {
		m := &n.members[n.scanIndex%n.cfg.Members]
		var ok bool
		if b, ok = n.appendFormer(b, n.scanIndex%n.cfg.Members); !ok {
			return b
		}
		if len(m.records) > 0 {
			t := int(n.random() % uint64(len(m.records)))
			if m.records[t].version > 0 && n.scanIndex%n.cfg.Members != to {
				if b, ok = n.appendRecord(b, n.scanIndex%n.cfg.Members, t); !ok {
					return b
				}
			}
		}
		n.scanIndex++
	}
	return b
}

// appendFormer adds the records of a member's former incarnations that the member has not merged into its history, from a random topic
// on. It reports whether all fit.
func (n *Node) appendFormer(b []byte, memberIndex int) ([]byte, bool) {
	m := &n.members[memberIndex]
	for i := range m.former {
		l := &m.former[i]
		start := int(n.random() % uint64(len(l.records)))
		for k := range l.records {
			t := (start + k) % len(l.records)
			if w := &l.records[t]; t > 0 && w.version > 0 && !n.isMerged(m, l, t) {
				var ok bool
				if b, ok = appendUpdate(b, &update{member: memberIndex, topic: t, inc: l.inc, version: w.version, value: w.value}); !ok {
					return b, false
				}
			}
		}
	}
	return b, true
}

// isMerged reports whether the current incarnation of a member has merged a record of a former one into its history.
func (n *Node) isMerged(m *member, l *formerIncarnation, topic int) bool {
	cell := topic - 1
	if cell < n.cfg.Cells {
		p, ok := decodeHistory(m.record(n.historyTopic(cell)).value)
		return ok && p.covers(l.inc, l.records[topic].version)
	}
	p, ok := decodeHistory(m.record(topic).value)
	q, _ := decodeHistory(l.records[topic].value)
	if !ok || q.horizon > p.horizon {
		return false
	}
	for _, x := range q.entries {
		if !p.covers(x.inc, x.version) {
			return false
		}
	}
	return true
}

// receive processes a datagram: it drops invalid and duplicate ones, merges the updates, and compares the digests.
func (n *Node) receive(ev Datagram) {
	p, err := parse(ev.Data, n.cfg.Members, n.topicCount())
	switch {
	case err != nil:
		n.drops.Unreadable++
		return
	case p.from != ev.From || p.to != n.cfg.Number || p.from == n.cfg.Number:
		n.drops.Foreign++
		return
	case uint64(p.inc) >= 1<<63:
		n.drops.Absurd++
		return
	}
	m := &n.members[p.from]
	if !m.acceptSeq(p.inc, p.seq) {
		n.drops.Replayed++
		return
	}
	if m.superseded = p.inc < m.inc; !m.superseded {
		m.lastDatagram = n.now
	}
	if p.inc > m.inc {
		n.startIncarnation(p.from, p.inc)
	}
	for i := range p.updates {
		if uint64(p.updates[i].inc) < 1<<63 {
			n.mergeUpdate(&p.updates[i])
		}
	}
	n.compareDigests(p.from, p.digests)
	if me := n.self(); p.formerUnreported != unreportedUnknown && p.ackInc == uint16(me.inc>>randomBits) {
		if v := decodeUnreported(p.formerUnreported); !me.unreportedKnown || v < me.formerUnreported {
			me.unreportedKnown, me.formerUnreported = true, v
		}
	}
	if p.inc != m.inc {
		return
	}
	// When the sender published, its records included all that it had counted. It published after it had received the acknowledged
	// heartbeat, so they are complete up to the time at which this node wrote that heartbeat.
	if p.ackInc == uint16(n.self().inc>>randomBits) {
		if sentAt, ok := n.heartbeatTime(p.ack); ok {
			m.ackedSentAt = max(m.ackedSentAt, sentAt)
			if n.planted == CompleteOnReceipt {
				sentAt = n.now
			}
			if m.records != nil && m.hash == p.sum {
				m.completeAsOf = max(m.completeAsOf, sentAt)
			}
		}
	}
}

// heartbeatTime returns when this incarnation wrote a version of its heartbeat; ok is false if that is no longer kept.
func (n *Node) heartbeatTime(version uint32) (at time.Duration, ok bool) {
	b := n.heartbeats[version%heartbeatsKept]
	return b.sentAt, version > 0 && b.version == version
}

// acceptSeq reports whether a datagram is not a duplicate. Among late datagrams it distinguishes the last 64 sequence numbers and rejects
// older ones.
func (m *member) acceptSeq(inc Incarnation, seq uint32) bool {
	if inc < m.seqInc {
		return true // of a former incarnation: the versions of its records show their age
	}
	if inc > m.seqInc {
		m.seqInc, m.lastSeq, m.seqWindow = inc, seq, 1
		return true
	}
	switch ahead := int64(seq) - int64(m.lastSeq); {
	case ahead > 0:
		if ahead >= 64 {
			m.seqWindow = 0
		} else {
			m.seqWindow <<= uint(ahead)
		}
		m.seqWindow |= 1
		m.lastSeq = seq
		return true
	case ahead <= -64 || m.seqWindow>>uint(-ahead)&1 == 1:
		return false
	default:
		m.seqWindow |= 1 << uint(-ahead)
		return true
	}
}
