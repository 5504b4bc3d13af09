package register

import (
	"slices"
	"testing"
	"time"
)

// A machine whose disk was emptied adopts the highest promise of the machines that it reads from, as it may have promised that ballot
// itself before. Its incarnation is above all that they have stored.
func TestRejoinAdoptsHighestPromiseAndNewIncarnation(t *testing.T) {
	members := []string{"a", "b", "c"}
	r := New("a", members, false, nil, 1)
	promised, accepted := Ballot{Number: 9, Proposer: "c"}, Ballot{Number: 7, Proposer: "b"}
	value := &Value{Version: 3, Members: members}
	now := time.Duration(0)
	output := r.Handle(now, Tick{})
	for len(output.Messages) > 0 && !r.State().Voter {
		var sent []Message
		for _, request := range output.Messages {
			replyKind := map[Kind]Kind{Read: ReadReply, Rejoin: RejoinReply}[request.Kind]
			if replyKind == 0 {
				t.Fatalf("the rejoining machine sent %+v", request)
			}
			now += time.Millisecond
			sent = append(sent, r.Handle(now, MessageReceived{Message{
				Kind: replyKind, From: request.To, To: "a", Round: request.Round, Voter: true,
				Promised: promised, Accepted: accepted, Value: value, Incarnations: map[string]uint32{"a": 4},
			}}).Messages...)
		}
		output.Messages = sent
	}
	state := r.State()
	if !state.Voter || state.Promised != promised || state.Accepted != accepted || state.Value.Version != 3 || state.Incarnation != 5 {
		t.Fatalf("state %+v", state)
	}
	lower := Message{Kind: Prepare, From: "b", To: "a", Ballot: Ballot{Number: 8, Proposer: "b"}}
	replies := r.Handle(now, MessageReceived{lower}).Messages
	if !slices.ContainsFunc(replies, func(m Message) bool { return m.Kind == Nack }) {
		t.Errorf("reply to a ballot below the promised one: %+v, want a Nack", replies)
	}
}
