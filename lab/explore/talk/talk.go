// Package talk explores what sidecars tell one another: several fleet.Nodes whose datagrams come, come late, twice, in another order or
// not at all, and whose processes crash, start anew with a clock that may have gone back, and stand still. Held against them is what
// their processes truly counted.
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
	step = 500 * time.Millisecond // that passes between two rounds
	rate = 40                     // requests a second that a member takes at most
	// Of so many lives none is closed before its words can have come: what is known to any is known to all then.
	mostCounted = 3
	mostAway    = 24 // datagrams on their way; beyond it the oldest are lost
)

// Bounds say how much may happen in a run.
type Bounds struct{ Members, Faults int }

type datagram struct {
	from, to int
	data     []byte
}

type process struct {
	node    *fleet.Node
	started time.Duration
	taken   uint64 // by this life
	still   bool
	lives   int
	wall    time.Duration // of its clock against the others'
	pace    fleet.RateLimiter
	knows   map[life]bool // lives that this one has heard of, its own among them
}

// life is one process of a member, from its start to its end, whatever it calls itself in between.
type life struct{ member, number int }

type world struct {
	bounds  Bounds
	defect  fleet.Defect
	now     time.Duration
	procs   []process // node nil: it does not run
	truth   []uint64  // taken, by member, over all lives
	lives   map[fleet.Incarnation]life
	taken   map[life]uint64
	away    []datagram
	cut     bool // between the first member and the others
	faults  int
	settled bool
	steps   int
	breach  error
	choices []explore.Choice
}

// Start returns what Exhaust and Random begin at.
func Start(b Bounds, d fleet.Defect) func() explore.System {
	return func() explore.System {
		w := &world{bounds: b, defect: d, procs: make([]process, b.Members), truth: make([]uint64, b.Members),
			lives: map[fleet.Incarnation]life{}, taken: map[life]uint64{}}
		for i := range w.procs {
			w.start(i, 0)
		}
		w.round()
		return w
	}
}

func (w *world) start(i int, back time.Duration) {
	p := &w.procs[i]
	p.lives++
	p.wall -= back
	inc := fleet.NewIncarnation(time.UnixMilli(1_800_000_000_000).Add(w.now+p.wall), uint64(i*100+p.lives))
	n, err := fleet.New(fleet.Config{
		Number: i, Members: len(w.procs), Incarnation: inc, Seed: uint64(i + 1), Cells: 1, MaxRate: rate,
	})
	if err != nil {
		panic(err)
	}
	n.Plant(w.defect)
	p.node, p.started, p.taken, p.still, p.pace, p.knows = n, w.now, 0, false, fleet.NewRateLimiter(rate), map[life]bool{}
	w.learn(i)
}

// learn notes which lives a process has heard of.
func (w *world) learn(i int) {
	p := &w.procs[i]
	w.lives[p.node.Incarnation(i)] = life{i, p.lives}
	for j := range w.procs {
		if l, ok := w.lives[p.node.Incarnation(j)]; ok {
			p.knows[l] = true
		}
	}
}

// knowable is what was taken by lives that any process has heard of that is there now, and so what a bound has to hold: what was taken by
// others is gone with the last that knew of them.
func (w *world) knowable() (sum uint64) {
	for l, n := range w.taken {
		if slices.ContainsFunc(w.procs, func(p process) bool { return p.node != nil && p.knows[l] }) {
			sum += n
		}
	}
	return sum
}

func (w *world) Broken() error { return w.breach }

// State prints what there is but for the nodes' inner state, which follows from it in all but rare cases: a search by
// it may leave out orders, never report a breach that is none.
func (w *world) State() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, w.now, w.truth, w.away, w.cut, w.faults, w.settled, w.steps%8) // a hash's Write does not fail
	for i := range w.procs {
		p := &w.procs[i]
		_, _ = fmt.Fprint(h, p.started, p.taken, p.still, p.lives, p.wall) // a hash's Write does not fail
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
	add(w.round, "time passes, and all say something")
	add(w.deliverAll, "all that is on its way comes")
	add(func() {
		for range 3 {
			w.round()
			w.deliverAll()
			w.check()
		}
	}, "three rounds pass, and all comes")
	for i := range w.procs {
		if p := &w.procs[i]; p.node != nil && !p.still {
			add(func() { w.take(i) }, "member %d takes requests", i)
		}
	}
	for k := range min(len(w.away), 3) {
		add(func() { w.deliver(k, false) }, "a datagram from %d to %d comes", w.away[k].from, w.away[k].to)
	}
	if w.steps%8 == 7 {
		add(w.settle, "all run, and all comes, for long")
	}
	if w.faults == w.bounds.Faults {
		return explore.Names(w.choices)
	}
	if len(w.away) > 0 {
		add(func() { w.faults++; w.deliver(len(w.away)-1, true) }, "the latest datagram comes, and will come again")
		add(func() { w.faults++; w.away = w.away[:0] }, "all that is on its way is lost")
	}
	add(func() { w.faults++; w.cut = !w.cut }, "the link of member 0 to the others is cut, or mended")
	for i := range w.procs {
		p := &w.procs[i]
		if p.node == nil {
			add(func() { w.start(i, 0) }, "member %d starts anew", i)
			add(func() { w.start(i, time.Hour) }, "member %d starts anew with its clock an hour back", i)
			continue
		}
		add(func() { w.faults++; p.node = nil }, "member %d crashes", i)
		add(func() { w.faults++; w.start(i, 0) }, "member %d is started anew at once", i)
		add(func() { w.faults++; w.shortLives(i) }, "member %d takes requests and is started anew, three times", i)
		add(func() { w.faults++; p.still = !p.still }, "member %d stands still, or goes on", i)
	}
	return explore.Names(w.choices)
}

