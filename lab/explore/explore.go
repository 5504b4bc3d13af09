// Package explore plays a module that does no I/O against everything that its surroundings may do, in every order up to a depth and at
// random beyond it, and looks for a moment at which an invariant is broken: a model checker of the program's own code. It is independent of
// the modules: a System is one with its surroundings, and offers the events that may happen next. A schedule that breaks an invariant is
// shrunk to a short one, which a test can play again.
//
// Start reading at Exhaust, whose memory Limits.States bounds, and Random, which keeps no states.
package explore

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// System is a module in its surroundings. It is deterministic: the same choices lead to the same state. It is not safe for concurrent use.
type System interface {
	// Choices names the events that may happen next; none: the order ends here. The names are those of the moment and need not be unique.
	Choices() []string
	// Do lets one of them happen.
	Do(choice int)
	// Broken returns the first breach of an invariant, which stays.
	Broken() error
	// State is a fingerprint of all that can make a difference from now on.
	State() uint64
}

// Choice is something that may happen, for Systems to keep.
type Choice struct {
	Name string
	Do   func()
}

// Names returns the names of choices.
func Names(all []Choice) []string {
	names := make([]string, len(all))
	for i := range all {
		names[i] = all[i].Name
	}
	return names
}

// OrderFingerprint is a fingerprint of the choices that were made, for Systems that take no two orders for the same state. The zero value
// is that of no choice. It is like FNV-1a, but over whole numbers, and folded, as a multiplication mixes upwards only.
type OrderFingerprint uint64

// Add returns the fingerprint with one more choice.
func (f OrderFingerprint) Add(choice int) OrderFingerprint {
	const (
		prime = 1099511628211
		fold  = 29
	)
	f = (f ^ OrderFingerprint(choice+1)) * prime
	return f ^ f>>fold
}

// Limits bound a search.
type Limits struct {
	Depth  int // choices in a row
	States int // that are told apart; beyond it the search ends
}

// Result is what a search found.
type Result struct {
	States   int // that were told apart
	Steps    int
	Depth    int
	Complete bool  // every order up to the depth was played
	Breach   error // the first breach of an invariant; nil: none was found
	Schedule []int // the choices that lead to it, shrunk
	Trace    []string
}

// String returns the result in a line or, with a breach, in one for each step.
func (r Result) String() string {
	if r.Breach == nil {
		return fmt.Sprintf("%d states, %d steps, depth %d, complete: %v, no breach", r.States, r.Steps, r.Depth, r.Complete)
	}
	return fmt.Sprintf("%v\n  %s\nschedule %v, found after %d states and %d steps",
		r.Breach, strings.Join(r.Trace, "\n  "), r.Schedule, r.States, r.Steps)
}

// recordBreach sets the breach that a schedule leads to.
func (r *Result) recordBreach(start func() System, schedule []int) {
	r.Schedule = Shrink(start, schedule)
	system, trace := play(start, r.Schedule)
	r.Breach, r.Trace = system.Broken(), trace
}

// Exhaust plays every order of choices up to a depth. States that were reached with as many choices left are not played again.
func Exhaust(start func() System, l Limits) Result {
	s := exhaustiveSearch{
		start:     start,
		limits:    l,
		remaining: map[uint64]int{},
		result:    Result{Depth: l.Depth, Complete: true},
	}
	s.visit(start())
	s.result.States = len(s.remaining)
	return s.result
}

// exhaustiveSearch is a search in depth first.
type exhaustiveSearch struct {
	start     func() System
	limits    Limits
	remaining map[uint64]int // of each state that was visited, the choices that were left then
	schedule  []int          // that led to the present state
	result    Result
}

// visit plays all orders from a state on, and reports whether the search continues.
func (s *exhaustiveSearch) visit(system System) bool {
	if system.Broken() != nil {
		s.result.recordBreach(s.start, s.schedule)
		return false
	}
	state, left := system.State(), s.limits.Depth-len(s.schedule)
	if before, visited := s.remaining[state]; visited && before >= left {
		return true
	}
	if len(s.remaining) >= s.limits.States {
		s.result.Complete = false
		return false
	}
	s.remaining[state] = left
	return left == 0 || s.branch(system)
}

// branch visits the states that the choices of a state lead to.
func (s *exhaustiveSearch) branch(system System) bool {
	choices := len(system.Choices())
	for choice := range choices {
		next := system
		if choice < choices-1 { // the last choice continues with the system itself, the others play it anew
			next = Play(s.start, s.schedule)
		}
		next.Do(choice)
		s.result.Steps++
		s.schedule = append(s.schedule, choice)
		continues := s.visit(next)
		s.schedule = s.schedule[:len(s.schedule)-1]
		if !continues {
			return false
		}
	}
	return true
}

// Random plays so many orders of up to depth choices, drawn from a seed, until one breaks an invariant.
func Random(start func() System, seed uint64, orders, depth int) Result {
	r := Result{Depth: depth}
	for order := range orders {
		random := rand.New(rand.NewPCG(seed, uint64(order)))
		system, schedule := start(), []int(nil)
		for len(schedule) < depth && system.Broken() == nil {
			choices := len(system.Choices())
			if choices == 0 {
				break
			}
			choice := random.IntN(choices)
			schedule = append(schedule, choice)
			system.Do(choice)
			r.Steps++
		}
		r.States = r.Steps
		if system.Broken() != nil {
			r.recordBreach(start, schedule)
			return r
		}
	}
	return r
}

// Play returns the system after a schedule. Choices that the system does not offer are left out.
func Play(start func() System, schedule []int) System {
	system, _ := play(start, schedule)
	return system
}

func play(start func() System, schedule []int) (system System, trace []string) {
	system = start()
	for _, choice := range schedule {
		names := system.Choices()
		if system.Broken() != nil {
			break
		}
		if choice < len(names) {
			trace = append(trace, names[choice])
			system.Do(choice)
		}
	}
	return system, trace
}
