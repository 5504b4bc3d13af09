package catchup

import (
	"container/heap"
	"time"
)

// scheduled is a scheduled event.
type scheduled struct {
	at    time.Duration
	order int // order of insertion, which decides between events at the same time
	do    func()
}

// schedule holds the future events by time, and those of the same time in the order in which they were added. It
// implements heap.Interface.
type schedule struct {
	events []scheduled
	added  int
}

func (s *schedule) add(at time.Duration, do func()) {
	s.added++
	heap.Push(s, scheduled{at: at, order: s.added, do: do})
}

// next removes and returns the earliest event. It panics if there is none.
func (s *schedule) next() scheduled { return heap.Pop(s).(scheduled) }

// Len implements heap.Interface.
func (s *schedule) Len() int { return len(s.events) }

// Less implements heap.Interface.
func (s *schedule) Less(i, j int) bool {
	a, b := &s.events[i], &s.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

// Swap implements heap.Interface.
func (s *schedule) Swap(i, j int) { s.events[i], s.events[j] = s.events[j], s.events[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { s.events = append(s.events, x.(scheduled)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := len(s.events) - 1
	e := s.events[last]
	s.events = s.events[:last]
	return e
}
