package fleet

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// Counters count the outcomes of one cell's requests since an incarnation began. A cell is a pair of tenant and class.
type Counters [7]uint64

// The indices of the counters.
const (
	Received = iota // requests, retries included
	Retried         // the retries among Received
	Served
	RefusedCapacity // the servers had no capacity, or none answered in time
	RefusedBudget   // the tenant's budget was exhausted
	RefusedOther
	Failed
)

// maxCount bounds a counter, so that sums can't overflow and the encoded counters fit a record.
const maxCount = 1<<48 - 1

func (c *Counters) add(d *Counters) {
	for i := range c {
		c[i] = min(c[i]+d[i], maxCount)
	}
}

// historyEntry holds the counters of a cell in one former incarnation, from the latest record of it that is known.
type historyEntry struct {
	inc      Incarnation
	version  uint32
	counters Counters
}

// history holds a cell's counters of a member's former incarnations: the latest ones separately, the older ones folded into a sum.
// Records of an incarnation up to the horizon are included in that sum and are not counted again.
type history struct {
	horizon Incarnation
	folded  Counters
	entries []historyEntry // latest first, all above the horizon
}

// total returns the sum over all former incarnations.
func (p *history) total() Counters {
	sum := p.folded
	for i := range p.entries {
		sum.add(&p.entries[i].counters)
	}
	return sum
}

// merge adds the history that another incarnation of the same member has published. Each incarnation counts once, by its latest record.
// Of the two folded sums the one with the higher horizon is kept, as it includes the other.
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

// fold adds the oldest entries beyond maxFormerIncarnations to the folded sum. Only the member itself folds, in its current
// incarnation.
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

// covers reports whether a record of a former incarnation is included, as an entry or in the folded sum.
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

// decodeCounts decodes the value of a cell's topic.
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

// history merges all that is known of a cell in a member's former incarnations: the history that its current incarnation has
// published, and the records received from former ones.
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

// publish writes a new heartbeat, and new versions of this member's cells whose counters have changed.
func (n *Node) publish() {
	n.publishedAt = n.now
	for i := range n.members {
		m := &n.members[i]
		m.heartbeatAtPublish = m.record(0).version
	}
	n.writeOwn(0, n.encodeHeartbeat())
	version := n.self().record(0).version
	n.heartbeats[version%heartbeatsKept] = sentHeartbeat{version, n.now}
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

// Sums are the counters of the whole fleet, as intervals.
type Sums struct {
	Cells      []Counters    // lower bounds, by cell
	Unreported uint64        // upper bound on the requests received beyond Cells, in all cells together
	Age        time.Duration // of the oldest record that Unreported is computed from
	Unbounded  int           // members without a known bound, which Unreported leaves out
}

// UpperBound returns the highest value that a counter can have. It holds for each counter, as none grows faster than Received.
func (s *Sums) UpperBound(cell, counter int) uint64 { return s.Cells[cell][counter] + s.Unreported }

// Sums returns the fleet's counters over all members and all of their incarnations, from the records known now.
func (n *Node) Sums() Sums {
	s := Sums{Cells: make([]Counters, n.cfg.Cells)}
	for i := range n.members {
		m := &n.members[i]
		for cell := range n.cfg.Cells {
			p := n.history(m, cell)
			t := p.total()
			s.Cells[cell].add(&t)
			c, _ := decodeCounts(m.record(1 + cell).value)
			if i == n.cfg.Number { // this member's counters are current
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

// hasHistory reports whether this member is known to have had a former incarnation.
func (n *Node) hasHistory() bool {
	for cell := range n.cfg.Cells {
		if n.self().record(n.historyTopic(cell)).version > 0 {
			return true
		}
	}
	return false
}

// maxUnreported returns how many requests a member may have received beyond its records, by the rate that it announced.
func (n *Node) maxUnreported(m *member) uint64 {
	if m.completeAsOf < 0 {
		return m.formerUnreported
	}
	if rate := float64(n.announcedRate(m)); rate > 0 {
		return m.formerUnreported + uint64(math.Ceil(rate*((n.now-m.completeAsOf).Seconds()*maxClockDrift+burstDuration.Seconds())))
	}
	return m.formerUnreported
}

// announcedRate returns the rate limit in requests a second that a member announces, or its former incarnation's if that is higher;
// 0: none.
func (n *Node) announcedRate(m *member) uint32 {
	b, _ := decodeHeartbeat(m.record(0).value)
	return max(b.maxRate, m.formerRate)
}

// maxClockDrift is how much faster another member's clock may run: both clocks may be wrong by 500 parts per million.
const maxClockDrift = 1.001

// burstDuration sets the burst: a member may receive the requests of so long a time at its rate at once.
const burstDuration = 250 * time.Millisecond

// RateLimiter is a token bucket that limits a member to the rate that it announces to the others. It starts empty, so that the
// rate also holds over several incarnations.
type RateLimiter struct {
	rate, tokens float64
	refilledAt   time.Duration
}

// NewRateLimiter returns a limiter of rate requests a second; 0 means no limit.
func NewRateLimiter(rate float64) RateLimiter { return RateLimiter{rate: rate} }

// Allow reports whether a request is within the rate at now, and uses a token if so.
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
