package members

import (
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/controlplane/peers"
	"firplank/mesh/controlplane/persistence"
	"firplank/mesh/controlplane/reconcile"
	"firplank/mesh/lease"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/timing"
)

// machine is a control machine: the shipped decisions, driven as by the control plane, with a simulated clock and disk.
type machine struct {
	world              *world
	name               string
	zone               string
	clockRate          float64 // speed of its clock relative to real time
	started            time.Duration
	incarnation        uint64
	frozen             bool
	partitioned        bool
	stalled            bool // its disk completes no write
	faultUnnoticed     bool // ... and the machine does not detect it
	departedGracefully bool // the machine has handed over its work before it left
	removed            bool // the machine does not come back

	// The shipped parts of the control plane, in place of its event loop.
	replica    *register.Replica // nil while the machine is down
	pipeline   *persistence.Pipeline
	operations *operations.Table
	peers      *peers.Table[string] // a connection is the other machine's name
	reconciler *reconcile.Reconciler

	timeouts  timing.Replacement
	lastID    uint64
	nextHello time.Duration
	inbox     []delivery
	pending   map[uint64]pendingCall // by operation ID

	disk         *register.State
	pendingWrite *persist.Write // write that the disk has not completed; nil if there is none
	syncedAt     time.Duration  // when the disk completes the write, in the world's time
}

// pendingCall is an operator's call that has no response yet.
type pendingCall struct {
	deadline  time.Duration // in the world's time
	historyID uint64        // its ID in the history
}

// hello is the status that a machine reports.
type hello struct {
	zone   string
	status codec.NodeStatus
}

func (m *machine) up() bool { return m.replica != nil }

// now returns the machine's local time.
func (m *machine) now() time.Duration {
	return time.Duration(float64(m.world.now-m.started) * m.clockRate)
}

func (m *machine) start(first bool) {
	w := m.world
	m.incarnation++
	m.started, m.frozen, m.partitioned, m.departedGracefully = w.now, false, false, false
	m.inbox, m.pendingWrite, m.pending, m.nextHello = nil, nil, map[uint64]pendingCall{}, 0
	m.timeouts = w.defect.timeouts()
	m.peers = peers.New[string](m.name, m.zone)
	var members []string
	for _, x := range w.machines[:initialMembers] {
		members = append(members, x.name)
	}
	m.replica = register.New(m.name, members, first || w.defect.votesWhenEmptied && m.disk == nil, m.disk,
		m.incarnation<<16+uint64(len(w.inFlight))+1)
	m.replica.SetTiming(w.defect.registerTiming())
	if first {
		s := m.replica.State()
		m.disk = &s
	}
	m.startPipeline()
	config := reconcile.Config{
		Self: m.name, Zone: m.zone, Timeouts: m.timeouts, Tolerance: w.defect.tolerance(w.tolerance), Seed: m.incarnation << 32,
	}
	m.reconciler = reconcile.New(config, m, m.peers, m, m.nextID)
}

// startPipeline creates the pipeline and the operations of the replica, with the state that is on disk.
func (m *machine) startPipeline() {
	onDisk := register.State{}
	if m.disk != nil {
		onDisk = *m.disk
	}
	m.pipeline = persistence.New(m.replica, onDisk, m)
	m.operations = operations.NewTable(m.pipeline, m.nextID, durations)
	if m.world.defect.Name == "" {
		m.pipeline.SetInvariants(m)
		m.operations.SetInvariants(m)
	}
}

func (m *machine) nextID() uint64 {
	m.lastID++
	return m.lastID
}

// stop ends the process. A pending write may have reached the disk or not.
func (m *machine) stop() {
	if m.pendingWrite != nil && m.world.rng.IntN(2) == 0 && !m.stalled {
		m.disk = m.pendingWrite.State
	}
	m.replica, m.pendingWrite, m.inbox = nil, nil, nil
}

