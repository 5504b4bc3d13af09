package fleet

import (
	"bytes"
	"fmt"
	"slices"
	"time"
)

// word is the latest value of a topic, by one life of a member.
type word struct {
	version uint32 // 0: none is known
	hot     uint8  // times that it is still to be passed on as new
	value   []byte
}

// life is what is kept of a former life of a member.
type life struct {
	inc   Incarnation
	words []word // of its counts, and what it said of its own past; by topic
}

// member is what is known of a member.
type member struct {
	inc   Incarnation // of its latest life that was heard of
	words []word      // of that life: the beat, its chunks, and what it says of its former lives; nil until one is heard
	lives []life      // former ones, the latest first

	clock    uint32        // versions of all words together
	sum      uint32        // ... and a hash of them
	direct   time.Duration // when it was last heard from itself; -1: never
	fresh    time.Duration // when a newer beat of it last came, by whatever way
	asOf     time.Duration // all that it took before then is in its words; -1: not known
	extra    uint64        // requests that its former lives may have taken beyond their words
	acked    time.Duration // when the beat of ours was sent that it last said to hold
	seq      uint32        // of its datagrams: the latest, and which of the 64 before it came
	seen     uint64
	seqInc   Incarnation
	wanted   []uint16 // members of which it lacks words
	wantedAt int      // how far its first one is told
	ownAt    int      // which of our words it is told next
	ask      int      // a block of which it knows more, and one; 0: none
	silent   bool     // it was said to be
	ackWhen  uint32   // the beat of it that we held when we last published
	most     uint32   // the rate that a former life kept to
	behind   bool     // it spoke last by a life that is below another of it
	told     bool     // of this member alone: others have told what its former lives may have done beyond their words
	unbound  bool     // what a former life may have done has no bound that is known
	conflict bool
}

// topics of a life: the beat, then a cell's counts each, then what it says of each cell in its former lives.
func (n *Node) topics() int            { return 1 + 2*n.cfg.Cells }
func (n *Node) pastTopic(cell int) int { return 1 + n.cfg.Cells + cell }

func (m *member) word(topic int) *word {
	if topic >= len(m.words) {
		return &word{}
	}
	return &m.words[topic]
}

// item is a word on its way.
type item struct {
	member, topic int
	inc           Incarnation
	version       uint32
	value         []byte
}

// merge takes in a word if it is newer than what is known, and reports whether it was.
func (n *Node) merge(it *item) bool {
	m := &n.members[it.member]
	if it.member == n.cfg.Number {
		return n.ownWord(it)
	}
	switch {
	case it.inc > m.inc:
		n.newLife(it.member, it.inc)
	case it.inc < m.inc && n.planted != FormerOverrules:
		return n.formerWord(m, it)
	case it.inc < m.inc:
		n.newLife(it.member, it.inc)
	}
	if m.words == nil {
		m.words = make([]word, n.topics())
	}
	w := &m.words[it.topic]
	if it.version <= w.version && n.planted != LateWins {
		if it.version == w.version && !bytes.Equal(it.value, w.value) {
			n.drops.Conflicting++
			if !m.conflict {
				m.conflict = true
				n.note(it.member, "says two things under one version: two processes may have its number")
			}
			// All have to keep the same of the two.
			if bytes.Compare(it.value, w.value) <= 0 {
				return false
			}
		} else {
			n.drops.Stale++
			return false
		}
	}
	n.set(m, it)
	if it.topic == 0 {
		m.fresh = n.now
	}
	return true
}

// set makes a word the latest, and one to be passed on.
func (n *Node) set(m *member, it *item) {
	w := &m.words[it.topic]
	m.clock += it.version - w.version
	m.sum ^= mix(it.topic, w.version) ^ mix(it.topic, it.version)
	w.version, w.value = it.version, append(w.value[:0], it.value...)
	if w.hot == 0 {
		if len(n.hot)-n.hotAt >= mostHot {
			return // the background and digests bring it
		}
		n.hot = append(n.hot, key{uint16(it.member), uint16(it.topic)})
	}
	w.hot = n.rumours()
}

// mix hashes a version of a topic; 0 for none.
func mix(topic int, version uint32) uint32 {
	if version == 0 {
		return 0
	}
	h := (uint32(topic)+1)*0x9e3779b1 ^ version*0x85ebca6b
	h = (h ^ h>>15) * 0x2c1b3c6d
	h = (h ^ h>>12) * 0x297a2d39
	return h ^ h>>15
}

// newLife begins a life of a member; what its former one has told of counts stays, until the member itself has taken it in.
func (n *Node) newLife(number int, inc Incarnation) {
	m := &n.members[number]
	if m.inc != 0 {
		// Until now at the latest it went on, within its stated rate. Where nothing bounds that, nothing will.
		m.unbound = m.unbound || m.asOf < 0 || n.rate(m) == 0
		if n.planted != GapForgotten {
			m.extra = n.unheard(m)
		}
		m.asOf = n.now
		if b, ok := readBeat(m.word(0).value); ok {
			m.most = b.most
		}
		if m.words != nil && n.planted != PastForgotten {
			m.lives = append([]life{{m.inc, m.words}}, m.lives...)
			m.lives = m.lives[:min(len(m.lives), mostLives)]
		}
		n.note(number, "has started anew")
	}
	m.inc, m.words, m.clock, m.sum = inc, nil, 0, 0
}

