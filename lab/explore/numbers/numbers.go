// Package numbers is an explorer of package mesh/register as operators see it. Two to eight operators put contents under version numbers
// that rise, fall or are in use already, and retry at other machines when responses are lost. Meanwhile links lose, delay, duplicate and
// reorder messages, processes are killed, machines lose power before or after a sync, disks come back empty and members change.
// At the end of each history faults cease, and every request is sent once more and must complete. The responses are then checked to be
// linearizable against a register in which a number's content never changes (linear.go). The check is independent of package register.
//
// Start reading at Search, then system.choices.
package numbers

import (
	"math/rand/v2"
	"time"

	"firplank/lab/explore"
	"firplank/mesh/configversion"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/controlplane/persistence"
	"firplank/mesh/persist"
	"firplank/mesh/register"
)

// Bounds limits the events of one history.
type Bounds struct {
	Machines       int // control machines
	Members        int // the control machines that are the register's initial members
	Operators      int // 2 to 8
	Requests       int // requests of all operators together
	Calls          int // calls of all operators; a request may take several
	Faults         int // lost and duplicated messages, lost responses, kills and power losses
	Wipes          int
	Tolerance      int // number of disks that may be lost at the same time; 0 means one
	MemberChanges  int // changes of members
	InFlight       int // maximum number of messages in flight; the oldest is dropped beyond it
	InitialNumbers int // numbers that have a content before the first request; operators do not use them
}

// Bounds that the tests and the command use.
var (
	DefaultBounds = Bounds{Machines: 4, Members: 3, Operators: 4, Requests: 7, Calls: 14, Faults: 12, Wipes: 1, MemberChanges: 1, InFlight: 30}
	ManyOperators = Bounds{
		Machines: 4, Members: 3, Operators: 8, Requests: 12, Calls: 30, Faults: 12, Wipes: 2, MemberChanges: 1, InFlight: 40,
	}
	TwoOperators = Bounds{Machines: 3, Members: 3, Operators: 2, Requests: 5, Calls: 12, Faults: 8, InFlight: 24}
	// TwoDiskLosses allows two disks of five to be lost at the same time.
	TwoDiskLosses = Bounds{
		Machines: 6, Members: 5, Operators: 4, Requests: 7, Calls: 14, Faults: 12, Wipes: 4, Tolerance: 2, MemberChanges: 1, InFlight: 40,
	}
	// ManyFaults allows many faults between few calls.
	ManyFaults = Bounds{Machines: 3, Members: 3, Operators: 4, Requests: 8, Calls: 8, Faults: 24, InFlight: 24}
	// FullHistory starts with an almost full history of the register, which soon drops its oldest records.
	FullHistory = Bounds{
		Machines: 4, Members: 3, Operators: 4, Requests: 7, Calls: 14, Faults: 12, Wipes: 1, MemberChanges: 1, InFlight: 30,
		InitialNumbers: register.MaxRecords - 2,
	}
)

// Steps is the number of steps of a history before faults cease.
const Steps = 400

// Search runs one history of the given number of steps for each seed, from firstSeed on. It returns the first seed whose history breaks
// an invariant, and the breach, which is nil if no history breaks one.
func Search(b Bounds, d *Defect, firstSeed, histories uint64, steps int) (seed uint64, breach error) {
	for seed = firstSeed; seed < firstSeed+histories; seed++ {
		if s := play(b, d, seed, steps); s.broken != nil {
			return seed, s.broken
		}
	}
	return seed, nil
}

// play runs one random history drawn from a seed.
func play(b Bounds, d *Defect, seed uint64, steps int) *system {
	rng := rand.New(rand.NewPCG(seed, 49))
	s := newSystem(b, d, rng)
	for range steps {
		all := s.choices()
		if len(all) == 0 {
			break
		}
		s.step++
		all[rng.IntN(len(all))].Do()
	}
	s.settle()
	if s.broken == nil {
		s.broken = Check(s.history)
	}
	return s
}

type machine struct {
	name         string
	replica      *register.Replica // nil while the machine is down
	disk         *register.State   // nil if the disk is empty
	incarnation  uint64
	pendingWrite *persist.Write // write that the disk has not completed; nil if there is none

	pipeline    *persistence.Pipeline
	operations  *operations.Table
	completedAt time.Duration // time of the last completed operation
}

