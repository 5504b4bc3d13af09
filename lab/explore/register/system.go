package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"firplank/lab/explore"
	"firplank/mesh/configversion"
	"firplank/mesh/register"
)

const (
	// linkDelay is the time that each delivery takes.
	linkDelay = time.Millisecond
)

// machine is a control machine and its disk.
type machine struct {
	name     string
	replica  *register.Replica // nil while the machine is down
	disk     *register.State   // nil if the disk is empty
	restarts int
	unsynced *register.Output // output that waits for the disk; nil if there is none
}

// system is a group of control machines with its operators, links and faults. It implements explore.System.
type system struct {
	bounds   Bounds // events that remain
	defect   *Defect
	machines []*machine
	inFlight []register.Message
	now      time.Duration
	step     int
	lastID   uint64
	version  configversion.Version // highest version that was put
	history  history

	fingerprint explore.OrderFingerprint
	namesWanted bool // choices are named only on request, because naming costs more than all other work
}

// Start returns a function that creates a new system. No defect is planted if d is nil.
func Start(b Bounds, d *Defect) func() explore.System {
	return func() explore.System { return newSystem(b, d) }
}

func newSystem(b Bounds, d *Defect) *system {
	if d == nil {
		d = &Defect{}
	}
	s := &system{bounds: b, defect: d, history: newHistory()}
	for i := range b.Machines {
		s.machines = append(s.machines, &machine{name: string(rune('a' + i))})
	}
	for i, m := range s.machines {
		m.replica = register.New(m.name, s.initialMembers(i), true, nil, uint64(i+1))
		state := m.replica.State()
		m.disk = &state
	}
	return s
}

// initialMembers returns the members that a machine starts with.
func (s *system) initialMembers(i int) []string {
	if s.defect.differentMembers && i%2 == 1 {
		return []string{s.machines[i].name}
	}
	var names []string
	for _, m := range s.machines[:s.bounds.Members] {
		names = append(names, m.name)
	}
	return names
}

// Broken implements explore.System.
func (s *system) Broken() error { return s.history.breach }

// State implements explore.System. Every order counts as a state of its own.
func (s *system) State() uint64 { return uint64(s.fingerprint) }

// Choices implements explore.System.
func (s *system) Choices() []string {
	s.namesWanted = true
	defer func() { s.namesWanted = false }()
	return explore.Names(s.choices())
}

// Do implements explore.System.
func (s *system) Do(choice int) {
	next := s.choices()[choice]
	s.step++
	s.fingerprint = s.fingerprint.Add(choice)
	next.Do()
}

// start starts a stopped machine.
func (s *system) start(i int) {
	m := s.machines[i]
	m.restarts++
	randomSeed := uint64(i+1) + uint64(m.restarts)*1000
	switch {
	case m.disk == nil && s.defect.votesWhenEmptied:
		m.replica = register.New(m.name, s.initialMembers(i), true, nil, randomSeed)
	case m.disk == nil && s.defect.rejoinsFromOne:
		m.replica = register.New(m.name, s.initialMembers(i), false, s.neighbourState(i), randomSeed)
	default:
		m.replica = register.New(m.name, s.initialMembers(i), false, m.disk, randomSeed)
	}
}

// neighbourState returns the state that a machine has if it restores its state from a single other machine.
func (s *system) neighbourState(i int) *register.State {
	state := register.State{Voter: true, Value: register.Value{Members: s.initialMembers(i)}}
	if disk := s.machines[(i+1)%s.bounds.Members].disk; disk != nil {
		state = *disk
	}
	state.Incarnations, state.Incarnation = nil, 1
	return &state
}

// kill ends a machine's process. The output that waits for the disk is lost, and so is the disk's content if wiped is set.
func (s *system) kill(i int, wiped bool) {
	s.bounds.Faults--
	m := s.machines[i]
	m.replica, m.unsynced = nil, nil
	s.history.abandon(i)
	switch {
	case wiped:
		s.bounds.Wipes--
		m.disk = nil
	case m.disk != nil && s.defect.losesPromise:
		m.disk.Promised = m.disk.Accepted
	case m.disk != nil && s.defect.losesAccepted:
		m.disk.Accepted, m.disk.Value = register.Ballot{}, register.Value{Members: s.initialMembers(i)}
	}
}

// put has an operator put a version with a unique body.
func (s *system) put(i int, version configversion.Version) {
	s.bounds.Puts--
	s.version = max(s.version, version)
	s.lastID++
	body := fmt.Appendf(nil, "%d by %d", version, s.lastID)
	s.history.begin(operation{id: s.lastID, isPut: true, written: write{version, string(body)}, startStep: s.step, machine: i})
	s.handle(i, register.Put{ID: s.lastID, Version: version, Content: register.ContentOf(body), Body: body})
}