// formerWord takes in a late word of a former life. What the member's present life has taken in, or closed, cannot count again.
func (n *Node) formerWord(m *member, it *item) bool {
	if it.topic == 0 || n.closed(m, it.inc) {
		n.drops.Stale++
		return false
	}
	at := 0
	for at < len(m.lives) && m.lives[at].inc > it.inc {
		at++
	}
	if at == len(m.lives) || m.lives[at].inc != it.inc {
		if at >= mostLives {
			n.drops.Stale++
			return false
		}
		m.lives = slices.Insert(m.lives, at, life{it.inc, make([]word, n.topics())})
		m.lives = m.lives[:min(len(m.lives), mostLives)]
	}
	w := &m.lives[at].words[it.topic]
	if it.version <= w.version {
		n.drops.Stale++
		return false
	}
	w.version, w.value = it.version, append([]byte(nil), it.value...)
	return true
}

// closed reports whether the present life has closed a former one in any cell: its words are of no use then.
func (n *Node) closed(m *member, inc Incarnation) bool {
	for cell := range n.cfg.Cells {
		if p, ok := readPast(m.word(n.pastTopic(cell)).value); ok && inc <= p.horizon {
			return true
		}
	}
	return false
}

// ownWord takes in what others say of this member: words of its former lives are taken into its past. A life above this one is
// another process, or this one's clock went back: this life goes above it.
func (n *Node) ownWord(it *item) bool {
	me := n.self()
	switch {
	case it.inc > me.inc, it.inc == me.inc && it.version > me.word(it.topic).version:
		n.goAbove(max(it.inc, me.inc))
		return true
	case it.inc == me.inc || it.topic == 0:
		return false
	}
	cell := it.topic - 1
	if cell >= n.cfg.Cells {
		cell -= n.cfg.Cells
	}
	p, _ := readPast(me.word(n.pastTopic(cell)).value)
	if it.topic == n.pastTopic(cell) {
		q, _ := readPast(it.value)
		p.join(&q)
	} else if c, ok := readCell(it.value); ok {
		p.take(pastLife{it.inc, it.version, c})
	}
	return n.tellPast(cell, &p)
}

const (
	mostOutbids = 3
	outbidSpan  = time.Minute
	muteTime    = time.Minute
)

// goAbove begins a new life of this process above one of its number that was heard of. Where that goes on and on, two processes have the
// number: this one falls silent for a while, so that the fleet does not see a new life each second.
func (n *Node) goAbove(inc Incarnation) {
	if n.planted == NeverAbove || n.now < n.outbid.mute || uint64(inc) >= 1<<63 {
		return
	}
	if n.outbid.times > 0 && n.now-n.outbid.last > outbidSpan {
		n.outbid.times = 0
	}
	n.outbid.times++
	n.outbid.last = n.now
	me := n.self()
	// What this life has told stays under its name, as that of a former life; the new one counts on from there.
	before, life := me.words, me.inc
	me.inc = (inc>>chanceBits+1)<<chanceBits | Incarnation(n.random()&(1<<chanceBits-1))
	me.words, me.clock, me.sum = nil, 0, 0
	for cell := 0; cell < n.cfg.Cells && before != nil; cell++ {
		p, _ := readPast(before[n.pastTopic(cell)].value)
		if w := &before[1+cell]; w.version > 0 {
			told, _ := readCell(w.value)
			p.take(pastLife{life, w.version, told})
			if n.planted != CountedAgain {
				n.base[cell].add(&told)
			}
		}
		n.tellPast(cell, &p)
	}
	n.published = -time.Hour
	if n.outbid.times > mostOutbids {
		n.outbid.mute = n.now + muteTime
		n.note(n.cfg.Number, fmt.Sprintf("another process has this member's number: this one says nothing for %v", muteTime))
		return
	}
	n.note(n.cfg.Number, "heard of another life of this member, and goes above it")
}

// tellPast has this life say what a cell was in its former ones, if that is more than it has said.
func (n *Node) tellPast(cell int, p *past) bool {
	p.fold(n.planted)
	if t := p.total(); t == (Counters{}) && p.horizon == 0 {
		return false
	}
	v := p.append(nil)
	if string(v) == string(n.self().word(n.pastTopic(cell)).value) {
		return false
	}
	n.write(n.pastTopic(cell), v)
	return true
}

// write sets a word of this life.
func (n *Node) write(topic int, value []byte) {
	me := n.self()
	if me.words == nil {
		me.words = make([]word, n.topics())
	}
	n.set(me, &item{member: n.cfg.Number, topic: topic, version: me.words[topic].version + 1, value: value})
}
