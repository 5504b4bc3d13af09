// Package overload decides which requests come in while only a part of them can: those that are worth most, and of every
// class a little. How large the part is, it is told. It does no I/O, has no goroutine and no clock of its own; its cost for
// a request is the same whatever there is, and for a sample it grows with the number of classes.
//
// Begin with Shedder.
package overload

import (
	"math"
	"slices"
)

const (
	// keep is the share of its requests that a class of little worth keeps of the part that all have: what is never let in is
	// never learned of, and a class that is cheap is still somebody's.
	keep = 0.05
	// fade is what a sample leaves of the rates before it: over some fifty samples.
	fade = 0.98
	// lowest is the part of a backlog that the class of the least worth may fill; the one of the most may fill all of it.
	lowest = 0.4
)

// Shedder lets in the requests that are worth most. It is not safe for concurrent use.
type Shedder struct {
	order  []int     // the classes, the one of the most worth first
	room   []float64 // the part of a backlog that each may fill
	rate   []float64 // requests of each, fading
	part   []float64 // of each that is let in
	credit []float64
}

// New returns a shedder for classes of a worth each; without any there is one.
func New(worth []float64) *Shedder {
	n := max(1, len(worth))
	s := &Shedder{room: make([]float64, n), rate: make([]float64, n), part: make([]float64, n), credit: make([]float64, n)}
	for i := range n {
		s.order = append(s.order, i)
		s.part[i], s.room[i] = 1, 1
	}
	if len(worth) < 2 {
		return s
	}
	slices.SortStableFunc(s.order, func(a, b int) int {
		switch {
		case worth[a] > worth[b]:
			return -1
		case worth[a] < worth[b]:
			return 1
		}
		return 0
	})
	most, least := worth[s.order[0]], worth[s.order[n-1]]
	for i, w := range worth {
		if most > least {
			s.room[i] = lowest + (1-lowest)*(w-least)/(most-least)
		}
	}
	return s
}

// Classes returns how many there are.
func (s *Shedder) Classes() int { return len(s.order) }

// Sample says which part of all requests may come in from now on.
func (s *Shedder) Sample(part float64) {
	all := 0.0
	for _, r := range s.rate {
		all += r
	}
	left := part * all
	for _, c := range s.order {
		left -= keep * part * s.rate[c]
	}
	for _, c := range s.order {
		s.part[c] = part // as long as nothing is known of it
		if s.rate[c] > 0 {
			most := s.rate[c] * (1 - keep*part)
			got := max(0, min(most, left))
			left -= got
			s.part[c] = min(1, keep*part+got/s.rate[c])
		}
		s.rate[c] *= fade
	}
}

// Offer notes a request of a class and reports whether its turn has come. One of a class that is not known counts as of the
// least worth.
func (s *Shedder) Offer(class int) bool {
	class = s.known(class)
	s.rate[class]++
	s.credit[class] += s.part[class]
	in := s.credit[class] >= 1-1e-9
	if in {
		s.credit[class]--
	}
	s.credit[class] = math.Min(1, s.credit[class])
	return in
}

// Room is the part of a backlog that a class may fill: those of less worth stop before those of more.
func (s *Shedder) Room(class int) float64 { return s.room[s.known(class)] }

func (s *Shedder) known(class int) int {
	if class < 0 || class >= len(s.order) {
		return s.order[len(s.order)-1]
	}
	return class
}
