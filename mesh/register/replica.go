package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"firplank/mesh/timing"
)

const (
	// maxPendingOperations limits the pending operations. Further ones are dropped without an Outcome, and end at the caller's deadline.
	maxPendingOperations = 256

	// unknownTime stands for the time of something that has not happened yet.
	unknownTime = time.Duration(-1)
	// randomStream is the second half of the seed of a replica's random number generator.
	randomStream = 0x9e3779b97f4a7c15
)

// Replica is the register's replica on one control machine, acceptor and proposer. It is not safe for concurrent use.
type Replica struct {
	self   string
	random *rand.Rand
	retry  retryPolicy
	peers  []string // receive requests while no member is known, and commits

	// State of the call of Handle that is under way.
	now          time.Duration
	output       Output
	stateChanged bool

	state State // of the acceptor

	// State of the proposer.
	highestBallot     Ballot // of all messages that were sent or received
	pending           []operation
	round             round
	lastCommit        time.Duration // when the last round was completed
	lastQuorum        time.Duration // when a quorum last replied to a phase; unknownTime: never
	rejoinIncarnation uint32        // the incarnation that a rejoin announces; 0: not chosen yet

	// The newest value that is known to be on the disks of a quorum.
	committedBallot Ballot
	committedValue  Value
	committedAsOf   time.Duration // the value is at least as new as the one committed at this time; unknownTime: there is none
}

// New returns the replica of a control machine. The seeds are the initial members of the deployment. durable is the state that was read
// from disk, or nil if the disk is empty. In that case, firstStart may be true only if the whole deployment starts for the first time; the
// replica then votes without a rejoin. The random seed should differ between replicas and between starts.
func New(self string, seeds []string, firstStart bool, durable *State, randomSeed uint64) *Replica {
	r := &Replica{
		self:          self,
		random:        rand.New(rand.NewPCG(randomSeed, randomStream)),
		peers:         slices.Clone(seeds),
		committedAsOf: unknownTime,
		lastQuorum:    unknownTime,
	}
	r.retry = newRetryPolicy(r.random)
	r.round.number = r.random.Uint64()
	switch {
	case durable != nil:
		r.state = *durable
	case firstStart:
		r.state = State{Voter: true, Value: Value{Members: slices.Sorted(slices.Values(seeds))}}
	}
	r.highestBallot = r.state.Promised
	if r.state.Incarnations == nil {
		r.state.Incarnations = map[string]uint32{}
	}
	return r
}

// SetTiming replaces the durations of timing.Default.
func (r *Replica) SetTiming(t timing.Register) { r.retry.durations = t }

// State returns the acceptor's state, which may be newer than the one on disk.
func (r *Replica) State() State { return r.state }

// Committed returns the newest value that is known to be on the disks of a quorum. It is at least as new as the one that was committed at
// the time asOf, the start of the last round that this replica completed. ok is false if no round has completed yet.
func (r *Replica) Committed() (v Value, asOf time.Duration, ok bool) {
	return r.committedValue, r.committedAsOf, r.hasCommitted()
}

// LastQuorum returns when a quorum last replied to a phase of a round, or a negative time if that has not happened. It is later than the
// time that Committed returns, which is that of the round's start: on slow machines, a round may take longer than a quorum may be silent.
func (r *Replica) LastQuorum() time.Duration { return r.lastQuorum }

func (r *Replica) hasCommitted() bool { return r.committedAsOf >= 0 }

// CommittedBallot returns the ballot of the value that Committed returns.
func (r *Replica) CommittedBallot() Ballot { return r.committedBallot }

// Members returns the members of the newest value at this replica, committed or not.
func (r *Replica) Members() []string { return r.newestValue().Members }

// Membership returns the members of the newest value at this replica, committed or not, and, while a change of members is under way, the
// prior members.
func (r *Replica) Membership() (members, priorMembers []string) {
	v := r.newestValue()
	return v.Members, v.PriorMembers
}

// newestValue returns the newest value at this replica, committed or not.
func (r *Replica) newestValue() *Value {
	if r.committedBallot.Compare(r.state.Accepted) > 0 {
		return &r.committedValue
	}
	return &r.state.Value
}

