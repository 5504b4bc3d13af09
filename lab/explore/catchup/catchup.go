// Package catchup plays long runs of the register's control machines: hundreds of changes while members are killed,
// lose power in the middle of a write, lose their disks, have disks that refuse, and one of them is away for half of
// the changes. It runs the shipped replicas, persistence pipeline, codec and store, the last on a file system in memory
// that keeps any part of what was not synced. What operators, readers and sidecars received is checked against a
// history that knows nothing of how the register works (history.go).
//
// A seed decides all of a run: the same plan and seed give the same result. docs/design/control-safety-4.md has what
// was searched and found.
//
// Begin with Run.
package catchup

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Plan is how long a run is, and what goes wrong in it.
type Plan struct {
	Changes   int
	BodyBytes int
	Faults    int // kills, power losses, lost and refusing disks
	Defect    Defect
}

// Small is a run for tests: short, and full of faults. Full is one of 2,000 changes, of 1,000 of which one member sees
// none.
var (
	Small = Plan{Changes: 30, BodyBytes: 1000, Faults: 60}
	Full  = Plan{Changes: 2000, BodyBytes: 4000, Faults: 300}
)

const (
	members = 3
	// writeTime is how long a disk takes to sync.
	writeTime = 4 * time.Millisecond
	// maxTimePerChange bounds a run: beyond it the members make no progress.
	maxTimePerChange = 3 * time.Second
	// quietTime is how long a run goes on without faults after the last change.
	quietTime = 5 * time.Second
	// firstFault is when the first fault is injected.
	firstFault = 200 * time.Millisecond
)

// Result is what a run came to.
type Result struct {
	Breach      error
	Took        time.Duration // of virtual time
	Changes     int           // that were acknowledged
	Reads       int
	PowerLosses int // of power
	DisksLost   int // disks that were lost
	Kills       int
	DisksFull   int // spans in which a disk refused
	CatchUp     CatchUp
}

// String implements fmt.Stringer.
func (r Result) String() string {
	if r.Breach != nil {
		return r.Breach.Error()
	}
	return fmt.Sprintf("%d changes and %d reads in %.1f s; %d kills, %d losses of power, %d disks lost, %d full; %s",
		r.Changes, r.Reads, r.Took.Seconds(), r.Kills, r.PowerLosses, r.DisksLost, r.DisksFull, r.CatchUp)
}

// world is the control machines and all around them. It isn't safe for concurrent use.
type world struct {
	plan       Plan
	rng        *rand.Rand
	now        time.Duration
	schedule   schedule
	machines   []*machine
	history    *history
	result     Result
	clients    clients
	absent     *machine // that misses half of the changes; nil: not yet chosen
	faultsLeft int      // left to be injected
}

// Run plays the run that a seed draws.
func Run(p Plan, seed uint64) Result {
	w := &world{
		plan:       p,
		rng:        rand.New(rand.NewPCG(seed, 0x51ab)),
		history:    newHistory(),
		clients:    clients{pending: map[uint64]*operation{}},
		faultsLeft: p.Faults,
	}
	for i := range members {
		w.machines = append(w.machines, newMachine(w, i))
	}
	for _, m := range w.machines {
		m.start(true)
	}
	for range operators {
		w.nextChange()
	}
	w.after(readInterval, w.read)
	w.after(firstFault, w.injectFaults)
	w.run(time.Duration(p.Changes) * maxTimePerChange)
	return w.finish()
}

func (w *world) finish() Result {
	acknowledged := w.clients.acknowledged
	if w.history.breach == nil && acknowledged < w.plan.Changes {
		w.history.fail("%d of %d changes after %v: the core is stuck", acknowledged, w.plan.Changes, w.now)
	}
	r := w.result
	r.Breach = w.history.breach
	r.Took = w.now
	r.Changes = acknowledged
	r.Reads = w.history.reads
	r.CatchUp = w.history.catchUp
	return r
}

// play carries out events until all changes are made and quietTime has passed since, a check fails, or the limit is
// reached.
func (w *world) run(limit time.Duration) {
	var end time.Duration // 0: changes are left
	for w.schedule.Len() > 0 && w.history.breach == nil && w.now < limit {
		if w.clients.acknowledged == w.plan.Changes && end == 0 {
			end = w.now + quietTime
			w.endFaults()
		}
		if end > 0 && w.now > end {
			return
		}
		e := w.schedule.next()
		w.now = e.at
		e.do()
	}
}

// after schedules an event.
func (w *world) after(d time.Duration, do func()) { w.schedule.add(w.now+d, do) }
