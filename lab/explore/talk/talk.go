// Package talk is a model checker for the gossip between sidecars: several fleet.Nodes whose datagrams are delayed, duplicated, reordered
// and lost, and whose processes crash, restart with a clock that may have gone back, and pause. The aggregates that the nodes report are
// compared with the requests that the processes counted.
package talk

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"firplank/fleet"
	"firplank/lab/explore"
)

const (
	roundInterval        = 500 * time.Millisecond // time between two rounds
	maxRequestsPerSecond = 40                     // rate limit of each member
	// With at most this many runs, none is closed before its counters can have spread: what one member knows then reaches all.
	maxRetainedRuns = 3
	maxInFlight     = 24 // datagrams; beyond it the oldest are lost
)

// Bounds set the number of members and limit the faults of an order.
type Bounds struct{ Members, Faults int }

type datagram struct {
	from, to int
	data     []byte
}

type process struct {
	node        *fleet.Node
	started     time.Duration
	admitted    uint64 // requests admitted by this run
	paused      bool
	starts      int
	clockOffset time.Duration // of its wall clock relative to the others
	limiter     fleet.RateLimiter
	knownRuns   map[processRun]bool // runs that this one knows of, including itself
}

// processRun is one run of a member's process. It stays the same when the process changes its incarnation.
type processRun struct{ member, number int }

type world struct {
	bounds        Bounds
	defect        fleet.Defect
	now           time.Duration
	processes     []process // a nil node is not running
	admitted      []uint64  // requests by member, over all runs
	runs          map[fleet.Incarnation]processRun
	admittedByRun map[processRun]uint64
	inFlight      []datagram
	cut           bool // member 0 is partitioned from the others
	faults        int
	settled       bool
	steps         int
	breach        error
	choices       []explore.Choice
}

// Start returns the initial state for Exhaust and Random.
func Start(b Bounds, d fleet.Defect) func() explore.System {
	return func() explore.System {
		w := &world{bounds: b, defect: d, processes: make([]process, b.Members), admitted: make([]uint64, b.Members),
			runs: map[fleet.Incarnation]processRun{}, admittedByRun: map[processRun]uint64{}}
		for i := range w.processes {
			w.start(i, 0)
		}
		w.round()
		return w
	}
}

func (w *world) start(i int, clockStepBack time.Duration) {
	p := &w.processes[i]
	p.starts++
	p.clockOffset -= clockStepBack
	inc := fleet.NewIncarnation(time.UnixMilli(1_800_000_000_000).Add(w.now+p.clockOffset), uint64(i*100+p.starts))
	n, err := fleet.New(fleet.Config{
		Number: i, Members: len(w.processes), Incarnation: inc, Seed: uint64(i + 1), Cells: 1, MaxRate: maxRequestsPerSecond,
	})
	if err != nil {
		panic(err)
	}
	n.Plant(w.defect)
	p.node, p.started, p.admitted, p.paused, p.limiter, p.knownRuns =
		n, w.now, 0, false, fleet.NewRateLimiter(maxRequestsPerSecond), map[processRun]bool{}
	w.recordKnownRuns(i)
}

// recordKnownRuns records which runs a process knows of.
func (w *world) recordKnownRuns(i int) {
	p := &w.processes[i]
	w.runs[p.node.Incarnation(i)] = processRun{i, p.starts}
	for j := range w.processes {
		if l, ok := w.runs[p.node.Incarnation(j)]; ok {
			p.knownRuns[l] = true
		}
	}
}

// knownAdmitted returns the number of requests admitted by runs that any running process knows of. Upper bounds must cover it. Requests of
// other runs are forgotten with the last process that knew of them.
func (w *world) knownAdmitted() (sum uint64) {
	for l, n := range w.admittedByRun {
		if slices.ContainsFunc(w.processes, func(p process) bool { return p.node != nil && p.knownRuns[l] }) {
			sum += n
		}
	}
	return sum
}

func (w *world) Broken() error { return w.breach }

