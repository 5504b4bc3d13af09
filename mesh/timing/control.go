package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Peers is the timing of connections between control machines. It serves the rule that control machines are in order again inTouchS after
// the last trouble among them (Settled).
type Peers struct {
	// DialTimeout bounds one attempt to connect: 300 to 600 ms, with inTouchS from 1.5 to 3 s.
	DialTimeout time.Duration
	// RedialInterval is the pause between two attempts: 120 ms.
	RedialInterval time.Duration
}

func newPeers(b *bootstrap.Bounds) Peers {
	return Peers{
		DialTimeout:    interpolation{minInTouch, fullInTouch, 300 * time.Millisecond, 600 * time.Millisecond}.at(b.InTouch),
		RedialInterval: 120 * time.Millisecond,
	}
}

// Operations is the timing of operators' calls. It serves ACKS: a change is acknowledged within receiptS.
type Operations struct {
	// Timeout is how long a call waits for its operation: half of receiptS, 2.5 s at most.
	Timeout time.Duration
	// MaxProgress is how long an operation may wait while a majority answers; beyond it invariant.OperationsProgress is violated: four
	// fifths of Timeout.
	MaxWait time.Duration
}

func newOperations(b *bootstrap.Bounds) Operations {
	const maxTimeout = 2500 * time.Millisecond
	timeout := min(maxTimeout, b.Receipt/2)
	return Operations{Timeout: timeout, MaxWait: timeout * 4 / 5}
}

// Register is the timing of the register's rounds. Phases adapt to what replies take: see register.Pace. It serves ACKS and RECOVER.
type Register struct {
	// MinPhase is the time-out of a phase while replies are quick: 350 ms, less where a change of members has to fit into syncS.
	MinPhaseTimeout time.Duration
	// MaxPhase is the longest that a time-out grows to: three tenths of receiptS, 1.5 s at most, and MinPhase at least.
	MaxPhaseTimeout time.Duration
	// MinBackoff and BackoffJitter are the fixed and the random part of the pause before a round that failed for the first time is begun
	// again. The random part grows with further failures, up to MaxPhase.
	MinBackoff, BackoffJitter time.Duration
	// IdleReadInterval is that of Dissemination.
	IdleReadInterval time.Duration
}

const (
	minBackoff    = 15 * time.Millisecond
	backoffJitter = 90 * time.Millisecond
)

func newRegister(b *bootstrap.Bounds, r *Replacement) Register {
	const phaseTimeoutLimit = 1500 * time.Millisecond
	return Register{
		MinPhaseTimeout:  r.PhaseTimeout,
		MaxPhaseTimeout:  max(r.PhaseTimeout, min(phaseTimeoutLimit, b.Receipt*3/10)),
		MinBackoff:       minBackoff,
		BackoffJitter:    backoffJitter,
		IdleReadInterval: newDissemination(b).IdleReadInterval,
	}
}

// Lease is how long each part of a lease takes. See NewLease.
type Lease struct {
	// VoteDuration is how long a vote binds the voter, and LeaseDuration how long the holder acts on the lease. Their difference allows for
	// the drift of clocks within that time.
	VoteDuration, LeaseDuration time.Duration
	// RenewInterval is the time between a holder's requests.
	RenewInterval time.Duration
	// VoteTimeout is how long a candidate waits for a majority at first. It grows with each vote in a row that came to nothing, up to
	// MaxVoteTimeout, so that replies which are slower than expected still count.
	VoteTimeout, MaxVoteTimeout time.Duration
	// Stagger is by how much later each member, in their order, requests votes when the lease has become free.
	Stagger time.Duration
	// StartupDelay is how long after its start a machine votes for nobody: it may have voted before the start.
	StartupDelay time.Duration
}

// DefaultVoteDuration is the vote duration where nobody states another.
const DefaultVoteDuration = 2 * time.Second

// minVoteTimeout leaves a round-trip of the Environment and its delays for the votes.
const minVoteTimeout = 100 * time.Millisecond

// NewLease derives the timing of a lease from the vote duration.
func NewLease(voteDuration time.Duration) Lease {
	leaseDuration := voteDuration * 3 / 4
	return Lease{
		VoteDuration:   voteDuration,
		LeaseDuration:  leaseDuration,
		RenewInterval:  voteDuration / 4,
		VoteTimeout:    max(voteDuration*3/20, min(minVoteTimeout, leaseDuration/2)),
		MaxVoteTimeout: leaseDuration / 2,
		Stagger:        voteDuration / 25,
		StartupDelay:   voteDuration,
	}
}

// MaxVacancy bounds how long nobody holds the lease after its holder was lost, where there are so many members, a majority of them is up,
// message delays are small compared with VoteTimeout, and at most one vote is split: the last votes expire, all candidates request votes at
// once, and then each in its turn.
func (l Lease) MaxVacancy(members int) time.Duration {
	return l.VoteDuration + 2*l.VoteTimeout + time.Duration(members)*l.Stagger
}
