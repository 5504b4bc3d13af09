package register

// handlePrepare promises to accept nothing below the proposer's ballot, unless a higher ballot was promised before.
func (r *Replica) handlePrepare(m *Message) {
	if !r.state.Voter {
		return
	}
	if m.Ballot.Compare(r.state.Promised) < 0 {
		r.reject(m)
		return
	}
	if m.Ballot != r.state.Promised {
		r.state.Promised = m.Ballot
		r.markStateChanged()
	}
	r.reply(m, Promise)
}

// handleAccept accepts the proposer's value, unless a higher ballot was promised before.
func (r *Replica) handleAccept(m *Message) {
	if !r.state.Voter || m.Value == nil {
		return
	}
	if m.Ballot.Compare(r.state.Promised) < 0 {
		r.reject(m)
		return
	}
	if m.Ballot != r.state.Accepted { // otherwise the request was resent, and its value is stored before this reply is sent
		r.state.Promised, r.state.Accepted, r.state.Value = m.Ballot, m.Ballot, *m.Value
		r.markStateChanged()
	}
	r.send(Message{
		Kind:             Accepted,
		To:               m.From,
		Round:            m.Round,
		Ballot:           m.Ballot,
		Incarnations:     r.state.Incarnations,
		IncarnationFloor: r.state.IncarnationFloor,
		Incarnation:      r.state.Incarnation,
		Voter:            true,
	})
}

// handleCommit records that a quorum has accepted a value. The value is in the message, or is the one that the acceptor has accepted.
func (r *Replica) handleCommit(m *Message) {
	switch {
	case m.Ballot.Compare(r.committedBallot) <= 0: // known, or older
	case m.Value != nil:
		r.committedBallot, r.committedValue = m.Ballot, *m.Value
		r.adoptCommitted()
	case m.Ballot == r.state.Accepted:
		r.committedBallot, r.committedValue = m.Ballot, r.state.Value
	}
}

// adoptCommitted stores a value that is known to be committed if the acceptor has an older one. A voter may do so whatever ballot it has
// promised: the value is already on the disks of a quorum, so that every round at the promised ballot finds it there as well.
func (r *Replica) adoptCommitted() {
	if !r.state.Voter || r.committedBallot.Compare(r.state.Accepted) <= 0 {
		return
	}
	r.state.Accepted, r.state.Value = r.committedBallot, r.committedValue
	if r.committedBallot.Compare(r.state.Promised) > 0 {
		r.state.Promised = r.committedBallot
	}
	r.markStateChanged()
}

// reply answers a request with the acceptor's state. The value is omitted if the requester already has it.
func (r *Replica) reply(request *Message, kind Kind) {
	m := Message{
		Kind:             kind,
		To:               request.From,
		Round:            request.Round,
		Promised:         r.state.Promised,
		Accepted:         r.state.Accepted,
		Incarnations:     r.state.Incarnations,
		IncarnationFloor: r.state.IncarnationFloor,
		Incarnation:      r.state.Incarnation,
		Voter:            r.state.Voter,
	}
	newer := r.state.Accepted.Compare(request.Accepted) > 0
	initialMembers := len(r.state.Value.Members) > 0 && request.Accepted == (Ballot{}) // set at a first start, without a ballot
	if newer || initialMembers {
		value := r.state.Value
		m.Value = &value
	}
	r.send(m)
}

// reject rejects a Prepare or an Accept below the promised ballot.
func (r *Replica) reject(request *Message) {
	r.send(Message{Kind: Nack, To: request.From, Round: request.Round, Promised: r.state.Promised})
}
