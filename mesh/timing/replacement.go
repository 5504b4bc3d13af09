package timing

import "time"

const (
	// minSync and maxSync bound the setting that the timeouts are derived from. With less, a loaded machine would be taken for a lost one;
	// with more, a repair need not be slower.
	minSync = 2 * time.Second
	maxSync = 8 * time.Second
	// maxHelloInterval is the longest time between two hellos, and maxPhaseTimeout the longest timeout of a phase of the register.
	maxHelloInterval = 300 * time.Millisecond
	maxPhaseTimeout  = 350 * time.Millisecond
	// maxBackoff is the longest time before the register begins a round again that was rejected or timed out for the first time.
	maxBackoff = minBackoff + backoffJitter
	// phaseMargin is the rest of ChangeTimeout after a phase and a backoff of each of its two rounds.
	phaseMargin = 5 * time.Millisecond
	// terminationTime is what the end of a control machine takes after its departure: answers to calls under way, and the last frames.
	terminationTime = HTTPShutdownTimeout + FlushDelay + 200*time.Millisecond
)

const (
	// FlushDelay is how long a machine that departs lets its last frames and answers go out.
	FlushDelay = 100 * time.Millisecond
	// HTTPShutdownTimeout is how long it waits for calls that are under way to be answered.
	HTTPShutdownTimeout = 500 * time.Millisecond
)

// Replacement is the durations of the steps in which members are replaced. They follow from two settings: syncS, the time after which a
// machine that started counts as synchronised, so that the next may be lost, and graceS, the time between the request to terminate
// and the kill.
//
// By construction MaxRepairTime is below syncS: a loss that is detected, decided by whoever holds the lease, changed in two rounds and
// copied to the successor is repaired before another may follow.
type Replacement struct {
	// HelloInterval is the time between two hellos, the heartbeats of control machines.
	HelloInterval time.Duration
	// CheckInterval is the time between two checks of the members.
	CheckInterval time.Duration
	// DetectionTimeout is the time without contact after which a member counts as lost that no connection can be made to.
	DetectionTimeout time.Duration
	// FrozenTimeout is the same for a member whose machine accepts connections while its process is silent: twice syncS.
	FrozenTimeout time.Duration
	// ObservationPeriod is how long a machine must have been up to decide on that.
	ObservationPeriod time.Duration
	// MaxContactAge is how old the last contact with a machine may be for it to become a member.
	MaxContactAge time.Duration
	// Lease is the timing of the lease under which members are replaced.
	Lease Lease
	// PhaseTimeout is the first timeout of a phase of the register's rounds.
	PhaseTimeout time.Duration
	// ChangeTimeout is how long a change of members may take, both of its rounds together; after it, the change is decided anew.
	ChangeTimeout time.Duration
	// CopyTimeout is how long the successor may take to have the committed value on its disk.
	CopyTimeout time.Duration
	// MinChangeInterval is the least time between two changes that a machine proposes. It bounds how often members are replaced wrongly.
	MinChangeInterval time.Duration
	// DepartureTimeout is how long a machine that is shutting down may take to depart in order: two thirds of graceS, and less where the
	// rest would not suffice for the process to end.
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

// MaxRepairTime bounds the time from a loss, or from the start of the successor where that is later, until the successor has the committed
// value and nothing depends on the lost member any more, in a group of so many members.
func (r Replacement) MaxRepairTime(members int) time.Duration {
	return r.DetectionTimeout + r.Lease.MaxVacancy(members) + r.CheckInterval + r.ChangeTimeout + r.CopyTimeout
}

// MaxGrowthTime bounds the time from the first start until a group of three has as many members as its tolerance needs.
func (r Replacement) MaxGrowthTime(members int) time.Duration {
	leaseTime := r.Lease.StartupDelay + 2*r.Lease.VoteTimeout + time.Duration(members)*r.Lease.Stagger
	return max(r.ObservationPeriod, leaseTime) + r.CheckInterval + r.ChangeTimeout + r.CopyTimeout
}

// HandoverTimeout is the part of DepartureTimeout in which the membership has to be handed over: two thirds. The rest is for the
// replication.
func (r Replacement) HandoverTimeout() time.Duration { return r.DepartureTimeout * 2 / 3 }
