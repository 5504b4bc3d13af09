package lease

import (
	"testing"
	"time"

	"firplank/mesh/timing"
)

// A holder's lease ends, by its own clock, before the votes that granted it expire. Neither late votes nor votes of machines that are no
// members prolong it.
func TestLeaseEndsBeforeItsVotes(t *testing.T) {
	durations := timing.NewLease(timing.DefaultVoteDuration)
	candidate, voter := New("a", 0, 0, durations), New("b", 0, 0, durations)
	members := []string{"a", "b", "c"}
	candidate.SetMembers(members)
	voter.SetMembers(members)
	now := durations.StartupDelay
	requests := candidate.Tick(now)
	response, ok := voter.Handle(now+time.Millisecond, requests[0])
	if !ok || !response.Granted || candidate.HeldAt(now) {
		t.Fatalf("response %+v to %+v", response, requests[0])
	}
	candidate.Handle(now+2*time.Millisecond, Message{Kind: VoteResponse, From: "d", To: "a", Number: response.Number, Granted: true})
	if candidate.HeldAt(now + 2*time.Millisecond) {
		t.Error("a vote of a machine that is not a member counts")
	}
	candidate.Handle(now+3*time.Millisecond, response)
	if end := now + durations.LeaseDuration; !candidate.HeldAt(end-1) || candidate.HeldAt(end) {
		t.Error("the lease does not end with its duration, counted from the request")
	}
	otherRequest := Message{Kind: VoteRequest, From: "c", To: "b", Number: 1}
	if denied, _ := voter.Handle(now+durations.LeaseDuration, otherRequest); denied.Granted {
		t.Error("the voter votes for another candidate before its vote expires")
	}
	if granted, _ := voter.Handle(now+time.Millisecond+durations.VoteDuration, otherRequest); !granted.Granted {
		t.Error("the vote binds the voter for longer than its duration")
	}
}
