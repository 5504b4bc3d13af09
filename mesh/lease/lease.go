// Package lease implements a lease among the control machines. At most one of them holds it at a time, so that only one machine performs a
// task such as replacing lost members. The lease (Gray, Cheriton, 1989) is granted by a majority, as in PaxosLease (Trencseni, Gazso,
// Reinhardt, 2012), but without that algorithm's prepare phase: members vote on requests directly, and after a split vote the candidates
// retry one after the other, with staggered delays.
//
// A candidate asks all members for votes. A vote binds its voter for timing.Lease.VoteDuration; a majority of votes grants the lease for
// timing.Lease.LeaseDuration from when they were requested, which is shorter. The holder renews it with further requests. A holder that
// loses contact with the majority stops acting, by its own clock, before any other machine can be granted the lease. Only the rates of
// clocks have to agree, not their times.
//
// The package has no I/O and no clock: the time is an argument, messages are arguments and results, and nothing is stored. The lease only
// avoids duplicate work. Safety does not depend on it, because the register orders the holder's writes.
//
// Start reading at Lease.Tick and Lease.Handle.
package lease

import (
	"slices"
	"time"

	"firplank/mesh/timing"
)

// Kind is the kind of a Message.
type Kind uint8

// The kinds.
const (
	VoteRequest  Kind = iota + 1 // asks for a vote
	VoteResponse                 // response to a VoteRequest
	Release                      // the sender has given up the lease, and counts no vote for a request up to Number
)

// Message is a message between the machines. It may be lost, delayed, duplicated or reordered.
type Message struct {
	Kind     Kind
	From, To string
	Number   uint64 // number of the request, also in a response to it; in a release, that of the sender's last request
	Granted  bool   // of a VoteResponse
}

// Lease is the state of one machine, as candidate and as voter. It is not safe for concurrent use.
type Lease struct {
	self      string
	durations timing.Lease
	members   []string
	nextTick  time.Duration

	// State as a candidate.
	released         bool   // this machine has released the lease and requests no more votes
	requestNumber    uint64 // of the last request
	requestedAt      time.Duration
	voters           []string // members that have granted the last request; nil: no request is pending
	responders       []string // members that have responded to the last request, whether they granted it or not
	timedOutRequests int      // consecutive requests without responses of a majority in time
	heldUntil        time.Duration

	// State as a voter.
	votedFor    string // empty: no vote
	votedNumber uint64 // of the request that the vote was granted to
	voteExpires time.Duration
}

// New returns the lease of a machine that starts at the time now. The holder is unknown at first. The requests are numbered above
// firstNumber, which must be higher than all request numbers of the machine's earlier processes: votes for their requests must not count.
func New(self string, now time.Duration, firstNumber uint64, durations timing.Lease) *Lease {
	start := now + durations.StartupDelay
	return &Lease{self: self, durations: durations, requestNumber: firstNumber, voteExpires: start, nextTick: start}
}

// HeldAt reports whether this machine holds the lease at a time.
func (l *Lease) HeldAt(now time.Duration) bool { return now < l.heldUntil }

// Holder returns the machine that holds the lease to this machine's knowledge: this machine itself, the candidate that its vote is bound
// to, or an empty string for none.
func (l *Lease) Holder(now time.Duration) string {
	switch {
	case l.HeldAt(now):
		return l.self
	case l.votedFor != l.self && now < l.voteExpires:
		return l.votedFor
	}
	return ""
}

// SetMembers sets the machines whose votes count. The slice must not be changed afterwards.
func (l *Lease) SetMembers(members []string) { l.members = members }

// NextTick returns the time at which Tick is due. After a call of Tick it is later than the time of that call.
func (l *Lease) NextTick() time.Duration { return l.nextTick }

// Tick requests votes if that is due, and returns the messages to send.
func (l *Lease) Tick(now time.Duration) []Message {
	held := l.HeldAt(now)
	switch {
	case now < l.nextTick:
		return nil
	case l.released || !slices.Contains(l.members, l.self):
		l.nextTick = now + l.durations.VoteTimeout
		return nil
	case !held && l.votedFor != "" && l.votedFor != l.self && now < l.voteExpires:
		l.nextTick = l.voteExpires
		return nil
	case !held && l.votedFor == l.self && l.voters != nil:
		l.abandonRequest(now)
		return nil
	}
	return l.requestVotes(now)
}

