package judge

import "time"

// The figures of the rule on news of the list, from the users' page of the protocol ("Discovery", "The rules on sockets", "Figures").
const (
	afterWait = 2 * time.Second        // a call that may wait has told all by then, counted from the end of its wait
	afterCall = 6 * time.Second        // any other call
	sameWatch = 200 * time.Millisecond // a call that comes by then after an answer goes on with the watch
	failedAsk = 4                      // times the limit for asking, after a call that failed
)

// Telling is the rule on when a change of the list counts as told to one sidecar, by what discovery saw of that sidecar's calls. It knows
// nothing of the sidecar. Where the page leaves something open it takes the reading by which news count as told sooner
// (docs/questions.md). Times are since any one moment and never go back. Its memory grows with the calls and changes that it is told of.
type Telling struct {
	AskWithin time.Duration // the limit for asking, of a sidecar without a watch; 0: none
	Since     time.Duration // the sidecar's start, with all changes until then

	calls   []tellCall
	changes []time.Duration // of revisions 1, 2, ... of the oracle's own count
	told    []time.Duration
}

type tellCall struct {
	at, hold time.Duration
	waits    bool
	end      time.Duration // forever: it is open
	outcome  tellEnd
	knew     int // changes written, or meant to be
}

type tellEnd uint8

const (
	tellOpen tellEnd = iota
	tellWhole
	tellBroken
	tellFailed
	tellLeft
)

// Called says that a call has reached discovery, and returns its number. One that may wait has a hold.
func (t *Telling) Called(at, hold time.Duration, waits bool) int {
	if n := len(t.calls); waits && n > 0 {
		if last := t.calls[n-1]; last.outcome == tellWhole && at <= last.end+sameWatch {
			for c := last.knew; c < len(t.changes); c++ {
				t.tell(c, t.changes[c])
			}
		}
	}
	for c := range t.changes { // what has been told by now a call cannot put off
		if t.told[c] <= at {
			continue
		}
		if told := t.ToldAt(c); told <= at {
			t.tell(c, told)
		}
	}
	t.calls = append(t.calls, tellCall{at: at, hold: hold, waits: waits, end: forever})
	return len(t.calls) - 1
}

// Changed says that the list has changed; changes are numbered from 0.
func (t *Telling) Changed(at time.Duration) {
	t.changes = append(t.changes, at)
	t.told = append(t.told, forever)
}

// Wrote says that a whole answer was written, with all changes so far.
func (t *Telling) Wrote(call int, at time.Duration) {
	t.end(call, at, tellWhole)
	for c := range t.changes {
		t.tell(c, at)
	}
}

// Broke says that an answer broke off, stopped, or was written so that it can't be read.
func (t *Telling) Broke(call int, at time.Duration) { t.end(call, at, tellBroken) }

// Failed says that discovery has answered that it can't.
func (t *Telling) Failed(call int, at time.Duration) { t.end(call, at, tellFailed) }

// Left says that the sidecar has given the call up.
func (t *Telling) Left(call int, at time.Duration) { t.end(call, at, tellLeft) }

func (t *Telling) end(call int, at time.Duration, how tellEnd) {
	c := &t.calls[call]
	if c.outcome == tellOpen {
		c.end, c.outcome, c.knew = at, how, len(t.changes)
	}
}

func (t *Telling) tell(change int, at time.Duration) { t.told[change] = min(t.told[change], at) }

// ToldAt is when a change counts as told, by what has happened so far; a change may be told sooner by what happens yet, never later.
// Forever: nothing obliges yet.
func (t *Telling) ToldAt(change int) time.Duration {
	told, made := t.told[change], t.changes[change]
	watched := false
	for _, c := range t.calls {
		if c.outcome == tellWhole && c.knew > change || c.outcome == tellFailed || made >= c.end {
			continue // it has told it, or was over
		}
		if c.waits && made >= c.at {
			watched = true
		}
		due := c.at + afterCall
		switch {
		case c.waits && c.outcome == tellBroken:
			due = c.end + afterWait
		case c.waits:
			due = c.at + max(c.hold+afterWait, afterCall)
		}
		told = min(told, max(due, made))
	}
	if watched || t.AskWithin == 0 {
		return told
	}
	// Without a watch: counted from the last call, or from the change if that is later.
	last, limit := t.Since, t.AskWithin
	if n := len(t.calls); n > 0 {
		last = t.calls[n-1].at
		if t.calls[n-1].outcome == tellFailed {
			limit = failedAsk * t.AskWithin
		}
	}
	return min(told, max(made+t.AskWithin, last+limit))
}
