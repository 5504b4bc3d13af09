package spool

import "time"

// state is how far an interval is.
type state uint8

const (
	waiting state = iota
	written       // to a receiver that has not been seen to have taken it
	settled
)

// Entry is an interval in a spool.
type Entry struct {
	*Interval
	state state
	at    time.Time // when it was written
	again bool      // it was written before
}

// Again reports whether the interval was written before.
func (e *Entry) WrittenBefore() bool { return e.again }

// Spool is the intervals for one receiver, the oldest first. It is not safe for concurrent use.
type Spool struct {
	most   int
	size   int
	list   []*Entry
	base   []int64 // what counters came to before the first
	latest []int64 // ... and after the last
	merged int64
}

// Least is the smallest bound that makes sense.
const MinBytes = 16 << 10

// New returns a spool that holds so many bytes at most. One interval, and what is written and not settled, is held beyond that:
// neither can be made less.
func New(most int) *Spool { return &Spool{most: max(most, MinBytes)} }

// Add takes in the next interval.
func (s *Spool) Add(iv *Interval) {
	s.list = append(s.list, &Entry{Interval: iv})
	s.size += iv.Size()
	s.latest = iv.AddTo(s.latest)
	for s.size > s.most && s.shrink() {
	}
}

// shrink puts two neighbours together: of the older three quarters those that span least, the oldest of these, so that all of
// them lose half of their resolution before some lose more, and the newest none. Only what is equally far can be put
// together: what is written keeps its time until that is settled.
func (s *Spool) shrink() bool {
	best := s.narrowest(len(s.list) * 3 / 4)
	if best < 0 {
		best = s.narrowest(len(s.list))
	}
	if best < 0 {
		return false
	}
	a, b := s.list[best], s.list[best+1]
	m := &Entry{Interval: Merge(a.Interval, b.Interval), state: a.state, again: a.again || b.again}
	s.size += m.Size() - a.Size() - b.Size()
	s.list[best] = m
	s.list = append(s.list[:best+1], s.list[best+2:]...)
	if m.state == waiting {
		s.merged++
	}
	return true
}

// narrowest returns the first of the two neighbours among the first n whose longer one spans least; -1: there are none.
func (s *Spool) narrowest(n int) int {
	best, span := -1, time.Duration(0)
	for i := 0; i+1 < n; i++ {
		a, b := s.list[i], s.list[i+1]
		if a.state != b.state || a.state == written {
			continue
		}
		if longer := max(a.Duration, b.Duration); best < 0 || longer < span {
			best, span = i, longer
		}
	}
	return best
}

// Oldest and Newest return the first and the last interval that waits, nil where none does.
func (s *Spool) OldestPending() *Entry {
	for _, e := range s.list {
		if e.state == waiting {
			return e
		}
	}
	return nil
}

// Newest returns the newest interval if it waits, else nil.
func (s *Spool) NewestPending() *Entry {
	if n := len(s.list); n > 0 && s.list[n-1].state == waiting {
		return s.list[n-1]
	}
	return nil
}

// Waiting returns the number of intervals that wait.
func (s *Spool) Pending() (n int) {
	for _, e := range s.list {
		if e.state == waiting {
			n++
		}
	}
	return n
}

// Size returns the bytes that all intervals hold.
func (s *Spool) Size() int { return s.size }

// Merged returns the number of intervals that were merged with another.
func (s *Spool) Merged() int64 { return s.merged }

// Begin is when the first interval that is held began; the zero time where none is.
func (s *Spool) Start() time.Time {
	if len(s.list) == 0 {
		return time.Time{}
	}
	return s.list[0].End.Add(-s.list[0].Duration)
}

// Totals returns what counters came to at the end of an interval of this spool.
func (s *Spool) Totals(of *Entry) []int64 {
	if n := len(s.list); n > 0 && s.list[n-1] == of {
		return append([]int64(nil), s.latest...)
	}
	totals := append([]int64(nil), s.base...)
	for _, e := range s.list {
		totals = e.AddTo(totals)
		if e == of {
			break
		}
	}
	return totals
}

// Write says that an interval was written.
func (s *Spool) MarkWritten(e *Entry, now time.Time) { e.state, e.at = written, now }

// Back says that what was written and not settled may not have arrived: it waits again.
func (s *Spool) Requeue() {
	for _, e := range s.list {
		if e.state == written {
			e.state, e.again = waiting, true
		}
	}
}

// SettleBefore tells that what was written before a time has arrived.
func (s *Spool) MarkDeliveredBefore(t time.Time) {
	for _, e := range s.list {
		if e.state == written && e.at.Before(t) {
			e.state = settled
		}
	}
	s.release()
}

// SettleNext tells that of what is not settled the interval that was written first has arrived.
func (s *Spool) MarkOldestDelivered() {
	var first *Entry
	for _, e := range s.list {
		if e.state == written && (first == nil || e.at.Before(first.at)) {
			first = e
		}
	}
	if first != nil {
		first.state = settled
	}
	s.release()
}

// Unsettled is when the first of what is written and not settled was written; false where nothing is.
func (s *Spool) OldestUndelivered() (at time.Time, any bool) {
	for _, e := range s.list {
		if e.state == written && (!any || e.at.Before(at)) {
			at, any = e.at, true
		}
	}
	return at, any
}

// release drops what is settled from the front on.
func (s *Spool) release() {
	n := 0
	for n < len(s.list) && s.list[n].state == settled {
		s.base = s.list[n].AddTo(s.base)
		s.size -= s.list[n].Size()
		n++
	}
	if n > 0 {
		clear(s.list[:n])
		s.list = append(s.list[:0], s.list[n:]...)
	}
}
