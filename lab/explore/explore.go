// Package explore is a model checker for the program's own code. It runs modules without I/O against all events of their environment, in
// every order up to a depth and in random orders beyond it, and checks invariants after every step. It does not depend on the modules: a
// System is a module with a model of its environment, and offers the events that may happen next. A schedule that breaks an invariant is
// shrunk to a short one, which a test can replay.
//
// Start reading at Exhaust, whose memory use is bounded by Limits.States, and Random, which stores no states.
package explore

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// System is a module with a model of its environment. The same choices must lead to the same state. It is not safe for concurrent use.
type System interface {
	// Choices names the events that may happen next. If there is none, the order ends. Names depend on the state and need not be unique.
	Choices() []string
	// Do performs the choice with the given index.
	Do(choice int)
	// Broken returns the first breach of an invariant, or nil. A breach persists.
	Broken() error
	// State returns a fingerprint of everything that can influence later steps.
	State() uint64
}

// Choice is an event that may happen next, as Systems store it.
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

// OrderFingerprint is a fingerprint of a sequence of choices, for Systems in which different orders never count as the same state. The
// zero value is that of no choices. It is like FNV-1a over integers, with a fold, as multiplication mixes only towards higher bits.
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
	Depth  int // choices in an order
	States int // distinct states; beyond it the search ends
}

// Result is the result of a search.
type Result struct {
	States   int // distinct states
	Steps    int
	Depth    int
	Complete bool  // every order up to the depth was explored
	Breach   error // the first breach of an invariant, or nil
	Schedule []int // the shrunk choices that lead to it
	Trace    []string
}

// String returns the result in one line or, after a breach, with one line for each step.
func (r Result) String() string {
	if r.Breach == nil {
		return fmt.Sprintf("%d states, %d steps, depth %d, complete: %v, no breach", r.States, r.Steps, r.Depth, r.Complete)
	}
	return fmt.Sprintf("%v\n  %s\nschedule %v, found after %d states and %d steps",
		r.Breach, strings.Join(r.Trace, "\n  "), r.Schedule, r.States, r.Steps)
}

// recordBreach shrinks a schedule and records the breach that it leads to.
func (r *Result) recordBreach(start func() System, schedule []int) {
	r.Schedule = Shrink(start, schedule)
	system, trace := play(start, r.Schedule)
	r.Breach, r.Trace = system.Broken(), trace
}

// Exhaust explores every order of choices up to a depth. A state that was visited with as many choices remaining is not explored again.
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

// exhaustiveSearch is a depth-first search.
type exhaustiveSearch struct {
	start     func() System
	limits    Limits
	remaining map[uint64]int // largest number of remaining choices with which each state was visited
	schedule  []int          // choices that led to the present state
	result    Result
}

// visit explores all orders from a state and reports whether the search continues.
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
		if choice < choices-1 { // the last choice reuses the system, the others replay the schedule
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

// Random plays the given number of random orders of up to depth choices, until one breaks an invariant. The seed determines the orders.
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

// Play returns the system after a schedule. Choices that the system does not offer are skipped.
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