// abandonRequest ends a request that no majority granted, and frees the vote that this machine gave itself in it. Late votes for the
// request do not count. The candidates retry one after the other, each after its staggerDelay.
func (l *Lease) abandonRequest(now time.Duration) {
	l.requestNumber++
	if len(l.responders) <= len(l.members)/2 {
		l.timedOutRequests++
	}
	l.votedFor, l.voteExpires, l.voters = "", now, nil
	l.nextTick = now + l.staggerDelay()
}

// voteTimeout returns how long to wait for votes. It doubles with each consecutive request without responses of a majority: where responses
// take longer than expected, they would otherwise always come too late. A split vote has been responded to and does not count.
func (l *Lease) voteTimeout() time.Duration {
	timeout := l.durations.VoteTimeout
	for range l.timedOutRequests {
		if timeout >= l.durations.MaxVoteTimeout {
			break
		}
		timeout *= 2
	}
	return min(timeout, l.durations.MaxVoteTimeout)
}

// staggerDelay returns how long this machine waits before it requests votes when the lease has become free. It differs among the members,
// so that they do not split the votes again.
func (l *Lease) staggerDelay() time.Duration {
	return l.durations.Stagger * time.Duration(1+slices.Index(l.members, l.self))
}

// requestVotes requests the votes of all members, to obtain the lease or to renew it.
func (l *Lease) requestVotes(now time.Duration) (requests []Message) {
	l.nextTick = now + l.voteTimeout()
	if l.HeldAt(now) {
		l.nextTick = now + l.durations.RenewInterval
	}
	l.requestNumber++
	l.requestedAt, l.voters, l.responders = now, []string{}, nil
	for _, member := range l.members {
		request := Message{Kind: VoteRequest, From: l.self, To: member, Number: l.requestNumber}
		if member == l.self {
			l.countVote(l.vote(now, request))
			continue
		}
		requests = append(requests, request)
	}
	return requests
}

// Release gives up the lease permanently: this machine does not hold it any more and requests no more votes, but continues to vote for
// others. It returns the messages that free the voters, so that the next holder does not have to wait until their votes expire.
func (l *Lease) Release(now time.Duration) (messages []Message) {
	l.released, l.heldUntil, l.voters = true, 0, nil
	for _, member := range l.members {
		release := Message{Kind: Release, From: l.self, To: member, Number: l.requestNumber}
		if member == l.self {
			l.freeVote(now, release)
			continue
		}
		messages = append(messages, release)
	}
	l.requestNumber++ // late votes do not count
	return messages
}

// Handle processes a message and returns the response, if there is one.
func (l *Lease) Handle(now time.Duration, m Message) (response Message, ok bool) {
	switch m.Kind {
	case VoteRequest:
		return l.vote(now, m), true
	case VoteResponse:
		l.countVote(m)
	case Release:
		l.freeVote(now, m)
	}
	return Message{}, false
}

// vote returns the response to a request. The vote is granted if this machine's vote is free or already bound to the same candidate.
func (l *Lease) vote(now time.Duration, request Message) Message {
	granted := now >= l.voteExpires || l.votedFor == request.From
	if granted {
		l.votedFor, l.votedNumber, l.voteExpires = request.From, request.Number, now+l.durations.VoteDuration
	}
	return Message{Kind: VoteResponse, From: l.self, To: request.From, Number: request.Number, Granted: granted}
}

// countVote processes a response to the last request. The votes of a majority grant or renew the lease.
func (l *Lease) countVote(m Message) {
	if m.Number != l.requestNumber || slices.Contains(l.responders, m.From) || !slices.Contains(l.members, m.From) {
		return
	}
	l.responders = append(l.responders, m.From)
	if len(l.responders) > len(l.members)/2 {
		l.timedOutRequests = 0
	}
	if !m.Granted {
		return
	}
	l.voters = append(l.voters, m.From)
	if len(l.voters) > len(l.members)/2 {
		// The duration counts from the request: no voter's VoteDuration begins earlier.
		l.heldUntil = max(l.heldUntil, l.requestedAt+l.durations.LeaseDuration)
	}
}

// freeVote frees this machine's vote for a candidate that has released the lease, unless the vote was for a later request than the release.
func (l *Lease) freeVote(now time.Duration, m Message) {
	if l.votedFor != m.From || m.Number < l.votedNumber {
		return
	}
	l.votedFor, l.voteExpires = "", now
	l.nextTick = min(l.nextTick, now+l.staggerDelay())
}
