package core

import (
	"container/heap"
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"firplank/balance"
	"firplank/internal/invariant"
	"firplank/internal/loadshed"
	"firplank/internal/roster"
	"firplank/report"
)

// MaxUpload bounds an attempt whose body is still being received.
const MaxUpload = 15 * time.Minute

const (
	maxSleepMillis = 60 * 60 * 1000 // bounds the time between two looks at the timers
	inboxSize      = 1024           // events that wait for the loop before their senders block
)

// Config holds the settings of an exchange and what it works with.
type Config struct {
	Balance     balance.Config
	Zones       map[string]int // numbers of zones by name
	Kinds       map[string]int // numbers of kinds of servers by name
	InitialList *roster.List   // the server list as last known, may be old
	// Backend returns the backend for a kind of servers of the roster.
	Backend   func(flavor string) Backend
	Shedder   *loadshed.Shedder   // is notified of queue delays and answers; nil: none
	Admission AdmissionController // admits calls; nil: all are admitted
	// Counts counts requests and attempts; nil: nothing is counted.
	Counts *report.Counts
	Log    *slog.Logger
	// UpdatesPending reports whether updates of the roster have reached this process that the exchange has not received
	// yet; nil: never.
	UpdatesPending func() bool
	// Tally counts requests for the fleet and limits them; nil: there is no limit.
	FleetQuota FleetQuota
	// Invariants is notified of violated invariants of requests; nil: none is checked.
	Invariants invariant.Reporter
	// Observer is notified of the ends of requests and attempts; nil: nobody is.
	Observer Observer
	// CancelAtGone is whether a server that a complete list does not contain answers nothing: idempotent requests are
	// cancelled there.
	CancelAtUnlisted bool
	// RequireFreshList is whether InitialList is not enough to be ready: a list of this process's own has to come first.
	RequireFreshList bool
}

// Loop is an exchange. It owns the balancer and the state of each request; all else sends it events. Its exported
// methods are safe for concurrent use but for those that are for use within Inspect.
type Loop struct {
	balancer  *balance.Balancer
	cfg       Config
	log       *slog.Logger
	inbox     chan event
	ownEvents []event // events by the loop itself, to be handled right after the present one
	ready     atomic.Bool
	ctx       context.Context

	// The clock: Unix milliseconds at the start, continued by the monotonic clock.
	started     time.Time
	startMillis float64
	now         float64 // of the present batch of events

	requests   map[balance.RequestID]*request
	byCall     map[*Call]*request
	byName     map[string]*request // by Call.Name
	lastID     balance.RequestID
	timers     timers
	shutdownAt float64 // when every call has to be answered; +Inf: no shutdown

	endpoints    map[string]*Endpoint // by name
	byID         map[balance.ServerID]*Endpoint
	lastServerID balance.ServerID
	excluded     map[string]float64  // servers that operators have excluded, by name, and since when
	everListed   map[string]struct{} // names of servers that were ever listed, bounded by maxEverListed
	listCount    int                 // updates of the server list received

	validity            listValidity
	fenced              bool    // the list is not valid, or updates of it are pending: nothing is sent
	updatesPending      bool    // updates of the list are pending
	updatesPendingSince float64 // since when
	lastRunAt           float64 // when the loop last was known to run

	record *record // nil: not enabled
}

// New returns an exchange that works until ctx ends, once Run is called.
func New(ctx context.Context, cfg Config) *Loop {
	start := time.Now()
	cfg.Balance.Subscribe = false // package roster follows the list
	return &Loop{
		balancer:    balance.New(cfg.Balance),
		cfg:         cfg,
		log:         cfg.Log,
		inbox:       make(chan event, inboxSize),
		ctx:         ctx,
		started:     start,
		startMillis: float64(start.UnixMicro()) / 1000,
		requests:    map[balance.RequestID]*request{},
		byCall:      map[*Call]*request{},
		byName:      map[string]*request{},
		shutdownAt:  math.Inf(1),
		endpoints:   map[string]*Endpoint{},
		byID:        map[balance.ServerID]*Endpoint{},
		excluded:    map[string]float64{},
		everListed:  map[string]struct{}{},
		record:      newRecord(&cfg),
	}
}

// Ready reports whether there are servers to send to.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Done is closed when the exchange gives no more answers.
func (l *Loop) Done() <-chan struct{} { return l.ctx.Done() }

// millisAt converts a time to the loop's clock.
func (l *Loop) millisAt(t time.Time) float64 {
	return l.startMillis + float64(t.Sub(l.started))/float64(time.Millisecond)
}

// timeAt converts a time by the loop's clock.
func (l *Loop) timeAt(clock float64) time.Time {
	return l.started.Add(time.Duration((clock - l.startMillis) * float64(time.Millisecond)))
}

// elapsed is the time since the start, as of the present batch of events.
func (l *Loop) elapsed() time.Duration { return millis(l.now - l.startMillis) }

// Run handles events until the exchange's context ends. Events that wait make one batch with one time.
func (l *Loop) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.now = l.millisAt(time.Now())
	l.lastRunAt = l.now
	l.perform(l.balancer.Start(l.now))
	l.applyList(l.cfg.InitialList, balance.ListCached)
	for {
		l.checkPendingUpdates()
		l.updateFence()
		l.handleOwnEvents()
		l.fireTimers()
		l.handleOwnEvents()
		l.record.write(l)
		timer.Reset(time.Until(l.timeAt(l.nextWake())))
		select {
		case ev := <-l.inbox:
			l.resume()
			l.handle(ev)
			l.drainInbox()
		case <-timer.C:
			l.resume()
		case <-l.ctx.Done():
			return
		}
	}
}

// nextWake is when the loop has to continue without an event.
func (l *Loop) nextWake() float64 {
	next := math.Inf(1)
	if len(l.timers) > 0 {
		next = l.timers[0].at
	}
	return min(next, l.nextFenceCheck(), l.now+maxSleepMillis)
}

// drainInbox handles the events that wait at its call.
func (l *Loop) drainInbox() {
	for n := len(l.inbox); n > 0; n-- {
		l.handleOwnEvents()
		l.handle(<-l.inbox)
		l.updateFence()
	}
}

// handlePending handles the events by the loop itself.
func (l *Loop) handleOwnEvents() {
	for len(l.ownEvents) > 0 {
		ev := l.ownEvents[0]
		l.ownEvents = l.ownEvents[1:]
		l.handle(ev)
	}
}

// fireTimers handles the timers that are due.
func (l *Loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(*timer)
		if t.request != nil {
			l.expire(t.request)
		} else {
			l.notify(balance.TimerFired{Token: t.token})
		}
		l.handleOwnEvents()
	}
}
