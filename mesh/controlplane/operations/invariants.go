package operations

import (
	"maps"
	"slices"
	"time"

	"firplank/internal/invariant"
	"firplank/mesh/register"
)

// SetInvariants sets who is notified of violated invariants; without it nobody is.
func (t *Table) SetInvariants(reporter invariant.Reporter) { t.invariants = reporter }

// checkProgress checks that operations do not wait for a quorum while one answers. It reports each operation once.
func (t *Table) checkProgress(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		op := t.pending[id]
		waited := now - max(op.requestedAt, t.servingSince)
		if op.decided || op.reportedStalled || waited <= t.durations.Operations.MaxWait {
			continue
		}
		op.reportedStalled = true
		t.invariants.Violated(invariant.OperationsProgress, "operation", id, "waited", waited, "for", t.register.Progress(now))
	}
}

// checkResult checks a result that its client is about to get as a success.
func (t *Table) checkResult(request Request, result Result) {
	if result.Err != nil {
		return
	}
	value := &result.Outcome.Value
	switch request := request.(type) {
	case Write:
		state := value.History.StateOf(request.Version, request.Content)
		if state != register.RecordedSame && state != register.BelowFloor || value.Version < request.Version {
			t.invariants.Violated(invariant.AcknowledgedIsCommitted, "version", request.Version, "content", request.Content,
				"committed", value.Version)
		}
		t.highestAcknowledged = max(t.highestAcknowledged, request.Version)
	case Read:
		if value.Version < t.highestAcknowledged {
			t.invariants.Violated(invariant.ReadCoversAcknowledged, "version", value.Version, "acknowledged", t.highestAcknowledged)
		}
	}
}
