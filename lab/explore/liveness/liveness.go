// Package liveness explores whether the control machines come to an end on machines that are slow: every message and every sync of a disk
// takes some time up to a bound, which the program is not told and which may be far above what it expects. Operators write at several
// machines at once, so that proposers compete, and nothing else goes wrong. It plays the shipped register behind the shipped queue of what
// waits for the disk (package persistence), and the shipped lease, each in virtual time.
//
// The checks are that every change is answered, and that the lease is granted, within a stated number of the slowest round-trips. Safety is
// explored elsewhere (lab/explore/register, lab/explore/lease).
//
// Start reading at Rounds and Leases.
package liveness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/controlplane/persistence"
	"firplank/mesh/dissemination"
	"firplank/mesh/lease"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/timing"
)

// Surroundings bound how slow a run is.
type Environment struct {
	Machines int
	Writers  int           // machines at which operators write, all at once
	Link     time.Duration // a message takes so long at most
	Sync     time.Duration // a sync of a disk does
	// SlowDisks is how many disks are that slow; 0: all are. The others take a hundredth of it.
	SlowDisks int
	// Steady: messages and syncs take just as long as they may, always.
	Steady bool
	// ContactByAge plants a defect: contact with a quorum counts from the beginning of the round that was completed last.
	ContactByAge bool
}

const (
	// step is the resolution of virtual time.
	step = 5 * time.Millisecond
	// changes is how many changes each operator writes, one after the other.
	changesPerWriter = 4
	// fastDisk is the part of Surroundings.Sync that other disks take.
	fastDiskDivisor = 100
	// roundsPerChange is how many undisturbed rounds of the slowest kind one change may take for each operator.
	roundsPerChange = 12
	// leaseLimit is how many vote durations it may take until the lease is granted.
	leaseGrantLimit = 12
	// stream is the second half of the seeds.
	randomStream = 11
)

// round is how long the slowest round takes that nobody disturbs: two phases that are written and one that is not. A write may have to wait
// for the one before it.
func (s Environment) slowestRound() time.Duration { return 3*2*s.Link + 2*2*s.Sync }

// limit is the time in which a run has to end.
func (s Environment) timeLimit() time.Duration {
	return time.Second + time.Duration(changesPerWriter*s.Writers*roundsPerChange)*(s.slowestRound()+timing.Default().Register.MinPhaseTimeout)
}

// delivery is something that happens at a time.
type scheduledEvent struct {
	dueAt time.Duration
	do    func()
}

// world is virtual time and what is to happen in it.
type world struct {
	environment Environment
	random      *rand.Rand
	now         time.Duration
	queue       []scheduledEvent
}

// delay is a random time up to a bound; half of all take the bound, or all of them in steady surroundings.
func (w *world) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 || w.environment.Steady || w.random.IntN(2) == 0 {
		return limit
	}
	return time.Duration(w.random.Int64N(int64(limit)))
}

func (w *world) schedule(delay time.Duration, do func()) {
	w.queue = append(w.queue, scheduledEvent{w.now + delay, do})
}

// advance lets a step of time pass.
func (w *world) advance() {
	w.now += step
	due := w.queue
	w.queue = nil
	for _, d := range due {
		if d.dueAt > w.now {
			w.queue = append(w.queue, d)
			continue
		}
		d.do()
	}
}

// machine is a control machine: the register behind its disk. It implements persistence.Sink.
type machine struct {
	world          *world
	index          int
	machines       *[]*machine
	pipeline       *persistence.Pipeline
	hasWriter      bool // an operator writes here
	pendingChanges int  // changes of that operator that are not answered
	version        uint32
	refusingTime   time.Duration // how long it would have refused operations for want of a quorum, once it had one
}

// checkHealth notes whether the machine would refuse operations now.
func (m *machine) checkHealth() {
	contact := m.pipeline.Health(m.world.now).LastQuorum
	if m.world.environment.ContactByAge {
		contact = m.pipeline.Committed().AsOf
	}
	if contact >= 0 && dissemination.QuorumLost(m.world.now, contact, quorumTimeout) {
		m.refusingTime += step
	}
}

// quorumTimeout is that of the deployments in service.
var quorumTimeout = timing.Default().Dissemination.QuorumTimeout

func machineName(index int) string { return fmt.Sprintf("m%02d", index) }

