package lasthop

import (
	"testing"
	"time"
)

// The guard finds a request that is handed over twice, and one for a server whose end was acknowledged, and nothing else.
func TestInvariantCheckerDetectsViolations(t *testing.T) {
	ic := NewInvariantChecker(2 * time.Second)
	if ic.RecordStart("a") || ic.RecordStart("b") || !ic.RecordStart("a") {
		t.Error("what is handed over twice is not told from what is once")
	}
	if ic.RecordNotStarted("b"); ic.RecordStart("b") {
		t.Error("what was withdrawn counts as handed over")
	}
	ic.RecordClosing(time.Second, "i-1")
	if ic.TimePastGrace(3*time.Second, "i-1") != 0 || ic.TimePastGrace(9*time.Second, "i-2") != 0 || ic.TimePastGrace(4*time.Second, "i-1") != time.Second {
		t.Error("a closing server is not told from one that may be sent something")
	}
}
