// Package lists explores how a sidecar follows the list of servers: a follow.Plan against a discovery that answers, breaks off, falls
// silent, turns away, changes the list or waits, in any order, and a process that stands still. Held against it is judge.Telling, the
// page's rule on when news count as told: a sidecar that may send by its list holds all that counts as told.
package lists

import (
	"fmt"
	"hash/fnv"
	"time"

	"firplank/internal/roster/follow"
	"firplank/lab/explore"
	"firplank/lab/judge"
)

const (
	refreshLimit     = 10 * time.Second
	rejectionTimeout = 2 * time.Second // a discovery that has not answered a call by then turns it away
	stallDuration    = 3 * time.Second
	forever          = time.Duration(1<<63 - 1)
)

// Bounds say how much may happen in a run; without, most orders would be of faults alone.
type Bounds struct{ Changes, Faults int }

// Defect alters what passes between a plan and its surroundings, as a plan with that mistake would. The zero value has none.
type Defect struct {
	Name          string
	alterAction   func(follow.Action) follow.Action
	alterEvent    func(w *world, ev follow.Event) follow.Event
	alterValidity func(w *world, until, lapsed time.Duration) (time.Duration, time.Duration)
}

// Defects are mistakes that a search has to find.
var Defects = []Defect{
	{Name: "a spoilt answer is taken for a call that was turned away", alterEvent: func(_ *world, ev follow.Event) follow.Event {
		if ev.Kind == follow.Truncated {
			ev.Kind = follow.Rejected
		}
		return ev
	}},
	{Name: "a cut watch is taken for a discovery that is down", alterEvent: func(_ *world, ev follow.Event) follow.Event {
		if ev.Kind == follow.ConnectionReset {
			ev.Kind = follow.ConnectFailed
		}
		return ev
	}},
	{Name: "a watch that is out is valid for ever", alterValidity: func(w *world, until, lapsed time.Duration) (time.Duration, time.Duration) {
		for _, c := range w.calls {
			if c.hold > time.Second {
				return forever, forever
			}
		}
		return until, lapsed
	}},
	{Name: "each failed call puts the deadline off", alterValidity: func(w *world, until, lapsed time.Duration) (time.Duration, time.Duration) {
		if w.consecutiveRejections > 0 {
			return until + time.Duration(w.consecutiveRejections)*rejectionTimeout, lapsed
		}
		return until, lapsed
	}},
	{Name: "the deadline is looked at half a second late", alterValidity: func(_ *world, until, lapsed time.Duration) (time.Duration, time.Duration) {
		if until == forever {
			return until, lapsed
		}
		return until + 500*time.Millisecond, lapsed
	}},
	{Name: "watches are asked to wait for three seconds", alterAction: func(a follow.Action) follow.Action {
		if a.Hold > 3*time.Second {
			a.Hold = 3 * time.Second
		}
		return a
	}},
	{Name: "changes to an older list are taken for the whole one", alterEvent: func(_ *world, ev follow.Event) follow.Event {
		if ev.Kind == follow.ListReceived {
			ev.Complete = true
		}
		return ev
	}},
	{Name: "a deadline that has passed is forgotten", alterValidity: func(w *world, until, lapsed time.Duration) (time.Duration, time.Duration) {
		if until <= w.now {
			return forever, forever
		}
		return until, lapsed
	}},
}

type discoveryCall struct {
	id, oracleCall int
	hold           time.Duration
	fromRevision   int64
	startedAt      time.Duration
	readyAt        time.Duration // since when it has something to tell; forever: not yet
	silent         bool          // nothing comes on it any more
}

// world is a plan in its surroundings.
type world struct {
	bounds                Bounds
	defect                *Defect
	plan                  *follow.Plan
	oracle                judge.Telling
	now                   time.Duration
	calls                 []discoveryCall
	changes               int // made so far; the revision is that and epoch's base
	receivedChanges       int // changes that the sidecar has taken in
	baseRevision          int64
	faults                int
	consecutiveRejections int // calls turned away in a row
	stalls                int
	breach                error
	choices               []explore.Choice
}

