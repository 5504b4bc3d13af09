package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"firplank/lab/explore"
	"firplank/mesh/register"
)

const (
	// linkDelay passes with each delivery.
	linkDelay = time.Millisecond
)

// machine is a control machine and its disk.
type machine struct {
	name     string
	replica  *register.Replica // nil: it is down
	disk     *register.State   // nil: it is empty
	restarts int
	unsynced *register.Output // waits for the disk; nil: nothing does
}

// system is a group of control machines with its operators, links and faults. It implements explore.System.
type system struct {
	bounds   Bounds // what may still happen
	defect   *Defect
	machines []*machine
	inFlight []register.Message
	now      time.Duration
	step     int
	lastID   uint64
	version  uint32 // the highest that was put
	history  history

	fingerprint explore.OrderFingerprint
	namesWanted bool // choices get names, which costs more than all the rest
}

// Start returns a function that makes a new system; a nil defect plants none.
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

// seeds returns the members that a machine begins with.
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

// State implements explore.System: no two orders are taken for the same.
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

// start starts a machine that is down.
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

// copyOfNeighbour returns the state that a machine has which learns from one other.
func (s *system) neighbourState(i int) *register.State {
	state := register.State{Voter: true, Value: register.Value{Members: s.initialMembers(i)}}
	if disk := s.machines[(i+1)%s.bounds.Members].disk; disk != nil {
		state = *disk
	}
	state.Incarnations, state.Incarnation = nil, 1
	return &state
}

// kill ends a machine's process; what waited for the disk is lost, and with it the disk if it is wiped.
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

// put lets an operator put a version, with a body of its own.
func (s *system) put(i int, version uint32) {
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

// changeMembers replaces the second machine by a spare one.
func (s *system) changeMembers(i int) {
	s.bounds.MemberChanges--
	members := []string{s.machines[0].name}
	for _, m := range s.machines[2:] {
		members = append(members, m.name)
	}
	s.lastID++
	s.handle(i, register.ChangeMembers{ID: s.lastID, Members: members[:s.bounds.Members]})
}

// handle gives a machine an event. What has to wait for the disk does so until sync.
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

// sync ends a machine's write.
func (s *system) sync(i int) {
	m := s.machines[i]
	output := m.unsynced
	m.unsynced = nil
	state := *output.State
	m.disk = &state
	s.release(output)
}

// release sends the messages of an output and gives operators their answers.
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

// alter makes the defect's change to a message that is sent.
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

// answerPuts answers the puts that wait at a machine.
func (s *system) answerPuts(name string) {
	for id, o := range s.history.pending {
		if o.isPut && s.machines[o.machine].name == name {
			s.history.end(id, s.step, false, write{version: o.written.version})
		}
	}
}

// deliver hands over a message, which is lost where its receiver is down or its disk busy; one that comes again stays under way.
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

// Search plays orders of so many steps, one from each seed, and returns the first seed whose order breaks an invariant, and how. A nil
// breach says that none does.
func Search(b Bounds, d *Defect, firstSeed, orders uint64, steps int) (seed uint64, breach error) {
	for seed = firstSeed; seed < firstSeed+orders; seed++ {
		s := newSystem(b, d)
		if s.walk(seed, steps); s.Broken() != nil {
			return seed, s.Broken()
		}
	}
	return seed, nil
}

// orderStream is the second half of the seed of an order's random numbers.
const orderStream = 7

// walk plays one order drawn from a seed.
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
