package scale

import (
	"strings"
	"testing"
)

func targetShape() Shape {
	return Shape{
		Sidecars: 8400, Control: 18, Zones: 8, Members: 3, PackedBytes: 33276,
		ChangesPerS: 0.0845, RestartsPerS: 0.0307, RevisionsPerRestart: 8, Fanout: 5,
		CalledServices: 12, SubsetSize: 24, DeltaBytes: 600,
	}
}

func sumForRole(terms []Term, role string) (in, out float64) {
	for _, t := range terms {
		if t.Role == role {
			in, out = in+t.In, out+t.Out
		}
	}
	return in, out
}

// Guards against a term that counts bytes on one end of a link only: the bytes sent by one role have to equal the bytes
// received by the roles at the other end.
func TestBytesSentEqualBytesReceived(t *testing.T) {
	s := targetShape()
	terms := s.AsBuilt()
	relays := float64(s.Sidecars) / (s.Fanout + 1)
	of := func(role, part string) (in, out float64) {
		for _, term := range terms {
			if term.Role == role && strings.HasPrefix(term.Part, part) {
				in, out = in+term.In, out+term.Out
			}
		}
		return in, out
	}
	for _, part := range []string{"that all is fresh", "list of control machines", "configuration", "directory"} {
		leafIn, _ := of(Leaf, part)
		relayIn, relayOut := of(Relay, part)
		assertNear(t, part+" from relays", relayOut, s.Fanout*leafIn, 1e-9)
		_, controlOut := of(ControlMachine, part+", to relays")
		assertNear(t, part+" from control machines", controlOut*float64(s.Control), relayIn*relays, 1e-9)
	}
	_, up := of(Relay, "heartbeats")
	gets, _ := of(ControlMachine, "heartbeats")
	assertNear(t, "heartbeats", gets*float64(s.Control), up*relays, 1e-9)
	in, out := of(ControlMachine, "who lives")
	assertNear(t, "who lives", in, out, 1e-9)
}

func TestOnlyControlMachineLoadGrowsWithSidecarsAsBuilt(t *testing.T) {
	small, large := targetShape(), targetShape()
	small.Sidecars /= 2
	small.RestartsPerS /= 2
	for _, role := range []string{Leaf, Relay} {
		in, out := sumForRole(small.AsBuilt(), role)
		in2, out2 := sumForRole(large.AsBuilt(), role)
		if in2 > 1.05*in || out2 > 1.05*out { // 5 % for the changes of the directory
			t.Errorf("%s: in %.0f, out %.0f bytes per second with half the sidecars; in %.0f, out %.0f with all", role, in, out, in2, out2)
		}
	}
	in, _ := sumForRole(small.AsBuilt(), ControlMachine)
	in2, _ := sumForRole(large.AsBuilt(), ControlMachine)
	if in2 < 1.8*in {
		t.Errorf("a control machine receives %.0f bytes per second with half the sidecars, %.0f with all; want 1.8 times as many", in, in2)
	}
}

func TestPlannedSidecarLoadStaysWithinBudget(t *testing.T) {
	const budget = 12000
	for _, role := range []string{Leaf, Relay} {
		if in, out := sumForRole(targetShape().Planned(), role); in+out > budget {
			t.Errorf("%s: %.0f bytes per second, over the budget", role, in+out)
		}
	}
	if in, out := sumForRole(targetShape().AsBuilt(), Relay); in+out < budget {
		t.Errorf("relay as built: %.0f bytes per second, within the budget, unlike docs/measurements/capacity-by-parts.md", in+out)
	}
	small, large := targetShape(), targetShape()
	large.Sidecars, large.RestartsPerS = 2*large.Sidecars, 2*large.RestartsPerS
	in, out := sumForRole(small.Planned(), Leaf)
	in2, out2 := sumForRole(large.Planned(), Leaf)
	assertNear(t, "bytes received by a sidecar with twice as many sidecars", in2, in, 1e-9)
	assertNear(t, "bytes sent by a sidecar with twice as many sidecars", out2, out, 1e-9)
}

func TestSampledFrameSizesArePlausible(t *testing.T) {
	u := sampleFrameSizes()
	for name, v := range map[string]float64{
		"news": u.update, "beat": u.heartbeat, "report": u.report, "hello": u.hello, "alive": u.alive,
		"whole": u.entry, "machine": u.machine, "read": u.read,
		"read reply": u.readReply,
	} {
		if v < 20 || v > 400 {
			t.Errorf("%s: %v bytes", name, v)
		}
	}
	if u.entry <= u.alive {
		t.Errorf("a full entry has %v bytes, a liveness entry %v", u.entry, u.alive)
	}
}
