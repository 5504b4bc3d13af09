package numbers

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/controlplane/operations"
	"firplank/mesh/controlplane/persistence"
	"firplank/mesh/dissemination"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/timing"
)

// othersAreWhole reports whether one more disk may be lost: fewer of the other machines than the tolerance are down, or without theirs.
func (s *system) mayLoseDisk(except int) bool {
	lost := 0
	for i, m := range s.machines {
		if i != except && (m.replica == nil || !m.replica.State().Voter || m.pendingWrite != nil) {
			lost++
		}
	}
	return lost < max(1, s.bounds.Tolerance)
}

func (s *system) start(i int) {
	m := s.machines[i]
	m.incarnation++
	s.startReplica(m, register.New(m.name, s.initialMembers(), false, m.disk, uint64(i+1)+m.incarnation*1000))
}

// run puts a machine's replica behind its disk, by the shipped parts of the control plane.
func (s *system) startReplica(m *machine, r *register.Replica) {
	onDisk := register.State{}
	if m.disk != nil {
		onDisk = *m.disk
	}
	m.replica = r
	m.completedAt = -1
	m.pipeline = persistence.New(r, onDisk, sink{s, m})
	m.operations = operations.NewTable(alwaysInContact{m.pipeline}, func() uint64 { return s.proposingID }, timing.Default())
}

// alwaysInContact is a pipeline in whose surroundings time is no measure of contact with a quorum: it passes when a
// machine's tick is played. That machines without contact propose nothing is for package cutoff.
type alwaysInContact struct{ *persistence.Pipeline }

// Health implements operations.Register.
func (t alwaysInContact) Health(now time.Duration) operations.Health {
	h := t.Pipeline.Health(now)
	return operations.Health{LastQuorum: now, QueueFull: h.QueueFull}
}

func (s *system) kill(i int, wiped bool) {
	s.bounds.Faults--
	m := s.machines[i]
	m.replica, m.pipeline, m.pendingWrite = nil, nil, nil
	if wiped {
		s.bounds.Wipes--
		m.disk = nil
	}
}

func (s *system) tick(i int) {
	s.now = max(s.now, s.machines[i].replica.NextTick())
	s.machines[i].pipeline.Tick(s.now)
}

func (s *system) changeMembers(i int) {
	s.bounds.MemberChanges--
	members := []string{s.machines[0].name}
	for _, m := range s.machines[2:] {
		members = append(members, m.name)
	}
	s.handle(i, register.ChangeMembers{ID: 1 << 32, Members: members[:s.bounds.Members]})
}

// handle lets a machine handle an event.
func (s *system) handle(i int, ev register.Event) { s.machines[i].pipeline.Apply(s.now, ev) }

// sync ends the write that a machine's disk works on.
func (s *system) sync(i int) {
	m := s.machines[i]
	w := m.pendingWrite
	m.disk, m.pendingWrite = w.State, nil
	m.pipeline.WriteCompleted(s.now, w.Number, nil)
}

// sink is what a machine's pipeline acts on. It implements persistence.Sink.
type sink struct {
	s *system
	m *machine
}

// Write gives the disk a state to write. The defect of a disk that claims too early tells the pipeline at once that it has the state.
func (k sink) Write(w persist.Write) {
	k.m.pendingWrite = &w
	if k.s.defect.repliesBeforeSync {
		k.m.pipeline.WriteCompleted(k.s.now, w.Number, nil)
	}
}

// Send puts a message on its way.
func (k sink) Send(message *register.Message) {
	s, m := k.s, *message
	if s.defect.alterMessage != nil {
		s.defect.alterMessage(&m)
	}
	s.inFlight = append(s.inFlight, m)
	if s.defect.confirmsOnFirstAck && m.Kind == register.Accepted {
		s.confirmPutsAt(m.To)
	}
	if over := len(s.inFlight) - s.bounds.InFlight; over > 0 {
		s.inFlight = slices.Delete(s.inFlight, 0, over)
	}
}

// Publish does nothing: there are no sidecars.
func (k sink) Publish(persist.Committed) {}

// Complete brings an outcome to the operation that waits for it; that of a change of members to none.
func (k sink) Complete(o register.Outcome) {
	s := k.s
	if s.defect.alterOutcome != nil && o.ID <= uint64(len(s.history)) {
		s.defect.alterOutcome(s.history[o.ID-1].Number, &o, s.now == k.m.completedAt)
	}
	k.m.completedAt = s.now
	k.m.operations.Complete(s.now, o, dissemination.Unconstrained)
}

// caller sends the result of a call to its operator.
type responder struct {
	s         *system
	callIndex int
}

// Respond implements operations.Responder. A call without an outcome has no answer.
func (c responder) Respond(r operations.Result) {
	var taken *operations.VersionTakenError
	if r.Err != nil && !errors.As(r.Err, &taken) {
		return
	}
	v := &r.Outcome.Value
	c.s.answers = append(c.s.answers, answer{callIndex: c.callIndex, refused: taken != nil, number: int(v.Version), content: string(v.Body)})
}

// confirmAt is a defect's: it confirms what operators put at a machine.
func (s *system) confirmPutsAt(name string) {
	for _, o := range s.operators {
		if o.pendingCall >= 0 && o.request.number > 0 && s.machines[o.machine].name == name {
			s.answers = append(s.answers, answer{callIndex: o.pendingCall})
		}
	}
}

// deliver hands over a message; a machine that is down loses it.
func (s *system) deliver(index int, remove bool) {
	message := s.inFlight[index]
	if remove {
		s.inFlight = slices.Delete(s.inFlight, index, index+1)
	}
	i := slices.IndexFunc(s.machines, func(m *machine) bool { return m.name == message.To })
	if i < 0 || s.machines[i].replica == nil {
		return
	}
	s.now += time.Millisecond
	s.handle(i, register.MessageReceived{Message: message})
}

// mostCalm bounds how many rounds of deliveries an answer may take once all is well.
const maxSettleRounds = 400

// settle ends a history: all machines are up, nothing is lost any more, each order is sent once more and answered, and so is a read.
func (s *system) settle() {
	for i, m := range s.machines {
		if m.replica == nil {
			s.start(i)
		}
	}
	finalOperator := &operator{}
	s.operators, s.answers = []*operator{finalOperator}, nil
	for _, wantedRequest := range append(s.requests, request{}) {
		finalOperator.request, finalOperator.pendingCall = &wantedRequest, -1
		for round := 0; finalOperator.request != nil; round++ {
			if round == maxSettleRounds {
				s.broken = fmt.Errorf("%v is not answered though all is well", wantedRequest)
				return
			}
			s.step++
			s.settleRound(finalOperator)
		}
	}
}

// settleRound lets everything happen that is due, in order.
func (s *system) settleRound(finalOperator *operator) {
	if finalOperator.pendingCall < 0 {
		s.sendCall(finalOperator, s.rng.IntN(len(s.machines)))
	}
	for i, m := range s.machines {
		if m.pendingWrite != nil {
			s.sync(i)
		}
	}
	for n := len(s.inFlight); n > 0 && len(s.inFlight) > 0; n-- {
		s.deliver(0, true)
		for i, m := range s.machines {
			if m.pendingWrite != nil {
				s.sync(i)
			}
		}
	}
	for len(s.answers) > 0 {
		s.step++
		s.deliverAnswer(0)
	}
	if len(s.inFlight) > 0 {
		return
	}
	for i := range s.machines {
		s.tick(i)
	}
}
