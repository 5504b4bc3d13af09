package operations

import (
	"maps"
	"slices"
	"time"

	"firplank/internal/invariant"
	"firplank/mesh/register"
)

// SetInvariants sets the reporter of violated invariants; without it they are ignored.
func (t *Table) SetInvariants(reporter invariant.Reporter) { t.invariants = reporter }

// checkProgress reports, once each, the operations that have waited for an outcome for longer than timing.Operations.MaxWait although
// a quorum replies.
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

// checkResult checks the invariants of a successful result before it is returned: the committed value records an acknowledged write, and
// a read returns at least the highest version acknowledged here.
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