// Start returns what Exhaust and Random begin at.
func Start(b Bounds, d *Defect) func() explore.System {
	if d == nil {
		d = &Defect{}
	}
	return func() explore.System {
		w := &world{
			bounds: b, defect: d, baseRevision: 100, oracle: judge.Telling{AskWithin: refreshLimit},
			plan: follow.New(follow.Config{Sidecars: 1, RefreshLimit: refreshLimit, HasList: true, Revision: 100}),
		}
		w.handle(follow.Event{Kind: follow.Started})
		return w
	}
}

func (w *world) Broken() error { return w.breach }

// State prints all that there is, with absolute times: what is met again by another order of the same instants is told.
func (w *world) State() uint64 {
	h := fnv.New64a()
	// A hash's Write does not fail.
	_, _ = fmt.Fprint(h, w.plan, w.oracle, w.now, w.calls, w.changes, w.receivedChanges, w.baseRevision, w.faults, w.consecutiveRejections, w.stalls)
	return h.Sum64()
}

func (w *world) Choices() []string {
	w.choices = w.choices[:0]
	add := func(do func(), format string, args ...any) {
		w.choices = append(w.choices, explore.Choice{Name: fmt.Sprintf("%8.3f s  ", w.now.Seconds()) + fmt.Sprintf(format, args...), Do: do})
	}
	add(func() { w.advance(w.nextEvent(), true) }, "time passes until %.3f s", w.nextEvent().Seconds())
	for i, c := range w.calls {
		if c.silent {
			continue
		}
		if c.readyAt <= w.now {
			add(func() { w.answerCall(i) }, "call %d is answered", c.id)
		}
		if w.faults == w.bounds.Faults {
			continue
		}
		if c.readyAt <= w.now {
			add(func() { w.failAnswer(i, follow.Truncated) }, "the answer to call %d breaks off", c.id)
			add(func() { w.stallAnswer(i) }, "the answer to call %d stops short", c.id)
			add(func() { w.failAnswer(i, follow.ConnectionReset) }, "call %d is reset", c.id)
			add(func() { w.rejectAsFault(i) }, "call %d is turned away", c.id)
		}
		add(func() { w.faults++; w.calls[i].silent = true }, "call %d falls silent", c.id)
	}
	if w.changes < w.bounds.Changes {
		add(w.changeList, "the list changes")
	}
	if w.faults < w.bounds.Faults {
		add(func() { w.faults++; w.stalls++; w.advance(w.now+stallDuration, false) }, "the process stands still for %v", stallDuration)
		if w.baseRevision > 0 {
			add(w.resetRevisions, "discovery begins its revisions anew")
		}
	}
	return explore.Names(w.choices)
}

func (w *world) Do(choice int) {
	w.Choices()
	w.choices[choice].Do()
}

func (w *world) revision() int64 { return w.baseRevision + int64(w.changes) }

// next is when the plan wants to be told of the time, or discovery has to end a call.
func (w *world) nextEvent() time.Duration {
	next := min(w.plan.Next(), w.now+5*time.Second)
	for i := range w.calls {
		next = min(next, w.endsAt(&w.calls[i]))
	}
	return max(next, w.now)
}

// due is when discovery ends a call by itself: what waits in vain is answered at the end of its wait, what is not served turned away.
func (w *world) endsAt(c *discoveryCall) time.Duration {
	if c.silent {
		return forever
	}
	if c.readyAt <= w.now {
		return c.readyAt + rejectionTimeout
	}
	return c.readyAt
}

// pass lets time go by. A process that stands still hears of nothing in between, and of all of it before it sends again.
func (w *world) advance(until time.Duration, running bool) {
	if running {
		w.checkStaleness(until)
	}
	w.now = until
	for i := 0; i < len(w.calls); i++ {
		if c := &w.calls[i]; !c.silent && c.readyAt < until && c.readyAt+rejectionTimeout <= until {
			w.rejectCall(i)
			i = -1 // what the plan did then may have changed them all
		}
	}
	w.handle(follow.Event{Kind: follow.Tick})
}

