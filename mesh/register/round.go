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

// phaseNames are the phases as logs name them.
var phaseNames = [...]string{idle: "no round", reading: "reading", preparing: "preparing", accepting: "accepting"}

// round is the state of a proposer's present round.
type round struct {
	number   uint64 // replies carry it, and count only in the round, or the phase, that it belongs to
	phase    phase
	started  time.Duration
	deadline time.Duration // when the phase's requests are sent again, or it ends; when idle: no round begins before it
	endsAt   time.Duration // when the phase is abandoned
	ballot   Ballot        // of Prepare and Accept

	requested []string         // machines that the phase's request was sent to
	replies   map[string]reply // of the phase, by voter

	highestAccepted Ballot // of all replies of the round
	acceptedValue   Value  // the value that was accepted at it
	proposal        Value  // when accepting: the value that is proposed

	// answerable is the number of pending operations that the round can answer. Those that follow arrived too late for it: when the
	// read had begun, or when the proposal was sent.
	answerable int
	// awaitingStragglers is set when a quorum has replied to the read, and the replies of others may still make further phases unnecessary.
	awaitingStragglers bool
	// completesChange is set when the round ends a change of members: its proposal has no prior members.
	completesChange bool
}

// reply is what a voter replied in the present phase.
type reply struct {
	accepted         Ballot
	incarnation      uint32
	incarnations     map[string]uint32
	incarnationFloor uint32
}

// finish makes the round idle; the next one may begin at once.
func (rd *round) finish(now time.Duration) { rd.phase, rd.deadline = idle, now }

// nextPhase begins a phase that has no replies yet. Replies to earlier phases no longer count.
func (rd *round) nextPhase(p phase, resendAt, endsAt time.Duration) {
	rd.number++
	rd.phase, rd.deadline, rd.endsAt = p, resendAt, endsAt
	rd.requested, rd.replies = nil, map[string]reply{}
}

// takeValue takes over the value of a reply where it was accepted at a higher ballot, or the round has none yet.
func (rd *round) adoptNewerValue(m *Message) {
	newer := m.Accepted.Compare(rd.highestAccepted) > 0
	if m.Value != nil && (newer || len(rd.acceptedValue.Members) == 0) {
		rd.highestAccepted, rd.acceptedValue = m.Accepted, *m.Value
	}
}

// countReply counts the reply of a voter.
func (rd *round) countReply(m *Message) {
	rd.replies[m.From] = reply{
		accepted:         m.Accepted,
		incarnation:      m.Incarnation,
		incarnations:     m.Incarnations,
		incarnationFloor: m.IncarnationFloor,
	}
}

// validRepliers returns the machines whose replies no other reply contradicts: a machine with a later incarnation has lost the state
// that its reply was made from.
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

// holders returns the valid repliers that have the highest accepted value of the round on their disks.
func (rd *round) replicasOfValue() []string {
	return slices.DeleteFunc(rd.validRepliers(), func(machine string) bool {
		return rd.replies[machine].accepted != rd.highestAccepted
	})
}

// newMembersHold reports whether every member that a change adds has the highest accepted value of the round on its disk. Until then
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

// isQuorum reports whether machines include a majority of a value's members and, while a change of members is under way, one of the prior
// members.
func isQuorum(v *Value, machines []string) bool {
	return isMajority(v.Members, machines) && (len(v.PriorMembers) == 0 || isMajority(v.PriorMembers, machines))
}

// isQuorumWithout reports whether machines other than one of them are a quorum.
func isQuorumWithout(v *Value, machines []string, excluded string) bool {
	return isQuorum(v, slices.DeleteFunc(slices.Clone(machines), func(machine string) bool { return machine == excluded }))
}

// isMajority reports whether machines include more than half of the members; never of none.
func isMajority(members, machines []string) bool {
	return len(members) > 0 && countMembers(members, machines) > len(members)/2
}

// majoritySize returns the least number of members that are a majority of n.
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
