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
	// dataDir is the data directory on each machine's disk.
	dataDir = "/data"
	// restartDelay is the delay before a failed start is retried.
	restartDelay = 100 * time.Millisecond
	// maxTickDelay is the interval between ticks while the pipeline requests none.
	maxTickDelay = time.Second
	// maxEarlierStates bounds the earlier states that a machine keeps for defects.
	maxEarlierStates = 30
)

// machine is a control machine: a replica and its persistence pipeline over a store, wired as in the control plane, and
// the disk that survives restarts. It implements persistence.Sink.
type machine struct {
	*world
	name     string
	disk     *disk
	earlier  []register.State // written states, for defects
	store    *storage.Store
	pipeline *persistence.Pipeline // nil while the machine is down
	process  int                   // incremented at each start and stop of a process
	nextTick time.Duration         // time of the scheduled tick; 0 if there is none
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

// start starts a process on the machine's disk. A failed start is retried.
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

// join starts the pipeline of a recovered replica, which then takes part in the register.
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

// stop ends the process. After a power loss or the loss of a disk, the given disk replaces the machine's.
func (m *machine) stop(left *disk) {
	m.history.stopped(m.name)
	m.clients.machineStopped(m)
	if m.store != nil {
		_ = m.store.Close() // the process ends anyway, and a full disk may fail the close
	}
	m.process++
	m.pipeline = nil
	m.store = nil
	if left != nil {
		m.disk = left
	}
}

// apply applies an event to the replica.
func (m *machine) apply(ev register.Event) {
	if !m.isUp() {
		return
	}
	m.pipeline.Apply(m.now, ev)
	m.afterStep()
}

// afterStep records the version on disk and schedules the next tick.
func (m *machine) afterStep() {
	state := m.pipeline.Replica().State()
	if m.pipeline.OnDisk().Accepted == state.Accepted {
		m.history.onDisk(m.name, state.Value.Version, m.now)
	}
	m.scheduleTick()
}

// Write implements persistence.Sink. The write takes writeTime.
func (m *machine) Write(w persist.Write) {
	process := m.process
	m.plan.Defect.completeWriteEarly(m, w)
	m.after(writeTime, func() {
		if m.process == process {
			m.write(w)
		}
	})
}

// write saves a state. Power may be lost in the middle of it.
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

// Publish implements persistence.Sink. The sidecars below the machine receive the value at once.
func (m *machine) Publish(c persist.Committed) {
	if c.Known && c.Value.Version > 0 {
		m.history.inForce(m.name, c.Value.Version, c.Value.Body, c.AsOf, m.now)
	}
}

// Complete implements persistence.Sink.
func (m *machine) Complete(o register.Outcome) { m.handleOutcome(m, o) }

// scheduleTick schedules a tick for the time that the pipeline requests, unless an earlier one is scheduled.
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
