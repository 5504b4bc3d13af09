package numbers

import (
	"cmp"
	"fmt"
	"slices"
)

// Call is one call of an operator, with the response as the operator received it. A retry is another Call.
type Call struct {
	Read     bool
	Number   int    // number that was put or, for a completed read, the highest number
	Content  string // content of that number
	Invoked  int    // step of the invocation
	Returned int    // step of the response; 0 if there was none: the call may take effect at any later time, or never
	Refused  bool   // the put was rejected because its number has another content
}

// String returns a short description of the call.
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

// Limits of a history that can be checked.
const (
	maxCalls   = 64
	maxNumbers = 16
)

// contents is the state of the specified register: the identifier of each number's content, in ascending order of the numbers, or 0 if
// the number has none yet. A number's content never changes, and a read returns the highest number that has one.
type contents [maxNumbers]uint8

// checker searches for a linearization: an order of the calls that explains each response, and in which no call comes before one that
// had returned when it was invoked. It is the algorithm of Wing and Gong, with Lowe's memory of the failed states.
type checker struct {
	calls   []Call
	numbers []int
	ids     map[string]uint8
	failed  map[searchState]bool
}

// searchState is a state of the search: the completed calls that are placed, and the contents after them.
type searchState struct {
	placedCalls uint64
	contents    contents
}

// Check returns an error if the calls are not linearizable. The error names the first call whose response no order explains.
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

// linearizable reports whether some order explains the calls up to a step, or all calls if untilStep is 0.
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

// search reports whether the remaining calls can be ordered.
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
		if tried[next] { // a call with the same effect was tried
			continue
		}
		tried[next] = true
		if c.search(searchState{current.placedCalls, next}) { // the next level places the call itself, which has no effect any more
			return true
		}
	}
	c.failed[current] = true
	return false
}

// placeNonMutating places a call whose response matches the contents and which does not change them, since placing it later gains
// nothing. possible is false if the response of some call can not be explained any more.
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

// checkAnswer reports whether a call's response matches the contents without a change of them, and whether no later contents can match.
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

// earliestReturn returns the first step at which a completed call that is not placed yet returned. Calls that were invoked later come
// after that call. remaining is false if all completed calls are placed.
func (c *checker) earliestReturn(current searchState) (limit int, remaining bool) {
	for i := range c.calls {
		if returned := c.calls[i].Returned; returned > 0 && current.placedCalls&(1<<i) == 0 && (!remaining || returned < limit) {
			limit, remaining = returned, true
		}
	}
	return limit, remaining
}
