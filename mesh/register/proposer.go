package register

import (
	"slices"
	"time"
)

// stragglerWaitDivisor determines how long a read waits for more replies than those of a quorum: timing.Register.MinPhaseTimeout divided by
// it.
const stragglerWaitDivisor = 4

// startRead begins a round by requesting the accepted values of the members.
func (r *Replica) startRead() {
	r.round.started = r.now
	r.beginPhase(reading)
	r.round.answerable = len(r.pending)
	r.round.awaitingStragglers, r.round.completesChange = false, false
	r.round.highestAccepted, r.round.acceptedValue = r.state.Accepted, r.state.Value
	if r.committedBallot.Compare(r.round.highestAccepted) > 0 {
		r.round.highestAccepted, r.round.acceptedValue = r.committedBallot, r.committedValue
	}
	r.sendRequests()
}

// beginPhase begins a phase of the round.
func (r *Replica) beginPhase(p phase) {
	resendAt, endsAt := r.retry.startPhase(r.now)
	r.round.nextPhase(p, resendAt, endsAt)
}

// resend sends the phase's request again to the machines that have not replied, as the request or the reply may be lost.
func (r *Replica) resend() {
	r.round.deadline = min(r.retry.nextResend(r.now), r.round.endsAt)
	for _, machine := range slices.Clone(r.round.requested) {
		if _, replied := r.round.replies[machine]; replied || machine == r.self {
			continue
		}
		if r.round.phase == accepting {
			r.sendAccept(machine)
		} else {
			r.send(r.request(machine))
		}
	}
}

// recipients returns the machines that a round with a value sends its requests to: the value's members and prior members, or the peers if
// it has no members.
func (r *Replica) recipients(v *Value) []string {
	machines := slices.Concat(v.Members, v.PriorMembers)
	if len(machines) == 0 {
		machines = slices.Clone(r.peers)
	}
	return sortedSet(machines)
}

