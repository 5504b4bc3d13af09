package lasthop

import (
	"testing"
	"time"
)

// The guard finds a request that is handed over twice, and one for a server whose end was acknowledged, and nothing else.
func TestGuardFindsBrokenPromises(t *testing.T) {
	g := NewGuard(2 * time.Second)
	if g.Start("a") || g.Start("b") || !g.Start("a") {
		t.Error("what is handed over twice is not told from what is once")
	}
	if g.Withdraw("b"); g.Start("b") {
		t.Error("what was withdrawn counts as handed over")
	}
	g.Closing(time.Second, "i-1")
	if g.ClosedFor(3*time.Second, "i-1") != 0 || g.ClosedFor(9*time.Second, "i-2") != 0 || g.ClosedFor(4*time.Second, "i-1") != time.Second {
		t.Error("a closing server is not told from one that may be sent something")
	}
}
