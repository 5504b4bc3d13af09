package contract

import "time"

// attemptTable remembers recent first attempts, to detect their retries. It is a set-associative table of a fixed size: within a set of
// entriesPerSet entries the oldest is evicted. A retry of an evicted attempt counts as a first attempt.
type attemptTable struct {
	slots []attempt
	mask  uint64
}

const entriesPerSet = 4

// attempt is an entry of the table. The zero value is an empty one.
type attempt struct {
	identity uint64
	firstAt  time.Duration // time of the first attempt
	retryAt  time.Duration // end of the RetryAfter of a rejection
	rejected bool          // all attempts were rejected by the contract, so that none was executed
}

func newAttemptTable(size int) *attemptTable {
	return &attemptTable{slots: make([]attempt, size), mask: uint64(size/entriesPerSet - 1)}
}

func (t *attemptTable) set(identity uint64) []attempt {
	hash := identity * 0x9e3779b97f4a7c15
	first := (hash >> 32 & t.mask) * entriesPerSet
	return t.slots[first : first+entriesPerSet]
}

// find returns the entry of an identity whose first attempt was within the window; nil if there is none.
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

// record stores the outcome of an attempt. The window starts at the first attempt.
func (t *attemptTable) record(now time.Duration, identity uint64, window time.Duration, rejected bool, retryAt time.Duration) {
	if identity == 0 || window == 0 {
		return
	}
	set := t.set(identity)
	target := &set[0]
	for i := range set {
		e := &set[i]
		if e.identity == identity && now-e.firstAt < window {
			// An earlier attempt that was admitted may have been executed, whatever the outcome of this one.
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