// sortedSet sorts names in place and removes duplicates.
func sortedSet(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// sendRequests sends the request of the reading or the preparing phase to the recipients that it was not sent to before. Replies with newer
// members add recipients.
func (r *Replica) sendRequests() {
	for _, machine := range r.recipients(&r.round.acceptedValue) {
		if r.round.phase != reading && r.round.phase != preparing { // this replica's own reply may have ended the phase
			return
		}
		if !slices.Contains(r.round.requested, machine) {
			r.round.requested = append(r.round.requested, machine)
			r.send(r.request(machine))
		}
	}
}

// request returns the request of the reading or the preparing phase to a machine.
func (r *Replica) request(to string) Message {
	m := Message{To: to, Round: r.round.number, Ballot: r.round.ballot, Accepted: r.round.highestAccepted}
	switch {
	case r.round.phase == preparing:
		m.Kind = Prepare
	case r.rejoinIncarnation > 0:
		m.Kind, m.Incarnation = Rejoin, r.rejoinIncarnation
	default:
		m.Kind = Read
	}
	return m
}

// expectedReply returns the kind of the replies to the present phase's request, or 0 if none is expected.
func (r *Replica) expectedReply() Kind {
	switch {
	case r.round.phase == reading && r.rejoinIncarnation > 0:
		return RejoinReply
	case r.round.phase == reading:
		return ReadReply
	case r.round.phase == preparing:
		return Promise
	case r.round.phase == accepting:
		return Accepted
	}
	return 0
}

// handleReply handles a reply in the present round, and continues with the next phase if the reply completes a quorum.
func (r *Replica) handleReply(m *Message) {
	if m.Kind != r.expectedReply() {
		return
	}
	r.round.adoptNewerValue(m)
	if !m.Voter {
		r.sendRequests() // to the members of the value, if it is newer
		return
	}
	r.round.countReply(m)
	phase := r.round.phase // sendRequests may change it, through this replica's reply to itself
	r.sendRequests()
	switch phase {
	case reading:
		if r.state.Voter {
			r.evaluateRead()
		} else {
			r.tryRejoin()
		}
	case preparing:
		r.evaluatePromises()
	case accepting:
		if r.round.hasQuorum(&r.round.acceptedValue) && r.round.hasQuorum(&r.round.proposal) {
			r.commitProposal()
		}
	}
}

// evaluateRead decides, once a quorum has replied, whether the read completes the round. If a quorum has the same value, that is the
// committed one, and no further phase is needed unless there is something to write.
func (r *Replica) evaluateRead() {
	v := &r.round.acceptedValue
	if !r.round.hasQuorum(v) {
		return
	}
	r.lastQuorum = r.now
	replicas := r.round.replicasOfValue()
	committed := isQuorum(v, replicas)
	changingMembers := len(v.PriorMembers) > 0
	r.round.completesChange = changingMembers && r.round.newMembersHaveValue(v)
	replicationIncomplete := r.replicationPending() && !isQuorumWithout(v, replicas, r.self)

	incomplete := !committed || changingMembers && !r.round.completesChange || replicationIncomplete
	if incomplete && r.mayAwaitStragglers(v) {
		r.round.awaitingStragglers, r.round.deadline = true, r.stragglerDeadline()
		return
	}
	// Writing the value again can only complete a replication if a quorum without this replica has replied.
	needsRewrite := replicationIncomplete && isQuorumWithout(v, r.round.validRepliers(), r.self)
	if !committed || r.needsProposal(v) || needsRewrite {
		r.startPrepare()
		return
	}
	r.finishRead(replicas)
}

// mayAwaitStragglers reports whether replies are missing and the time for waiting for them is not over. Machines that replied may have been
// late to receive what was committed, while the others already have it.
func (r *Replica) mayAwaitStragglers(v *Value) bool {
	return len(r.round.replies) < len(r.recipients(v)) && r.now < r.stragglerDeadline()
}

func (r *Replica) stragglerDeadline() time.Duration {
	return r.round.started + r.retry.stragglerWait()
}

// finishRead ends a round whose read found its value on the disks of a quorum, which are those of the given replicas. During a change of
// members, the value is sent to members that lack it.
func (r *Replica) finishRead(replicas []string) {
	v := r.round.acceptedValue
	for _, member := range v.Members {
		if len(v.PriorMembers) > 0 && member != r.self && !slices.Contains(replicas, member) {
			r.send(Message{Kind: Commit, To: member, Ballot: r.round.highestAccepted, Value: &v})
		}
	}
	r.finishRound(r.round.highestAccepted, v, replicas)
	if slices.ContainsFunc(r.pending, operation.waitsForReplicas) {
		r.backOff()
	}
}

// needsProposal reports whether there is something to write: a change by a pending operation, or the end of a change of members.
func (r *Replica) needsProposal(v *Value) bool {
	if r.round.completesChange {
		return true
	}
	next := r.applyPending(*v)
	return !next.History.Equal(v.History) || !slices.Equal(next.Members, v.Members) || next.Rollouts.Revision != v.Rollouts.Revision
}

// startPrepare begins the second phase of a round by requesting promises for a ballot above all known ones.
func (r *Replica) startPrepare() {
	r.beginPhase(preparing)
	r.round.ballot = Ballot{Number: r.highestBallot.Number + 1, Proposer: r.self}
	r.highestBallot = r.round.ballot
	r.sendRequests()
}

// evaluatePromises begins the accepting phase once a quorum has promised.
func (r *Replica) evaluatePromises() {
	v := &r.round.acceptedValue
	if !r.round.hasQuorum(v) {
		return
	}
	r.lastQuorum = r.now
	r.round.completesChange = r.round.completesChange && len(v.PriorMembers) > 0
	if r.round.completesChange && !r.round.newMembersHaveValue(v) {
		if len(r.round.replies) < len(r.recipients(v)) {
			return // the promise of a member that the change adds may be late
		}
		r.round.completesChange = false
	}
	r.startAccept()
}

// startAccept begins the last phase of a round. It applies the pending operations to the value accepted at the highest ballot, and proposes
// the result to the members of both values.
func (r *Replica) startAccept() {
	v := &r.round.acceptedValue
	r.beginPhase(accepting)
	r.round.answerable = len(r.pending) // all were pending before the proposal
	if r.round.completesChange {
		r.round.proposal = *v
		r.round.proposal.PriorMembers = nil
	} else {
		r.round.proposal = r.applyPending(*v)
	}
	r.round.requested = sortedSet(append(r.recipients(v), r.recipients(&r.round.proposal)...))
	for _, machine := range r.round.requested {
		r.sendAccept(machine)
	}
}

// sendAccept sends the proposal to a machine.
func (r *Replica) sendAccept(machine string) {
	proposal := r.round.proposal
	r.send(Message{Kind: Accept, To: machine, Round: r.round.number, Ballot: r.round.ballot, Value: &proposal})
}

// commitProposal ends a round whose proposal a quorum has accepted, and announces the commit to members and peers.
func (r *Replica) commitProposal() {
	v, ballot := r.round.proposal, r.round.ballot
	for _, machine := range sortedSet(append(r.recipients(&v), r.peers...)) {
		if machine == r.self {
			continue
		}
		m := Message{Kind: Commit, To: machine, Ballot: ballot}
		if _, accepted := r.round.replies[machine]; !accepted {
			m.Value = &v
		}
		r.send(m)
	}
	r.finishRound(ballot, v, r.round.validRepliers())
}

// finishRound ends a round with a value that was committed when the round began, or later. The replicas have it on their disks.
func (r *Replica) finishRound(ballot Ballot, v Value, replicas []string) {
	r.round.finish(r.now)
	r.retry.resetRejections()
	r.lastCommit, r.lastQuorum = r.now, r.now
	if ballot.Compare(r.committedBallot) >= 0 {
		r.committedBallot, r.committedValue = ballot, v
		r.committedAsOf = max(r.committedAsOf, r.round.started)
		r.adoptCommitted()
	}
	r.completePending(v, replicas)
}
