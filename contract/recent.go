package contract

import "time"

// recent remembers tries for a while, in a table of a fixed size: sets of ways entries, in which the oldest gives way. What
// it forgets counts as new.
type recent struct {
	entries []entry
	mask    uint64
}

const ways = 4

// entry is a try. The zero value is none.
type entry struct {
	identity uint64
	at       time.Duration // of the first try
	until    time.Duration // when it was told to come back
	refused  bool          // its contract refused it: it has not run
}

func newRecent(size int) *recent {
	return &recent{entries: make([]entry, size), mask: uint64(size/ways - 1)}
}

func (r *recent) set(identity uint64) []entry {
	h := identity * 0x9e3779b97f4a7c15
	at := (h >> 32 & r.mask) * ways
	return r.entries[at : at+ways]
}

// find returns the try of an identity within a window; nil if there is none.
func (r *recent) find(now time.Duration, identity uint64, window time.Duration) *entry {
	if identity == 0 || window == 0 {
		return nil
	}
	set := r.set(identity)
	for i := range set {
		if e := &set[i]; e.identity == identity && now-e.at < window {
			return e
		}
	}
	return nil
}

// put notes what became of a try. The window counts from the first one.
func (r *recent) put(now time.Duration, identity uint64, window time.Duration, refused bool, until time.Duration) {
	if identity == 0 || window == 0 {
		return
	}
	set := r.set(identity)
	old := &set[0]
	for i := range set {
		e := &set[i]
		if e.identity == identity && now-e.at < window {
			// Once it was let in it may have run, whatever becomes of a later try.
			e.refused, e.until = e.refused && refused, until
			return
		}
		if e.identity == 0 || e.identity == identity {
			old = e
			break
		}
		if e.at < old.at {
			old = e
		}
	}
	*old = entry{identity, now, until, refused}
}
