package follow

import (
	"slices"
	"time"
)

// debt is news that discovery may have told and that has not come: those of up to last count as told at due.
type debt struct {
	call int           // that it is of, while that is out; 0: none
	due  time.Duration // when they count as told
	last time.Duration // never: the call is out, and they may still come
	cut  bool          // of a connection cut without a byte: nothing, if discovery turns out to be down
}

// mostDebts bounds those of calls that are over: of two of them the later due goes where the earlier was incurred last.
const mostDebts = 8

// debts are what is owed. The zero value owes nothing.
type debts struct{ all []debt }

// open notes a call: what it does not tell counts as told at a time that is known from its start.
func (d *debts) open(c call) {
	due := c.began + listedBy
	if c.role == watch {
		due = c.began + Hold + waitOver
	}
	d.add(debt{call: c.id, due: due, last: never})
}

// hasten has what a call owes count as told at a time, if that is sooner.
func (d *debts) hasten(c call, due time.Duration) {
	for i := range d.all {
		if x := &d.all[i]; x.call == c.id {
			x.due = min(x.due, due)
			return
		}
	}
	d.add(debt{call: c.id, due: due, last: never})
}

// cut marks what a call owes as that of a connection cut without a byte.
func (d *debts) cut(id int) {
	for i := range d.all {
		if x := &d.all[i]; x.call == id {
			x.cut = true
		}
	}
}

// end forgets what a call owes: it is over, and has told all.
func (d *debts) end(id int) {
	d.all = slices.DeleteFunc(d.all, func(x debt) bool { return x.call == id && id != 0 })
}

// left notes that a call was given up while it may have had something to tell.
func (d *debts) left(id int, now time.Duration) {
	for i := range d.all {
		if x := &d.all[i]; x.call == id {
			x.call, x.last = 0, now
		}
	}
	d.bound()
}

// settle notes a whole answer: it holds all that was to be told up to its call's beginning, and up to its end on the same call.
func (d *debts) settle(c call) {
	d.end(c.id)
	d.all = slices.DeleteFunc(d.all, func(x debt) bool { return x.last <= c.began })
}

// forgive forgets cuts: discovery is down, and was when it ended the calls.
func (d *debts) forgive() {
	d.all = slices.DeleteFunc(d.all, func(x debt) bool { return x.cut })
}

func (d *debts) add(x debt) {
	d.all = append(d.all, x)
	d.bound()
}

func (d *debts) bound() {
	over := 0
	for _, x := range d.all {
		if x.call == 0 {
			over++
		}
	}
	if over <= mostDebts {
		return
	}
	// Merged into one, they are due with the first and cleared with the last.
	sum := debt{due: never}
	d.all = slices.DeleteFunc(d.all, func(x debt) bool {
		if x.call != 0 {
			return false
		}
		sum.due, sum.last, sum.cut = min(sum.due, x.due), max(sum.last, x.last), false
		return true
	})
	d.all = append(d.all, sum)
}

// due is when the first of all counts as told.
func (d *debts) due() time.Duration {
	due := never
	for _, x := range d.all {
		due = min(due, x.due)
	}
	return due
}

// dueSoonest is the same of calls that are over.
func (d *debts) dueSoonest() time.Duration {
	due := never
	for _, x := range d.all {
		if x.call == 0 {
			due = min(due, x.due)
		}
	}
	return due
}

// none reports that no call that is over owes anything.
func (d *debts) none() bool { return d.dueSoonest() == never }
