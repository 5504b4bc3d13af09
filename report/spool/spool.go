package spool

import "time"

// state is the delivery state of an interval.
type state uint8

const (
	pending state = iota
	written       // but not known to be delivered
	delivered
)

// Entry is an interval in a spool.
type Entry struct {
	*Interval
	state         state
	writtenAt     time.Time
	writtenBefore bool // and requeued since
}

// WrittenBefore reports whether the interval was already written before, so that this is a repetition.
func (e *Entry) WrittenBefore() bool { return e.writtenBefore }

// Spool holds the intervals for one receiver, oldest first. It isn't safe for concurrent use.
type Spool struct {
	maxBytes     int
	bytes        int
	entries      []*Entry
	baseTotals   []int64 // before the first entry
	latestTotals []int64 // after the last entry
	merged       int64
}

// MinBytes is the smallest limit of a spool; New raises lower ones to it.
const MinBytes = 16 << 10

// New returns a spool that holds at most maxBytes. It exceeds the limit for a single interval and for written intervals that
// aren't known to be delivered, as neither can be merged.
func New(maxBytes int) *Spool { return &Spool{maxBytes: max(maxBytes, MinBytes)} }

// Add appends the next interval.
func (s *Spool) Add(iv *Interval) {
	s.entries = append(s.entries, &Entry{Interval: iv})
	s.bytes += iv.Size()
	s.latestTotals = iv.AddTo(s.latestTotals)
	for s.bytes > s.maxBytes && s.mergePair() {
	}
}

// mergePair merges two adjacent entries and reports whether there were two to merge. It prefers the shortest pair among the
// older three quarters, and of equally short ones the oldest. So all of these entries lose half of their resolution before any
// loses more, and the newest lose none. Only entries in the same state are merged, and written ones keep their time until they
// are delivered.
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

// shortestPair returns the index of the first of two adjacent entries among the first n, chosen so that the longer of the two is
// as short as possible; -1 if none can be merged.
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

// OldestPending returns the oldest pending entry, or nil if there is none.
func (s *Spool) OldestPending() *Entry {
	for _, e := range s.entries {
		if e.state == pending {
			return e
		}
	}
	return nil
}

// NewestPending returns the newest entry if it is pending, else nil.
func (s *Spool) NewestPending() *Entry {
	if n := len(s.entries); n > 0 && s.entries[n-1].state == pending {
		return s.entries[n-1]
	}
	return nil
}

// Pending returns the number of pending entries.
func (s *Spool) Pending() (n int) {
	for _, e := range s.entries {
		if e.state == pending {
			n++
		}
	}
	return n
}

// Size returns the memory of all entries in bytes.
func (s *Spool) Size() int { return s.bytes }

// Merged returns the number of merges of pending entries.
func (s *Spool) Merged() int64 { return s.merged }

// Start returns the start of the first interval held, or the zero time if there is none.
func (s *Spool) Start() time.Time {
	if len(s.entries) == 0 {
		return time.Time{}
	}
	return s.entries[0].End.Add(-s.entries[0].Duration)
}

// Totals returns the counters' totals at the end of an entry of this spool.
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

// MarkWritten marks an entry as written to the receiver.
func (s *Spool) MarkWritten(e *Entry, now time.Time) { e.state, e.writtenAt = written, now }

// Requeue makes written entries that aren't known to be delivered pending again. It is called when the connection is lost.
func (s *Spool) Requeue() {
	for _, e := range s.entries {
		if e.state == written {
			e.state, e.writtenBefore = pending, true
		}
	}
}

// MarkDeliveredBefore marks entries that were written before a time as delivered.
func (s *Spool) MarkDeliveredBefore(t time.Time) {
	for _, e := range s.entries {
		if e.state == written && e.writtenAt.Before(t) {
			e.state = delivered
		}
	}
	s.dropDelivered()
}

// MarkOldestDelivered marks the entry that was written first as delivered.
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

// OldestUndelivered returns when the first written entry that isn't known to be delivered was written; false if there is none.
func (s *Spool) OldestUndelivered() (at time.Time, any bool) {
	for _, e := range s.entries {
		if e.state == written && (!any || e.writtenAt.Before(at)) {
			at, any = e.writtenAt, true
		}
	}
	return at, any
}

// dropDelivered removes delivered entries from the front.
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
