package explore

import (
	"slices"
)

// Shrink returns a shorter schedule that still breaks an invariant: no part of it can be removed and no choice replaced by one with a lower
// index. It is delta debugging (Zeller, Hildebrandt, 2002) with removals of halving size. The given schedule is not modified.
func Shrink(start func() System, schedule []int) []int {
	breaks := func(candidate []int) bool { return Play(start, candidate).Broken() != nil }
	schedule = slices.Clone(schedule)
	for smaller := true; smaller; {
		var shorter, earlier bool
		schedule, shorter = removeParts(schedule, breaks)
		schedule, earlier = lowerChoices(schedule, breaks)
		smaller = shorter || earlier
	}
	return schedule
}

// removeParts removes parts of a schedule, from half of it down to single choices, while it still breaks an invariant.
func removeParts(schedule []int, breaks func([]int) bool) (smaller []int, changed bool) {
	for size := max(1, len(schedule)/2); size >= 1; size /= 2 {
		for at := 0; at+size <= len(schedule); {
			candidate := slices.Delete(slices.Clone(schedule), at, at+size)
			if breaks(candidate) {
				schedule, changed = candidate, true
			} else {
				at++
			}
		}
	}
	return schedule, changed
}

// lowerChoices replaces each choice by the lowest index that still breaks an invariant.
func lowerChoices(schedule []int, breaks func([]int) bool) (smaller []int, changed bool) {
	for at := range schedule {
		for choice := range schedule[at] {
			candidate := slices.Clone(schedule)
			if candidate[at] = choice; breaks(candidate) {
				schedule, changed = candidate, true
				break
			}
		}
	}
	return schedule, changed
}