// request is a put of a content under a number, or a read if the number is 0. Numbers are configversion.Versions: the lowest one, 1, is the
// version that operators write as 00000000.
type request struct {
	number  int
	content string
}

type operator struct {
	request     *request
	pendingCall int // index of the call in the history; negative if the request has yet to be sent
	machine     int // index of the machine that was called
}

// answer is a response in flight to an operator.
type answer struct {
	callIndex int
	refused   bool
	number    int
	content   string
}

type system struct {
	bounds        Bounds
	defect        *Defect
	rng           *rand.Rand
	machines      []*machine
	operators     []*operator
	inFlight      []register.Message
	answers       []answer
	requests      []request
	history       []Call
	highestNumber int
	now           time.Duration
	step          int
	broken        error
	proposingID   uint64 // ID of the operation that is being proposed
}

func newSystem(b Bounds, d *Defect, rng *rand.Rand) *system {
	if d == nil {
		d = &Defect{}
	}
	s := &system{bounds: b, defect: d, rng: rng, highestNumber: b.InitialNumbers}
	for i := range b.Machines {
		s.machines = append(s.machines, &machine{name: string(rune('a' + i))})
	}
	taken := s.initialHistory()
	for i, m := range s.machines {
		replica := register.New(m.name, s.initialMembers(), true, nil, uint64(i+1))
		first := replica.State()
		if b.InitialNumbers > 0 {
			first.Value.Version, first.Value.Body, first.Value.History = configversion.Version(b.InitialNumbers), []byte("taken"), taken
			replica = register.New(m.name, s.initialMembers(), false, &first, uint64(i+1))
		}
		m.disk = &first
		s.startReplica(m, replica)
	}
	if b.InitialNumbers > 0 {
		s.step = 1
		s.history = append(s.history, Call{Number: b.InitialNumbers, Content: "taken", Invoked: s.step, Returned: s.step})
	}
	for range b.Operators {
		s.operators = append(s.operators, &operator{pendingCall: -1})
	}
	return s
}

func (s *system) initialMembers() (names []string) {
	for _, m := range s.machines[:s.bounds.Members] {
		names = append(names, m.name)
	}
	return names
}

// initialHistory returns the history that the machines start with.
func (s *system) initialHistory() (h register.History) {
	for number := range s.bounds.InitialNumbers {
		h = h.With(register.Record{Version: configversion.Version(number + 1), Content: register.ContentOf([]byte("taken"))})
	}
	return h
}

func (s *system) choices() (all []explore.Choice) {
	add := func(name string, do func()) { all = append(all, explore.Choice{Name: name, Do: do}) }
	s.operatorChoices(add)
	s.machineChoices(add)
	for i := range s.inFlight {
		add("a message arrives", func() { s.deliver(i, true) })
	}
	if len(s.inFlight) > 0 && s.bounds.Faults > 0 && s.step%2 == 0 {
		add("the oldest message is lost", func() { s.bounds.Faults--; s.inFlight = s.inFlight[1:] })
		add("the oldest message comes twice", func() { s.bounds.Faults--; s.deliver(0, false) })
	}
	return all
}

func (s *system) operatorChoices(add func(string, func())) {
	for i := range s.answers {
		add("an answer reaches its operator", func() { s.deliverAnswer(i) })
	}
	if len(s.answers) > 0 && s.bounds.Faults > 0 {
		add("an answer is lost", func() { s.bounds.Faults--; s.answers = s.answers[1:] })
	}
	for _, o := range s.operators {
		switch {
		case o.request == nil && s.bounds.Requests > 0:
			add("an operator has an order", func() { s.bounds.Requests--; o.request = s.drawRequest() })
		case o.request != nil && o.pendingCall < 0 && s.bounds.Calls > 0:
			add("an operator sends its order", func() { s.bounds.Calls--; s.sendCall(o, s.rng.IntN(len(s.machines))) })
		case o.pendingCall >= 0 && s.step%timeOutInterval == 0:
			add("an operator waits no more", func() { s.timeOut(o) })
		}
	}
}

