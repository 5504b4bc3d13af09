package follow

import (
	"slices"
	"time"
)

// unseenUpdates are updates that discovery may have sent in a call and that have not arrived. Those from up to until count as
// acknowledged at due.
type unseenUpdates struct {
	call  int           // while it is in progress; 0: it was abandoned
	due   time.Duration // when they count as acknowledged
	until time.Duration // never: the call is in progress, and they may still arrive
	reset bool          // the connection was reset before a byte: there are none if discovery turns out to be down
}

// maxAbandoned bounds the entries of abandoned calls; beyond it they are merged into one.
const maxAbandoned = 8

// unseenSet is a set of unseen updates. The zero value is empty.
type unseenSet struct{ entries []unseenUpdates }

// open adds a call that starts. Its kind and start determine when its updates count as acknowledged.
func (u *unseenSet) open(c call) {
	due := c.began + listGrace
	if c.role == watch {
		due = c.began + Hold + updateGrace
	}
	u.add(unseenUpdates{call: c.id, due: due, until: never})
}

// expedite moves the time at which a call's updates count as acknowledged forward.
func (u *unseenSet) expedite(c call, due time.Duration) {
	for i := range u.entries {
		if x := &u.entries[i]; x.call == c.id {
			x.due = min(x.due, due)
			return
		}
	}
	u.add(unseenUpdates{call: c.id, due: due, until: never})
}

// markReset marks a call's updates as those of a connection that was reset before a byte.
func (u *unseenSet) markReset(id int) {
	for i := range u.entries {
		if x := &u.entries[i]; x.call == id {
			x.reset = true
		}
	}
}

// remove removes a call that has ended and delivered all updates.
func (u *unseenSet) remove(id int) {
	u.entries = slices.DeleteFunc(u.entries, func(x unseenUpdates) bool { return x.call == id && id != 0 })
}

// abandon marks a call as ended that may have had undelivered updates.
func (u *unseenSet) abandon(id int, now time.Duration) {
	for i := range u.entries {
		if x := &u.entries[i]; x.call == id {
			x.call, x.until = 0, now
		}
	}
	u.mergeAbandoned()
}

// confirm handles a complete response, which contains all updates up to its call's start, and up to its end on the same call.
func (u *unseenSet) confirm(c call) {
	u.remove(c.id)
	u.entries = slices.DeleteFunc(u.entries, func(x unseenUpdates) bool { return x.until <= c.began })
}

// removeResets removes calls that were reset. It is called when discovery is found to be down, which explains the resets.
func (u *unseenSet) removeResets() {
	u.entries = slices.DeleteFunc(u.entries, func(x unseenUpdates) bool { return x.reset })
}

func (u *unseenSet) add(x unseenUpdates) {
	u.entries = append(u.entries, x)
	u.mergeAbandoned()
}

func (u *unseenSet) mergeAbandoned() {
	abandoned := 0
	for _, x := range u.entries {
		if x.call == 0 {
			abandoned++
		}
	}
	if abandoned <= maxAbandoned {
		return
	}
	// The merged entry is due at the earliest of their times and confirmed at the latest.
	merged := unseenUpdates{due: never}
	u.entries = slices.DeleteFunc(u.entries, func(x unseenUpdates) bool {
		if x.call != 0 {
			return false
		}
		merged.due, merged.until, merged.reset = min(merged.due, x.due), max(merged.until, x.until), false
		return true
	})
	u.entries = append(u.entries, merged)
}

// due is when the first unseen update counts as acknowledged.
func (u *unseenSet) due() time.Duration {
	due := never
	for _, x := range u.entries {
		due = min(due, x.due)
	}
	return due
}

// dueAbandoned is when the first unseen update of an abandoned call counts as acknowledged.
func (u *unseenSet) dueAbandoned() time.Duration {
	due := never
	for _, x := range u.entries {
		if x.call == 0 {
			due = min(due, x.due)
		}
	}
	return due
}

// noneAbandoned reports whether there are no updates of abandoned calls.
func (u *unseenSet) noneAbandoned() bool { return u.dueAbandoned() == never }
