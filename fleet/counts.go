package fleet

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// Counters are what became of the requests of one cell, a team's of one class, since a life began.
type Counters [7]uint64

// The counters.
const (
	Received        = iota // requests, retries among them
	Retried                // of Taken
	Served                 //
	RefusedCapacity        // as servers had no room, or none answered in time
	RefusedBudget          // as the team's budget was spent
	RefusedOther           //
	Failed                 //
)

// largestCount bounds a counter, so that sums can't run over and a word has room.
const maxCount = 1<<48 - 1

func (c *Counters) add(d *Counters) {
	for i := range c {
		c[i] = min(c[i]+d[i], maxCount)
	}
}

// pastLife is what a former life has counted in a cell, by its last word that is known.
type historyEntry struct {
	inc      Incarnation
	version  uint32
	counters Counters
}

// past is what became of a cell in former lives: some apart, the older ones as a sum. No word of a life up to the horizon counts again.
type history struct {
	horizon Incarnation
	folded  Counters
	entries []historyEntry // the latest first, all above the horizon
}

// total adds all up.
func (p *history) total() Counters {
	sum := p.folded
	for i := range p.entries {
		sum.add(&p.entries[i].counters)
	}
	return sum
}

// join takes in what another life of the same member knows. Each life counts once, by its latest word; what either has closed is
// counted in the sum of whoever has closed more.
func (p *history) merge(q *history) {
	if q.horizon > p.horizon {
		p.horizon, p.folded = q.horizon, q.folded
		p.entries = slices.DeleteFunc(p.entries, func(l historyEntry) bool { return l.inc <= p.horizon })
	}
	for i := range q.entries {
		p.mergeEntry(q.entries[i])
	}
}

func (p *history) mergeEntry(l historyEntry) {
	if l.inc <= p.horizon {
		return
	}
	i := 0
	for i < len(p.entries) && p.entries[i].inc > l.inc {
		i++
	}
	if i < len(p.entries) && p.entries[i].inc == l.inc {
		if l.version > p.entries[i].version {
			p.entries[i] = l
		}
		return
	}
	p.entries = slices.Insert(p.entries, i, l)
}

// fold closes the oldest lives beyond those that are told apart. Only their member does so, in its present life.
func (p *history) fold(planted Defect) {
	for len(p.entries) > maxFormerIncarnations {
		last := p.entries[len(p.entries)-1]
		p.folded.add(&last.counters)
		if planted == FoldedCountedTwice {
			p.folded.add(&last.counters)
		}
		if planted != HorizonNotAdvanced {
			p.horizon = last.inc
		}
		p.entries = p.entries[:len(p.entries)-1]
	}
}

// covers reports whether a word of a former life counts in it, or is closed.
func (p *history) covers(inc Incarnation, version uint32) bool {
	if inc <= p.horizon {
		return true
	}
	for i := range p.entries {
		if p.entries[i].inc == inc {
			return p.entries[i].version >= version
		}
	}
	return false
}

func appendCounters(b []byte, c *Counters) []byte {
	for _, v := range c {
		b = binary.AppendUvarint(b, min(v, maxCount))
	}
	return b
}

func decodeCounters(b []byte) (c Counters, rest []byte, ok bool) {
	for i := range c {
		v, n := binary.Uvarint(b)
		if n <= 0 || v > maxCount {
			return c, nil, false
		}
		c[i], b = v, b[n:]
	}
	return c, b, true
}

// readCell reads the value of a cell's topic.
func decodeCounts(b []byte) (Counters, bool) {
	c, rest, ok := decodeCounters(b)
	return c, ok && len(rest) == 0
}

func (p *history) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(p.horizon))
	b = appendCounters(b, &p.folded)
	for i := range p.entries {
		l := &p.entries[i]
		b = binary.BigEndian.AppendUint64(b, uint64(l.inc))
		b = binary.AppendUvarint(b, uint64(l.version))
		b = appendCounters(b, &l.counters)
	}
	return b
}

func decodeHistory(b []byte) (p history, ok bool) {
	if len(b) < 8 {
		return p, false
	}
	p.horizon = Incarnation(binary.BigEndian.Uint64(b))
	if p.folded, b, ok = decodeCounters(b[8:]); !ok {
		return p, false
	}
	for len(b) > 0 {
		var l historyEntry
		if len(b) < 8 || len(p.entries) == maxFormerIncarnations {
			return p, false
		}
		l.inc = Incarnation(binary.BigEndian.Uint64(b))
		v, n := binary.Uvarint(b[8:])
		if n <= 0 || v > math.MaxUint32 || l.inc <= p.horizon || len(p.entries) > 0 && l.inc >= p.entries[len(p.entries)-1].inc {
			return p, false
		}
		l.version = uint32(v)
		if l.counters, b, ok = decodeCounters(b[8+n:]); !ok {
			return p, false
		}
		p.entries = append(p.entries, l)
	}
	return p, true
}

