package persistence

import (
	"slices"
	"testing"

	"firplank/internal/invariant"
	"firplank/mesh/configversion"
	"firplank/mesh/persist"
	"firplank/mesh/register"
)

// newCheckedPipeline returns a pipeline with a state on disk, and the invariants that it reports as violated.
func newCheckedPipeline(onDisk register.State) (*Pipeline, *[]invariant.Name) {
	var violations []invariant.Name
	p := New(register.New("a", []string{"a"}, true, nil, 1), onDisk, nil)
	p.SetInvariants(invariant.Func(func(name invariant.Name, _ ...any) { violations = append(violations, name) }))
	return p, &violations
}

func ballot(n uint64) register.Ballot { return register.Ballot{Number: n, Proposer: "a"} }

// The state on which a voter's reply rests has to be on disk: the promise, the acceptance, and the value that was accepted before.
func TestRepliesBeforeTheirStateIsOnDiskAreReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		reply    register.Message
		reported bool
	}{
		{"a promise that is on disk", register.Message{Kind: register.Promise, Promised: ballot(5), Accepted: ballot(3), Voter: true}, false},
		{"a promise that is not on disk", register.Message{Kind: register.Promise, Promised: ballot(6), Voter: true}, true},
		{"a value that is not on disk", register.Message{Kind: register.ReadReply, Promised: ballot(5), Accepted: ballot(4), Voter: true}, true},
		{"an acceptance that is not on disk", register.Message{Kind: register.Accepted, Ballot: ballot(6), Voter: true}, true},
		{"an acceptance that is on disk", register.Message{Kind: register.Accepted, Ballot: ballot(5), Voter: true}, false},
		{"a reply of a machine that is no voter", register.Message{Kind: register.Promise, Promised: ballot(9)}, false},
		{"a request", register.Message{Kind: register.Prepare, Ballot: ballot(9), Voter: true}, false},
	} {
		p, got := newCheckedPipeline(register.State{Voter: true, Promised: ballot(5), Accepted: ballot(3)})
		p.checkSent(&c.reply)
		if reported := slices.Equal(*got, []invariant.Name{invariant.SyncedBeforeSent}); reported != c.reported || !reported && len(*got) > 0 {
			t.Errorf("%s: %v", c.name, *got)
		}
	}
}

// The state on disk may only be replaced by one with the same or higher ballots, and a voter stays a voter.
func TestOlderStatesOnDiskAreReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		next     register.State
		reported bool
	}{
		{"newer", register.State{Voter: true, Promised: ballot(6), Accepted: ballot(6)}, false},
		{"the same", register.State{Voter: true, Promised: ballot(5), Accepted: ballot(3)}, false},
		{"with a lower promise", register.State{Voter: true, Promised: ballot(4), Accepted: ballot(3)}, true},
		{"with a lower acceptance", register.State{Voter: true, Promised: ballot(5), Accepted: ballot(2)}, true},
		{"no longer a voter", register.State{Promised: ballot(5), Accepted: ballot(3)}, true},
	} {
		p, got := newCheckedPipeline(register.State{Voter: true, Promised: ballot(5), Accepted: ballot(3)})
		p.checkWritten(&c.next)
		if reported := slices.Equal(*got, []invariant.Name{invariant.DiskMonotonic}); reported != c.reported || !reported && len(*got) > 0 {
			t.Errorf("%s: %v", c.name, *got)
		}
	}
}

// A committed value has members, and is not followed by an older version or by another text of the same version.
func TestCommittedValueInvariantsAreReported(t *testing.T) {
	value := func(version configversion.Version, body string) persist.Committed {
		return persist.Committed{Known: true, Value: register.Value{Version: version, Body: []byte(body), Members: []string{"a"}}}
	}
	memberless := value(8, "text")
	memberless.Value.Members = nil
	for _, c := range []struct {
		name string
		next persist.Committed
		want []invariant.Name
	}{
		{"newer", value(8, "other"), nil},
		{"the same", value(7, "text"), nil},
		{"older", value(6, "text"), []invariant.Name{invariant.CommittedMonotonic}},
		{"another text of the version", value(7, "other"), []invariant.Name{invariant.OneContentPerVersion}},
		{"without members", memberless, []invariant.Name{invariant.MembersKnown}},
		{"not known", persist.Committed{}, nil},
	} {
		p, got := newCheckedPipeline(register.State{Voter: true})
		p.committed = value(7, "text")
		p.checkCommitted(&c.next)
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, *got, c.want)
		}
	}
}
