// Package tombstones is an explorer of package mesh/tombstone: links lose, duplicate and reorder messages, processes are killed with what
// their disks have not synced, one disk at a time is lost, and the members change. It checks that whoever reads the tombstones of a node
// gets all that were reported as durable before, and that requests are answered after all faults are repaired. The check is independent of
// how tombstones are replicated.
//
// Start reading at Start.
package tombstones

import (
	"fmt"
	"slices"
	"time"

	"firplank/lab/explore"
	"firplank/mesh/timing"
	"firplank/mesh/tombstone"
)

const (
	step = 50 * time.Millisecond
	// nodes is the number of machines whose servers shut down.
	nodes = 2
	// recoverySteps is the number of steps within which requests must be answered after the repair.
	recoverySteps = 40
	// idShift is the number of low bits of a request's number that count the requests since a start. The start count is above them.
	idShift = 32
)

var durations = timing.Default().Tombstones

// disk is what a machine has on its disk.
type disk struct {
	stored   map[tombstone.Tombstone]bool
	complete bool
}

// machine is a control machine.
type machine struct {
	name     string
	replica  *tombstone.Replica // nil while the machine is down
	started  time.Duration
	starts   int
	disk     disk
	unsynced []tombstone.Append
}

// fetch is a request that is not answered yet.
type fetch struct {
	machine string
	id      uint64
	node    string
	durable map[tombstone.Tombstone]bool // what was durable when the request was made
}

// world is a group of control machines with their links, disks and faults. It implements explore.System.
type world struct {
	explore.Offers

	bounds   Bounds
	defect   *Defect
	now      time.Duration
	machines []*machine
	members  tombstone.MembershipChanged
	inFlight []tombstone.Message
	durable  map[tombstone.Tombstone]bool
	requests map[uint64]tombstone.Tombstone // that were not answered yet
	fetches  []fetch
	lastID   uint64
	servers  int
	isolated string // the machine that is cut off from the others; empty: none is
	changed  bool   // the members have changed
	repaired bool
	answered int // requests answered since the repair
	broken   error
}

// Start returns a function that creates a new system. No defect is planted if d is nil.
func Start(b Bounds, d *Defect) func() explore.System {
	if d == nil {
		d = &Defect{}
	}
	return func() explore.System {
		w := &world{
			bounds:   b,
			defect:   d,
			members:  tombstone.MembershipChanged{Members: []string{"a", "b", "c"}},
			durable:  map[tombstone.Tombstone]bool{},
			requests: map[uint64]tombstone.Tombstone{},
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			m := &machine{name: name, disk: disk{stored: map[tombstone.Tombstone]bool{}, complete: name != "d"}}
			w.machines = append(w.machines, m)
			w.start(m)
		}
		return w
	}
}

// start starts a machine from its disk.
func (w *world) start(m *machine) {
	m.starts++
	m.started = w.now
	var stored []tombstone.Aged
	for t := range m.disk.stored {
		stored = append(stored, tombstone.Aged{Tombstone: t})
	}
	firstID := uint64(m.starts) << idShift
	if w.defect.sameIDs {
		firstID = 0
	}
	m.replica = tombstone.New(m.name, m.disk.complete, stored, firstID, durations)
	w.handle(m, tombstone.PeersChanged{Peers: w.peersOf(m)})
	w.handle(m, w.members)
}

func (w *world) peersOf(m *machine) (peers []string) {
	for _, other := range w.machines {
		if other != m {
			peers = append(peers, other.name)
		}
	}
	return peers
}

// handle passes an event to a machine's replica, and executes the output.
func (w *world) handle(m *machine, e tombstone.Event) {
	out := m.replica.Handle(w.now-m.started, e)
	if out.Append != nil {
		m.unsynced = append(m.unsynced, *out.Append)
		if w.defect.storedBeforeSync {
			w.handle(m, tombstone.Synced{Number: out.Append.Number})
		}
	}
	for _, message := range out.Messages {
		if len(w.inFlight) < w.bounds.InFlight {
			w.inFlight = append(w.inFlight, message)
		}
	}
	for _, id := range out.Recorded {
		if t, pending := w.requests[id]; pending {
			delete(w.requests, id)
			w.durable[t] = true
			w.answered++
		}
	}
	for _, f := range out.Fetched {
		w.checkFetched(m, f)
	}
}

// checkFetched checks that the answer to a fetch has what was durable when it was requested.
func (w *world) checkFetched(m *machine, f tombstone.Fetched) {
	i := slices.IndexFunc(w.fetches, func(request fetch) bool { return request.machine == m.name && request.id == f.ID })
	if i < 0 {
		return
	}
	request := w.fetches[i]
	w.fetches = slices.Delete(w.fetches, i, i+1)
	w.answered++
	for t := range request.durable {
		if t.Node == request.node && !slices.Contains(f.Servers, t.Server) && w.broken == nil {
			w.broken = fmt.Errorf("%s reads %v of %s, but %s was durable", m.name, f.Servers, request.node, t.Server)
		}
	}
}

