package reconcile

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"firplank/mesh/controlplane/persistence"
	"firplank/mesh/lease"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/replacement"
	"firplank/mesh/timing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const ms = time.Millisecond

var timeouts = timing.NewReplacement(4*time.Second, 6*time.Second)

// testMachine is the Register, Peers and Sink of a reconciler. If it is the only member of its register, its proposals are committed at
// once. peers holds the other control machines.
type testMachine struct {
	*persistence.Pipeline
	reconciler  *Reconciler
	diskFailing bool
	cancelled   []uint64
	log         []string
	peers       []replacement.Machine
	change      register.ChangeMembers // that was proposed last
	lastID      uint64
	reason      error
}

func (m *testMachine) DiskFailing(time.Duration) bool { return m.diskFailing }

func (m *testMachine) Apply(now time.Duration, ev register.Event) {
	if c, ok := ev.(register.ChangeMembers); ok {
		m.change = c
	}
	m.Pipeline.Apply(now, ev)
}

func (m *testMachine) Cancel(id uint64) {
	m.cancelled = append(m.cancelled, id)
	m.Pipeline.Cancel(id)
}

func (m *testMachine) View(register.Ballot) []replacement.Machine { return m.peers }

func (m *testMachine) Write(w persist.Write)     { m.WriteCompleted(0, w.Number, nil) }
func (m *testMachine) Send(*register.Message)    {}
func (m *testMachine) Publish(persist.Committed) {}
func (m *testMachine) Complete(o register.Outcome) {
	m.record("completed %d", o.ID)
	m.reconciler.Complete(o)
}

func (m *testMachine) SendLease(l lease.Message) { m.record("lease message %d to %s", l.Kind, l.To) }
func (m *testMachine) ReplacementProposed(c replacement.Change) {
	m.record("replaces %v by %v", c.Lost, c.Successors)
}
func (m *testMachine) HandoverProposed(c replacement.Change) {
	m.record("hands over to %v", c.Successors)
}
func (m *testMachine) RepairCompleted(n int, _ time.Duration) { m.record("repaired: %d members", n) }
func (m *testMachine) Depart(reason error, replicated bool) {
	m.reason = reason
	m.record("departs, replicated %v", replicated)
}

func (m *testMachine) record(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf(format, args...))
}

func (m *testMachine) logIndex(prefix string) int {
	return slices.IndexFunc(m.log, func(line string) bool { return strings.HasPrefix(line, prefix) })
}

func newTestMachine(members ...string) *testMachine {
	m := &testMachine{}
	replica := register.New("a", members, true, nil, 1)
	m.Pipeline = persistence.New(replica, replica.State(), m)
	nextID := func() uint64 { m.lastID++; return m.lastID }
	m.reconciler = New(Config{Self: "a", Zone: "z", Timeouts: timeouts, Tolerance: 1, Seed: 1}, m, m, m, nextID)
	return m
}

// run advances the time in steps of 10 ms.
func (m *testMachine) run(from, until time.Duration) {
	for now := from; now < until; now += 10 * ms {
		if now >= m.reconciler.NextTick() {
			m.reconciler.Tick(now)
		}
		m.Pipeline.Tick(now)
	}
}

func standby(addr string, now time.Duration) replacement.Machine {
	return replacement.Machine{Addr: addr, Zone: "y", LastContact: now, Connected: true, Voter: true}
}

// A machine without a quorum, and so without the lease, replaces no member, even if all others seem lost.
func TestNothingIsReplacedWithoutTheLease(t *testing.T) {
	m := newTestMachine("a", "b", "c")
	m.peers = []replacement.Machine{{Addr: "b"}, {Addr: "c"}, standby("d", 9*time.Second)}
	m.run(0, 10*time.Second)
	if m.logIndex("replaces") >= 0 || m.reconciler.LeaseHeld(10*time.Second) {
		t.Errorf("%v", m.log)
	}
	if m.logIndex("lease message") < 0 {
		t.Error("the machine does not request the lease")
	}
}

