// Package liveness explores whether the control machines make progress when machines are slow: every message and every sync of a disk
// takes a time up to a bound, which the program does not know and which may be far above what it expects. Operators write at several
// machines at the same time, so that proposers compete. There are no other faults. The explorer runs the shipped register with the
// shipped queue of writes (package persistence), and the shipped lease, each in virtual time.
//
// It checks that every change completes, and that the lease is granted, within a stated number of the slowest round trips. Safety is
// explored by lab/explore/register and lab/explore/lease.
//
// Start reading at RunRegister and RunLease.
package liveness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/configversion"
	"firplank/mesh/controlplane/persistence"
	"firplank/mesh/dissemination"
	"firplank/mesh/lease"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/timing"
)

// Environment describes the machines of a run and bounds how slow they are.
type Environment struct {
	Machines int
	Writers  int           // number of machines at which operators write at the same time
	Link     time.Duration // maximum delay of a message
	Sync     time.Duration // maximum duration of a disk's sync
	// SlowDisks is the number of disks that are that slow; 0 means all. The others take a hundredth of the time.
	SlowDisks int
	// Steady makes all messages and syncs take the maximum time.
	Steady bool
	// ContactByAge plants a defect: the last contact with a quorum is taken to be the start of the round that was completed last.
	ContactByAge bool
}

const (
	// step is the resolution of virtual time.
	step = 5 * time.Millisecond
	// changesPerWriter is the number of changes that each operator writes, one after the other.
	changesPerWriter = 4
	// fastDiskDivisor divides Environment.Sync for disks that are not slow.
	fastDiskDivisor = 100
	// roundsPerChange is the number of slowest undisturbed rounds that one change may take for each operator.
	roundsPerChange = 12
	// leaseGrantLimit is the number of vote durations within which the lease must be granted.
	leaseGrantLimit = 12
	// randomStream is the second half of the random generator's seed.
	randomStream = 11
)

// slowestRound returns the duration of the slowest round without competing proposers: two phases with a write and one without. A write may
// have to wait for the write before it.
func (s Environment) slowestRound() time.Duration { return 3*2*s.Link + 2*2*s.Sync }

// timeLimit returns the time within which a run must complete.
func (s Environment) timeLimit() time.Duration {
	return time.Second + time.Duration(changesPerWriter*s.Writers*roundsPerChange)*(s.slowestRound()+timing.Default().Register.MinPhaseTimeout)
}

// scheduledEvent is an event at a point of virtual time.
type scheduledEvent struct {
	dueAt time.Duration
	do    func()
}

// world is the virtual time and the events that are scheduled.
type world struct {
	environment Environment
	random      *rand.Rand
	now         time.Duration
	queue       []scheduledEvent
}

// randomDelay returns a random delay up to a limit. Half of the delays, or all of them in a steady environment, equal the limit.
func (w *world) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 || w.environment.Steady || w.random.IntN(2) == 0 {
		return limit
	}
	return time.Duration(w.random.Int64N(int64(limit)))
}

func (w *world) schedule(delay time.Duration, do func()) {
	w.queue = append(w.queue, scheduledEvent{w.now + delay, do})
}

// advance advances the time by a step and runs the events that are due.
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

// machine is a control machine with a register and a disk. It implements persistence.Sink.
type machine struct {
	world          *world
	index          int
	machines       *[]*machine
	pipeline       *persistence.Pipeline
	hasWriter      bool // an operator writes at this machine
	pendingChanges int  // changes of that operator that have not completed
	version        configversion.Version
	refusingTime   time.Duration // total time for which it would have refused operations for lack of a quorum, after its first contact
}

// checkHealth adds a step to refusingTime if the machine would refuse operations now.
func (m *machine) checkHealth() {
	contact := m.pipeline.Health(m.world.now).LastQuorum
	if m.world.environment.ContactByAge {
		contact = m.pipeline.Committed().AsOf
	}
	if contact >= 0 && dissemination.QuorumLost(m.world.now, contact, quorumTimeout) {
		m.refusingTime += step
	}
}

// quorumTimeout is the time-out of a deployment with the default settings.
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
		m.world.schedule(m.world.randomDelay(m.world.environment.Link), func() {
			receiver.pipeline.Apply(m.world.now, register.MessageReceived{Message: sent})
		})
	}
}

// Publish implements persistence.Sink.
func (m *machine) Publish(persist.Committed) {}

// Complete implements persistence.Sink. The operator then writes the next change.
func (m *machine) Complete(register.Outcome) {
	if m.pendingChanges--; m.pendingChanges > 0 {
		m.world.schedule(0, m.put)
	}
}

// put has the operator write its next change.
func (m *machine) put() {
	m.version += configversion.Version(m.world.environment.Machines)
	body := fmt.Appendf(nil, "change %d", m.version)
	m.pipeline.Apply(m.world.now, register.Put{
		ID: uint64(m.pendingChanges), Version: m.version, Content: register.ContentOf(body), Body: body,
	})
}

// RunRegister runs the register with the given timing and random delays drawn from a seed. It returns the virtual time until every change
// was completed, or an error if they did not complete in time or a machine refused operations.
func RunRegister(environment Environment, t timing.Register, seed uint64) (duration time.Duration, err error) {
	w := &world{environment: environment, random: rand.New(rand.NewPCG(seed, randomStream))}
	var machines []*machine
	var members []string
	for i := range environment.Machines {
		members = append(members, machineName(i))
	}
	for i := range environment.Machines {
		m := &machine{world: w, index: i, machines: &machines, version: configversion.Version(i + 1), hasWriter: i < environment.Writers}
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
	return w.now, errors.Errorf("%+v: not every change has completed after %v", environment, w.now)
}

// maxRefusingShare is the share of a run for which a machine may refuse operations, because slow disks and messages delay a quorum's
// replies.
const maxRefusingShare = 0.25

// checkRefusals returns an error if a machine refuses operations for lack of a quorum for too long, although all machines respond.
func checkRefusals(machines []*machine) error {
	for _, m := range machines {
		if share := float64(m.refusingTime) / float64(m.world.now); share > maxRefusingShare {
			return errors.Errorf("%+v: %s refuses operations for %.2f of the time although all machines respond",
				m.world.environment, machineName(m.index), share)
		}
	}
	return nil
}

// RunLease runs the lease with the given timing and random delays drawn from a seed. It returns the virtual time until the lease was first
// granted, or an error if it was not granted in time.
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
	return w.now, errors.Errorf("%+v: the lease is not granted within %v", environment, w.now)
}
