// Package explore plays a module that does no I/O against everything that its surroundings may do, in every order up to a depth and at
// random beyond it, and looks for a moment at which an invariant is broken. It knows nothing of any module: a System is one with its
// surroundings, and offers what may happen next. A breach is shrunk to a short schedule that a test can play again.
//
// Begin with Exhaust, which bounds its memory by Limits.States, and Random, which has none.
package explore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// System is a module in its surroundings. It is deterministic: the same choices lead to the same state.
type System interface {
	// Choices names what may happen next; none: this is an end. The names are those of the moment and need not be unique.
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

// Limits bound a search.
type Limits struct {
	Depth  int // choices in a row
	States int // that are told apart; beyond it the search ends
}

// Result is what a search found.
type Result struct {
	States, Steps, Depth int
	Whole                bool // every order up to the depth was played
	Breach               error
	Schedule             []int // that leads to the breach, shrunk
	Story                []string
}

// String tells the result in a line or, with a breach, in one for each step.
func (r Result) String() string {
	if r.Breach == nil {
		return fmt.Sprintf("%d states, %d steps, depth %d, whole: %v, no breach", r.States, r.Steps, r.Depth, r.Whole)
	}
	return fmt.Sprintf("%v\n  %s\nschedule %v, found after %d states and %d steps", r.Breach, strings.Join(r.Story, "\n  "), r.Schedule, r.States, r.Steps)
}

// Exhaust plays every order of choices up to a depth, states that were met with as many choices left are not played again.
func Exhaust(start func() System, l Limits) Result {
	r := Result{Depth: l.Depth, Whole: true}
	seen := map[uint64]int{} // choices that were left
	var path []int
	var visit func(s System) bool
	visit = func(s System) bool {
		if s.Broken() != nil {
			r.found(start, path)
			return false
		}
		left, at := l.Depth-len(path), s.State()
		if before, ok := seen[at]; ok && before >= left {
			return true
		}
		if len(seen) >= l.States {
			r.Whole = false
			return false
		}
		seen[at] = left
		if left == 0 {
			return true
		}
		choices := len(s.Choices())
		for choice := range choices {
			next := s
			if choice < choices-1 { // the last goes on where s stands, the others begin anew
				next = Play(start, path)
			}
			next.Do(choice)
			r.Steps++
			path = append(path, choice)
			ok := visit(next)
			path = path[:len(path)-1]
			if !ok {
				return false
			}
		}
		return true
	}
	visit(start())
	r.States = len(seen)
	return r
}

// Random plays deep orders drawn from a seed.
func Random(start func() System, seed uint64, runs, depth int) Result {
	r := Result{Depth: depth}
	for run := range runs {
		rng := rand.New(rand.NewPCG(seed, uint64(run)))
		s, path := start(), []int(nil)
		for len(path) < depth && s.Broken() == nil {
			n := len(s.Choices())
			if n == 0 {
				break
			}
			path = append(path, rng.IntN(n))
			s.Do(path[len(path)-1])
			r.Steps++
		}
		r.States = r.Steps
		if s.Broken() != nil {
			r.found(start, path)
			return r
		}
	}
	return r
}

// Play returns the system after a schedule; choices that are not there any more are left out.
func Play(start func() System, schedule []int) System {
	s, _ := play(start, schedule)
	return s
}

func play(start func() System, schedule []int) (s System, story []string) {
	s = start()
	for _, choice := range schedule {
		names := s.Choices()
		if s.Broken() != nil {
			break
		}
		if choice < len(names) {
			story = append(story, names[choice])
			s.Do(choice)
		}
	}
	return s, story
}

func (r *Result) found(start func() System, schedule []int) {
	r.Schedule = Shrink(start, slices.Clone(schedule))
	s, story := play(start, r.Schedule)
	r.Breach, r.Story = s.Broken(), story
}

// Shrink returns a schedule that breaks an invariant, too, and of which no part can be left out and no choice be an earlier one.
func Shrink(start func() System, schedule []int) []int {
	broken := func(try []int) bool { return Play(start, try).Broken() != nil }
	for again := true; again; {
		again = false
		for size := max(1, len(schedule)/2); size >= 1; size /= 2 {
			for at := 0; at+size <= len(schedule); {
				if try := slices.Delete(slices.Clone(schedule), at, at+size); broken(try) {
					schedule, again = try, true
				} else {
					at++
				}
			}
		}
		for at := range schedule {
			for choice := range schedule[at] {
				try := slices.Clone(schedule)
				if try[at] = choice; broken(try) {
					schedule, again = try, true
					break
				}
			}
		}
	}
	return schedule
}
