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

// MaxUpload is the longest duration of an attempt whose body is still being received.
const MaxUpload = 15 * time.Minute

const (
	maxSleepMillis = 60 * 60 * 1000 // longest time between two checks of the timers
	inboxSize      = 1024           // number of queued events from which on senders block
)

// Config holds the settings and dependencies of an exchange.
type Config struct {
	Balance     balance.Config
	Zones       map[string]int // numbers of zones by name
	Kinds       map[string]int // numbers of kinds of servers by name
	InitialList *roster.List   // the cached server list, may be out of date
	// Backend returns the backend for a flavor of servers in the roster.
	Backend   func(flavor string) Backend
	Shedder   *loadshed.Shedder   // is notified of queue delays and answers; nil: none
	Admission AdmissionController // admits calls; nil: all are admitted
	// Counts counts requests and attempts; nil: nothing is counted.
	Counts *report.Counts
	Log    *slog.Logger
	// UpdatesPending reports whether updates of the roster have reached this process but not the exchange; nil: never.
	UpdatesPending func() bool
	// FleetQuota counts requests and limits them over the fleet; nil: there is no limit.
	FleetQuota FleetQuota
	// Invariants is notified of violated invariants of requests; nil: none is checked.
	Invariants invariant.Reporter
	// Observer is notified of the ends of requests and attempts; nil: none.
	Observer Observer
	// CancelAtUnlisted is whether servers that a complete list does not contain are presumed dead: attempts of idempotent
	// requests are cancelled there.
	CancelAtUnlisted bool
	// RequireFreshList is whether the exchange is not ready by InitialList alone, but only after it has received a list.
	RequireFreshList bool
}

// Loop is an exchange. It owns the balancer and the state of each request; other goroutines send events to it. Its exported
// methods are safe for concurrent use, except those that are for use within Inspect.
type Loop struct {
	balancer  *balance.Balancer
	cfg       Config
	log       *slog.Logger
	inbox     chan event
	ownEvents []event // events from the loop itself, handled right after the present one
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
	shutdownAt float64 // by when every call has to be answered; +Inf: no shutdown

	endpoints    map[string]*Endpoint // by name
	byID         map[balance.ServerID]*Endpoint
	lastServerID balance.ServerID
	excluded     map[string]float64  // start of the exclusion of servers by operators, by server name
	everListed   map[string]struct{} // names of servers that were ever listed, bounded by maxEverListed
	listCount    int                 // updates of the server list received

	validity            listValidity
	fenced              bool    // nothing is sent, as the list is not valid or updates of it are pending
	updatesPending      bool    // updates of the list are pending
	updatesPendingSince float64 // start of updatesPending
	lastRunAt           float64 // when the loop last ran

	record *record // nil: not enabled
}

// New returns an exchange, which runs from the call of Run until ctx ends.
func New(ctx context.Context, cfg Config) *Loop {
	start := time.Now()
	cfg.Balance.Subscribe = false // package roster subscribes to the list
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

// Ready reports whether there are listed servers, by a list that Config.RequireFreshList accepts.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Done is closed when the exchange gives no more answers.
func (l *Loop) Done() <-chan struct{} { return l.ctx.Done() }

// millisAt converts a time to ms of the loop's clock.
func (l *Loop) millisAt(t time.Time) float64 {
	return l.startMillis + float64(t.Sub(l.started))/float64(time.Millisecond)
}

// timeAt converts ms of the loop's clock to a time.
func (l *Loop) timeAt(clock float64) time.Time {
	return l.started.Add(time.Duration((clock - l.startMillis) * float64(time.Millisecond)))
}

// elapsed returns the time since the start, as of the present batch of events.
func (l *Loop) elapsed() time.Duration { return millis(l.now - l.startMillis) }

// Run handles events until the exchange's context ends. The events that are queued together form one batch with one time.
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

// nextWake returns when the loop has to continue if there is no event.
func (l *Loop) nextWake() float64 {
	next := math.Inf(1)
	if len(l.timers) > 0 {
		next = l.timers[0].at
	}
	return min(next, l.nextFenceCheck(), l.now+maxSleepMillis)
}

// drainInbox handles the events that are queued at the time of the call.
func (l *Loop) drainInbox() {
	for n := len(l.inbox); n > 0; n-- {
		l.handleOwnEvents()
		l.handle(<-l.inbox)
		l.updateFence()
	}
}

// handleOwnEvents handles the events from the loop itself.
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
