// Package members explores whether the control machines keep a quorum and lose no data while machines are lost one after the other.
// It runs the shipped decisions of packages register, lease and replacement together, with simulated clocks, links and disks, under
// faults that occur as early as the tolerance and syncS allow: machines are removed, wiped, killed, frozen, partitioned or asked to leave,
// and finally all machines lose power.
//
// It checks only the responses to operators (History): a confirmed version is never lost, and operators receive responses again within
// MaxUnavailability after each fault.
//
// Start reading at Run.
package members

import (
	"fmt"
	"math/rand/v2"
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/controlplane/operations"
)

const (
	step              = 5 * time.Millisecond
	syncS             = 4 * time.Second // default of the setting: how long a machine counts as lost after its return
	graceS            = 6 * time.Second
	initialMembers    = 3 // the first machines are members
	settleTime        = 8 * time.Second
	operationInterval = 100 * time.Millisecond
	operationTimeout  = time.Second
)

// MaxUnavailability is the longest time for which no operator receives a response. It covers one fault, the restart of its machines and
// the repair of rounds in progress.
const MaxUnavailability = 3 * time.Second

// world contains all machines, their links and the operators.
type world struct {
	rng    *rand.Rand
	defect *Defect
	// tolerance is the number of machines that may be lost at the same time. maxSync is the maximum duration of a disk's sync; 0 means some
	// milliseconds.
	tolerance int
	maxSync   time.Duration
	now       time.Duration
	machines  []*machine
	inFlight  []delivery
	history   History
	lastID    uint64
	version   configversion.Version
	nextOp    time.Duration
	readOnly  bool // operators only read
	events    []string
}

// delivery is a message in flight: of the register, of the lease, or a hello.
type delivery struct {
	dueAt    time.Duration
	from, to string
	body     any
}

// Run runs one random order drawn from a seed and returns its events and the breach of an invariant, if any. No defect is planted if d
// is nil.
func Run(environment Environment, d *Defect, seed uint64) (trace []string, breach error) {
	if d == nil {
		d = &Defect{}
	}
	w := &world{
		rng: rand.New(rand.NewPCG(seed, uint64(environment.Machines))), defect: d,
		tolerance: max(1, environment.Tolerance), maxSync: environment.Sync,
	}
	for range environment.Machines {
		w.addMachine()
	}
	for i, m := range w.machines {
		last := i == environment.Machines-1
		m.start(!last || !environment.Blank)
		m.stalled, m.faultUnnoticed = last && (environment.Stalled || environment.Blank), environment.Blank
	}
	w.advance(settleTime)
	for range environment.Faults {
		if w.history.Broken == nil {
			w.injectFault()
		}
	}
	if w.history.Broken == nil {
		w.powerOff()
	}
	return w.events, w.history.Broken
}

// Search runs one order for each seed, from firstSeed on, and returns the first seed whose order breaks an invariant, and the breach,
// which is nil if no order breaks one.
func Search(environment Environment, d *Defect, firstSeed, orders uint64) (seed uint64, breach error) {
	for seed = firstSeed; seed < firstSeed+orders; seed++ {
		if _, breach = Run(environment, d, seed); breach != nil {
			return seed, breach
		}
	}
	return seed, nil
}

// syncTime returns a random duration of a disk's sync.
func (w *world) syncTime() time.Duration {
	const minSync, usualSync = 1, 12
	drawn := time.Duration(minSync+w.rng.IntN(usualSync)) * time.Millisecond
	if w.maxSync > 0 {
		drawn *= w.maxSync / (usualSync * time.Millisecond)
	}
	return drawn
}

func (w *world) log(format string, args ...any) {
	w.events = append(w.events, fmt.Sprintf("%7.2f  ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) addMachine() *machine {
	m := &machine{world: w, name: fmt.Sprintf("m%02d", len(w.machines)), zone: fmt.Sprintf("zone %d", len(w.machines)%3)}
	m.clockRate = 1 + 0.0005*float64(w.rng.IntN(3)-1)
	w.machines = append(w.machines, m)
	return m
}

func (w *world) machineNamed(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// advance advances the time while operators send requests.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end && w.history.Broken == nil; {
		w.now += step
		w.deliver()
		for _, m := range w.machines {
			m.step()
		}
		if w.now >= w.nextOp {
			w.nextOp = w.now + operationInterval
			w.operate()
		}
		w.history.CheckAvailability(w.now, MaxUnavailability)
	}
}

func (w *world) send(from, to string, body any) {
	delay := time.Millisecond + time.Duration(w.rng.IntN(15))*time.Millisecond
	if w.rng.IntN(200) == 0 {
		delay += 200 * time.Millisecond // a segment is lost and retransmitted
	}
	w.inFlight = append(w.inFlight, delivery{w.now + delay, from, to, body})
}

func (w *world) deliver() {
	inFlight := w.inFlight
	w.inFlight = nil
	for _, message := range inFlight {
		to, from := w.machineNamed(message.to), w.machineNamed(message.from)
		switch {
		case message.dueAt > w.now || to.frozen:
			w.inFlight = append(w.inFlight, message)
		case !to.up() || to.partitioned != from.partitioned:
		default:
			to.inbox = append(to.inbox, message)
		}
	}
}

// operate has an operator write or read at a random machine.
func (w *world) operate() {
	var candidates []*machine
	for _, m := range w.machines {
		if m.up() && !m.frozen {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return
	}
	m := candidates[w.rng.IntN(len(candidates))]
	w.lastID++
	// Operators only read in every other second, because a write would hide the loss of the write before it.
	if writes := w.now/time.Second%2 == 0 && !w.readOnly; writes && w.rng.IntN(2) == 0 {
		w.version++
		w.history.Begin(w.lastID, w.version, w.now)
		m.propose(operations.Write{Version: w.version, Body: []byte(fmt.Sprint(w.version))}, w.lastID)
		return
	}
	w.history.Begin(w.lastID, 0, w.now)
	m.propose(operations.Read{}, w.lastID)
}