// sync ends the writes of a machine's disk.
func (w *world) sync(m *machine) {
	number := uint64(0)
	for _, written := range m.unsynced {
		for _, t := range written.Tombstones {
			m.disk.stored[t.Tombstone] = true
		}
		if written.Mark != tombstone.NoMark {
			m.disk.complete = written.Mark == tombstone.MarkComplete
		}
		number = written.Number
	}
	m.unsynced = nil
	w.handle(m, tombstone.Synced{Number: number})
}

// kill kills a machine's process, with all that its disk has not synced.
func (w *world) kill(m *machine) {
	m.replica, m.unsynced = nil, nil
	w.fetches = slices.DeleteFunc(w.fetches, func(f fetch) bool { return f.machine == m.name })
}

// wipe kills a machine and loses its disk.
func (w *world) wipe(m *machine) {
	w.kill(m)
	m.disk = disk{stored: map[tombstone.Tombstone]bool{}, complete: w.defect.emptyDiskCounts}
}

// inOrder reports whether all of the named machines are up, connected and complete, on their disks.
func (w *world) inOrder(names []string) bool {
	return !slices.ContainsFunc(w.machines, func(m *machine) bool {
		sound := m.replica != nil && m.name != w.isolated && m.disk.complete && m.replica.Complete()
		return slices.Contains(names, m.name) && !sound
	})
}

// mayLoseDisk reports whether a machine's disk may be lost: it is the only loss, as long as no other member is lost or incomplete.
func (w *world) mayLoseDisk() bool {
	return w.inOrder(w.members.Members) && len(w.members.PriorMembers) == 0
}

// mayChangeMembers reports whether the change of members may go on: the member that is replaced is the only loss.
func (w *world) mayChangeMembers() bool { return !w.changed && w.inOrder([]string{"b", "c"}) }

func (w *world) deliver(index int, duplicate bool) {
	message := w.inFlight[index]
	if !duplicate {
		w.inFlight = slices.Delete(w.inFlight, index, index+1)
	}
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == message.To })
	cut := message.From == w.isolated || message.To == w.isolated
	if m := w.machines[i]; m.replica != nil && !cut {
		if w.defect.incompleteCounts {
			message.Complete = true
		}
		w.handle(m, tombstone.MessageReceived{Message: message})
	}
}

func (w *world) advance(d time.Duration) {
	w.now += d
	for _, m := range w.machines {
		if m.replica != nil {
			w.handle(m, tombstone.Tick{})
		}
	}
}

func (w *world) record(m *machine) {
	w.lastID++
	w.servers++
	t := tombstone.Tombstone{Node: fmt.Sprint("n", w.servers%nodes), Server: fmt.Sprint("i", w.servers)}
	w.requests[w.lastID] = t
	w.handle(m, tombstone.RecordRequested{ID: w.lastID, Tombstone: t})
}

func (w *world) fetch(m *machine, node string) {
	w.lastID++
	durable := map[tombstone.Tombstone]bool{}
	for t := range w.durable {
		durable[t] = true
	}
	w.fetches = append(w.fetches, fetch{m.name, w.lastID, node, durable})
	w.handle(m, tombstone.FetchRequested{ID: w.lastID, Node: node})
}

// changeMembers begins or ends the replacement of member a by d. The change ends once all learn of it.
func (w *world) changeMembers() {
	if len(w.members.PriorMembers) == 0 {
		w.members = tombstone.MembershipChanged{Members: []string{"b", "c", "d"}, PriorMembers: w.members.Members}
	} else {
		w.members.PriorMembers, w.changed = nil, true
	}
	for _, m := range w.machines {
		if m.replica != nil {
			w.handle(m, w.members)
		}
	}
}

// repair starts all machines, and checks that requests are answered.
func (w *world) repair() {
	w.repaired, w.isolated = true, ""
	for _, m := range w.machines {
		if m.replica == nil {
			w.start(m)
		}
	}
	w.settle(recoverySteps)
	w.answered = 0
	for _, m := range w.machines {
		w.record(m)
	}
	w.settle(recoverySteps)
	for _, m := range w.machines {
		w.fetch(m, "n0")
		w.fetch(m, "n1")
	}
	w.settle(recoverySteps)
	if want := 3 * len(w.machines); w.answered != want && w.broken == nil {
		w.broken = fmt.Errorf("%d of %d requests are answered after the repair", w.answered, want)
	}
}

// settle lets some steps of time pass while all messages arrive and all disks sync.
func (w *world) settle(steps int) {
	for range steps {
		w.advance(step)
		for n := 4 * len(w.inFlight); n > 0 && len(w.inFlight) > 0; n-- {
			w.deliver(0, false)
		}
		for _, m := range w.machines {
			if m.replica != nil {
				w.sync(m)
			}
		}
	}
}

// Broken implements explore.System.
func (w *world) Broken() error { return w.broken }

// Do implements explore.System.
func (w *world) Do(choice int) {
	w.Choices()
	w.Perform(choice)
}