// State fingerprints all but the nodes' internal state, which follows from the rest except in rare cases. A search may
// therefore skip some orders, but never reports a false breach.
func (w *world) State() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, w.now, w.admitted, w.inFlight, w.cut, w.faults, w.settled, w.steps%8) // a hash's Write does not fail
	for i := range w.processes {
		p := &w.processes[i]
		_, _ = fmt.Fprint(h, p.started, p.admitted, p.paused, p.starts, p.clockOffset) // a hash's Write does not fail
		if p.node != nil {
			_, _ = fmt.Fprint(h, p.node.View(), p.node.Sums()) // a hash's Write does not fail
		}
	}
	return h.Sum64()
}

func (w *world) Choices() []string {
	w.choices = w.choices[:0]
	if w.settled {
		return nil
	}
	add := func(do func(), format string, args ...any) {
		w.choices = append(w.choices, explore.Choice{Name: fmt.Sprintf("%7.2f s  ", w.now.Seconds()) + fmt.Sprintf(format, args...), Do: do})
	}
	add(w.round, "time passes, and every member sends")
	add(w.deliverAll, "all datagrams in flight arrive")
	add(func() {
		for range 3 {
			w.round()
			w.deliverAll()
			w.check()
		}
	}, "three rounds pass, and all datagrams arrive")
	for i := range w.processes {
		if p := &w.processes[i]; p.node != nil && !p.paused {
			add(func() { w.admitRequests(i) }, "member %d admits requests", i)
		}
	}
	for k := range min(len(w.inFlight), 3) {
		add(func() { w.deliver(k, false) }, "a datagram from %d to %d arrives", w.inFlight[k].from, w.inFlight[k].to)
	}
	if w.steps%8 == 7 {
		add(w.settle, "all faults end, and 60 rounds pass")
	}
	if w.faults == w.bounds.Faults {
		return explore.Names(w.choices)
	}
	if len(w.inFlight) > 0 {
		add(func() { w.faults++; w.deliver(len(w.inFlight)-1, true) }, "the latest datagram arrives, and is duplicated")
		add(func() { w.faults++; w.inFlight = w.inFlight[:0] }, "all datagrams in flight are lost")
	}
	add(func() { w.faults++; w.cut = !w.cut }, "member 0 is partitioned from the others, or the partition heals")
	for i := range w.processes {
		p := &w.processes[i]
		if p.node == nil {
			add(func() { w.start(i, 0) }, "member %d starts again", i)
			add(func() { w.start(i, time.Hour) }, "member %d starts again with its clock an hour back", i)
			continue
		}
		add(func() { w.faults++; p.node = nil }, "member %d crashes", i)
		add(func() { w.faults++; w.start(i, 0) }, "member %d restarts at once", i)
		add(func() { w.faults++; w.restartThreeTimes(i) }, "member %d admits requests and restarts, three times", i)
		add(func() { w.faults++; p.paused = !p.paused }, "member %d pauses, or resumes", i)
	}
	return explore.Names(w.choices)
}

func (w *world) Do(choice int) {
	w.Choices()
	w.choices[choice].Do()
	w.steps++
	w.check()
}

// localTime returns a process's own time since its start. The clocks drift by up to 500 parts per million either way.
func (w *world) localTime(i int) time.Duration {
	return time.Duration(float64(w.now-w.processes[i].started) * (1 + 0.0005*float64(i%3-1)))
}

// round advances the time and ticks every running member.
func (w *world) round() {
	w.now += roundInterval
	for i := range w.processes {
		w.tick(i)
	}
}

func (w *world) tick(i int) {
	p := &w.processes[i]
	if p.node == nil || p.paused {
		return
	}
	w.sendActions(i, p.node.Handle(w.localTime(i), fleet.Tick{
		Counters: []fleet.Counters{{fleet.Received: p.admitted, fleet.Served: p.admitted}},
	}))
}

func (w *world) sendActions(i int, actions []fleet.Action) {
	w.recordKnownRuns(i)
	for _, a := range actions {
		if a.Kind == fleet.Send {
			if len(a.Data) > fleet.MaxDatagramSize {
				w.fail("a datagram of %d bytes", len(a.Data))
			}
			w.inFlight = append(w.inFlight, datagram{i, a.To, slices.Clone(a.Data)})
		}
	}
	if over := len(w.inFlight) - maxInFlight; over > 0 {
		w.inFlight = w.inFlight[over:]
	}
}