func (s *system) read(i int) {
	s.bounds.Reads--
	s.lastID++
	s.history.begin(operation{id: s.lastID, startStep: s.step, machine: i})
	s.handle(i, register.LinearizableRead{ID: s.lastID})
}

// changeMembers replaces the second machine by the spare one.
func (s *system) changeMembers(i int) {
	s.bounds.MemberChanges--
	members := []string{s.machines[0].name}
	for _, m := range s.machines[2:] {
		members = append(members, m.name)
	}
	s.lastID++
	s.handle(i, register.ChangeMembers{ID: s.lastID, Members: members[:s.bounds.Members]})
}

// handle passes an event to a machine. If the event changes the state, messages and outcomes are held back until sync.
func (s *system) handle(i int, event register.Event) {
	output := s.machines[i].replica.Handle(s.now, event)
	if output.State == nil || s.defect.sendsBeforeSync {
		s.release(&output)
	}
	if output.State != nil {
		if s.defect.sendsBeforeSync {
			output.Messages, output.Outcomes = nil, nil
		}
		s.machines[i].unsynced = &output
	}
}

// sync completes a machine's write.
func (s *system) sync(i int) {
	m := s.machines[i]
	output := m.unsynced
	m.unsynced = nil
	state := *output.State
	m.disk = &state
	s.release(output)
}

// release sends the messages of an output and returns the outcomes to operators.
func (s *system) release(output *register.Output) {
	for _, message := range output.Messages {
		s.defect.alter(&message)
		s.inFlight = append(s.inFlight, message)
		if s.defect.confirmsAfterFirstDisk && message.Kind == register.Accepted {
			s.answerPuts(message.To)
		}
	}
	if excess := len(s.inFlight) - s.bounds.InFlight; excess > 0 {
		s.inFlight = slices.Delete(s.inFlight, 0, excess)
	}
	for _, o := range output.Outcomes {
		s.history.end(o.ID, s.step, o.Result == register.Conflict, write{o.Value.Version, string(o.Value.Body)})
	}
}

// alter applies the defect to a message that is being sent.
func (d *Defect) alter(m *register.Message) {
	if d.ignoresIncarnations {
		m.Incarnations = nil
	}
	if d.emptyPromise && m.Kind == register.Promise {
		m.Value, m.Accepted = nil, register.Ballot{}
	}
	if d.nackAsAccepted && m.Kind == register.Nack {
		m.Kind, m.Voter, m.Promised = register.Accepted, true, register.Ballot{}
	}
}

// answerPuts confirms the pending puts at a machine.
func (s *system) answerPuts(name string) {
	for id, o := range s.history.pending {
		if o.isPut && s.machines[o.machine].name == name {
			s.history.end(id, s.step, false, write{version: o.written.version})
		}
	}
}

// deliver delivers a message, which is lost if the receiver is down or its disk is busy. The message stays in flight unless remove is set.
func (s *system) deliver(index int, remove bool) {
	message := s.inFlight[index]
	if remove {
		s.inFlight = slices.Delete(s.inFlight, index, index+1)
	}
	i := slices.IndexFunc(s.machines, func(m *machine) bool { return m.name == message.To })
	if i < 0 || s.machines[i].replica == nil || s.machines[i].unsynced != nil {
		return
	}
	if s.defect.raisesBallot && !remove && message.Kind == register.Accept {
		message.Ballot.Number++
	}
	s.now += linkDelay
	s.handle(i, register.MessageReceived{Message: message})
}

// Search runs one order of the given number of steps for each seed, from firstSeed on. It returns the first seed whose order breaks an
// invariant, and the breach, which is nil if no order breaks one.
func Search(b Bounds, d *Defect, firstSeed, orders uint64, steps int) (seed uint64, breach error) {
	for seed = firstSeed; seed < firstSeed+orders; seed++ {
		s := newSystem(b, d)
		if s.walk(seed, steps); s.Broken() != nil {
			return seed, s.Broken()
		}
	}
	return seed, nil
}

// orderStream is the second half of the random generator's seed.
const orderStream = 7

// walk runs one random order drawn from a seed.
func (s *system) walk(seed uint64, steps int) {
	random := rand.New(rand.NewPCG(seed, orderStream))
	for range steps {
		all := s.choices()
		if len(all) == 0 || s.Broken() != nil {
			return
		}
		s.step++
		all[random.IntN(len(all))].Do()
	}
}
