package sidecar

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"cedararch/balance"
)

// overdue is how long after its deadline a request that the module forgot is failed.
const overdue = 10 // ms

// Events for the loop, besides balance's own.
type (
	arrived struct{ call *call }
	leftBy  struct{ call *call } // its client is gone
	ended   struct {
		attempt *attempt
		result  result
		took    float64
	}
	probed struct {
		endpoint *endpoint
		result   result
		took     float64
	}
	listed     struct{ list *list }
	listFailed struct{ err error }
)

// loop owns the balancer and what is known of each request. All else talks to it by events; it never waits for
// a socket.
type loop struct {
	bal       *balance.Balancer
	cfg       *Config
	log       *slog.Logger
	inbox     chan any
	pending   []any // events of the loop's own, for right after the present one
	upstream  *upstream
	discovery *discovery
	front     *front

	started time.Time // the clock's origin: the module is told Unix milliseconds, counted on by the monotonic clock
	epoch   float64
	now     float64

	requests  map[balance.RequestID]*request
	byCall    map[*call]*request
	byTrace   map[string]*request // by what the client calls it
	lastID    balance.RequestID
	endpoints map[string]*endpoint
	byID      map[balance.ServerID]*endpoint
	lastNode  balance.ServerID
	timers    timers

	ctx     context.Context
	running sync.WaitGroup // attempts and probes
}

// request is a client's request until it is answered and nothing is out for it.
type request struct {
	id       balance.RequestID
	call     *call
	deadline float64
	attempts []*attempt
	live     int
	done     bool
}

func newLoop(ctx context.Context, cfg *Config, log *slog.Logger) *loop {
	start := time.Now()
	return &loop{
		bal: balance.New(cfg.Balance), cfg: cfg, log: log, inbox: make(chan any, 1024),
		started: start, epoch: float64(start.UnixMicro()) / 1000,
		requests: map[balance.RequestID]*request{}, byCall: map[*call]*request{}, byTrace: map[string]*request{},
		endpoints: map[string]*endpoint{}, byID: map[balance.ServerID]*endpoint{}, ctx: ctx,
	}
}

// post hands an event to the loop; after its end it does nothing.
func (l *loop) post(ev any) {
	select {
	case l.inbox <- ev:
	case <-l.ctx.Done():
	}
}

func (l *loop) clock(t time.Time) float64 {
	return l.epoch + float64(t.Sub(l.started))/float64(time.Millisecond)
}

func (l *loop) time(clock float64) time.Time {
	return l.started.Add(time.Duration((clock - l.epoch) * float64(time.Millisecond)))
}

// run handles events until ctx ends. What is waiting makes one batch, with one clock.
func (l *loop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.now = l.clock(time.Now())
	l.do(l.bal.Start(l.now))
	l.take(listed{&l.cfg.Known}, balance.ListCached)
	for {
		l.settle()
		l.fire()
		l.settle()
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.time(l.timers[0].at)))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case ev := <-l.inbox:
			l.now = l.clock(time.Now())
			l.handle(ev)
			l.drain()
		case <-timer.C:
			l.now = l.clock(time.Now())
		case <-l.ctx.Done():
			l.running.Wait()
			return
		}
	}
}

func (l *loop) drain() {
	for n := len(l.inbox); n > 0; n-- {
		l.settle()
		l.handle(<-l.inbox)
	}
}

// settle handles the loop's own events.
func (l *loop) settle() {
	for len(l.pending) > 0 {
		ev := l.pending[0]
		l.pending = l.pending[1:]
		l.handle(ev)
	}
}

func (l *loop) fire() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(timer)
		if t.request != nil {
			l.expire(t.request)
		} else {
			l.tell(balance.Timer{Token: t.token})
		}
		l.settle()
	}
}

func (l *loop) handle(ev any) {
	switch ev := ev.(type) {
	case arrived:
		l.front.door.waited(time.Since(ev.call.received))
		l.begin(ev.call)
	case leftBy:
		if r := l.byCall[ev.call]; r != nil && !r.done {
			a := plain(http.StatusBadGateway, "the client has ended its sending")
			if len(r.attempts) == 0 {
				a = refused(0)
			}
			l.finish(r, a)
			l.tell(balance.HangUp{Request: r.id})
		}
	case ended:
		l.end(ev)
	case probed:
		l.tell(balance.ProbeResult{
			Server: ev.endpoint.id, Result: ev.result.outcome, Took: ev.took, Report: ev.result.report,
		})
	case listed:
		kind := balance.ListDelta
		if ev.list.Complete {
			kind = balance.ListFull
		}
		l.take(ev, kind)
	case listFailed:
		l.log.Info("list of servers", "error", ev.err)
		if l.cfg.Balance.Subscribe { // else the module did not ask, and discovery calls again by itself
			l.tell(balance.ServerList{Kind: balance.ListFailed})
		}
	}
}

