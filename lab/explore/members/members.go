// Package members explores how the control machines keep a majority and lose nothing while one of them after the other
// is lost. It plays the shipped decisions of packages register, lease and replacement together, each machine with its
// clock, its links and its disk, over faults that come at the earliest moment that the tolerance and syncS allow:
// machines removed, wiped, killed, frozen, cut off or asked to leave, and power lost everywhere in the end.
//
// It checks what operators were answered, and nothing else (History): a confirmed version is never lost, and operators are answered again
// within a stated time after each fault.
//
// Start reading at Run.
package members

import (
	"fmt"
	"math/rand/v2"
	"time"

	"firplank/mesh/controlplane/operations"
)

const (
	step              = 5 * time.Millisecond
	syncS             = 4 * time.Second // of the pages
	graceS            = 6 * time.Second
	initialMembers    = 3 // machines that are members at first
	settleTime        = 8 * time.Second
	operationInterval = 100 * time.Millisecond
	operationTimeout  = time.Second
)

// MaxUnavailability is for how long operators may go without any answer: one fault, a restart of its machines and the
// repair of rounds under way.
const MaxUnavailability = 3 * time.Second

// world is all machines, their links, and the operators.
type world struct {
	rng    *rand.Rand
	defect *Defect
	// tolerance is how many machines may be lost at once, and sync the longest time of a disk's sync; 0: some milliseconds.
	tolerance int
	maxSync   time.Duration
	now       time.Duration
	machines  []*machine
	inFlight  []delivery
	history   History
	lastID    uint64
	version   uint32
	nextOp    time.Duration
	readOnly  bool // operators only read
	events    []string
}

// delivery is a message on its way: a register's, a lease's, or a hello.
type delivery struct {
	dueAt    time.Duration
	from, to string
	body     any
}

// Run plays one order drawn from a seed and returns what broke, and how it came to it. A nil defect plants none.
func Run(environment Environment, d *Defect, seed uint64) (trace []string, breach error) {
	if d == nil {
		d = &Defect{}
	}
	w := &world{rng: rand.New(rand.NewPCG(seed, uint64(environment.Machines))), defect: d, tolerance: max(1, environment.Tolerance), maxSync: environment.Sync}
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

// Search plays so many orders in each surroundings and returns the first seed that breaks, and how.
func Search(environment Environment, d *Defect, firstSeed, orders uint64) (seed uint64, breach error) {
	for seed = firstSeed; seed < firstSeed+orders; seed++ {
		if _, breach = Run(environment, d, seed); breach != nil {
			return seed, breach
		}
	}
	return seed, nil
}

// syncTime draws how long a disk takes for a sync.
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

// pass lets time pass, with operators at work.
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
		delay += 200 * time.Millisecond // one segment lost and sent again
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

// operate has an operator write or read at a machine by chance.
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
	// In every other second operators only read: a write would hide that the one before it was lost.
	if writes := w.now/time.Second%2 == 0 && !w.readOnly; writes && w.rng.IntN(2) == 0 {
		w.version++
		w.history.Begin(w.lastID, w.version, w.now)
		m.propose(operations.Write{Version: w.version, Body: []byte(fmt.Sprint(w.version))}, w.lastID)
		return
	}
	w.history.Begin(w.lastID, 0, w.now)
	m.propose(operations.Read{}, w.lastID)
}
