package lasthop

import (
	"testing"
	"time"
)

// The checker must report a request that is started twice and one that is sent after the drain time, and nothing else.
func TestInvariantCheckerDetectsViolations(t *testing.T) {
	ic := NewInvariantChecker(2 * time.Second)
	if ic.RecordStart("a") || ic.RecordStart("b") || !ic.RecordStart("a") {
		t.Error("RecordStart does not report exactly the repeated start")
	}
	if ic.RecordNotStarted("b"); ic.RecordStart("b") {
		t.Error("a request that was not started counts as started")
	}
	ic.RecordClosing(time.Second, "i-1")
	if ic.TimePastDrain(3*time.Second, "i-1") != 0 || ic.TimePastDrain(9*time.Second, "i-2") != 0 ||
		ic.TimePastDrain(4*time.Second, "i-1") != time.Second {
		t.Error("wrong time past the drain time")
	}
}