const (
	tickInterval    = 12 // number of steps after which time may pass while messages are in flight
	timeOutInterval = 12 // number of steps after which an operator may stop waiting for a response
)

func (s *system) machineChoices(add func(string, func())) {
	for i, m := range s.machines {
		switch {
		case m.replica == nil:
			add("a machine starts", func() { s.start(i) })
			continue
		case m.pendingWrite != nil:
			for range 3 {
				add("a disk has synced", func() { s.sync(i) })
			}
		case len(s.inFlight) == 0 || s.step%tickInterval == 0:
			add("time passes", func() { s.tick(i) })
		}
		if s.bounds.Faults > 0 && s.step%3 == 0 {
			add("a machine loses power", func() { s.kill(i, false) })
			if m.pendingWrite != nil {
				add("a machine loses power once its disk has synced", func() { s.sync(i); s.kill(i, false) })
			}
			if s.bounds.Wipes > 0 && s.mayLoseDisk(i) {
				add("a machine loses its disk", func() { s.kill(i, true) })
			}
		}
		if s.bounds.MemberChanges > 0 && s.bounds.Machines > s.bounds.Members {
			add("the spare machine takes the place of another", func() { s.changeMembers(i) })
		}
	}
}

// drawRequest returns a random request: mostly a new content under a number above, at or below the highest, otherwise an earlier request
// or a read.
func (s *system) drawRequest() *request {
	var drawn request
	switch s.rng.IntN(10) {
	case 0, 1, 2:
		drawn.number = s.highestNumber + 1 + s.rng.IntN(2)
	case 3, 4:
		drawn.number = max(s.bounds.InitialNumbers+1, s.highestNumber)
	case 5, 6:
		drawn.number = s.bounds.InitialNumbers + 1 + s.rng.IntN(max(1, s.highestNumber-s.bounds.InitialNumbers))
	case 7:
		if len(s.requests) > 0 {
			drawn = s.requests[s.rng.IntN(len(s.requests))]
		}
	}
	if drawn.number == 0 {
		return &drawn
	}
	s.highestNumber = max(s.highestNumber, drawn.number)
	if drawn.content == "" {
		drawn.content = string(rune('A' + len(s.requests)))
		s.requests = append(s.requests, drawn)
	}
	return &drawn
}

// sendCall sends an operator's request to a machine. It does nothing if the machine is down.
func (s *system) sendCall(o *operator, machineIndex int) {
	m := s.machines[machineIndex]
	if m.replica == nil {
		return
	}
	o.pendingCall, o.machine = len(s.history), machineIndex
	s.history = append(s.history, Call{Read: o.request.number == 0, Number: o.request.number, Content: o.request.content, Invoked: s.step})
	s.proposingID = uint64(len(s.history))
	if o.request.number == 0 {
		m.operations.Propose(s.now, operations.Read{}, responder{s, o.pendingCall})
		return
	}
	if s.defect.answerLocally != nil {
		if a, ok := s.defect.answerLocally(m.replica, *o.request); ok {
			a.callIndex = o.pendingCall
			s.answers = append(s.answers, a)
			return
		}
	}
	body := []byte(o.request.content)
	write := operations.Write{Version: configversion.Version(o.request.number), Content: register.ContentOf(body), Body: body}
	m.operations.Propose(s.now, write, responder{s, o.pendingCall})
}

// timeOut ends an operator's wait for a response. The machine may be notified. A read is not retried.
func (s *system) timeOut(o *operator) {
	if m := s.machines[o.machine]; m.replica != nil && s.rng.IntN(2) == 0 {
		m.operations.Cancel(uint64(o.pendingCall + 1))
	}
	o.pendingCall = -1
	if o.request.number == 0 {
		o.request = nil
	}
}

// deliverAnswer delivers a response to the operator that waits for it, if there is one.
func (s *system) deliverAnswer(i int) {
	a := s.answers[i]
	s.answers = append(s.answers[:i:i], s.answers[i+1:]...)
	for _, o := range s.operators {
		if o.pendingCall != a.callIndex {
			continue
		}
		c := &s.history[a.callIndex]
		c.Returned, c.Refused = s.step, a.refused
		if c.Read {
			c.Number, c.Content = a.number, a.content
		}
		o.request, o.pendingCall = nil, -1
	}
}
