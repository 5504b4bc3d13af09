package register

import (
	"slices"
	"time"
)

// phase is the phase of a round.
type phase uint8

const (
	idle phase = iota // no round is under way
	reading
	preparing
	accepting
)

// phaseNames are the names of the phases in logs.
var phaseNames = [...]string{idle: "no round", reading: "reading", preparing: "preparing", accepting: "accepting"}

// round is the state of a proposer's present round.
type round struct {
	number   uint64 // differs between rounds and phases; only replies with the present number count
	phase    phase
	started  time.Duration
	deadline time.Duration // when the phase's requests are resent, or the wait for stragglers ends; when idle: no round begins before it
	endsAt   time.Duration // when the phase is abandoned
	ballot   Ballot        // of Prepare and Accept

	requested []string         // machines that the present phase's request was sent to
	replies   map[string]reply // in the present phase, by voter

	highestAccepted Ballot // of all replies of the round
	acceptedValue   Value  // the value that was accepted at highestAccepted
	proposal        Value  // in the accepting phase: the proposed value

	// answerable is the number of pending operations that the round can complete. Later ones arrived after the read had begun, or after
	// the proposal was sent.
	answerable int
	// awaitingStragglers is set while a quorum has replied to the read, and replies of other machines may make further phases unnecessary.
	awaitingStragglers bool
	// completesChange is set if the round ends a change of members, that is, if its proposal has no prior members.
	completesChange bool
}

// reply is the reply of a voter in the present phase.
type reply struct {
	accepted         Ballot
	incarnation      uint32
	incarnations     map[string]uint32
	incarnationFloor uint32
}

// finish makes the round idle. The next one may begin at once.
func (rd *round) finish(now time.Duration) { rd.phase, rd.deadline = idle, now }

// nextPhase begins a phase, without replies. Replies to earlier phases no longer count.
func (rd *round) nextPhase(p phase, resendAt, endsAt time.Duration) {
	rd.number++
	rd.phase, rd.deadline, rd.endsAt = p, resendAt, endsAt
	rd.requested, rd.replies = nil, map[string]reply{}
}

// adoptNewerValue adopts the value of a reply if it was accepted at a higher ballot, or if the round has no value yet.
func (rd *round) adoptNewerValue(m *Message) {
	newer := m.Accepted.Compare(rd.highestAccepted) > 0
	if m.Value != nil && (newer || len(rd.acceptedValue.Members) == 0) {
		rd.highestAccepted, rd.acceptedValue = m.Accepted, *m.Value
	}
}

// countReply stores the reply of a voter, to be counted in quorums.
func (rd *round) countReply(m *Message) {
	rd.replies[m.From] = reply{
		accepted:         m.Accepted,
		incarnation:      m.Incarnation,
		incarnations:     m.Incarnations,
		incarnationFloor: m.IncarnationFloor,
	}
}

// validRepliers returns the machines that replied and whose later incarnation is in no other reply. A machine that has a later incarnation
// has lost the state that its reply describes.
func (rd *round) validRepliers() []string {
	var valid []string
	for machine, re := range rd.replies {
		if !rd.superseded(machine, re.incarnation) {
			valid = append(valid, machine)
		}
	}
	return valid
}

// superseded reports whether a reply contains a later incarnation of a machine.
func (rd *round) superseded(machine string, incarnation uint32) bool {
	for _, re := range rd.replies {
		if re.incarnations[machine] > incarnation {
			return true
		}
	}
	return false
}

// hasQuorum reports whether a quorum of a value's members has replied.
func (rd *round) hasQuorum(v *Value) bool { return isQuorum(v, rd.validRepliers()) }

// replicasOfValue returns the valid repliers that have the highest accepted value of the round on their disks.
func (rd *round) replicasOfValue() []string {
	return slices.DeleteFunc(rd.validRepliers(), func(machine string) bool {
		return rd.replies[machine].accepted != rd.highestAccepted
	})
}

// newMembersHaveValue reports whether every member that a change adds has the highest accepted value of the round on its disk. Until then,
// the prior members still count.
func (rd *round) newMembersHaveValue(v *Value) bool {
	replicas := rd.replicasOfValue()
	for _, member := range v.Members {
		if !slices.Contains(v.PriorMembers, member) && !slices.Contains(replicas, member) {
			return false
		}
	}
	return true
}

// isQuorum reports whether the machines include a majority of a value's members and, while a change of members is under way, a majority of
// the prior members.
func isQuorum(v *Value, machines []string) bool {
	return isMajority(v.Members, machines) && (len(v.PriorMembers) == 0 || isMajority(v.PriorMembers, machines))
}

// isQuorumWithout reports whether the machines without the excluded one are a quorum.
func isQuorumWithout(v *Value, machines []string, excluded string) bool {
	return isQuorum(v, slices.DeleteFunc(slices.Clone(machines), func(machine string) bool { return machine == excluded }))
}

// isMajority reports whether the machines include more than half of the members. It is false if there are no members.
func isMajority(members, machines []string) bool {
	return len(members) > 0 && countMembers(members, machines) > len(members)/2
}

// majoritySize returns the smallest number of members that is a majority of n.
func majoritySize(n int) int { return n/2 + 1 }

// countMembers returns how many of the members are among the machines.
func countMembers(members, machines []string) (n int) {
	for _, member := range members {
		if slices.Contains(machines, member) {
			n++
		}
	}
	return n
}
