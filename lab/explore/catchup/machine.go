package catchup

import (
	"time"

	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"firplank/mesh/controlplane/persistence"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/storage"
)

const (
	// folder is the data folder on each machine's disk.
	dataDir = "/data"
	// restartDelay is after what time a start that the disk refused is repeated.
	restartDelay = 100 * time.Millisecond
	// maxTickDelay is how long a machine goes without a tick that it doesn't ask for.
	maxTickDelay = time.Second
	// earlierStates bounds the states that a machine keeps for defects to return to.
	maxEarlierStates = 30
)

// machine is a control machine: a replica and its persistence pipeline over a store, as the control plane puts them
// together, and the disk that outlives its processes. It implements persistence.Sink.
type machine struct {
	*world
	name     string
	disk     *disk
	earlier  []register.State // that were written, for defects
	store    *storage.Store
	pipeline *persistence.Pipeline // nil: the machine is down
	process  int                   // rises with each start and end of a process
	nextTick time.Duration         // for which a tick is scheduled; 0: none is
}

func newMachine(w *world, i int) *machine {
	return &machine{world: w, name: machineName(i), disk: newDisk(w.rng)}
}

func machineName(i int) string { return string(rune('a' + i)) }

func machineNames() (all []string) {
	for i := range members {
		all = append(all, machineName(i))
	}
	return all
}

func (w *world) machineNamed(name string) *machine { return w.machines[name[0]-'a'] }

func (m *machine) isUp() bool { return m.pipeline != nil }

// start begins a process over what the disk holds.
func (m *machine) start(firstStart bool) {
	if m.isUp() {
		return
	}
	retry := func() { m.start(firstStart) }
	store, recovered, err := storage.OpenFS(errorfs.Wrap(m.disk.MemFS, m.disk), dataDir)
	if err != nil {
		m.after(restartDelay, retry)
		return
	}
	m.process++
	m.store = store
	m.nextTick = 0
	mayVote := m.plan.Defect.alterRecovery(m, &recovered, recovered.MayVoteWithoutRejoin(firstStart))
	replica := register.New(m.name, machineNames(), mayVote, recovered.State, m.rng.Uint64())
	if err := m.activate(replica, mayVote); err != nil || m.disk.hasLostPower() {
		m.stop(m.disk.afterPowerLoss)
		m.after(restartDelay, retry)
		return
	}
	m.join(replica, recovered.State)
}

func (m *machine) activate(replica *register.Replica, mayVote bool) error {
	if !mayVote {
		return m.store.Activate(nil)
	}
	first := replica.State()
	return m.store.Activate(&first)
}

// run lets a replica over the state that was recovered take part.
func (m *machine) join(replica *register.Replica, recovered *register.State) {
	var onDisk register.State
	if recovered != nil {
		onDisk = *recovered
	}
	m.pipeline = persistence.New(replica, onDisk, m)
	m.history.faultOccurred(m.now)
	m.history.started(m.name, onDisk.Value.Version, m.now)
	m.plan.Defect.publishEarly(m, recovered)
	m.apply(register.PeerConnected{})
}

// stop ends the process; after a power loss, the disk is what that left.
func (m *machine) stop(left *disk) {
	m.history.stopped(m.name)
	m.clients.machineStopped(m)
	if m.store != nil {
		_ = m.store.Close() // as a process that ends: its disk may refuse
	}
	m.process++
	m.pipeline = nil
	m.store = nil
	if left != nil {
		m.disk = left
	}
}

// handle hands an event to the replica.
func (m *machine) apply(ev register.Event) {
	if !m.isUp() {
		return
	}
	m.pipeline.Apply(m.now, ev)
	m.afterStep()
}

// afterStep notes what the disk has, and schedules the next tick.
func (m *machine) afterStep() {
	state := m.pipeline.Replica().State()
	if m.pipeline.OnDisk().Accepted == state.Accepted {
		m.history.onDisk(m.name, state.Value.Version, m.now)
	}
	m.scheduleTick()
}

// Write implements persistence.Sink: the disk takes writeTime.
func (m *machine) Write(w persist.Write) {
	process := m.process
	m.plan.Defect.completeWriteEarly(m, w)
	m.after(writeTime, func() {
		if m.process == process {
			m.write(w)
		}
	})
}

// write saves a state; the power may be lost in the middle of it.
func (m *machine) write(w persist.Write) {
	err := m.store.Save(w.State)
	if m.disk.hasLostPower() {
		m.powerLostInWrite()
		return
	}
	if err == nil {
		m.store.RecordSynced()
		m.earlier = append(m.earlier, *w.State)
		m.earlier = m.earlier[max(0, len(m.earlier)-maxEarlierStates):]
		m.history.onDisk(m.name, w.State.Value.Version, m.now)
	}
	m.pipeline.WriteCompleted(m.now, w.Number, err)
	m.afterStep()
}

// Publish implements persistence.Sink: sidecars below the machine receive the value.
func (m *machine) Publish(c persist.Committed) {
	if c.Known && c.Value.Version > 0 {
		m.history.inForce(m.name, c.Value.Version, c.Value.Body, c.AsOf, m.now)
	}
}

// Complete implements persistence.Sink.
func (m *machine) Complete(o register.Outcome) { m.handleOutcome(m, o) }

// scheduleTick schedules a tick for when the pipeline asks for one, unless an earlier one is scheduled.
func (m *machine) scheduleTick() {
	next, ok := m.pipeline.NextTick(m.now)
	if !ok {
		next = m.now + maxTickDelay
	}
	next = max(next, m.now+time.Millisecond)
	if m.nextTick > m.now && m.nextTick <= next {
		return
	}
	m.nextTick = next
	process := m.process
	m.after(next-m.now, func() {
		if m.process != process || m.nextTick != next {
			return
		}
		m.nextTick = 0
		m.history.checkDeadlines(m.now)
		m.pipeline.Tick(m.now)
		m.afterStep()
	})
}
