package contract

import "time"

// recent remembers tries for a while, in a table of a fixed size: sets of ways entries, in which the oldest gives way. What
// it forgets counts as new.
type attemptTable struct {
	slots []attempt
	mask  uint64
}

const entriesPerSet = 4

// entry is a try. The zero value is none.
type attempt struct {
	identity uint64
	firstAt  time.Duration // of the first try
	retryAt  time.Duration // when it was told to come back
	rejected bool          // its contract refused it: it has not run
}

func newAttemptTable(size int) *attemptTable {
	return &attemptTable{slots: make([]attempt, size), mask: uint64(size/entriesPerSet - 1)}
}

func (t *attemptTable) set(identity uint64) []attempt {
	hash := identity * 0x9e3779b97f4a7c15
	first := (hash >> 32 & t.mask) * entriesPerSet
	return t.slots[first : first+entriesPerSet]
}

// find returns the try of an identity within a window; nil if there is none.
func (t *attemptTable) find(now time.Duration, identity uint64, window time.Duration) *attempt {
	if identity == 0 || window == 0 {
		return nil
	}
	set := t.set(identity)
	for i := range set {
		if e := &set[i]; e.identity == identity && now-e.firstAt < window {
			return e
		}
	}
	return nil
}

// put notes what became of a try. The window counts from the first one.
func (t *attemptTable) record(now time.Duration, identity uint64, window time.Duration, rejected bool, retryAt time.Duration) {
	if identity == 0 || window == 0 {
		return
	}
	set := t.set(identity)
	target := &set[0]
	for i := range set {
		e := &set[i]
		if e.identity == identity && now-e.firstAt < window {
			// Once it was let in it may have run, whatever becomes of a later try.
			e.rejected, e.retryAt = e.rejected && rejected, retryAt
			return
		}
		if e.identity == 0 || e.identity == identity {
			target = e
			break
		}
		if e.firstAt < target.firstAt {
			target = e
		}
	}
	*target = attempt{identity, now, retryAt, rejected}
}
