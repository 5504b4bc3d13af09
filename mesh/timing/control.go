package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Peers is the timing of connections between control machines. It implements the rule that control machines work again inTouchS after the
// last fault among them (Settled).
type Peers struct {
	// DialTimeout bounds one attempt to connect: 300 to 600 ms, with inTouchS from 1.5 to 3 s.
	DialTimeout time.Duration
	// RedialInterval is the pause between two attempts: 120 ms.
	RedialInterval time.Duration
}

func newPeers(b *bootstrap.Bounds) Peers {
	return Peers{
		DialTimeout:    interpolation{minInTouch, fullInTouch, 300 * time.Millisecond, 600 * time.Millisecond}.at(b.SettleTime),
		RedialInterval: 120 * time.Millisecond,
	}
}

// Operations is the timing of operators' calls. It implements the rule ACKS: a change is acknowledged within receiptS.
type Operations struct {
	// Timeout is how long a call waits for its operation: half of receiptS, 2.5 s at most.
	Timeout time.Duration
	// MaxWait is how long an operation may wait while a majority answers: four fifths of Timeout. If it waits longer,
	// invariant.OperationsProgress is violated.
	MaxWait time.Duration
}

func newOperations(b *bootstrap.Bounds) Operations {
	const maxTimeout = 2500 * time.Millisecond
	timeout := min(maxTimeout, b.AckTime/2)
	return Operations{Timeout: timeout, MaxWait: timeout * 4 / 5}
}

// Register is the timing of the register's rounds. The rules ACKS and RECOVER depend on it. The time-outs adapt to the times that replies
// take (type retryPolicy of package register).
type Register struct {
	// MinPhaseTimeout is the time-out of a phase while replies are fast: 350 ms, or less if a membership change has to fit into syncS.
	MinPhaseTimeout time.Duration
	// MaxPhaseTimeout is the maximum that the time-out grows to: three tenths of receiptS, at most 1.5 s and at least MinPhaseTimeout.
	MaxPhaseTimeout time.Duration
	// MinBackoff and BackoffJitter are the fixed and the random part of the delay before a round is retried after its first failure. The
	// random part grows with further failures, up to MaxPhaseTimeout.
	MinBackoff, BackoffJitter time.Duration
	// IdleReadInterval equals Dissemination.IdleReadInterval.
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
		MaxPhaseTimeout:  max(r.PhaseTimeout, min(phaseTimeoutLimit, b.AckTime*3/10)),
		MinBackoff:       minBackoff,
		BackoffJitter:    backoffJitter,
		IdleReadInterval: newDissemination(b).IdleReadInterval,
	}
}

// Lease is the timing of a lease. See NewLease.
type Lease struct {
	// VoteDuration is how long a vote binds the voter, and LeaseDuration how long the holder may act on the lease. The difference allows
	// for clock drift within that time.
	VoteDuration, LeaseDuration time.Duration
	// RenewInterval is the time between a holder's renewal requests.
	RenewInterval time.Duration
	// VoteTimeout is how long a candidate waits for a majority at first. The time-out grows with each failed vote in a row, up to
	// MaxVoteTimeout, so that replies that are slower than expected still count.
	VoteTimeout, MaxVoteTimeout time.Duration
	// Stagger is the additional delay of each further member, in their order, before it requests votes for a free lease.
	Stagger time.Duration
	// StartupDelay is how long after its start a machine casts no vote, as it may have voted before it restarted.
	StartupDelay time.Duration
}

// DefaultVoteDuration is the vote duration if no other one is configured.
const DefaultVoteDuration = 2 * time.Second

// minVoteTimeout allows for a round trip and the scheduling delay of the Environment.
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

// MaxVacancy returns the maximum time without a lease holder after the holder was lost, in a group of that many members. It holds if a
// majority of the members is up, message delays are small compared with VoteTimeout, and at most one vote is split: the last votes expire,
// all candidates request votes at once, and then each requests votes in turn.
func (l Lease) MaxVacancy(members int) time.Duration {
	return l.VoteDuration + 2*l.VoteTimeout + time.Duration(members)*l.Stagger
}
