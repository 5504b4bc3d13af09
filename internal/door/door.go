// Package door decides whether a request may come in at all while the sidecar has no processor time left. The decision
// module turns away what the servers cannot answer in time; but a request has cost most of what it costs the sidecar by
// the time that the module sees it, so that beyond some rate all of them would be late. The door lets in as many as the
// processor can carry and turns the rest away at once, before they are read any further.
//
// It does no I/O, has no goroutine and no clock of its own: it is told how much processor time was used and how late
// things run, and is asked for each request. How many come in is decided here, which ones in package overload, by what
// their classes are worth.
package door

import (
	"time"

	"cedararch/overload"
)

// The figures of the control. Use is a share of what the sidecar may use.
const (
	// Period is how often Sample wants to be called, and window the samples over which use counts: a sidecar on a quota
	// runs in bursts.
	Period = 20 * time.Millisecond
	window = 5
	// full is the use from which the processor counts as used up, and lateness the delay that has to come with it: a busy
	// processor that is never late carries what it gets.
	full     = 0.92
	lateness = 20 * time.Millisecond
	// spare is the use below which more is let in again.
	spare = 0.80
	// cut and ease change the part that is let in, at a time.
	cut, ease = 0.75, 1.04
	// least is the part that is always let in, or the door would never learn that the rush is over.
	least = 0.02
	// shortest and longest bound the hold-off that the turned away are told.
	shortest, longest = 200 * time.Millisecond, 2 * time.Second

	// A rush fills the queue for the processor before any sample tells of it. So the door also keeps account of the work
	// that it has let in and that cannot be done yet, and lets none in that would wait for longer than backlog.
	backlog = 150 * time.Millisecond
	// firstCost is what a request is taken to cost until that is known, and turnedCost the part of it that one costs which
	// is turned away. lowest and highest bound what is learned.
	firstCost       = 300e-6 // seconds of a core
	turnedCost      = 0.15
	lowest, highest = 50e-6, 5e-3
	// telling is the use from which the cost is learned: below it most of what is used is no request's.
	telling = 0.5
)

// Door is the control. The zero value is not usable. It is not safe for concurrent use.
type Door struct {
	cores float64
	at    [window]time.Duration // of the last samples, in a ring
	used  [window]time.Duration
	next  int
	taken int
	part  float64 // of the requests that is let in
	shed  *overload.Shedder

	cost   float64 // of a request, in seconds of a core
	let    float64 // requests since the last sample, those turned away by their part
	load   [window]float64
	owed   float64       // work that was let in and is not done, in seconds of a core, as far as it can be reckoned
	owedAt time.Duration // when
}

// New returns a door that is open, for a sidecar that may use so many cores; 0 means that nobody knows, and the door
// stays open. worth is that of each class; without any all are the same.
func New(cores float64, worth []float64) *Door {
	return &Door{cores: cores, part: 1, cost: firstCost, shed: overload.New(worth)}
}

// Sample takes in the clock, the processor time used so far, and the longest delay of an event since the last sample.
func (d *Door) Sample(now, used, late time.Duration) {
	at, before := d.at[d.next], d.used[d.next]
	last := d.at[(d.next+window-1)%window]
	if d.cores <= 0 || now <= last {
		return
	}
	load := d.let
	for i, l := range d.load {
		if i != d.next { // as old as the window
			load += l
		}
	}
	d.at[d.next], d.used[d.next], d.load[d.next], d.let = now, used, d.let, 0
	d.next = (d.next + 1) % window
	if d.taken++; d.taken <= 2*window { // the start is busy, and says nothing
		return
	}
	use := (used - before).Seconds() / (now - at).Seconds() / d.cores
	if use >= telling && load >= 1 {
		d.cost += 0.1 * (min(highest, max(lowest, (used-before).Seconds()/load)) - d.cost)
	}
	switch {
	case use >= full && late >= lateness:
		d.part = max(least, d.part*cut)
	case use < spare || late < lateness:
		d.part = min(1, d.part*ease)
	}
	d.shed.Sample(d.part)
}

// Admit reports whether a request of a class that comes at now may come in. While a part is let in, those of the most
// worth come first, and those of the least stop first as work piles up.
func (d *Door) Admit(now time.Duration, class int) bool {
	if d.cores <= 0 {
		return true
	}
	d.owed = max(0, d.owed-max(0, now-d.owedAt).Seconds()*d.cores)
	d.owedAt = now
	in := d.shed.Offer(class) && d.owed <= backlog.Seconds()*d.cores*d.shed.Room(class)
	weight := turnedCost
	if in {
		weight = 1
	}
	d.owed += weight * d.cost
	d.let += weight
	return in
}

// Part is the part of the requests that is let in at present.
func (d *Door) Part() float64 { return d.part }

// HoldOff is how long who was turned away should stay away: the longer, the fewer come in.
func (d *Door) HoldOff() time.Duration {
	return min(longest, time.Duration(float64(shortest)/d.part))
}
