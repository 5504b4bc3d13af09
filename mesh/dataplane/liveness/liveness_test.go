package liveness

import (
	"fmt"
	"testing"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/directory"
	"firplank/mesh/membership"
)

// A sidecar's own evidence must mark at most half of a service as lost. Otherwise a fault of the sidecar's own network
// would leave it without servers.
func TestOwnEvidenceMarksAtMostHalfOfAServiceLost(t *testing.T) {
	for _, c := range []struct{ lost, want int }{{0, 0}, {1, 1}, {2, 2}, {3, 0}, {4, 0}} {
		m := New("self", 1)
		var names []string
		var entries []directory.Entry
		for i := range 4 {
			names = append(names, fmt.Sprint("n", i))
			entries = append(entries, directory.Entry{Node: names[i], Service: "one"})
		}
		m.detector.SetMembers(0, append(names, "witness"))
		for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
			probes, _ := m.detector.Tick(now)
			for _, probe := range probes {
				if probe.Kind == membership.Ping && (probe.To == "witness" || probe.To >= fmt.Sprint("n", c.lost)) {
					m.detector.Handle(now, membership.Message{Kind: membership.Ack, From: probe.To, To: "self", SeqNo: probe.SeqNo})
				}
			}
		}
		got := 0
		for _, e := range m.MarkLost(entries) {
			if e.Lost {
				got++
			}
		}
		if got != c.want {
			t.Errorf("%d of 4 lost: %d marked, want %d", c.lost, got, c.want)
		}
	}
}

// fixture is a monitor with a directory of itself, a peer and a witness. Only the witness answers probes.
type fixture struct {
	*Monitor
	directory     *directory.Directory
	answersProbes map[string]bool
	reports       int
	changes       int
}

func newFixture() *fixture {
	f := &fixture{Monitor: New("self", 1), directory: directory.New(), answersProbes: map[string]bool{"witness": true}}
	for _, node := range []string{"self", "peer", "witness"} {
		f.directory.Merge(directory.Entry{Node: node, Incarnation: 1, Sequence: 1, Addr: node + ":1", Service: node}, 0)
	}
	return f
}

// run calls Tick every 50 ms and answers probes.
func (f *fixture) run(from, to time.Duration) {
	for now := from; now < to; now += 50 * time.Millisecond {
		r := f.Tick(now, f.directory)
		for _, m := range r.Probes {
			if m.Kind == membership.Ping && f.answersProbes[m.To] {
				answer := f.Handle(now, membership.Message{Kind: membership.Ack, From: m.To, To: "self", SeqNo: m.SeqNo})
				r.EvidenceChanged = r.EvidenceChanged || answer.EvidenceChanged
			}
		}
		if r.ReportDue {
			f.reports++
		}
		if r.EvidenceChanged {
			f.changes++
		}
	}
}

func (f *fixture) unreachable(now time.Duration) (nodes []string) {
	for _, e := range f.Unreachable(now, f.directory) {
		nodes = append(nodes, e.Node)
	}
	return nodes
}

// A sidecar that the detector considers lost must be reported as lost until the directory has it as lost too.
func TestLostSidecarIsReported(t *testing.T) {
	f := newFixture()
	f.run(0, 30*time.Second)
	if got := f.unreachable(30 * time.Second); fmt.Sprint(got) != "[peer]" || f.reports == 0 || f.changes == 0 {
		t.Errorf("unreachable %v, %d reports, %d changes", got, f.reports, f.changes)
	}
	for _, e := range f.Unreachable(0, f.directory) {
		if d, _ := codec.EntryFromWire(e, 0); !d.Lost {
			t.Error("a lost sidecar is reported as alive")
		}
	}
	e, _ := f.directory.Get("peer")
	e.Lost, e.Sequence = true, 2
	f.directory.ApplyUpdate(e, 30*time.Second)
	if got := f.unreachable(30 * time.Second); len(got) != 0 {
		t.Errorf("reports %v, which the directory has as lost", got)
	}
}

// A sidecar that responds to requests must not be considered lost, even if all probes of it are lost.
func TestSidecarThatAnswersRequestsIsNotLost(t *testing.T) {
	f := newFixture()
	for now := time.Duration(0); now < 30*time.Second; now += 200 * time.Millisecond {
		f.RecordReachable("peer:1")
		f.run(now, now+200*time.Millisecond)
	}
	if got := f.unreachable(30 * time.Second); len(got) != 0 || f.reports != 0 {
		t.Errorf("reports %v, %d times", got, f.reports)
	}
	f.run(30*time.Second, 60*time.Second)
	if got := f.unreachable(60 * time.Second); len(got) != 1 {
		t.Errorf("an old response still counts: %v", got)
	}
	before := f.changes
	f.RecordReachable("peer:1")
	f.run(60*time.Second, 60*time.Second+50*time.Millisecond)
	if got := f.unreachable(60 * time.Second); len(got) != 0 || f.changes == before {
		t.Errorf("still unreachable after a response: %v", got)
	}
}

// A sidecar that the directory has as lost must not be probed.
func TestLostSidecarIsNotProbed(t *testing.T) {
	f := newFixture()
	e, _ := f.directory.Get("peer")
	e.Lost, e.Sequence = true, 2
	f.directory.ApplyUpdate(e, 0)
	for now := time.Duration(0); now < 5*time.Second; now += 50 * time.Millisecond {
		for _, m := range f.Tick(now, f.directory).Probes {
			if m.To == "peer" {
				t.Fatalf("%v: sends %+v", now, m)
			}
		}
	}
}