// admitRequests admits as many requests as a member's rate limiter allows now, up to seven.
func (w *world) admitRequests(i int) {
	p := &w.processes[i]
	for range 7 {
		if p.limiter.Allow(w.localTime(i)) {
			p.admitted++
			w.admitted[i]++
			w.admittedByRun[processRun{i, p.starts}]++
		}
	}
}

func (w *world) restartThreeTimes(i int) {
	for range 3 {
		w.admitRequests(i)
		for range 3 {
			w.round()
			w.deliverAll()
			w.check()
		}
		w.start(i, 0)
	}
}

func (w *world) deliver(k int, keepCopy bool) {
	d := w.inFlight[k]
	if !keepCopy {
		w.inFlight = slices.Delete(w.inFlight, k, k+1)
	}
	p := &w.processes[d.to]
	if p.node == nil || p.paused || w.cut && (d.from == 0) != (d.to == 0) {
		return
	}
	w.sendActions(d.to, p.node.Handle(w.localTime(d.to), fleet.Datagram{From: d.from, Data: d.data}))
}

func (w *world) deliverAll() {
	for n := len(w.inFlight); n > 0 && len(w.inFlight) > 0; n-- {
		w.deliver(0, false)
	}
}

// settle ends all faults and plays enough rounds for every member to learn what any running member knows.
func (w *world) settle() {
	w.settled, w.cut = true, false
	known := make([]uint64, len(w.processes)) // received requests by member, as known to any running member
	for i := range w.processes {
		if p := &w.processes[i]; p.node != nil {
			for j, v := range p.node.View() {
				known[j] = max(known[j], v.Counters[fleet.Received])
			}
		}
	}
	for i := range w.processes {
		if w.processes[i].node == nil {
			w.start(i, 0)
		}
		w.processes[i].paused = false
	}
	for range 60 {
		w.round()
		w.deliverAll()
		w.check()
	}
	first := w.processes[0].node.Sums()
	for i := range w.processes {
		s := w.processes[i].node.Sums()
		if s.Cells[0] != first.Cells[0] {
			w.fail("after all faults ended member 0 counts %d and member %d %d", first.Cells[0][fleet.Received], i, s.Cells[0][fleet.Received])
		}
		for j, v := range w.processes[i].node.View() {
			if v.Counters[fleet.Received] < known[j] && w.processes[j].starts <= maxRetainedRuns {
				w.fail("after all faults ended member %d knows %d of member %d, but %d were known", i, v.Counters[fleet.Received], j, known[j])
			}
		}
		if v := w.processes[i].node.View()[i]; v.Counters[fleet.Received] < w.processes[i].admitted {
			w.fail("member %d reports %d of its own %d requests", i, v.Counters[fleet.Received], w.processes[i].admitted)
		}
	}
}

// check compares each member's aggregates with the true counts.
func (w *world) check() {
	total, known := uint64(0), w.knownAdmitted()
	for _, t := range w.admitted {
		total += t
	}
	for i := range w.processes {
		p := &w.processes[i]
		if p.node == nil || p.paused {
			continue
		}
		s := p.node.Sums()
		if lowerBound := s.Cells[0][fleet.Received]; lowerBound > total {
			w.fail("member %d reports a lower bound of %d: the true count is %d", i, lowerBound, total)
		}
		if upperBound := s.UpperBound(0, fleet.Received); s.Unbounded == 0 && upperBound < known && !p.node.Stale(w.localTime(i)) {
			w.fail("member %d reports an upper bound of %d: the known count is %d", i, upperBound, known)
		}
		for j, v := range p.node.View() {
			if v.Counters[fleet.Received] > w.admitted[j] {
				w.fail("member %d reports %[3]d for member %[2]d: the true count is %[4]d", i, j, v.Counters[fleet.Received], w.admitted[j])
			}
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.breach == nil {
		w.breach = fmt.Errorf(format, args...)
	}
}
