package spool

import "time"

// state is how far an interval is.
type state uint8

const (
	pending state = iota
	written       // to a receiver that has not been seen to have taken it
	delivered
)

// Entry is an interval in a spool.
type Entry struct {
	*Interval
	state         state
	writtenAt     time.Time // when it was written
	writtenBefore bool      // it was written before
}

// Again reports whether the interval was written before.
func (e *Entry) WrittenBefore() bool { return e.writtenBefore }

// Spool is the intervals for one receiver, the oldest first. It is not safe for concurrent use.
type Spool struct {
	maxBytes     int
	bytes        int
	entries      []*Entry
	baseTotals   []int64 // what counters came to before the first
	latestTotals []int64 // ... and after the last
	merged       int64
}

// Least is the smallest bound that makes sense.
const MinBytes = 16 << 10

// New returns a spool that holds so many bytes at most. One interval, and what is written and not settled, is held beyond that:
// neither can be made less.
func New(maxBytes int) *Spool { return &Spool{maxBytes: max(maxBytes, MinBytes)} }

// Add takes in the next interval.
func (s *Spool) Add(iv *Interval) {
	s.entries = append(s.entries, &Entry{Interval: iv})
	s.bytes += iv.Size()
	s.latestTotals = iv.AddTo(s.latestTotals)
	for s.bytes > s.maxBytes && s.mergePair() {
	}
}

// shrink puts two neighbours together: of the older three quarters those that span least, the oldest of these, so that all of
// them lose half of their resolution before some lose more, and the newest none. Only what is equally far can be put
// together: what is written keeps its time until that is settled.
func (s *Spool) mergePair() bool {
	first := s.shortestPair(len(s.entries) * 3 / 4)
	if first < 0 {
		first = s.shortestPair(len(s.entries))
	}
	if first < 0 {
		return false
	}
	a, b := s.entries[first], s.entries[first+1]
	m := &Entry{Interval: Merge(a.Interval, b.Interval), state: a.state, writtenBefore: a.writtenBefore || b.writtenBefore}
	s.bytes += m.Size() - a.Size() - b.Size()
	s.entries[first] = m
	s.entries = append(s.entries[:first+1], s.entries[first+2:]...)
	if m.state == pending {
		s.merged++
	}
	return true
}

// narrowest returns the first of the two neighbours among the first n whose longer one spans least; -1: there are none.
func (s *Spool) shortestPair(n int) int {
	best, shortest := -1, time.Duration(0)
	for i := 0; i+1 < n; i++ {
		a, b := s.entries[i], s.entries[i+1]
		if a.state != b.state || a.state == written {
			continue
		}
		if longer := max(a.Duration, b.Duration); best < 0 || longer < shortest {
			best, shortest = i, longer
		}
	}
	return best
}

// Oldest and Newest return the first and the last interval that waits, nil where none does.
func (s *Spool) OldestPending() *Entry {
	for _, e := range s.entries {
		if e.state == pending {
			return e
		}
	}
	return nil
}

// Newest returns the newest interval if it waits, else nil.
func (s *Spool) NewestPending() *Entry {
	if n := len(s.entries); n > 0 && s.entries[n-1].state == pending {
		return s.entries[n-1]
	}
	return nil
}

// Waiting returns the number of intervals that wait.
func (s *Spool) Pending() (n int) {
	for _, e := range s.entries {
		if e.state == pending {
			n++
		}
	}
	return n
}

// Size returns the bytes that all intervals hold.
func (s *Spool) Size() int { return s.bytes }

// Merged returns the number of intervals that were merged with another.
func (s *Spool) Merged() int64 { return s.merged }

// Begin is when the first interval that is held began; the zero time where none is.
func (s *Spool) Start() time.Time {
	if len(s.entries) == 0 {
		return time.Time{}
	}
	return s.entries[0].End.Add(-s.entries[0].Duration)
}

// Totals returns what counters came to at the end of an interval of this spool.
func (s *Spool) Totals(end *Entry) []int64 {
	if n := len(s.entries); n > 0 && s.entries[n-1] == end {
		return append([]int64(nil), s.latestTotals...)
	}
	totals := append([]int64(nil), s.baseTotals...)
	for _, e := range s.entries {
		totals = e.AddTo(totals)
		if e == end {
			break
		}
	}
	return totals
}

// Write says that an interval was written.
func (s *Spool) MarkWritten(e *Entry, now time.Time) { e.state, e.writtenAt = written, now }

// Back says that what was written and not settled may not have arrived: it waits again.
func (s *Spool) Requeue() {
	for _, e := range s.entries {
		if e.state == written {
			e.state, e.writtenBefore = pending, true
		}
	}
}

// SettleBefore tells that what was written before a time has arrived.
func (s *Spool) MarkDeliveredBefore(t time.Time) {
	for _, e := range s.entries {
		if e.state == written && e.writtenAt.Before(t) {
			e.state = delivered
		}
	}
	s.dropDelivered()
}

// SettleNext tells that of what is not settled the interval that was written first has arrived.
func (s *Spool) MarkOldestDelivered() {
	var first *Entry
	for _, e := range s.entries {
		if e.state == written && (first == nil || e.writtenAt.Before(first.writtenAt)) {
			first = e
		}
	}
	if first != nil {
		first.state = delivered
	}
	s.dropDelivered()
}

// Unsettled is when the first of what is written and not settled was written; false where nothing is.
func (s *Spool) OldestUndelivered() (at time.Time, any bool) {
	for _, e := range s.entries {
		if e.state == written && (!any || e.writtenAt.Before(at)) {
			at, any = e.writtenAt, true
		}
	}
	return at, any
}

// release drops what is settled from the front on.
func (s *Spool) dropDelivered() {
	n := 0
	for n < len(s.entries) && s.entries[n].state == delivered {
		s.baseTotals = s.entries[n].AddTo(s.baseTotals)
		s.bytes -= s.entries[n].Size()
		n++
	}
	if n > 0 {
		clear(s.entries[:n])
		s.entries = append(s.entries[:0], s.entries[n:]...)
	}
}