// A machine whose lease has expired replaces no member.
func TestNothingIsReplacedAfterTheLease(t *testing.T) {
	m := newTestMachine("a")
	m.run(0, 4*time.Second)
	m.Apply(4*time.Second, register.ChangeMembers{ID: 1 << 40, Members: []string{"a", "b"}})
	m.run(4*time.Second, 10*time.Second)
	if m.reconciler.LeaseHeld(10 * time.Second) {
		t.Fatal("the lease has not expired")
	}
	m.peers = []replacement.Machine{{Addr: "b"}, standby("d", 10*time.Second)}
	if m.reconciler.Tick(10 * time.Second); m.logIndex("replaces") >= 0 {
		t.Errorf("%v", m.log)
	}
}

// A machine whose disk fails does not request the lease, so that another machine reconciles, and ticks again within CheckInterval.
func TestMachineWithFailingDiskDoesNothing(t *testing.T) {
	m := newTestMachine("a", "b", "c")
	m.diskFailing = true
	m.peers = []replacement.Machine{{Addr: "b"}, {Addr: "c"}, standby("d", 0)}
	m.run(0, 10*time.Second)
	if len(m.log) > 0 {
		t.Errorf("%v", m.log)
	}
	if next := m.reconciler.NextTick(); next < 10*time.Second || next > 10*time.Second+timeouts.CheckInterval {
		t.Errorf("the next tick is at %v", next)
	}
	if s := m.reconciler.Status(0); !s.DiskFailing || s.Draining {
		t.Errorf("status %+v", s)
	}
}

// The lease holder replaces a lost member by a standby machine. A later proposal cancels the previous one.
func TestLostMemberIsReplaced(t *testing.T) {
	m := newTestMachine("a")
	m.run(0, 4*time.Second)
	m.Apply(4*time.Second, register.ChangeMembers{ID: 1 << 40, Members: []string{"a", "b"}})
	if got := m.Replica().Members(); !slices.Equal(got, []string{"a", "b"}) {
		t.Fatalf("members %v", got)
	}
	if FullyReplicated(m.reconciler.Group(4 * time.Second)) {
		t.Error("fully replicated although b is not known")
	}
	m.peers = []replacement.Machine{{Addr: "b"}, standby("d", 4*time.Second)}
	if !m.reconciler.LeaseHeld(4 * time.Second) {
		t.Fatal("the lease is not held")
	}
	m.reconciler.Tick(4 * time.Second)
	if m.logIndex("replaces [b] by [d]") < 0 {
		t.Fatalf("%v", m.log)
	}
	if len(m.cancelled) > 0 {
		t.Errorf("cancelled %v", m.cancelled)
	}
	if c := m.change; !slices.Equal(c.ExpectedMembers, []string{"a", "b"}) || !slices.Equal(c.Members, []string{"a", "d"}) {
		t.Errorf("proposed %+v", c)
	}
	first := m.lastID
	m.reconciler.propose(5*time.Second, replacement.Change{ExpectedMembers: []string{"a", "b"}, Members: []string{"a", "e"}})
	if !slices.Equal(m.cancelled, []uint64{first}) {
		t.Errorf("after another proposal: want %d cancelled, got %v", first, m.cancelled)
	}
}

// The completion of a repair is reported once, when the members are those of the change and all have the committed value.
func TestRepairCompleted(t *testing.T) {
	m := newTestMachine("a")
	m.run(0, 4*time.Second)
	r := m.reconciler
	r.change, r.proposedAt, r.repairing = replacement.Change{Members: []string{"a"}}, 4*time.Second, true
	m.run(4*time.Second, 5*time.Second)
	if first := m.logIndex("repaired: 1 members"); first < 0 || slices.Contains(m.log[first+1:], m.log[first]) {
		t.Errorf("%v", m.log)
	}
	m.log = nil
	r.change, r.repairing = replacement.Change{Members: []string{"a", "b"}}, true
	m.run(5*time.Second, 6*time.Second)
	if m.logIndex("repaired") >= 0 {
		t.Errorf("reported although the members are not those of the change: %v", m.log)
	}
}

