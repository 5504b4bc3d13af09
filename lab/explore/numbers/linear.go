package numbers

import (
	"cmp"
	"fmt"
	"slices"
)

// Call is one call of an operator, as the operator saw it. A call that is sent again is another Call.
type Call struct {
	Read     bool
	Number   int    // that was put; of an answered read, the highest
	Content  string // ... and its content
	Invoked  int    // step
	Returned int    // step; 0: there was no answer, and the call may take effect at any later time, or never
	Refused  bool   // a put was refused, as its number has another content
}

// String tells the call in a few words.
func (c Call) String() string {
	text := fmt.Sprintf("put %d=%s", c.Number, c.Content)
	switch {
	case c.Read && c.Returned == 0:
		text = "read"
	case c.Read:
		text = fmt.Sprintf("read %d=%s", c.Number, c.Content)
	case c.Returned == 0:
		text += ", no answer"
	case c.Refused:
		text += ", refused"
	default:
		text += ", confirmed"
	}
	return fmt.Sprintf("%s [%d, %d]", text, c.Invoked, c.Returned)
}

// The bounds of a history that can be checked.
const (
	maxCalls   = 64
	maxNumbers = 16
)

// contents is the state of the register that the calls should have seen: for each number, in rising order, the content
// that it was taken with; 0: none yet. A number's content never changes, and the highest that has one is what a read
// returns.
type contents [maxNumbers]uint8

// checker searches for an order of the calls in which each has the answer that it got, and none goes before a call that
// had returned when it was invoked: the search of Wing and Gong, with the states that were met remembered (Lowe).
type checker struct {
	calls   []Call
	numbers []int
	ids     map[string]uint8
	failed  map[searchState]bool
}

// position is what is left of a search: the answered calls that have their place, and the state after them.
type searchState struct {
	placedCalls uint64
	contents    contents
}

// Check returns an error where no order of the calls explains their answers; it names the call with which that begins.
func Check(calls []Call) error {
	if linearizable(calls, 0) {
		return nil
	}
	answered := slices.DeleteFunc(slices.Clone(calls), func(c Call) bool { return c.Returned == 0 })
	slices.SortFunc(answered, func(a, b Call) int { return cmp.Compare(a.Returned, b.Returned) })
	for i := range answered {
		if last := answered[i]; !linearizable(calls, last.Returned) {
			return fmt.Errorf("no order explains %v after %v", last, answered[:i])
		}
	}
	return fmt.Errorf("no order explains %v", answered)
}

// explained reports whether an order explains the calls up to a step; 0: all of them.
func linearizable(calls []Call, untilStep int) bool {
	c := &checker{ids: map[string]uint8{}, failed: map[searchState]bool{}}
	for _, call := range calls {
		if untilStep > 0 && call.Invoked > untilStep {
			continue
		}
		if untilStep > 0 && call.Returned > untilStep {
			call.Returned = 0
		}
		if call.Read && call.Returned == 0 {
			continue
		}
		c.calls = append(c.calls, call)
		c.numbers = append(c.numbers, call.Number)
		if c.ids[call.Content] == 0 {
			c.ids[call.Content] = uint8(len(c.ids) + 1)
		}
	}
	slices.Sort(c.numbers)
	c.numbers = slices.Compact(c.numbers)
	if len(c.calls) > maxCalls || len(c.numbers) > maxNumbers {
		panic(fmt.Sprintf("a history of %d calls with %d numbers", len(c.calls), len(c.numbers)))
	}
	return c.search(searchState{})
}

// search reports whether what is left can be put in order.
func (c *checker) search(current searchState) bool {
	possible := true
	for placed := true; placed; {
		if current, placed, possible = c.placeNonMutating(current); !possible {
			return false
		}
	}
	if c.failed[current] {
		return false
	}
	limit, remaining := c.earliestReturn(current)
	if !remaining {
		return true
	}
	tried := map[contents]bool{}
	for i := range c.calls {
		call := &c.calls[i]
		next := current.contents
		number := c.numberIndex(call)
		if call.Read || call.Refused || call.Invoked > limit || next[number] != 0 {
			continue
		}
		next[number] = c.ids[call.Content]
		if tried[next] { // by a call with the same effect
			continue
		}
		tried[next] = true
		if c.search(searchState{current.placedCalls, next}) { // the call itself fits at once, now that it has no effect
			return true
		}
	}
	c.failed[current] = true
	return false
}

// placeEffectless places a call whose answer fits the state and which does not change it: nothing is gained by placing
// it later. fits is false where a call can never have its answer any more.
func (c *checker) placeNonMutating(current searchState) (next searchState, placed, possible bool) {
	limit, _ := c.earliestReturn(current)
	for i := range c.calls {
		call := &c.calls[i]
		if call.Returned == 0 || current.placedCalls&(1<<i) != 0 {
			continue
		}
		matches, impossible := c.checkAnswer(call, &current.contents)
		if impossible {
			return current, false, false
		}
		if matches && call.Invoked <= limit {
			current.placedCalls |= 1 << i
			return current, true, true
		}
	}
	return current, false, true
}

// answer tells whether a call has its answer in a state, without changing it, or in no later state.
func (c *checker) checkAnswer(call *Call, state *contents) (matches, impossible bool) {
	taken := state[c.numberIndex(call)]
	same := taken == c.ids[call.Content]
	switch {
	case call.Read:
		higher := slices.IndexFunc(state[c.numberIndex(call)+1:], func(id uint8) bool { return id != 0 }) >= 0
		none := call.Number == 0
		return !higher && (same || none), higher || !none && taken != 0 && !same
	case call.Refused:
		return taken != 0 && !same, same
	}
	return same, taken != 0 && !same
}

func (c *checker) numberIndex(call *Call) int {
	i, _ := slices.BinarySearch(c.numbers, call.Number)
	return i
}

// limit is the first step at which one of the answered calls that have no place had returned: whatever was invoked
// later comes after it. left is false where all have their place.
func (c *checker) earliestReturn(current searchState) (limit int, remaining bool) {
	for i := range c.calls {
		if returned := c.calls[i].Returned; returned > 0 && current.placedCalls&(1<<i) == 0 && (!remaining || returned < limit) {
			limit, remaining = returned, true
		}
	}
	return limit, remaining
}
