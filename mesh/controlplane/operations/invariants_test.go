package operations

import (
	"slices"
	"testing"
	"time"

	"firplank/internal/invariant"
	"firplank/mesh/configversion"
	"firplank/mesh/register"
)

// newCheckedTable returns a table, its register, and the invariants that the table reports as violated.
func newCheckedTable() (*Table, *recordingReplica, *[]invariant.Name) {
	var violations []invariant.Name
	table, r := newTable()
	table.SetInvariants(invariant.Func(func(name invariant.Name, _ ...any) { violations = append(violations, name) }))
	return table, r, &violations
}

// A write may be acknowledged only if the committed value records it, and a read has to return at least what was acknowledged before.
func TestResultInvariantsAreReported(t *testing.T) {
	mine, other := register.ContentOf([]byte("mine")), register.ContentOf([]byte("other"))
	recorded := func(version configversion.Version, content register.Content) register.Value {
		return register.Value{Version: version, History: register.History{}.With(register.Record{Version: version, Content: content})}
	}
	for _, c := range []struct {
		name                string
		highestAcknowledged configversion.Version
		request             Request
		value               register.Value
		want                []invariant.Name
	}{
		{"recorded", 0, Write{Version: 7, Content: mine}, recorded(7, mine), nil},
		{"not recorded", 0, Write{Version: 7, Content: mine}, recorded(6, mine), []invariant.Name{invariant.AcknowledgedIsCommitted}},
		{"another content", 0, Write{Version: 7, Content: mine}, recorded(7, other), []invariant.Name{invariant.AcknowledgedIsCommitted}},
		{"a read of what was acknowledged", 7, Read{}, recorded(7, mine), nil},
		{"a read of something older", 8, Read{}, recorded(7, mine), []invariant.Name{invariant.ReadCoversAcknowledged}},
	} {
		table, _, got := newCheckedTable()
		table.highestAcknowledged = c.highestAcknowledged
		table.checkResult(c.request, Result{Outcome: register.Outcome{Value: c.value}})
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, *got, c.want)
		}
	}
}

// An operation that waits too long although a quorum replies is reported once. One that waits for sidecars, or waited without a quorum, is
// not reported.
func TestOperationsWithoutProgressAreReported(t *testing.T) {
	bound := durations.Operations.MaxWait
	for _, c := range []struct {
		name string
		run  func(table *Table, r *recordingReplica, id uint64)
		want []invariant.Name
	}{
		{"at the bound", func(table *Table, _ *recordingReplica, _ uint64) { table.FailPending(now + bound) }, nil},
		{"beyond the bound", func(table *Table, _ *recordingReplica, _ uint64) {
			table.FailPending(now + bound + 1)
			table.FailPending(now + 2*bound)
		}, []invariant.Name{invariant.OperationsProgress}},
		{"decided, and waiting for sidecars", func(table *Table, _ *recordingReplica, id uint64) {
			table.Complete(now, register.Outcome{ID: id, Result: register.Confirmed}, 6)
			table.FailPending(now + 2*bound)
		}, nil},
		{"without a quorum until recently", func(table *Table, r *recordingReplica, _ uint64) {
			r.health = Health{LastQuorum: -1}
			table.FailPending(now + bound - time.Millisecond)
			r.health = healthyAt(now + 3*bound)
			var got results
			table.Propose(now, Write{Version: 8}, &got)
			table.FailPending(now + bound + 1)
		}, nil},
	} {
		table, r, got := newCheckedTable()
		r.health = healthyAt(now + 3*bound)
		var answers results
		id := table.Propose(now, Write{Version: 7}, &answers)
		c.run(table, r, id)
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, *got, c.want)
		}
	}
}

// healthyAt returns the health of a machine whose last contact with a quorum was at a time.
func healthyAt(at time.Duration) Health { return Health{LastQuorum: at} }
