// Package lease explores package mesh/lease: links that lose, delay, repeat and reorder messages, processes that are killed, restart and
// freeze, clocks that differ in speed. It checks that no two machines hold the lease at one moment, and that one does when all is repaired.
// It is independent of how a lease is granted.
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
	// step is how much time passes at once.
	step = 100 * time.Millisecond
	// repairInterval is the number of steps of which one offers that all is repaired.
	repairInterval = 32
	// recoveryLimit is the number of vote durations within which a lease is granted after that.
	recoveryLimit = 3
	// steadySteps is for how many steps its holder is then watched.
	steadySteps = 20
	// numberShift leaves room for the numbers of the requests of one start.
	requestNumberShift = 32
)

var durations = timing.NewLease(timing.DefaultVoteDuration)

// machine is a control machine.
type machine struct {
	name        string
	lease       *lease.Lease // nil: it is down
	started     time.Duration
	frozen      bool
	starts      int
	lastRequest uint64
}

// world is a group of machines with their links and faults. It implements explore.System.
type world struct {
	bounds    Bounds
	defect    *Defect
	now       time.Duration
	machines  []machine
	inFlight  []lease.Message
	faults    int
	steps     int
	partition bool // between the first machine and the others
	repaired  bool // this is the end
	broken    error

	fingerprint explore.OrderFingerprint
	choices     []explore.Choice
}

// Start returns a function that makes a new system; a nil defect plants none.
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

// start starts a machine, whatever it did before.
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

// clock returns a machine's own time.
func (w *world) clock(i int) time.Duration {
	return time.Duration(float64(w.now-w.machines[i].started) * w.defect.clockRate(i))
}

// Broken implements explore.System.
func (w *world) Broken() error { return w.broken }

// State implements explore.System: no two orders are taken for the same.
func (w *world) State() uint64 { return uint64(w.fingerprint) }

// Do implements explore.System.
func (w *world) Do(choice int) {
	w.Choices()
	w.fingerprint = w.fingerprint.Add(choice)
	w.steps++
	w.choices[choice].Do()
}

// pass lets time pass at all machines that run.
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

// passSteps lets steps pass, in each of which all messages arrive.
func (w *world) advanceSteps(steps int) {
	for range steps {
		w.advance(step)
		w.deliverAll()
	}
}

// delayInFlight lets steps pass, in which all messages arrive but those that are under way now.
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

// deliver hands over a message; one that will come again stays under way.
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

// deliverAll delivers all messages under way, with their responses.
func (w *world) deliverAll() {
	for n := 3 * len(w.inFlight); n > 0 && len(w.inFlight) > 0; n-- {
		w.deliver(0, false)
	}
}

// repair starts and connects all machines. Within recoveryLimit one holds the lease, and keeps it.
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
			w.broken = fmt.Errorf("%d vote durations after all was repaired %v hold the lease, and then %v", recoveryLimit, first, now)
		}
	}
}

// holders returns the machines that act as holders of the lease.
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
		w.broken = fmt.Errorf("%v hold the lease at the same moment", holders)
	}
}