// check looks for a moment before until at which the sidecar may send by its list, and something has been told that it does not hold.
func (w *world) checkStaleness(until time.Duration) {
	valid, _ := w.valid()
	for c := w.receivedChanges; c < w.changes; c++ {
		if told := w.oracle.ToldAt(c); max(told, w.now) < min(valid, until) && w.breach == nil {
			w.breach = fmt.Errorf("change %d counts as told from %.3f s, and the list without it is used until %.3f s",
				c, told.Seconds(), min(valid, until).Seconds())
		}
	}
}

func (w *world) valid() (until, lapsed time.Duration) {
	until, lapsed = w.plan.Valid()
	if w.defect.alterValidity != nil {
		return w.defect.alterValidity(w, until, lapsed)
	}
	return until, lapsed
}

// tell tells the plan and does what it wants.
func (w *world) handle(ev follow.Event) {
	if w.defect.alterEvent != nil {
		ev = w.defect.alterEvent(w, ev)
	}
	for _, a := range append([]follow.Action(nil), w.plan.Handle(w.now, ev)...) {
		if w.defect.alterAction != nil {
			a = w.defect.alterAction(a)
		}
		switch a.Kind {
		case follow.StartCall:
			c := discoveryCall{id: a.Call, hold: a.Hold, fromRevision: a.From, startedAt: w.now, readyAt: w.now + a.Hold}
			c.oracleCall = w.oracle.Called(w.now, a.Hold, a.From >= 0)
			if a.From != w.revision() { // also where discovery has lost its place
				c.readyAt = w.now
			}
			w.calls = append(w.calls, c)
		case follow.CancelCall:
			for i := range w.calls {
				if w.calls[i].id == a.Call {
					w.oracle.Left(w.calls[i].oracleCall, w.now)
					w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
					break
				}
			}
		}
	}
}

func (w *world) changeList() {
	w.oracle.Changed(w.now)
	w.changes++
	for i := range w.calls {
		w.calls[i].readyAt = min(w.calls[i].readyAt, w.now)
	}
}

// restart begins the revisions anew, below those of before: what a call asks from means nothing any more.
func (w *world) resetRevisions() {
	w.faults++
	w.baseRevision = -int64(w.changes) + 1
	for i := range w.calls {
		w.calls[i].readyAt = w.now
	}
}

func (w *world) removeCall(i int) discoveryCall {
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	return c
}

func (w *world) answerCall(i int) {
	c := w.removeCall(i)
	w.consecutiveRejections = 0
	// From a place that discovery has lost it tells what changed since its own beginning, which is not all.
	lost := c.fromRevision > w.revision()
	ev := follow.Event{Kind: follow.ListReceived, Call: c.id, Revision: w.revision(), Complete: c.fromRevision < 0}
	if !lost {
		w.oracle.Wrote(c.oracleCall, w.now)
		w.receivedChanges = w.changes
	} else {
		w.oracle.Broke(c.oracleCall, w.now)
	}
	w.handle(ev)
}

func (w *world) failAnswer(i int, kind follow.Kind) {
	w.faults++
	c := w.removeCall(i)
	w.oracle.Broke(c.oracleCall, w.now)
	if kind == follow.Truncated {
		w.handle(follow.Event{Kind: follow.DataReceived, Call: c.id})
	}
	w.handle(follow.Event{Kind: kind, Call: c.id})
}

// stop writes part of an answer and then nothing.
func (w *world) stallAnswer(i int) {
	w.faults++
	c := &w.calls[i]
	c.silent = true
	w.oracle.Broke(c.oracleCall, w.now)
	w.handle(follow.Event{Kind: follow.DataReceived, Call: c.id})
}

func (w *world) rejectAsFault(i int) {
	w.faults++
	w.rejectCall(i)
}

func (w *world) rejectCall(i int) {
	c := w.removeCall(i)
	w.consecutiveRejections++
	w.oracle.Failed(c.oracleCall, w.now)
	w.handle(follow.Event{Kind: follow.Rejected, Call: c.id})
}
