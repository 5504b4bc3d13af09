// Package lease implements a lease among the control machines: at most one of them holds it at a time, so that a task such as replacing
// lost members is done by one machine. It is a lease (Gray, Cheriton, 1989) that a majority grants, as in PaxosLease (Trencseni, Gazso,
// Reinhardt, 2012), without that algorithm's prepare phase: votes are given to requests directly, and split votes are resolved by turns.
//
// A candidate asks all members for votes. A vote binds its voter for timing.Lease.VoteDuration; a majority of votes grants the lease for
// timing.Lease.LeaseDuration from when they were requested, which is shorter. The holder renews it with further requests. A holder that
// loses contact with the majority stops acting, by its own clock, before any other machine can be granted the lease. Only the rates of
// clocks have to agree, not their times.
//
// The package decides only: the clock is an argument, messages go in and out, and nothing is stored. The lease avoids duplicate work;
// safety does not rest on it, as the register orders what its holder writes.
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
	VoteResponse                 // answers a request
	Release                      // the sender holds the lease no more, nor counts any vote for a request up to Number
)

// Message goes between the machines. It need not arrive, and may arrive late, twice or out of order.
type Message struct {
	Kind     Kind
	From, To string
	Number   uint64 // of the request; a response and a release carry that of the request they belong to
	Granted  bool   // of a VoteResponse
}

// Lease is one machine's part of the lease, as candidate and as voter. It is not safe for concurrent use.
type Lease struct {
	self      string
	durations timing.Lease
	members   []string
	nextTick  time.Duration

	// The candidate.
	released           bool   // for good: this machine requests no more votes
	requestNumber      uint64 // of the last request
	requestedAt        time.Duration
	voters             []string // for the last request; nil: none is under way
	responders         []string // members that have answered the last request, whichever way
	unansweredRequests int      // requests in a row that no majority answered in time
	heldUntil          time.Duration

	// The voter.
	votedFor    string // empty: nobody
	votedNumber uint64 // of the request that the vote was granted to
	voteExpires time.Duration
}

// New returns the lease, whose holder is unknown at first, of a machine that starts at the time now. Its requests are numbered above
// firstNumber, which must be higher than all numbers of its earlier starts: a vote for one of those requests binds nobody any more.
func New(self string, now time.Duration, firstNumber uint64, durations timing.Lease) *Lease {
	start := now + durations.StartupDelay
	return &Lease{self: self, durations: durations, requestNumber: firstNumber, voteExpires: start, nextTick: start}
}

// HeldAt reports whether this machine holds the lease at a time.
func (l *Lease) HeldAt(now time.Duration) bool { return now < l.heldUntil }

// Holder returns the machine that holds the lease to this machine's knowledge: itself, or the candidate that its vote is bound to; empty:
// none.
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

// NextTick returns the time at which Tick is due. After a Tick it is later than that Tick.
func (l *Lease) NextTick() time.Duration { return l.nextTick }

// Tick requests votes where that is due, and returns the messages to send.
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

// endSplitVote frees the vote that this machine gave itself in a request that no majority granted. Late votes for it do not count, and the
// candidates ask again one after the other.
func (l *Lease) abandonRequest(now time.Duration) {
	l.requestNumber++
	if len(l.responders) <= len(l.members)/2 {
		l.unansweredRequests++
	}
	l.votedFor, l.voteExpires, l.voters = "", now, nil
	l.nextTick = now + l.staggerDelay()
}

// voteTimeout returns how long to wait for votes. It doubles with each request that no majority answered: where replies take longer than
// expected, every one of them would come too late otherwise. A vote that was split has been answered.
func (l *Lease) voteTimeout() time.Duration {
	timeout := l.durations.VoteTimeout
	for range l.unansweredRequests {
		if timeout >= l.durations.MaxVoteTimeout {
			break
		}
		timeout *= 2
	}
	return min(timeout, l.durations.MaxVoteTimeout)
}

// turn returns how long this machine waits for its turn to request votes when the lease has become free.
func (l *Lease) staggerDelay() time.Duration {
	return l.durations.Stagger * time.Duration(1+slices.Index(l.members, l.self))
}

// requestVotes asks all members for a vote, to win the lease or to renew it.
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

// Release gives the lease up for good: this machine stops acting on it at once and requests no more votes. It returns the messages that
// free the voters, so that the next holder need not wait until their votes expire. It continues to vote for others.
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

// vote answers a request. It is granted if this machine's vote is free or bound to the same candidate already.
func (l *Lease) vote(now time.Duration, request Message) Message {
	granted := now >= l.voteExpires || l.votedFor == request.From
	if granted {
		l.votedFor, l.votedNumber, l.voteExpires = request.From, request.Number, now+l.durations.VoteDuration
	}
	return Message{Kind: VoteResponse, From: l.self, To: request.From, Number: request.Number, Granted: granted}
}

// countVote counts a vote for the last request; a majority grants or renews the lease.
func (l *Lease) countVote(m Message) {
	if m.Number != l.requestNumber || slices.Contains(l.responders, m.From) || !slices.Contains(l.members, m.From) {
		return
	}
	l.responders = append(l.responders, m.From)
	if len(l.responders) > len(l.members)/2 {
		l.unansweredRequests = 0
	}
	if !m.Granted {
		return
	}
	l.voters = append(l.voters, m.From)
	if len(l.voters) > len(l.members)/2 {
		// Counted from the request on: no vote for it binds from an earlier time.
		l.heldUntil = max(l.heldUntil, l.requestedAt+l.durations.LeaseDuration)
	}
}

// freeVote ends this machine's vote for a candidate that released the lease, unless it belongs to a later request than the release.
func (l *Lease) freeVote(now time.Duration, m Message) {
	if l.votedFor != m.From || m.Number < l.votedNumber {
		return
	}
	l.votedFor, l.voteExpires = "", now
	l.nextTick = min(l.nextTick, now+l.staggerDelay())
}