// tell hands an event to the module and does what it wants.
func (l *loop) tell(ev balance.Event) {
	actions, err := l.ask(ev)
	if err != nil {
		l.log.Error("decision module", "event", fmt.Sprintf("%T", ev), "error", err)
	}
	l.do(actions)
}

// ask calls the module. What it panics on must not end the sidecar: requests are still failed in time.
func (l *loop) ask(ev balance.Event) (actions []balance.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return l.bal.Handle(l.now, ev)
}

func (l *loop) do(actions []balance.Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case balance.Send:
			l.send(a)
		case balance.Refuse:
			l.finish(l.requests[a.Request], l.refusal(a.At))
		case balance.Fail:
			l.finish(l.requests[a.Request], plain(http.StatusBadGateway, "failed"))
		case balance.Cancel:
			if r := l.requests[a.Request]; r != nil && a.Attempt < len(r.attempts) {
				r.attempts[a.Attempt].cancel()
			}
		case balance.SetTimer:
			heap.Push(&l.timers, timer{at: l.now + a.At, token: a.Token})
		case balance.Probe:
			l.probe(a.Server)
		case balance.CloseIdle:
			if e := l.byID[a.Server]; e != nil {
				l.upstream.pool.closeIdle(e)
			}
		case balance.Watch:
			l.discovery.watch()
		case balance.Log:
			l.log.Info(a.Text)
		default: // Post and Fetch: the module never asks for them
			l.log.Warn("action not carried out", "kind", a.Kind)
		}
	}
}

func plain(status int, text string) *answer {
	return &answer{
		status: status, header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, body: []byte(text + "\n"),
	}
}

func (l *loop) refusal(holdOff float64) *answer {
	if b := &l.cfg.Balance; b.RetryAfter {
		return refused(min(holdOff, b.MaxRetryAfter))
	}
	return refused(0)
}

// refused tells the client that trying again is harmless, after a hold-off in milliseconds if that is above 0.
func refused(holdOff float64) *answer {
	a := plain(http.StatusServiceUnavailable, "refused, trying again is harmless")
	if holdOff > 0 {
		a.header.Set("Retry-After", strconv.FormatFloat(holdOff/1000, 'f', 3, 64))
	}
	return a
}

func (l *loop) begin(c *call) {
	l.lastID++
	r := &request{id: l.lastID, call: c}
	if l.byTrace[c.trace] != nil {
		// Servers and clients know a request by its id: under one of an open request it would get that one's
		// answer, or give it its own.
		a := plain(http.StatusConflict, "a request of this X-Trace-Id is open")
		a.last = true
		l.finish(r, a)
		return
	}
	l.byTrace[c.trace] = r
	c.request.ID = r.id
	late := l.front.door.margin()
	c.request.Remaining = max(0, c.request.Remaining-(l.now-l.clock(c.received))-float64(late)/float64(time.Millisecond))
	r.deadline = l.now + c.request.Remaining
	l.requests[r.id], l.byCall[c] = r, r
	heap.Push(&l.timers, timer{at: r.deadline + overdue, request: r})
	l.tell(c.request)
}

// finish gives a request its final answer, or none where the client is gone; the first counts. This is the only
// place from which a client is answered.
func (l *loop) finish(r *request, a *answer) {
	if r == nil || r.done {
		return
	}
	r.done = true
	delete(l.byCall, r.call)
	for _, at := range r.attempts {
		at.answered.Store(true)
	}
	if a != nil {
		r.call.answers <- a
	}
	l.forget(r)
}

func (l *loop) forget(r *request) {
	if r.done && r.live == 0 && r.call != nil {
		delete(l.requests, r.id)
		if l.byTrace[r.call.trace] == r {
			delete(l.byTrace, r.call.trace)
		}
		// Its timer holds the request until the deadline, long after the answer; headers and body need not stay.
		r.call, r.attempts = nil, nil
	}
}

