package dissemination

import (
	"testing"
	"time"

	"firplank/mesh/timing"
)

// durations are those of the deployments in production.
var durations = timing.Default().Dissemination

// Guards against a sidecar that stays with a parent without a majority: during a partition of the control plane, the heartbeats of such a
// parent kept the sidecar subscribed to it for 4 s.
func TestSidecarLeavesParentWithoutMajority(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		name                   string
		now, asOf, connectedAt time.Duration
		partialBytes           int64
		lastByteAt             time.Duration
		want                   bool
	}{
		{"fresh", 10 * s, 9 * s, 0, 0, 10 * s, false},
		{"heartbeats of a parent that is cut off", 10 * s, 8 * s, 0, 0, 10 * s, true},
		{"just connected", 10 * s, 5 * s, 9500 * time.Millisecond, 0, 0, false},
		{"a large frame arrives", 10 * s, 8 * s, 0, 40000, 9900 * time.Millisecond, false},
		{"a large frame has stopped arriving", 10 * s, 8 * s, 0, 40000, 8 * s, true},
		{"a large frame arrives for too long", 10 * s, 5 * s, 0, 40000, 10 * s, true},
	} {
		link := ParentLink{ConnectedAt: c.connectedAt, PartialBytes: c.partialBytes, LastByteAt: c.lastByteAt}
		if got := link.Stale(c.now, c.asOf, &durations); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A sidecar without a configuration leaves a parent that sends nothing within FirstUpdateTimeout.
func TestParentWithoutFirstUpdateIsLeftEarly(t *testing.T) {
	for _, c := range []struct {
		name string
		now  time.Duration
		link ParentLink
		want bool
	}{
		{"just connected", durations.FirstUpdateTimeout, ParentLink{}, false},
		{"nothing arrives", durations.FirstUpdateTimeout + 1, ParentLink{}, true},
		{"a frame arrives", time.Second, ParentLink{PartialBytes: 1, LastByteAt: 900 * time.Millisecond}, false},
		{"a frame has stopped arriving", time.Second, ParentLink{PartialBytes: 1, LastByteAt: 100 * time.Millisecond}, true},
		{"a frame arrives for too long", durations.MaxTransferAge + 1, ParentLink{PartialBytes: 1, LastByteAt: durations.MaxTransferAge}, true},
	} {
		if got := c.link.Stale(c.now, TimeUnknown, &durations); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
