package timing

import "time"

const (
	// minSync and maxSync bound the value of syncS that the time-outs are derived from. With less, a loaded machine would be mistaken for a
	// lost one; with more, repairs would be slower than necessary.
	minSync = 2 * time.Second
	maxSync = 8 * time.Second
	// maxHelloInterval is the maximum time between two hellos, and maxPhaseTimeout the maximum initial time-out of a phase of the register.
	maxHelloInterval = 300 * time.Millisecond
	maxPhaseTimeout  = 350 * time.Millisecond
	// maxBackoff is the maximum delay before the register retries a round that was rejected or timed out for the first time.
	maxBackoff = minBackoff + backoffJitter
	// phaseMargin is the margin per round that ChangeTimeout leaves beyond a phase and a backoff of each of its two rounds.
	phaseMargin = 5 * time.Millisecond
	// terminationTime is the time that a control machine needs to terminate after its departure, to answer calls in flight and send its
	// last frames.
	terminationTime = HTTPShutdownTimeout + FlushDelay + 200*time.Millisecond
)

const (
	// FlushDelay is how long a departing machine waits for its last frames and responses to be sent.
	FlushDelay = 100 * time.Millisecond
	// HTTPShutdownTimeout is how long a departing machine waits for calls in flight to be answered.
	HTTPShutdownTimeout = 500 * time.Millisecond
)

// Replacement holds the durations of the steps of replacing members. They are derived from two settings: syncS, the time after its start at
// which a machine counts as synchronised, so that the next machine may be lost, and graceS, the time between the termination request and
// the kill.
//
// By construction MaxRepairTime is below syncS: a loss is detected, the lease holder decides on it, the membership is changed in two
// rounds, and the value is copied to the successor before another machine may be lost.
type Replacement struct {
	// HelloInterval is the time between two hellos, the heartbeats of control machines.
	HelloInterval time.Duration
	// CheckInterval is the time between two checks of the members.
	CheckInterval time.Duration
	// DetectionTimeout is the time without contact after which a member counts as lost if connections to it fail.
	DetectionTimeout time.Duration
	// FrozenTimeout is the same for a member whose machine accepts connections while its process sends nothing: twice syncS.
	FrozenTimeout time.Duration
	// ObservationPeriod is how long a machine must have been up before it may decide that members are lost.
	ObservationPeriod time.Duration
	// MaxContactAge is the maximum time since the last contact with a machine for it to become a member.
	MaxContactAge time.Duration
	// Lease is the timing of the lease under which members are replaced.
	Lease Lease
	// PhaseTimeout is the initial time-out of a phase of the register's rounds.
	PhaseTimeout time.Duration
	// ChangeTimeout is how long both rounds of a membership change may take together. After it, the change is decided again.
	ChangeTimeout time.Duration
	// CopyTimeout is how long it may take until the successor has the committed value on its disk.
	CopyTimeout time.Duration
	// MinChangeInterval is the minimum time between two changes that a machine proposes. It limits how often members are replaced wrongly.
	MinChangeInterval time.Duration
	// DepartureTimeout is how long a machine that shuts down may take for a graceful departure: two thirds of graceS, or less if the rest
	// would not be enough for the process to end.
	DepartureTimeout time.Duration
}

// NewReplacement derives the durations from syncS and graceS.
func NewReplacement(sync, grace time.Duration) Replacement {
	sync = min(max(sync, minSync), maxSync)
	detectionTimeout, changeTimeout := sync/4, sync/4
	return Replacement{
		HelloInterval:     min(maxHelloInterval, sync/14),
		CheckInterval:     sync / 40,
		DetectionTimeout:  detectionTimeout,
		FrozenTimeout:     2 * sync,
		ObservationPeriod: sync * 3 / 8,
		MaxContactAge:     detectionTimeout / 2,
		Lease:             NewLease(sync / 5),
		PhaseTimeout:      min(maxPhaseTimeout, changeTimeout/2-maxBackoff-phaseMargin),
		ChangeTimeout:     changeTimeout,
		CopyTimeout:       sync / 10,
		MinChangeInterval: sync / 2,
		DepartureTimeout:  max(0, min(grace*2/3, grace-terminationTime)),
	}
}

// MaxRepairTime returns the maximum time from a loss, or from the start of the successor if that is later, until the successor has the
// committed value and nothing depends on the lost member any more, in a group of that many members.
func (r Replacement) MaxRepairTime(members int) time.Duration {
	return r.DetectionTimeout + r.Lease.MaxVacancy(members) + r.CheckInterval + r.ChangeTimeout + r.CopyTimeout
}

// MaxGrowthTime returns the maximum time from the first start until a group of three has grown to the number of members that its tolerance
// needs.
func (r Replacement) MaxGrowthTime(members int) time.Duration {
	leaseTime := r.Lease.StartupDelay + 2*r.Lease.VoteTimeout + time.Duration(members)*r.Lease.Stagger
	return max(r.ObservationPeriod, leaseTime) + r.CheckInterval + r.ChangeTimeout + r.CopyTimeout
}

// HandoverTimeout returns the part of DepartureTimeout in which the membership has to be handed over: two thirds. The rest is for
// replicating the value without the departing machine.
func (r Replacement) HandoverTimeout() time.Duration { return r.DepartureTimeout * 2 / 3 }
