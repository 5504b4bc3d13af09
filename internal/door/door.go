// Package door decides whether a request may come in at all while the sidecar has no processor time left. The decision
// module turns away what the servers cannot answer in time; but a request has cost most of what it costs the sidecar by
// the time that the module sees it, so that beyond some rate all of them would be late. The door lets in as many as the
// processor can carry and turns the rest away at once, before they are read any further.
//
// It does no I/O, has no goroutine and no clock of its own: it is told how much processor time was used and how late
// things run, and is asked for each request. Which requests are worth more it does not know; that is for the module.
package door

import "time"

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
	// patience bounds the hold-off that the turned away are told.
	shortest, longest = 200 * time.Millisecond, 2 * time.Second
)

// Door is the control. The zero value is not usable. It is not safe for concurrent use.
type Door struct {
	cores  float64
	at     [window]time.Duration // of the last samples, in a ring
	used   [window]time.Duration
	next   int
	taken  int
	part   float64 // of the requests that is let in
	credit float64
}

// New returns a door that is open, for a sidecar that may use so many cores; 0 means that nobody knows, and the door
// stays open.
func New(cores float64) *Door { return &Door{cores: cores, part: 1} }

// Sample takes in the clock, the processor time used so far, and the longest delay of an event since the last sample.
func (d *Door) Sample(now, used, late time.Duration) {
	at, before := d.at[d.next], d.used[d.next]
	last := d.at[(d.next+window-1)%window]
	if d.cores <= 0 || now <= last {
		return
	}
	d.at[d.next], d.used[d.next] = now, used
	d.next = (d.next + 1) % window
	if d.taken++; d.taken <= 2*window { // the start is busy, and says nothing
		return
	}
	use := (used - before).Seconds() / (now - at).Seconds() / d.cores
	switch {
	case use >= full && late >= lateness:
		d.part = max(least, d.part*cut)
	case use < spare || late < lateness:
		d.part = min(1, d.part*ease)
	}
}

// Admit reports whether a request may come in. Those that may are spread evenly.
func (d *Door) Admit() bool {
	if d.credit += d.part; d.credit >= 1 {
		d.credit -= 1
		return true
	}
	return false
}

// Part is the part of the requests that is let in at present.
func (d *Door) Part() float64 { return d.part }

// HoldOff is how long who was turned away should stay away: the longer, the fewer come in.
func (d *Door) HoldOff() time.Duration {
	return min(longest, time.Duration(float64(shortest)/d.part))
}
