// Package catchup simulates long runs of the register's control machines: hundreds of changes while members are killed,
// lose power in the middle of a write, lose their disks or have full disks, and one member is down for half of the
// changes. It runs the shipped replicas, persistence pipeline, codec and store. The store's file system is in memory and
// keeps an arbitrary part of the unsynced data on a power loss. What operators, readers and sidecars receive is checked
// against a history that does not depend on how the register works (history.go).
//
// A run is deterministic: the same plan and seed give the same result. docs/design/control-safety-4.md lists the searches
// and their results.
//
// Start reading at Run.
package catchup

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Plan sets the length and the faults of a run.
type Plan struct {
	Changes   int
	BodyBytes int
	Faults    int // kills, power losses, lost and full disks
	Defect    Defect
}

// Small is a short run with many faults, for tests. Full has 2,000 changes, of which one member misses 1,000.
var (
	Small = Plan{Changes: 30, BodyBytes: 1000, Faults: 60}
	Full  = Plan{Changes: 2000, BodyBytes: 4000, Faults: 300}
)

const (
	members = 3
	// writeTime is the time that a disk takes to sync a write.
	writeTime = 4 * time.Millisecond
	// maxTimePerChange bounds a run: one that takes longer makes no progress.
	maxTimePerChange = 3 * time.Second
	// quietTime is how long a run continues without faults after the last change.
	quietTime = 5 * time.Second
	// firstFault is the time of the first fault.
	firstFault = 200 * time.Millisecond
)

// Result is the outcome of a run.
type Result struct {
	Breach      error
	Took        time.Duration // virtual time
	Changes     int           // acknowledged
	Reads       int
	PowerLosses int
	DisksLost   int
	Kills       int
	DisksFull   int // periods in which a disk was full
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

// world is the simulation: control machines, their disks and links, and clients. It isn't safe for concurrent use.
type world struct {
	plan       Plan
	rng        *rand.Rand
	now        time.Duration
	schedule   schedule
	machines   []*machine
	history    *history
	result     Result
	clients    clients
	absent     *machine // the machine that misses half of the changes; nil until it is chosen
	faultsLeft int      // still to be injected
}

// Run simulates the run that a seed determines.
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
		w.history.fail("%d of %d changes after %v: the control machines make no progress", acknowledged, w.plan.Changes, w.now)
	}
	r := w.result
	r.Breach = w.history.breach
	r.Took = w.now
	r.Changes = acknowledged
	r.Reads = w.history.reads
	r.CatchUp = w.history.catchUp
	return r
}

// run processes events until quietTime after the last change, a failed check or the limit.
func (w *world) run(limit time.Duration) {
	var end time.Duration // 0 until all changes are acknowledged
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