// step does all work that is due.
func (m *machine) step() {
	if !m.up() || m.frozen {
		return
	}
	now := m.now()
	if w := m.pendingWrite; w != nil && m.world.now >= m.syncedAt && !m.stalled {
		m.disk, m.pendingWrite = w.State, nil
		m.pipeline.WriteCompleted(now, w.Number, nil)
	}
	if now >= m.nextHello {
		m.nextHello = now + m.timeouts.HelloInterval
		m.broadcastHello(now)
	}
	if now >= m.reconciler.NextTick() {
		m.updateConnections(now)
		m.reconciler.Tick(now)
		if !m.up() { // it has departed
			return
		}
		m.operations.FailPending(now)
	}
	m.receive(now)
	m.pipeline.Tick(now)
	m.expirePending()
}

// receive handles the messages in the inbox.
func (m *machine) receive(now time.Duration) {
	inbox := m.inbox
	m.inbox = nil
	for _, message := range inbox {
		switch body := message.body.(type) {
		case hello:
			m.peers.Record(message.from, body.zone, now)
			m.peers.Get(message.from).Status = body.status
		case lease.Message:
			m.reconciler.HandleLease(now, body)
		case register.Message:
			m.peers.Record(message.from, "", now)
			m.apply(register.MessageReceived{Message: body})
		}
	}
}

func (m *machine) apply(ev register.Event) { m.pipeline.Apply(m.now(), ev) }

// responder passes the result of an operation to its operator.
type responder struct {
	m  *machine
	id uint64 // ID of the operator's call in the history
}

// Respond implements operations.Responder.
func (c responder) Respond(r operations.Result) {
	if r.Err != nil {
		c.m.world.history.Expire(c.id)
		return
	}
	c.m.world.history.End(c.id, r.Outcome.Value.Version, c.m.world.now)
}

// propose passes an operator's request to the machine.
func (m *machine) propose(r operations.Request, id uint64) {
	if op := m.operations.Propose(m.now(), r, responder{m, id}); op > 0 {
		m.pending[op] = pendingCall{m.world.now + operationTimeout, id}
	}
}

func (m *machine) expirePending() {
	for id, w := range m.pending {
		if m.world.now > w.deadline {
			delete(m.pending, id)
			m.world.history.Expire(w.historyID)
			m.operations.Cancel(id)
		}
	}
}

// broadcastHello sends the status to all machines. The hellos also spread the machines' addresses.
func (m *machine) broadcastHello(now time.Duration) {
	h := hello{zone: m.zone, status: m.reconciler.Status(now)}
	if m.world.defect.hidesStandByState {
		h.status.Voter, h.status.DiskFailing = true, false
	}
	for _, other := range m.world.machines {
		if other != m && other.incarnation > 0 && !other.removed {
			m.world.send(m.name, other.name, h)
		}
	}
	if seen := m.peers.Seen(); len(seen) > 0 {
		m.apply(register.PeersUpdated{Peers: seen})
	}
}

// updateConnections connects to machines that are up and on the same side of a partition, and disconnects from the others. A frozen
// machine stays connected: a connection that is closed because of silence is replaced by a new one at once.
func (m *machine) updateConnections(now time.Duration) {
	for _, p := range m.peers.All() {
		other := m.world.machineNamed(p.Addr)
		switch connectable := other.up() && other.partitioned == m.partitioned; {
		case connectable && !p.Connected():
			m.peers.SetConn(p.Addr, p.Addr, now)
		case !connectable && p.Connected():
			m.peers.SetConn(p.Addr, "", now)
		}
	}
	for _, p := range m.peers.Silent(now, m.timeouts.DetectionTimeout/2) {
		m.peers.SetConn(p.Addr, p.Addr, now)
	}
}

// beginDeparture asks the machine to leave.
func (m *machine) beginDeparture() {
	if m.world.defect.leavesAtOnce {
		m.departedGracefully = true
		m.stop()
		return
	}
	m.reconciler.BeginDeparture(m.now())
	m.broadcastHello(m.now())
	m.updateConnections(m.now())
	m.reconciler.Tick(m.now())
}