// Handle applies an event at a time, which must not be before that of the last call. The Output is valid until the next call.
func (r *Replica) Handle(now time.Duration, event Event) Output {
	r.now, r.output, r.stateChanged = now, Output{}, false
	switch event := event.(type) {
	case MessageReceived:
		r.step(&event.Message)
	case PeersUpdated:
		r.peers = event.Peers
	case operation:
		if len(r.pending) < maxPendingOperations {
			r.pending = append(r.pending, event)
		}
	case PeerConnected:
		switch {
		case !r.hasCommitted() || !r.state.Voter:
			r.round.finish(now)
		case r.round.phase != idle && !r.round.awaitingStragglers:
			r.round.deadline = now // resend: requests to the machine may have been lost
		}
	case Tick:
	}
	r.advance()
	if r.stateChanged {
		state := r.state
		r.output.State = &state
	}
	return r.output
}

// NextTick returns the time at which the replica needs a Tick.
func (r *Replica) NextTick() time.Duration {
	if r.round.phase != idle || r.needsRound() {
		return r.round.deadline
	}
	return max(r.round.deadline, r.lastCommit+r.retry.durations.IdleReadInterval)
}

// needsRound reports whether there is a reason for a round other than the interval of idle reads.
func (r *Replica) needsRound() bool {
	return len(r.pending) > 0 || !r.hasCommitted() || !r.state.Voter
}

// advance ends a wait or a phase that has timed out, and begins a round if one is due.
func (r *Replica) advance() {
	if r.round.awaitingStragglers && r.round.phase == reading && r.now >= r.round.deadline {
		r.round.awaitingStragglers, r.round.deadline = false, r.now+r.retry.durations.MinPhaseTimeout
		r.evaluateRead()
	}
	switch {
	case r.round.phase == idle || r.now < r.round.deadline:
	case r.now >= r.round.endsAt:
		r.abandonRound()
	default:
		r.resend()
	}
	if r.round.phase != idle || r.now < r.round.deadline {
		return
	}
	if r.needsRound() || r.now >= r.lastCommit+r.retry.durations.IdleReadInterval {
		r.startRead()
	}
}

// abandonRound ends a round without a result. The next one begins after a backoff.
func (r *Replica) abandonRound() {
	r.round.phase = idle
	r.backOff()
}

// rejectRound ends a round that was rejected for a competing proposer's ballot. The next one begins after a backoff that grows with
// rejections, so that proposers do not abort each other's rounds forever.
func (r *Replica) rejectRound() {
	r.round.phase = idle
	r.round.deadline = r.now + r.retry.recordRejection(r.now-r.round.started)
}

// backOff delays the next round by a random time.
func (r *Replica) backOff() { r.round.deadline = r.now + r.retry.backoff() }

// Progress describes the state of the proposer for logs: the phase of the round, its duration, the number of replies and of pending
// operations, and how many consecutive rounds were rejected.
func (r *Replica) Progress(now time.Duration) string {
	if r.round.phase == idle {
		return fmt.Sprintf("%s, %d operations, %d rejections", phaseNames[idle], len(r.pending), r.retry.rejections)
	}
	return fmt.Sprintf("%s for %v, %d of %d replies, %d operations, %d rejections", phaseNames[r.round.phase],
		(now - r.round.started).Round(time.Millisecond), len(r.round.replies), len(r.round.requested), len(r.pending), r.retry.rejections)
}

// markStateChanged marks the acceptor's state as changed, so that the Output of the present call of Handle contains it.
func (r *Replica) markStateChanged() { r.stateChanged = true }

// send adds a message to the Output. A message to this replica itself is handled at once.
func (r *Replica) send(m Message) {
	m.From = r.self
	if m.To == r.self {
		r.step(&m)
		return
	}
	r.output.Messages = append(r.output.Messages, m)
}

// step handles a message. Messages for an earlier ballot or round only affect highestBallot.
func (r *Replica) step(m *Message) {
	for _, ballot := range []Ballot{m.Ballot, m.Promised, m.Accepted} {
		if ballot.Compare(r.highestBallot) > 0 {
			r.highestBallot = ballot
		}
	}
	switch m.Kind {
	case Prepare:
		r.handlePrepare(m)
	case Accept:
		r.handleAccept(m)
	case Read:
		r.reply(m, ReadReply)
	case Rejoin:
		r.recordIncarnation(m.From, m.Incarnation)
		r.reply(m, RejoinReply)
	case Commit:
		r.handleCommit(m)
	case Nack:
		if m.Round == r.round.number && (r.round.phase == preparing || r.round.phase == accepting) {
			r.rejectRound()
		}
	case Promise, ReadReply, RejoinReply, Accepted:
		if m.Round == r.round.number {
			r.handleReply(m)
		}
	}
}
