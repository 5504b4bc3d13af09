// Package lists explores how a sidecar follows the list of servers: a follow.Plan with a discovery that responds, truncates responses,
// stops responding, rejects calls, changes the list or waits, in any order, and a sidecar process that freezes. The oracle is
// judge.NotificationTracker, which implements the documented rule on when a change counts as delivered: a list that the sidecar may
// still use contains all changes that count as delivered.
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
	rejectionTimeout = 2 * time.Second // time after which discovery rejects a call that it has not responded to
	stallDuration    = 3 * time.Second
	forever          = time.Duration(1<<63 - 1)
)

// Bounds limits the events of a run. Without bounds, most orders would consist of faults only.
type Bounds struct{ Changes, Faults int }

// Defect alters the input and output of a plan so that it acts like a plan with a bug. The zero value is no defect.
type Defect struct {
	Name          string
	alterAction   func(follow.Action) follow.Action
	alterEvent    func(w *world, ev follow.Event) follow.Event
	alterValidity func(w *world, until, lapsed time.Duration) (time.Duration, time.Duration)
}

// Defects are the planted defects that a search must find.
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
	{Name: "each failed call puts the deadline off",
		alterValidity: func(w *world, until, lapsed time.Duration) (time.Duration, time.Duration) {
			if w.consecutiveRejections > 0 {
				return until + time.Duration(w.consecutiveRejections)*rejectionTimeout, lapsed
			}
			return until, lapsed
		}},
	{Name: "the deadline is looked at half a second late",
		alterValidity: func(_ *world, until, lapsed time.Duration) (time.Duration, time.Duration) {
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
	{Name: "a deadline that has passed is forgotten",
		alterValidity: func(w *world, until, lapsed time.Duration) (time.Duration, time.Duration) {
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
	readyAt        time.Duration // time from which discovery can respond
	silent         bool          // no more data arrives on the call
}

// world is a plan with its simulated environment.
type world struct {
	bounds                Bounds
	defect                *Defect
	plan                  *follow.Plan
	oracle                judge.NotificationTracker
	now                   time.Duration
	calls                 []discoveryCall
	changes               int // number of changes so far; the revision is baseRevision plus this
	receivedChanges       int // number of changes that the sidecar has received
	baseRevision          int64
	faults                int
	consecutiveRejections int // calls rejected in a row
	stalls                int
	breach                error
	choices               []explore.Choice
}

// Start returns a function that creates a new system. No defect is planted if d is nil.
func Start(b Bounds, d *Defect) func() explore.System {
	if d == nil {
		d = &Defect{}
	}
	return func() explore.System {
		w := &world{
			bounds: b, defect: d, baseRevision: 100, oracle: judge.NotificationTracker{PollWithin: refreshLimit},
			plan: follow.New(follow.Config{Sidecars: 1, RefreshLimit: refreshLimit, HasList: true, Revision: 100}),
		}
		w.handle(follow.Event{Kind: follow.Started})
		return w
	}
}

func (w *world) Broken() error { return w.breach }

// State hashes the complete state with absolute times, so only states that other orders reach at the same times are recognized.
func (w *world) State() uint64 {
	h := fnv.New64a()
	// Write to a hash never fails.
	_, _ = fmt.Fprint(h, w.plan, w.oracle, w.now, w.calls, w.changes, w.receivedChanges, w.baseRevision,
		w.faults, w.consecutiveRejections, w.stalls)
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

// nextEvent returns the time of the next tick of the plan or the next end of a call by discovery, at most 5 s ahead.
func (w *world) nextEvent() time.Duration {
	next := min(w.plan.Next(), w.now+5*time.Second)
	for i := range w.calls {
		next = min(next, w.endsAt(&w.calls[i]))
	}
	return max(next, w.now)
}

// endsAt returns when discovery ends a call by itself. A watch without changes is answered at the end of its hold time, and a call that
// has a response but does not get it is rejected after rejectionTimeout.
func (w *world) endsAt(c *discoveryCall) time.Duration {
	if c.silent {
		return forever
	}
	if c.readyAt <= w.now {
		return c.readyAt + rejectionTimeout
	}
	return c.readyAt
}

// advance advances the time. A frozen process handles no events in between, but handles all of them before it sends again.
func (w *world) advance(until time.Duration, running bool) {
	if running {
		w.checkStaleness(until)
	}
	w.now = until
	for i := 0; i < len(w.calls); i++ {
		if c := &w.calls[i]; !c.silent && c.readyAt < until && c.readyAt+rejectionTimeout <= until {
			w.rejectCall(i)
			i = -1 // the plan's reaction may have changed all calls
		}
	}
	w.handle(follow.Event{Kind: follow.Tick})
}

// checkStaleness looks for a time before until at which the sidecar may use its list although a change that it lacks counts as delivered.
func (w *world) checkStaleness(until time.Duration) {
	valid, _ := w.valid()
	for c := w.receivedChanges; c < w.changes; c++ {
		if deliveredAt := w.oracle.NotifiedBy(c); max(deliveredAt, w.now) < min(valid, until) && w.breach == nil {
			w.breach = fmt.Errorf("change %d counts as delivered from %.3f s, but the list without it is used until %.3f s",
				c, deliveredAt.Seconds(), min(valid, until).Seconds())
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

// handle passes an event to the plan and carries out its actions.
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
			c.oracleCall = w.oracle.CallStarted(w.now, a.Hold, a.From >= 0)
			if a.From != w.revision() { // also if the revision is one from before a reset
				c.readyAt = w.now
			}
			w.calls = append(w.calls, c)
		case follow.CancelCall:
			for i := range w.calls {
				if w.calls[i].id == a.Call {
					w.oracle.CallCanceled(w.calls[i].oracleCall, w.now)
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

// resetRevisions restarts discovery's revisions below the earlier ones, so that the revision that a call starts from is meaningless.
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
	// For a revision from before a reset, discovery returns only the changes since the reset, which is incomplete.
	lost := c.fromRevision > w.revision()
	ev := follow.Event{Kind: follow.ListReceived, Call: c.id, Revision: w.revision(), Complete: c.fromRevision < 0}
	if !lost {
		w.oracle.CallAnswered(c.oracleCall, w.now)
		w.receivedChanges = w.changes
	} else {
		w.oracle.CallBroke(c.oracleCall, w.now)
	}
	w.handle(ev)
}

func (w *world) failAnswer(i int, kind follow.Kind) {
	w.faults++
	c := w.removeCall(i)
	w.oracle.CallBroke(c.oracleCall, w.now)
	if kind == follow.Truncated {
		w.handle(follow.Event{Kind: follow.DataReceived, Call: c.id})
	}
	w.handle(follow.Event{Kind: kind, Call: c.id})
}

// stallAnswer writes part of a response and then nothing more.
func (w *world) stallAnswer(i int) {
	w.faults++
	c := &w.calls[i]
	c.silent = true
	w.oracle.CallBroke(c.oracleCall, w.now)
	w.handle(follow.Event{Kind: follow.DataReceived, Call: c.id})
}

func (w *world) rejectAsFault(i int) {
	w.faults++
	w.rejectCall(i)
}

func (w *world) rejectCall(i int) {
	c := w.removeCall(i)
	w.consecutiveRejections++
	w.oracle.CallFailed(c.oracleCall, w.now)
	w.handle(follow.Event{Kind: follow.Rejected, Call: c.id})
}