// The members are fully replicated if no change is in progress and all are known to have the committed value.
func TestFullyReplicated(t *testing.T) {
	a, b := replacement.Machine{Addr: "a", CaughtUp: true}, replacement.Machine{Addr: "b", CaughtUp: true}
	behind := replacement.Machine{Addr: "b"}
	members := []string{"a", "b"}
	for _, c := range []struct {
		name  string
		group replacement.Group
		want  bool
	}{
		{"all have it", replacement.Group{Members: members, Machines: []replacement.Machine{a, b}}, true},
		{"one is behind", replacement.Group{Members: members, Machines: []replacement.Machine{a, behind}}, false},
		{"one is not known", replacement.Group{Members: members, Machines: []replacement.Machine{a}}, false},
		{"a standby is behind", replacement.Group{Members: []string{"a"}, Machines: []replacement.Machine{a, behind}}, true},
		{"a change is in progress", replacement.Group{Members: members, PriorMembers: members, Machines: []replacement.Machine{a, b}}, false},
		{"no members are known", replacement.Group{Machines: []replacement.Machine{a, b}}, false},
	} {
		if got := FullyReplicated(c.group); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A departing machine releases the lease at once, and departs within DepartureTimeout even if it can't hand its membership over.
func TestDepartureReleasesTheLeaseAndEndsInTime(t *testing.T) {
	const began = 4 * time.Second
	for _, c := range []struct {
		name        string
		members     []string
		peers       []replacement.Machine
		diskFailing bool
		reason      error
		log         []string // in this order
	}{
		{"not a member", []string{"b"}, nil, false, replacement.ErrDepartureTimeout, []string{"departs, replicated false"}},
		{"the only member, without a standby", []string{"a"}, nil, false, replacement.ErrDepartureTimeout,
			[]string{"departs, replicated false"}},
		{
			"with a standby", []string{"a"}, []replacement.Machine{standby("d", began+time.Second)}, false, replacement.ErrDepartureTimeout,
			[]string{"hands over to [d]", "departs, replicated false"},
		},
		{
			"a disk that fails", []string{"a"}, []replacement.Machine{standby("d", began+time.Second)}, true, replacement.ErrDepartureTimeout,
			[]string{"hands over to [d]", "departs, replicated false"},
		},
	} {
		m := newTestMachine(c.members...)
		m.run(0, began)
		m.diskFailing, m.peers, m.log = c.diskFailing, c.peers, nil
		m.reconciler.BeginDeparture(began)
		if m.reconciler.LeaseHeld(began) || !m.reconciler.Status(began).Draining {
			t.Errorf("%s: the lease is still held, or the status does not report draining", c.name)
		}
		m.run(began, began+timeouts.DepartureTimeout+time.Second)
		last := -1
		for _, want := range c.log {
			next := m.logIndex(want)
			if next <= last {
				t.Errorf("%s: %q does not come in order in %v", c.name, want, m.log)
			}
			last = next
		}
		if !errors.Is(m.reason, c.reason) {
			t.Errorf("%s: departure reason %v, want %v", c.name, m.reason, c.reason)
		}
		if n := strings.Count(strings.Join(m.log, "\n"), "departs"); n != 1 {
			t.Errorf("%s: departs %d times", c.name, n)
		}
	}
}

// The departure continues when its own replication has completed, and not on the outcome of another operation.
func TestDepartureWaitsForItsOwnReplication(t *testing.T) {
	m := newTestMachine("b")
	m.reconciler.BeginDeparture(0)
	m.reconciler.Complete(register.Outcome{ID: 0})
	m.reconciler.Tick(0) // proposes the replication
	m.reconciler.Complete(register.Outcome{ID: m.lastID + 1})
	m.reconciler.Tick(100 * ms)
	if m.logIndex("departs") >= 0 {
		t.Fatalf("departs on the outcome of another operation: %v", m.log)
	}
	m.reconciler.Complete(register.Outcome{ID: m.lastID})
	m.reconciler.Tick(200 * ms)
	if m.logIndex("departs, replicated true") < 0 || m.reason != nil {
		t.Errorf("%v %v", m.log, m.reason)
	}
}