// former joins all that is known of a cell in a member's former lives: what its present life says, and words of former ones.
func (n *Node) history(m *member, cell int) history {
	p, _ := decodeHistory(m.record(n.historyTopic(cell)).value)
	for i := range m.former {
		l := &m.former[i]
		if q, ok := decodeHistory(l.records[n.historyTopic(cell)].value); ok {
			p.merge(&q)
		}
		if w := &l.records[1+cell]; w.version > 0 {
			if c, ok := decodeCounts(w.value); ok {
				p.mergeEntry(historyEntry{l.inc, w.version, c})
			}
		}
	}
	return p
}

// publish writes this life's words anew where they have changed.
func (n *Node) publish() {
	n.publishedAt = n.now
	for i := range n.members {
		m := &n.members[i]
		m.heartbeatAtPublish = m.record(0).version
	}
	n.writeOwn(0, n.encodeHeartbeat())
	beat := n.self().record(0).version
	n.heartbeats[beat%heartbeatsKept] = sentHeartbeat{beat, n.now}
	for cell := range n.cfg.Cells {
		c := n.counters[cell]
		for i := range c {
			c[i] -= min(n.counterBase[cell][i], c[i])
		}
		if v := appendCounters(nil, &c); c != (Counters{}) && string(v) != string(n.self().record(1+cell).value) {
			n.writeOwn(1+cell, v)
		}
	}
}

// Sums is what the whole fleet has counted.
type Sums struct {
	Cells      []Counters    // at least, by cell
	Unreported uint64        // so many requests more may have been taken, in whatever cell
	Age        time.Duration // of the oldest word that Beyond reckons with
	Unbounded  int           // members of whom nothing is known that bounds them
}

// Most is the most that a counter can be: no counter grows by more than requests are taken.
func (s *Sums) UpperBound(cell, counter int) uint64 { return s.Cells[cell][counter] + s.Unreported }

// Sums adds up what all members have counted, in all of their lives, by what is known now.
func (n *Node) Sums() Sums {
	s := Sums{Cells: make([]Counters, n.cfg.Cells)}
	for i := range n.members {
		m := &n.members[i]
		for cell := range n.cfg.Cells {
			p := n.history(m, cell)
			t := p.total()
			s.Cells[cell].add(&t)
			c, _ := decodeCounts(m.record(1 + cell).value)
			if i == n.cfg.Number { // its own, as of now
				c = n.counters[cell]
				for k := range c {
					c[k] -= min(n.counterBase[cell][k], c[k])
				}
			}
			s.Cells[cell].add(&c)
		}
		switch {
		case i == n.cfg.Number:
			if !m.unreportedKnown && n.hasHistory() {
				s.Unbounded++
			}
			s.Unreported += m.formerUnreported
		case m.completeAsOf < 0 || m.unbounded || n.announcedRate(m) == 0:
			s.Unbounded++
		default:
			s.Unreported += n.maxUnreported(m)
			s.Age = max(s.Age, n.now-m.completeAsOf)
		}
	}
	return s
}

// hasPast reports whether this member is known to have lived before.
func (n *Node) hasHistory() bool {
	for cell := range n.cfg.Cells {
		if n.self().record(n.historyTopic(cell)).version > 0 {
			return true
		}
	}
	return false
}

// unheard is how many requests a member may have taken beyond its words, by the rate that it keeps to.
func (n *Node) maxUnreported(m *member) uint64 {
	if m.completeAsOf < 0 {
		return m.formerUnreported
	}
	if rate := float64(n.announcedRate(m)); rate > 0 {
		return m.formerUnreported + uint64(math.Ceil(rate*((n.now-m.completeAsOf).Seconds()*maxClockDrift+burstDuration.Seconds())))
	}
	return m.formerUnreported
}

// rate is what a member says that it takes at most; 0: it says nothing that bounds it.
func (n *Node) announcedRate(m *member) uint32 {
	b, _ := decodeHeartbeat(m.record(0).value)
	return max(b.maxRate, m.formerRate)
}

// drift is how much faster another's clock may run than ours: twice 500 parts in a million.
const maxClockDrift = 1.001

// burstSpan is how much of its rate a member may take at once.
const burstDuration = 250 * time.Millisecond

// Pace holds a member to the rate that it tells others. It begins empty, so that what a member takes over several lives
// keeps to the rate, too.
type RateLimiter struct {
	rate, tokens float64
	refilledAt   time.Duration
}

// NewPace returns a pace of a rate of requests a second; 0 has no bound.
func NewRateLimiter(rate float64) RateLimiter { return RateLimiter{rate: rate} }

// Take reports whether a request may be taken now.
func (p *RateLimiter) Allow(now time.Duration) bool {
	if p.rate <= 0 {
		return true
	}
	p.tokens = min(p.rate*burstDuration.Seconds(), p.tokens+p.rate*max(0, now-p.refilledAt).Seconds())
	p.refilledAt = max(p.refilledAt, now)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