// Write implements persistence.Sink.
func (m *machine) Write(w persist.Write) {
	sync := m.world.environment.Sync
	if slowDisks := m.world.environment.SlowDisks; slowDisks > 0 && m.index >= slowDisks {
		sync /= fastDiskDivisor
	}
	m.world.schedule(m.world.randomDelay(sync), func() { m.pipeline.WriteCompleted(m.world.now, w.Number, nil) })
}

// Send implements persistence.Sink.
func (m *machine) Send(message *register.Message) {
	for _, receiver := range *m.machines {
		if machineName(receiver.index) != message.To {
			continue
		}
		sent := *message
		m.world.schedule(m.world.randomDelay(m.world.environment.Link), func() { receiver.pipeline.Apply(m.world.now, register.MessageReceived{Message: sent}) })
	}
}

// Publish implements persistence.Sink.
func (m *machine) Publish(persist.Committed) {}

// Complete implements persistence.Sink: the operator writes the next change.
func (m *machine) Complete(register.Outcome) {
	if m.pendingChanges--; m.pendingChanges > 0 {
		m.world.schedule(0, m.put)
	}
}

// put has the operator write its next change.
func (m *machine) put() {
	m.version += uint32(m.world.environment.Machines)
	body := fmt.Appendf(nil, "change %d", m.version)
	m.pipeline.Apply(m.world.now, register.Put{ID: uint64(m.pendingChanges), Version: m.version, Content: register.ContentOf(body), Body: body})
}

// Rounds plays a run of the register with its timing, drawn from a seed, and returns how long it took until every change was answered. An
// error says that it did not end in time.
func RunRegister(environment Environment, t timing.Register, seed uint64) (duration time.Duration, err error) {
	w := &world{environment: environment, random: rand.New(rand.NewPCG(seed, randomStream))}
	var machines []*machine
	var members []string
	for i := range environment.Machines {
		members = append(members, machineName(i))
	}
	for i := range environment.Machines {
		m := &machine{world: w, index: i, machines: &machines, version: uint32(i + 1), hasWriter: i < environment.Writers}
		replica := register.New(machineName(i), members, true, nil, seed<<8+uint64(i))
		replica.SetTiming(t)
		m.pipeline = persistence.New(replica, replica.State(), m)
		machines = append(machines, m)
	}
	for _, m := range machines {
		if m.hasWriter {
			m.pendingChanges = changesPerWriter
			m.put()
		}
	}
	for w.now < environment.timeLimit() {
		w.advance()
		pendingChanges := 0
		for _, m := range machines {
			m.pipeline.Tick(w.now)
			m.checkHealth()
			pendingChanges += max(0, m.pendingChanges)
		}
		if pendingChanges == 0 {
			return w.now, checkRefusals(machines)
		}
	}
	return w.now, errors.Errorf("%+v: not every change is answered after %v", environment, w.now)
}

// maxRefusing is the share of a run for which a machine may refuse operations, as a quorum's replies wait for slow disks or come late.
const maxRefusingShare = 0.25

// refusals returns an error if a machine, all of whose peers answer, refuses operations for want of a quorum.
func checkRefusals(machines []*machine) error {
	for _, m := range machines {
		if share := float64(m.refusingTime) / float64(m.world.now); share > maxRefusingShare {
			return errors.Errorf("%+v: %s refuses operations for %.2f of the time, and all machines answer", m.world.environment, machineName(m.index), share)
		}
	}
	return nil
}

// Leases plays a run of the lease, and returns how long it took until it was granted for the first time.
func RunLease(environment Environment, t timing.Lease, seed uint64) (duration time.Duration, err error) {
	w := &world{environment: environment, random: rand.New(rand.NewPCG(seed, randomStream))}
	leases := map[string]*lease.Lease{}
	var members []string
	for i := range environment.Machines {
		members = append(members, machineName(i))
	}
	for _, self := range members {
		leases[self] = lease.New(self, 0, 0, t)
		leases[self].SetMembers(members)
	}
	var send func(lease.Message)
	send = func(m lease.Message) {
		w.schedule(w.randomDelay(environment.Link), func() {
			if response, ok := leases[m.To].Handle(w.now, m); ok {
				send(response)
			}
		})
	}
	for w.now < leaseGrantLimit*t.VoteDuration {
		w.advance()
		for _, self := range members {
			for _, m := range leases[self].Tick(w.now) {
				send(m)
			}
			if leases[self].HeldAt(w.now) {
				return w.now, nil
			}
		}
	}
	return w.now, errors.Errorf("%+v: the lease is not granted after %v", environment, w.now)
}
