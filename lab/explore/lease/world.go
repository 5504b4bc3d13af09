// Package lease is an explorer of package mesh/lease: links lose, delay, duplicate and reorder messages, processes are killed, restart and
// freeze, and clocks differ in speed. It checks that two machines never hold the lease at the same time, and that one machine holds it
// after all faults are repaired. The check is independent of how a lease is granted.
//
// Start reading at Start.
package lease

import (
	"fmt"
	"slices"
	"time"

	"firplank/lab/explore"
	"firplank/mesh/lease"
	"firplank/mesh/timing"
)

const (
	// step is the resolution of virtual time.
	step = 100 * time.Millisecond
	// repairInterval is the number of steps after which all faults may be repaired.
	repairInterval = 32
	// recoveryLimit is the number of vote durations within which a lease must be granted after the repair.
	recoveryLimit = 3
	// steadySteps is the number of steps for which the holder must then stay the same.
	steadySteps = 20
	// requestNumberShift is the number of low bits of a request number that count the requests since a start. The start count is above them.
	requestNumberShift = 32
)

var durations = timing.NewLease(timing.DefaultVoteDuration)

// machine is a control machine.
type machine struct {
	name        string
	lease       *lease.Lease // nil while the machine is down
	started     time.Duration
	frozen      bool
	starts      int
	lastRequest uint64
}

// world is a group of machines with their links and faults. It implements explore.System.
type world struct {
	explore.Offers

	bounds    Bounds
	defect    *Defect
	now       time.Duration
	machines  []machine
	inFlight  []lease.Message
	steps     int
	partition bool // the first machine is partitioned from the others
	repaired  bool // the order ends after a repair
	broken    error
}

// Start returns a function that creates a new system. No defect is planted if d is nil.
func Start(b Bounds, d *Defect) func() explore.System {
	if d == nil {
		d = &Defect{}
	}
	return func() explore.System {
		w := &world{bounds: b, defect: d, machines: make([]machine, b.Machines)}
		for i := range w.machines {
			w.machines[i].name = string(rune('a' + i))
		}
		for i := range w.machines {
			w.start(i)
		}
		return w
	}
}

// start starts or restarts a machine.
func (w *world) start(i int) {
	m := &w.machines[i]
	m.starts++
	m.started, m.frozen = w.now, false
	startedAt, firstNumber := time.Duration(0), uint64(m.starts)<<requestNumberShift
	if w.defect.noStartupDelay {
		startedAt = -durations.StartupDelay
	}
	m.lease, m.lastRequest = lease.New(m.name, startedAt, firstNumber, durations), firstNumber
	var members []string
	for j := range w.machines {
		if !w.defect.soleMember || i > 0 || j == 0 {
			members = append(members, w.machines[j].name)
		}
	}
	m.lease.SetMembers(members)
}

// clock returns a machine's local time.
func (w *world) clock(i int) time.Duration {
	return time.Duration(float64(w.now-w.machines[i].started) * w.defect.clockRate(i))
}

// Broken implements explore.System.
func (w *world) Broken() error { return w.broken }

// Do implements explore.System.
func (w *world) Do(choice int) {
	w.Choices()
	w.steps++
	w.Perform(choice)
}

// advance advances the time at all running machines.
func (w *world) advance(d time.Duration) {
	w.now += d
	for i := range w.machines {
		m := &w.machines[i]
		if m.lease == nil || m.frozen {
			continue
		}
		for _, message := range m.lease.Tick(w.clock(i)) {
			m.lastRequest = message.Number
			w.send(message)
		}
	}
	w.checkSingleHolder()
}

// advanceSteps advances the time by a number of steps and delivers all messages after each.
func (w *world) advanceSteps(steps int) {
	for range steps {
		w.advance(step)
		w.deliverAll()
	}
}

// delayInFlight advances the time by a number of steps and delivers all messages except those that are in flight at the call.
func (w *world) delayInFlight(steps int) {
	delayed := w.inFlight
	w.inFlight = nil
	w.advanceSteps(steps)
	w.inFlight = append(delayed, w.inFlight...)
}

func (w *world) send(m lease.Message) {
	if w.inFlight = append(w.inFlight, m); len(w.inFlight) > w.bounds.InFlight {
		w.inFlight = slices.Delete(w.inFlight, 0, 1)
	}
}

// deliver delivers a message, which stays in flight if duplicate is set.
func (w *world) deliver(index int, duplicate bool) {
	message := w.inFlight[index]
	if !duplicate {
		w.inFlight = slices.Delete(w.inFlight, index, index+1)
	}
	i := slices.IndexFunc(w.machines, func(m machine) bool { return m.name == message.To })
	m := &w.machines[i]
	if m.lease == nil || m.frozen || w.partition && (message.From == "a" || message.To == "a") {
		return
	}
	if message.Kind == lease.VoteResponse && w.defect.denialAsVote {
		message.Granted = true
	}
	if message.Kind == lease.VoteResponse && w.defect.countsForLastRequest {
		message.Number = m.lastRequest
	}
	if response, ok := m.lease.Handle(w.clock(i), message); ok {
		w.send(response)
	}
	w.checkSingleHolder()
}

// deliverAll delivers all messages in flight and the responses to them.
func (w *world) deliverAll() {
	for n := 3 * len(w.inFlight); n > 0 && len(w.inFlight) > 0; n-- {
		w.deliver(0, false)
	}
}

// repair starts and connects all machines, and checks that one of them holds the lease within recoveryLimit and keeps it.
func (w *world) repair() {
	w.repaired, w.partition = true, false
	for i := range w.machines {
		if w.machines[i].lease == nil {
			w.start(i)
		}
		w.machines[i].frozen = false
	}
	w.advanceSteps(recoveryLimit * int(durations.VoteDuration/step))
	first := w.holders()
	for range steadySteps {
		w.advanceSteps(1)
		if now := w.holders(); w.broken == nil && (len(first) != 1 || !slices.Equal(now, first)) {
			w.broken = fmt.Errorf("%d vote durations after the repair %v hold the lease, and then %v", recoveryLimit, first, now)
		}
	}
}

// holders returns the machines that act as lease holders.
func (w *world) holders() (names []string) {
	for i := range w.machines {
		if m := &w.machines[i]; m.lease != nil && !m.frozen && m.lease.HeldAt(w.clock(i)) {
			names = append(names, m.name)
		}
	}
	return names
}

func (w *world) checkSingleHolder() {
	if holders := w.holders(); len(holders) > 1 && w.broken == nil {
		w.broken = fmt.Errorf("%v hold the lease at the same time", holders)
	}
}
