package register

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// However often machines rejoin and whatever was dropped, a new incarnation is above all earlier ones of its machine, and the number of
// stored incarnations is bounded.
func TestRejoinIncarnationExceedsEarlierOnes(t *testing.T) {
	for seed := range uint64(40) {
		g := newRejoiningGroup(rand.New(rand.NewPCG(seed, 1)))
		for range 400 {
			if err := g.rejoin(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
}

// testIncarnationLimit is the maximum number of stored incarnations of non-members in a rejoiningGroup.
const testIncarnationLimit = 4

// rejoiningGroup simulates the incarnations that voters store while members and spare machines rejoin.
type rejoiningGroup struct {
	random              *rand.Rand
	members             []string
	voters              []State
	highestIncarnations map[string]uint32 // of each machine
}

func newRejoiningGroup(random *rand.Rand) *rejoiningGroup {
	n := 3 + random.IntN(3)
	g := &rejoiningGroup{random: random, members: make([]string, n), voters: make([]State, n), highestIncarnations: map[string]uint32{}}
	for i := range g.voters {
		g.members[i], g.voters[i].Incarnations = fmt.Sprintf("member-%d", i), map[string]uint32{}
	}
	return g
}

// rejoin makes a random machine rejoin, as Replica.tryRejoin does.
func (g *rejoiningGroup) rejoin() error {
	n := len(g.voters)
	self, machine := -1, fmt.Sprintf("spare-%d", g.random.IntN(30))
	if g.random.IntN(3) == 0 {
		self = g.random.IntN(n)
		machine = g.members[self]
	}
	required := n - majoritySize(n) + 1
	if self < 0 { // not a member
		required = majoritySize(n)
	}
	var repliers []int
	for _, i := range g.random.Perm(n) {
		if i != self && len(repliers) < required {
			repliers = append(repliers, i)
		}
	}
	var incarnation uint32
	for _, i := range repliers {
		incarnation = max(incarnation, highestIncarnation(g.voters[i].Incarnations, g.voters[i].IncarnationFloor))
	}
	incarnation++
	if incarnation <= g.highestIncarnations[machine] {
		return fmt.Errorf("%s had incarnation %d and its new one is %d", machine, g.highestIncarnations[machine], incarnation)
	}
	g.highestIncarnations[machine] = incarnation
	for _, i := range repliers {
		v := &g.voters[i]
		v.Incarnations[machine] = max(v.Incarnations[machine], incarnation)
		g.prune(v)
		if len(v.Incarnations) > testIncarnationLimit+n {
			return fmt.Errorf("%d incarnations are stored", len(v.Incarnations))
		}
	}
	if self >= 0 {
		g.restoreFromReplies(self, repliers)
	}
	return nil
}

// restoreFromReplies gives a member whose disk was emptied the incarnations that the repliers have stored.
func (g *rejoiningGroup) restoreFromReplies(self int, repliers []int) {
	state := State{Incarnations: map[string]uint32{}}
	for _, i := range repliers {
		state.IncarnationFloor = max(state.IncarnationFloor, g.voters[i].IncarnationFloor)
		for other, incarnation := range g.voters[i].Incarnations {
			state.Incarnations[other] = max(state.Incarnations[other], incarnation)
		}
	}
	delete(state.Incarnations, g.members[self])
	g.prune(&state)
	g.voters[self] = state
}

func (g *rejoiningGroup) prune(s *State) {
	s.Incarnations, s.IncarnationFloor = pruneIncarnations(s.Incarnations, s.IncarnationFloor, g.members, testIncarnationLimit)
}

// The incarnations of members and prior members are never dropped. Of other machines, the oldest are dropped first.
func TestOldestNonMemberIncarnationsArePruned(t *testing.T) {
	r := New("a", []string{"a", "b"}, true, nil, 1)
	r.Handle(0, MessageReceived{Message{Kind: Rejoin, From: "b", To: "a", Incarnation: 1}})
	for i := range uint32(200) {
		r.Handle(0, MessageReceived{Message{Kind: Rejoin, From: fmt.Sprintf("spare-%d", i), To: "a", Incarnation: 2 + i}})
	}
	s := r.State()
	bounded := len(s.Incarnations) == maxNonMemberIncarnations+1 && s.IncarnationFloor == 201-maxNonMemberIncarnations
	if !bounded || s.Incarnations["b"] != 1 || s.Incarnations["spare-199"] != 201 {
		t.Errorf("%d incarnations, %d of b, floor %d", len(s.Incarnations), s.Incarnations["b"], s.IncarnationFloor)
	}
}
