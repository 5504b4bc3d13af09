package register

import (
	"slices"
)

// tryRejoin makes a replica whose disk is empty a voter, once enough others have replied to its reads. Two reads are needed. The first
// collects the incarnations that the others have stored, and the new incarnation is chosen above all of them. The second, with Rejoin
// messages, makes the others store the new incarnation, and the replica adopts the highest ballot and the accepted value of their replies.
func (r *Replica) tryRejoin() {
	v := &r.round.acceptedValue
	if len(v.Members) == 0 || !r.hasRejoinQuorum(v.Members) || len(v.PriorMembers) > 0 && !r.hasRejoinQuorum(v.PriorMembers) {
		return
	}
	if r.rejoinIncarnation == 0 {
		r.rejoinIncarnation = r.nextIncarnation()
		r.startRead()
		return
	}
	r.state = State{
		Promised:     r.highestBallot,
		Accepted:     r.round.highestAccepted,
		Value:        *v,
		Incarnations: map[string]uint32{},
		Incarnation:  r.rejoinIncarnation,
		Voter:        true,
	}
	r.mergeIncarnations()
	r.pruneIncarnations()
	r.rejoinIncarnation = 0
	r.markStateChanged()
	r.round.finish(r.now)
}

// mergeIncarnations adopts the other machines' incarnations from the round's replies.
func (r *Replica) mergeIncarnations() {
	for _, re := range r.round.replies {
		r.state.IncarnationFloor = max(r.state.IncarnationFloor, re.incarnationFloor)
		for machine, incarnation := range re.incarnations {
			if machine != r.self {
				r.state.Incarnations[machine] = max(r.state.Incarnations[machine], incarnation)
			}
		}
	}
}

// hasRejoinQuorum reports whether so many other members have replied that each majority that this machine was part of includes one of them:
// n - q + 1, where q is the size of a majority of n. A machine that is not a member was part of no majority, and needs a majority.
func (r *Replica) hasRejoinQuorum(members []string) bool {
	n := len(members)
	if !slices.Contains(members, r.self) {
		return countMembers(members, r.round.validRepliers()) >= majoritySize(n)
	}
	others := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == r.self })
	required := min(n-majoritySize(n)+1, len(others))
	return countMembers(others, r.round.validRepliers()) >= required
}

// nextIncarnation returns an incarnation above those of all machines in the round's replies.
func (r *Replica) nextIncarnation() uint32 {
	var highest uint32
	for _, re := range r.round.replies {
		highest = max(highest, highestIncarnation(re.incarnations, re.incarnationFloor))
	}
	return highest + 1
}
