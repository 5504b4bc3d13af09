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

// mayLoseDisk reports whether one more disk may be lost: fewer other machines than the tolerance are down, are no voters or have a write
// pending.
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

// startReplica connects a replica with its machine's disk by the shipped parts of the control plane.
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

// alwaysInContact is a pipeline that always reports contact with a quorum. Time only advances with the ticks of this explorer and is no
// measure of contact. Package cutoff explores that machines without a quorum propose nothing.
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

// handle passes an event to a machine.
func (s *system) handle(i int, ev register.Event) { s.machines[i].pipeline.Apply(s.now, ev) }

// sync completes a machine's pending write.
func (s *system) sync(i int) {
	m := s.machines[i]
	w := m.pendingWrite
	m.disk, m.pendingWrite = w.State, nil
	m.pipeline.WriteCompleted(s.now, w.Number, nil)
}

// sink receives the output of a machine's pipeline. It implements persistence.Sink.
type sink struct {
	s *system
	m *machine
}

// Write starts a write of the state. With the defect repliesBeforeSync it reports the write as completed at once.
func (k sink) Write(w persist.Write) {
	k.m.pendingWrite = &w
	if k.s.defect.repliesBeforeSync {
		k.m.pipeline.WriteCompleted(k.s.now, w.Number, nil)
	}
}

// Send adds a message to those in flight.
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

// Complete passes an outcome to the operation that waits for it. No operation waits for a change of members.
func (k sink) Complete(o register.Outcome) {
	s := k.s
	if s.defect.alterOutcome != nil && o.ID <= uint64(len(s.history)) {
		s.defect.alterOutcome(s.history[o.ID-1].Number, &o, s.now == k.m.completedAt)
	}
	k.m.completedAt = s.now
	k.m.operations.Complete(s.now, o, dissemination.Unconstrained)
}

// responder sends the result of a call to its operator.
type responder struct {
	s         *system
	callIndex int
}

// Respond implements operations.Responder. A call without an outcome gets no response.
func (c responder) Respond(r operations.Result) {
	var taken *operations.VersionTakenError
	if r.Err != nil && !errors.As(r.Err, &taken) {
		return
	}
	v := &r.Outcome.Value
	c.s.answers = append(c.s.answers, answer{callIndex: c.callIndex, refused: taken != nil, number: int(v.Version), content: string(v.Body)})
}

// confirmPutsAt implements a defect: it confirms all pending puts at a machine.
func (s *system) confirmPutsAt(name string) {
	for _, o := range s.operators {
		if o.pendingCall >= 0 && o.request.number > 0 && s.machines[o.machine].name == name {
			s.answers = append(s.answers, answer{callIndex: o.pendingCall})
		}
	}
}

// deliver delivers a message, which is lost if the receiver is down. The message stays in flight unless remove is set.
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

// maxSettleRounds is the maximum number of rounds of deliveries until a response once there are no more faults.
const maxSettleRounds = 400

// settle ends a history without further faults: all machines are up, and each request and a read are sent once more and must complete.
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
				s.broken = fmt.Errorf("%v does not complete after the last fault", wantedRequest)
				return
			}
			s.step++
			s.settleRound(finalOperator)
		}
	}
}

// settleRound sends the operator's request if there is no pending call, completes all writes and delivers all messages and responses.
// The time advances if no messages are left.
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