func (w *world) Do(choice int) {
	w.Choices()
	w.choices[choice].Do()
	w.steps++
	w.check()
}

// at is a process's own time: their clocks differ by 500 parts in a million each way.
func (w *world) at(i int) time.Duration {
	return time.Duration(float64(w.now-w.procs[i].started) * (1 + 0.0005*float64(i%3-1)))
}

// round lets time pass and has all that run say something.
func (w *world) round() {
	w.now += step
	for i := range w.procs {
		w.tick(i)
	}
}

func (w *world) tick(i int) {
	p := &w.procs[i]
	if p.node == nil || p.still {
		return
	}
	w.do(i, p.node.Handle(w.at(i), fleet.Tick{Counters: []fleet.Counters{{fleet.Received: p.taken, fleet.Served: p.taken}}}))
}

func (w *world) do(i int, actions []fleet.Action) {
	w.learn(i)
	for _, a := range actions {
		if a.Kind == fleet.Send {
			if len(a.Data) > fleet.MaxDatagramSize {
				w.fail("a datagram of %d bytes", len(a.Data))
			}
			w.away = append(w.away, datagram{i, a.To, slices.Clone(a.Data)})
		}
	}
	if over := len(w.away) - mostAway; over > 0 {
		w.away = w.away[over:]
	}
}

// take has a member take as many requests as its pace allows now, up to seven.
func (w *world) take(i int) {
	p := &w.procs[i]
	for range 7 {
		if p.pace.Allow(w.at(i)) {
			p.taken++
			w.truth[i]++
			w.taken[life{i, p.lives}]++
		}
	}
}

func (w *world) shortLives(i int) {
	for range 3 {
		w.take(i)
		for range 3 {
			w.round()
			w.deliverAll()
			w.check()
		}
		w.start(i, 0)
	}
}

func (w *world) deliver(k int, again bool) {
	d := w.away[k]
	if !again {
		w.away = slices.Delete(w.away, k, k+1)
	}
	p := &w.procs[d.to]
	if p.node == nil || p.still || w.cut && (d.from == 0) != (d.to == 0) {
		return
	}
	w.do(d.to, p.node.Handle(w.at(d.to), fleet.Datagram{From: d.from, Data: d.data}))
}

func (w *world) deliverAll() {
	for n := len(w.away); n > 0 && len(w.away) > 0; n-- {
		w.deliver(0, false)
	}
}

// settle mends all, and lets it run until all must know all that is known to any.
func (w *world) settle() {
	w.settled, w.cut = true, false
	known := make([]uint64, len(w.procs)) // by whoever runs, of each
	for i := range w.procs {
		if p := &w.procs[i]; p.node != nil {
			for j, v := range p.node.View() {
				known[j] = max(known[j], v.Counters[fleet.Received])
			}
		}
	}
	for i := range w.procs {
		if w.procs[i].node == nil {
			w.start(i, 0)
		}
		w.procs[i].still = false
	}
	for range 60 {
		w.round()
		w.deliverAll()
		w.check()
	}
	first := w.procs[0].node.Sums()
	for i := range w.procs {
		s := w.procs[i].node.Sums()
		if s.Cells[0] != first.Cells[0] {
			w.fail("after all was mended member 0 counts %d and member %d %d", first.Cells[0][fleet.Received], i, s.Cells[0][fleet.Received])
		}
		for j, v := range w.procs[i].node.View() {
			if v.Counters[fleet.Received] < known[j] && w.procs[j].lives <= mostCounted {
				w.fail("after all was mended member %d knows %d of member %d, of which %d were known", i, v.Counters[fleet.Received], j, known[j])
			}
		}
		if v := w.procs[i].node.View()[i]; v.Counters[fleet.Received] < w.procs[i].taken {
			w.fail("member %d tells %d of %d of its own", i, v.Counters[fleet.Received], w.procs[i].taken)
		}
	}
}

// check holds what each member tells against the truth.
func (w *world) check() {
	total, known := uint64(0), w.knowable()
	for _, t := range w.truth {
		total += t
	}
	for i := range w.procs {
		p := &w.procs[i]
		if p.node == nil || p.still {
			continue
		}
		s := p.node.Sums()
		if least := s.Cells[0][fleet.Received]; least > total {
			w.fail("member %d says that at least %d were taken: it were %d", i, least, total)
		}
		if most := s.UpperBound(0, fleet.Received); s.Unbounded == 0 && most < known && !p.node.Stale(w.at(i)) {
			w.fail("member %d says that at most %d were taken: it were %d", i, most, known)
		}
		for j, v := range p.node.View() {
			if v.Counters[fleet.Received] > w.truth[j] {
				w.fail("member %d says that member %d has taken %d: it were %d", i, j, v.Counters[fleet.Received], w.truth[j])
			}
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.breach == nil {
		w.breach = fmt.Errorf(format, args...)
	}
}