// expire fails a request that is still open after its deadline, whatever the module thinks of it.
func (l *loop) expire(r *request) {
	if r.done {
		return
	}
	l.log.Error("a request was left without an answer", "request", r.id)
	l.finish(r, plain(http.StatusGatewayTimeout, "out of time"))
	l.tell(balance.HangUp{Request: r.id})
}

func (l *loop) send(a *balance.Action) {
	r, e := l.requests[a.Request], l.byID[a.Server]
	if r == nil {
		return
	}
	cut := r.deadline
	if a.At > 0 {
		cut = min(cut, a.At)
	}
	at := &attempt{
		id: r.id, number: len(r.attempts), endpoint: e, message: r.call.message, sent: l.now, cut: l.time(cut),
	}
	at.ctx, at.cancel = context.WithCancel(l.ctx)
	r.attempts = append(r.attempts, at)
	r.live++
	if r.done || e == nil || len(r.attempts) > l.cfg.Balance.MaxAttempts {
		l.pending = append(l.pending, ended{attempt: at, result: result{outcome: balance.Moot}})
		return
	}
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		res := l.upstream.try(at)
		l.post(ended{at, res, l.clock(time.Now()) - at.sent})
	}()
}

// end takes in how an attempt ended. The first good answer goes to the client.
func (l *loop) end(ev ended) {
	at := ev.attempt
	at.cancel()
	r := l.requests[at.id]
	r.live--
	if ev.result.outcome == balance.OK {
		l.finish(r, ev.result.answer)
	}
	out := balance.Outcome{
		Request: r.id, Attempt: at.number, Result: ev.result.outcome, Took: ev.took,
		Finished: r.done, Report: ev.result.report,
	}
	if at.endpoint != nil {
		out.Server = at.endpoint.id
	}
	l.tell(out)
	l.forget(r)
}

func (l *loop) probe(id balance.ServerID) {
	e := l.byID[id]
	if e == nil || e.closed.Load() {
		return
	}
	sent := l.now
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		res := l.upstream.ask(l.ctx, e)
		l.post(probed{e, res, l.clock(time.Now()) - sent})
	}()
}

// take brings a list to the endpoints and to the module.
func (l *loop) take(ev listed, kind balance.ListKind) {
	list := balance.ServerList{Kind: kind}
	seen := map[string]bool{}
	for i := range ev.list.Members {
		m := &ev.list.Members[i]
		seen[m.ID] = true
		e := l.endpoint(m)
		list.Servers = append(list.Servers, balance.Server{
			ID: e.id, State: phases[m.Phase], StartedAt: max(0, m.UpSince), Rating: m.Size,
			Cell: m.Cell, Zone: position(l.cfg.zones, m.Locality), Kind: position(l.cfg.kinds, m.Flavor),
		})
		if m.Phase != "ready" {
			l.shut(e)
		}
		if m.Phase == "gone" {
			l.remove(e)
		}
	}
	if kind != balance.ListDelta {
		for name, e := range l.endpoints {
			if !seen[name] {
				l.shut(e)
				l.remove(e)
			}
		}
	}
	l.front.ready.Store(len(l.endpoints) > 0)
	l.tell(list)
}

// endpoint returns the endpoint of a list entry, which may be new, or at a new address.
func (l *loop) endpoint(m *member) *endpoint {
	e := l.endpoints[m.ID]
	if e == nil {
		l.lastNode++
		e = &endpoint{id: l.lastNode, name: m.ID}
		l.endpoints[m.ID], l.byID[e.id] = e, e
	}
	addr := m.HostPort // a pointer into the list would keep all of it
	e.addr.Store(&addr)
	e.closed.Store(m.Phase != "ready")
	return e
}

// shut ends sends to an endpoint that drains or is gone.
func (l *loop) shut(e *endpoint) {
	e.closed.Store(true)
	l.upstream.pool.closeIdle(e)
}

func (l *loop) remove(e *endpoint) {
	delete(l.endpoints, e.name)
	delete(l.byID, e.id)
}

// position numbers a name; what the settings do not name comes after them, as one.
func position(known map[string]int, name string) int {
	if at, ok := known[name]; ok {
		return at
	}
	return len(known)
}

// timer is a timer of the module, or the end of a request.
type timer struct {
	at      float64
	token   uint64
	request *request
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
