package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/mesh/codec"
	"firplank/mesh/register"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const s = time.Second

func addrs(all []*Peer[string]) (out []string) {
	for _, p := range all {
		out = append(out, p.Addr)
	}
	return out
}

// Record asks for one connection for each other machine, up to MaxPeers, and older information does not replace newer.
func TestRecord(t *testing.T) {
	table := New[string]("a", "z1")
	for _, c := range []struct {
		name, addr, zone string
		seen             time.Duration
		added            bool
		wantZone         string
		wantSeen         time.Duration
	}{
		{"itself", "a", "z1", s, false, "", 0},
		{"no address", "", "z1", s, false, "", 0},
		{"only an address", "b", "", 0, true, "", 0},
		{"seen", "b", "z2", 5 * s, false, "z2", 5 * s},
		{"seen earlier, as reported by another", "b", "", 3 * s, false, "z2", 5 * s},
		{"another", "c", "z3", s, true, "z3", s},
	} {
		if added := table.Record(c.addr, c.zone, c.seen); added != c.added {
			t.Errorf("%s: added is %v", c.name, added)
		}
		if p := table.Get(c.addr); p != nil && (p.Zone != c.wantZone || p.LastSeen != c.wantSeen) {
			t.Errorf("%s: %+v", c.name, p)
		}
	}
	if got := addrs(table.All()); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("peers %v", got)
	}
	for n := range 2 * MaxPeers {
		table.Record(fmt.Sprintf("x%03d", n), "", s)
	}
	if n := len(table.All()); n != MaxPeers || table.Get("x100") != nil {
		t.Errorf("%d peers", n)
	}
	if table.Record("b", "", 9*s); table.Get("b").LastSeen != 9*s {
		t.Error("a full table does not update its peers")
	}
}

// Known lists the machines that were seen recently and the members, most recently seen first.
func TestKnown(t *testing.T) {
	table := New[string]("a", "z1")
	table.Record("long ago", "", s)
	table.Record("recent", "z2", 35*s)
	table.Record("most recent", "", 39*s)
	table.Record("never", "", 0)
	table.Record("silent member", "", 2*s)
	table.Record("unseen member", "", 0)
	var got []string
	for _, m := range table.Known(40*s, []string{"a", "silent member", "unseen member"}) {
		got = append(got, m.Addr)
	}
	if want := []string{"a", "most recent", "recent", "silent member", "unseen member"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if got, want := table.Seen(), []string{"long ago", "most recent", "recent", "silent member"}; !slices.Equal(got, want) {
		t.Errorf("seen %v, want %v", got, want)
	}
}

// A connection is silent if the peer was not seen for longer than the time-out, counted from when the connection was made at the earliest.
func TestSilent(t *testing.T) {
	for _, c := range []struct {
		name                  string
		lastSeen, connectedAt time.Duration // below 0: not connected
		want                  bool
	}{
		{"seen recently", 9 * s, s, false},
		{"connected recently", s, 9 * s, false},
		{"at the time-out", 8 * s, s, false},
		{"silent", 8*s - 1, s, true},
		{"not connected", s, -1, false},
	} {
		table := New[string]("a", "")
		table.Record("b", "", c.lastSeen)
		if c.connectedAt >= 0 {
			table.SetConn("b", "conn", c.connectedAt)
		}
		if silent := len(table.Silent(10*s, 2*s)) == 1; silent != c.want {
			t.Errorf("%s: %v", c.name, silent)
		}
	}
}

// Over a new connection the directory is sent from the beginning, so the revision is reset.
func TestNewConnectionResetsTheRevision(t *testing.T) {
	table := New[string]("a", "")
	table.Record("b", "", s)
	p := table.Get("b")
	table.SetConn("b", "one", s)
	p.Revision = 7
	if table.SetConn("b", "", 2*s); p.Connected() || p.Revision != 0 {
		t.Errorf("after the connection was lost: %+v", p)
	}
}

// The view contains what each peer reported as its status, and whether it has the committed value.
func TestView(t *testing.T) {
	table := New[string]("a", "")
	table.Record("b", "z", s)
	table.SetConn("b", "conn", s)
	table.Get("b").Status = codec.NodeStatus{Voter: true, Accepted: register.Ballot{Number: 7, Proposer: "b"}}
	table.Record("c", "", 0)
	table.Get("c").Status = codec.NodeStatus{Draining: true, DiskFailing: true}
	for number, caughtUp := range map[uint64]bool{6: true, 7: true, 8: false} {
		view := table.View(register.Ballot{Number: number, Proposer: "b"})
		b, c := view[0], view[1]
		if b.Addr != "b" || b.Zone != "z" || b.LastContact != s || !b.Connected || !b.Voter || b.Draining || b.DiskFailed ||
			b.CaughtUp != caughtUp {
			t.Errorf("committed %d: %+v", number, b)
		}
		if c.Addr != "c" || c.LastContact != 0 || c.Connected || c.Voter || !c.Draining || !c.DiskFailed || c.CaughtUp {
			t.Errorf("committed %d: %+v", number, c)
		}
	}
}

// Guards against a slow connection that is replaced forever, each time before its first message, because that takes longer than the
// allowed silence. The allowed silence grows with each silent connection.
func TestSlowConnectionIsNotReplacedForever(t *testing.T) {
	table := New[string]("a", "")
	table.Record("b", "", 0)
	const timeout, slow = time.Second, 3 * time.Second
	made := time.Duration(0)
	table.SetConn("b", "conn", made)
	for now := made; now < time.Minute; now += 100 * time.Millisecond {
		if now >= made+slow {
			return // the first message arrives in time
		}
		if len(table.Silent(now, timeout)) > 0 {
			made = now
			table.SetConn("b", "conn", made)
		}
	}
	t.Error("within a minute every connection was replaced before its first message")
}
