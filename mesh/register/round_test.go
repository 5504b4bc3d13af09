package register

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"firplank/mesh/timing"
)

// While a change of members is under way, a quorum needs a majority of both sets. An empty set of members has no majority.
func TestQuorum(t *testing.T) {
	stable := &Value{Members: []string{"a", "b", "c"}}
	changing := &Value{Members: []string{"a", "c", "d"}, PriorMembers: []string{"a", "b", "c"}}
	for _, c := range []struct {
		name     string
		value    *Value
		machines []string
		want     bool
	}{
		{"two of three", stable, []string{"a", "c"}, true},
		{"one of three", stable, []string{"b"}, false},
		{"two, one of them not a member", stable, []string{"a", "d"}, false},
		{"a majority of both", changing, []string{"a", "c"}, true},
		{"a majority of the members alone", changing, []string{"a", "d"}, false},
		{"a majority of the prior members alone", changing, []string{"a", "b"}, false},
		{"a majority of each, of different machines", changing, []string{"a", "b", "d"}, true},
		{"half of four", &Value{Members: []string{"a", "b", "c", "d"}}, []string{"a", "b"}, false},
		{"no members", &Value{}, []string{"a"}, false},
	} {
		if got := isQuorum(c.value, c.machines); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if isQuorumWithout(stable, []string{"a", "b"}, "a") || !isQuorumWithout(stable, []string{"a", "b", "c"}, "a") {
		t.Error("the excluded machine is counted, or another one is not")
	}
}

// A reply no longer counts once another reply contains a later incarnation of its sender.
func TestReplyFromSupersededIncarnationIsNotCounted(t *testing.T) {
	rd := round{replies: map[string]reply{
		"a": {accepted: Ballot{Number: 2}, incarnation: 1},
		"b": {accepted: Ballot{Number: 2}, incarnations: map[string]uint32{"a": 1}},
		"c": {accepted: Ballot{Number: 1}},
	}, highestAccepted: Ballot{Number: 2}}
	v := &Value{Members: []string{"a", "b", "c"}}
	if replicas := rd.replicasOfValue(); len(replicas) != 2 || !isQuorum(v, replicas) {
		t.Errorf("holders %v, want a and b", replicas)
	}
	rd.replies["c"] = reply{accepted: Ballot{Number: 1}, incarnations: map[string]uint32{"a": 2}}
	if valid := rd.validRepliers(); len(valid) != 2 || slices.Contains(valid, "a") {
		t.Errorf("valid repliers %v, want b and c", valid)
	}
	if replicas := rd.replicasOfValue(); !slices.Equal(replicas, []string{"b"}) {
		t.Errorf("holders %v, want b alone", replicas)
	}
}

// A change of members may end only once each new member has the value. Members that were also prior members may lack it.
func TestMemberChangeWaitsUntilNewMembersHaveValue(t *testing.T) {
	v := &Value{Members: []string{"a", "c", "d"}, PriorMembers: []string{"a", "b", "c"}}
	newer, older := Ballot{Number: 2}, Ballot{Number: 1}
	rd := round{highestAccepted: newer, replies: map[string]reply{"a": {accepted: newer}, "b": {accepted: newer}, "d": {accepted: older}}}
	if rd.newMembersHaveValue(v) {
		t.Error("the change may end although d has an older value")
	}
	rd.replies["d"] = reply{accepted: newer}
	if !rd.newMembersHaveValue(v) {
		t.Error("the change may not end although d has the value and c is not a new member")
	}
}

// Pending operations are applied in order: of two Puts of one version the first one applies, and a lower version is only recorded.
func TestOperationsApplyInOrder(t *testing.T) {
	x, y := ContentOf([]byte("x")), ContentOf([]byte("y"))
	r := &Replica{pending: []operation{
		Put{ID: 1, Version: 7, Content: x, Body: []byte("x")},
		Put{ID: 2, Version: 7, Content: y, Body: []byte("y")},
		Put{ID: 3, Version: 6, Content: y, Body: []byte("y")},
		ChangeMembers{ID: 4, Members: []string{"a", "c"}, ExpectedMembers: []string{"a", "d"}},
	}}
	v := r.applyPending(Value{Members: []string{"a", "b"}})
	if v.Version != 7 || string(v.Body) != "x" {
		t.Errorf("version %d is %q, want 7 and x", v.Version, v.Body)
	}
	if v.History.StateOf(7, x) != RecordedSame || v.History.StateOf(6, y) != RecordedSame || len(v.History.Records) != 2 {
		t.Errorf("records %v, want 7 with x and 6 with y", v.History.Records)
	}
	if !slices.Equal(v.Members, []string{"a", "b"}) || v.PriorMembers != nil {
		t.Errorf("members %v, prior %v: a change that expected other members took effect", v.Members, v.PriorMembers)
	}
	r.round.answerable = 1
	r.completePending(v, nil)
	if len(r.output.Outcomes) != 2 || r.output.Outcomes[0].ID != 1 || r.output.Outcomes[1].ID != 4 || len(r.pending) != 2 {
		t.Errorf("outcomes %v, want those of 1, and of 4, which is stale", r.output.Outcomes)
	}
	if r.Cancel(2); len(r.pending) != 1 || r.pending[0].id() != 3 {
		t.Errorf("pending %v, want 3 alone", r.pending)
	}
}

// A phase is not abandoned while replies may arrive. Its request is resent to machines that have not replied, at intervals that double, and
// a reply to the first request still counts.
func TestPhaseResendsRequestsUntilItTimesOut(t *testing.T) {
	durations := timing.Default().Register
	r := New("a", []string{"a", "b", "c"}, true, nil, 1)
	first := r.Handle(0, Tick{}).Messages
	var resentAt []time.Duration
	for now := time.Duration(0); now < durations.MaxPhaseTimeout; now = r.NextTick() {
		if out := r.Handle(now, Tick{}); len(out.Messages) > 0 {
			resentAt = append(resentAt, now)
		}
	}
	if len(resentAt) < 2 || resentAt[0] != durations.MinPhaseTimeout || resentAt[len(resentAt)-1]-resentAt[0] < 2*durations.MinPhaseTimeout {
		t.Fatalf("requests resent at %v", resentAt)
	}
	reply := Message{Kind: ReadReply, From: "b", To: "a", Round: first[0].Round, Voter: true}
	r.Handle(durations.MaxPhaseTimeout-time.Millisecond, MessageReceived{reply})
	if _, _, committed := r.Committed(); !committed {
		t.Error("a late reply to the first request does not complete the round")
	}
}

// The requests of a phase are resent at once over a new connection, as earlier ones may be lost.
func TestNewConnectionTriggersResend(t *testing.T) {
	r := New("a", []string{"a", "b", "c"}, true, nil, 1)
	reply := Message{Kind: ReadReply, From: "b", To: "a", Round: r.Handle(0, Tick{}).Messages[0].Round, Voter: true}
	r.Handle(time.Millisecond, MessageReceived{reply})
	r.Handle(time.Second, Tick{}) // an idle read, whose requests are lost
	if out := r.Handle(time.Second+time.Millisecond, PeerConnected{}); len(out.Messages) != 2 || out.Messages[0].Kind != Read {
		t.Errorf("%+v", out.Messages)
	}
}

// The backoff grows with consecutive rejections, to at most MinBackoff + MaxPhaseTimeout, until a round completes.
func TestBackoffGrowsWithRejections(t *testing.T) {
	policy := newRetryPolicy(rand.New(rand.NewPCG(1, 2)))
	longestBackoff := func() (longest time.Duration) {
		for range 200 {
			policyCopy := policy
			longest = max(longest, policyCopy.recordRejection(0))
		}
		return longest
	}
	afterOne := longestBackoff()
	for range 3 {
		policy.recordRejection(0)
	}
	if afterFour := longestBackoff(); afterFour < 5*afterOne || afterFour > policy.durations.MinBackoff+policy.durations.MaxPhaseTimeout {
		t.Errorf("backoff up to %v after four rejections, up to %v after one", afterFour, afterOne)
	}
	if afterSlowRound := policy.recordRejection(time.Second); afterSlowRound > policy.durations.MinBackoff+policy.durations.MaxPhaseTimeout {
		t.Errorf("backoff of %v after a slow round", afterSlowRound)
	}
	if policy.resetRejections(); longestBackoff() > policy.durations.MinBackoff+policy.durations.BackoffJitter {
		t.Error("a completed round does not reset the backoff")
	}
}
