package lasthop

import (
	"testing"
	"time"
)

// The guard finds a request that is handed over twice, and one for a server whose end was acknowledged, and nothing else.
func TestGuardFindsBrokenPromises(t *testing.T) {
	g := NewInvariantChecker(2 * time.Second)
	if g.RecordStart("a") || g.RecordStart("b") || !g.RecordStart("a") {
		t.Error("what is handed over twice is not told from what is once")
	}
	if g.RecordNotStarted("b"); g.RecordStart("b") {
		t.Error("what was withdrawn counts as handed over")
	}
	g.RecordClosing(time.Second, "i-1")
	if g.TimePastDrain(3*time.Second, "i-1") != 0 || g.TimePastDrain(9*time.Second, "i-2") != 0 || g.TimePastDrain(4*time.Second, "i-1") != time.Second {
		t.Error("a closing server is not told from one that may be sent something")
	}
}
