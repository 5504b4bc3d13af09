package dissemination

import (
	"slices"
	"strings"
	"testing"
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/timing"
)

// Guards against becoming ready with a stale configuration: during a partition of the control plane, a sidecar that had just started
// accepted a configuration of any age from a machine without a quorum, because its AsOf was before the start of the sidecar's own clock.
func TestSidecarIsNotReadyWithStaleConfiguration(t *testing.T) {
	const s = time.Second
	machines := []ControlMachine{{Addr: "a"}, {Addr: "b"}}
	for _, c := range []struct {
		name      string
		now, asOf time.Duration
		version   configversion.Version
		failed    []string
		want      bool
	}{
		{"no configuration", 9 * s, TimeUnknown, 0, []string{"a", "b", "seed"}, false},
		{"fresh", 100 * time.Millisecond, -s, 7, nil, true},
		{"from before it started, and old", 100 * time.Millisecond, -8 * s, 7, nil, false},
		{"old, and not all have failed", 4 * s, -8 * s, 7, []string{"a", "b"}, false},
		{"old, and all have failed, but not for long enough", 2 * s, -8 * s, 7, []string{"a", "b", "seed"}, false},
		{"old, and all have failed", 3 * s, -8 * s, 7, []string{"a", "b", "seed"}, true},
		{"old, and not all were tried for very long", 9 * s, -8 * s, 7, nil, true},
	} {
		sub := NewSubscriber("n", "z", timing.DefaultInForce(3*s).Dissemination, 0)
		sub.Seeds = []string{"seed"}
		for _, addr := range c.failed {
			sub.RecordFailure(addr, s)
		}
		if got := sub.Ready(c.now, c.version, c.asOf, machines); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestSidecarTriesAllControlMachinesUntilReady(t *testing.T) {
	sub := NewSubscriber("n", "z", timing.DefaultInForce(3*time.Second).Dissemination, 0)
	sub.Seeds = []string{"a"}
	machines := []ControlMachine{{Addr: "a"}, {Addr: "b", Zone: "z"}, {Addr: "c"}}
	var tried []string
	for now := time.Duration(0); now < 3*time.Second; now += time.Second {
		addr, relay := sub.ChooseParent(now, now, []Member{{Node: "n"}, {Node: "m"}}, machines)
		if relay {
			t.Error("subscribes to a relay before it is ready")
		}
		if !sub.ShouldSwitch(now+time.Millisecond, now-5*time.Second, ParentLink{ConnectedAt: now, Received: true}) {
			t.Errorf("stays with %s, which has an old configuration", addr)
		}
		sub.RecordFailure(addr, now)
		tried = append(tried, addr)
	}
	if tried[0] != "b" {
		t.Errorf("tried %v, but b is in its zone and should come first", tried)
	}
	if slices.Sort(tried); !slices.Equal(tried, []string{"a", "b", "c"}) {
		t.Errorf("tried %v", tried)
	}
}

// A relay that failed is not retried within relayBackoff. After the first candidates have failed, a control machine is tried.
func TestFailedRelayIsNotRetriedDuringBackoff(t *testing.T) {
	const s = time.Second
	members := zoneMembers("z", 30)
	var leaf Member
	for _, l := range members {
		if len(ParentCandidates(l.Node, members)) > maxRelayCandidates {
			leaf = l
		}
	}
	candidates := ParentCandidates(leaf.Node, members)
	sub := NewSubscriber(leaf.Node, leaf.Zone, timing.DefaultInForce(3*s).Dissemination, 0)
	machines := []ControlMachine{{Addr: "core"}}
	if !sub.Ready(s, 1, s, machines) {
		t.Fatal("not ready with a fresh configuration")
	}
	expectParent := func(now time.Duration, want string) {
		t.Helper()
		if got, _ := sub.ChooseParent(now, now, members, machines); got != want {
			t.Errorf("%v: %s, want %s", now, got, want)
		}
	}
	expectParent(s, candidates[0].PeerAddr)
	sub.RecordFailure(candidates[0].PeerAddr, s)
	expectParent(2*s, candidates[1].PeerAddr)
	sub.RecordFailure(candidates[1].PeerAddr, 2*s)
	expectParent(3*s, "core")
	expectParent(s+relayBackoff+1, candidates[0].PeerAddr)
}

// A sidecar whose configuration has become stale goes to the control machines at once, and tries those seen lately first.
func TestStaleSidecarPrefersControlMachinesSeenLately(t *testing.T) {
	s, now := time.Second, 10*time.Second
	sub := NewSubscriber("n", "z", durations, 0)
	if !sub.Ready(0, 1, 0, nil) {
		t.Fatal("not ready with a fresh configuration at 0")
	}
	var members []Member
	for i := range 30 {
		members = append(members, Member{Node: "m" + string(rune('a'+i)), Zone: "z", PeerAddr: "relay:" + string(rune('a'+i))})
	}
	members = append(members, Member{Node: "n", Zone: "z", PeerAddr: "n:1"})
	machines := []ControlMachine{{"down:1", "z", now - 8*s}, {"up:1", "other", now - s}, {"up:2", "other", now - s}}
	if _, relay := sub.ChooseParent(now, now-s, members, machines); !relay {
		t.Error("does not choose a relay although its configuration is fresh")
	}
	for _, want := range []string{"up", "up", "down"} {
		addr, relay := sub.ChooseParent(now, now-2*s, members, machines)
		if relay || !strings.HasPrefix(addr, want) {
			t.Errorf("chooses %s, want a control machine that is %s", addr, want)
		}
		sub.RecordFailure(addr, now)
		now += time.Millisecond
	}
}
