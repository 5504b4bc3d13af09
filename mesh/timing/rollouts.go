package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Rollouts is the timing of rollouts of versions. It serves EXPOSURE: a bad version is recalled within recallS; and that nobody sends to
// servers that may be stopped.
type Rollouts struct {
	// ReportInterval is how often a last hop reports what its server has counted while a rollout of its service is under way: a twentieth of
	// recallS, 100 to 250 ms. Several reports, a hello and a round of the register fit into recallS.
	ReportInterval time.Duration
	// HoldUp is for how long a sidecar that is lost holds up a delivery: inTouchS, after which it is out of touch.
	LostSidecarWait time.Duration
	// StreamHoldUp is for how long after a promotion answers that an old server is still sending hold up a delivery, after which it may be
	// stopped: graceS, the time that a process has to end.
	OpenStreamWait time.Duration
	// Retirement is for how long after a delivery servers of the old version still get no requests: graceS. Any that appear after that are
	// new ones.
	RetirementPeriod time.Duration
	// RepeatWindow is for how long after a rollout has ended an order like its own is taken for a late copy: twice receiptS.
	DuplicateOrderWindow time.Duration
	// ProposeInterval is the time between two proposals of the same transition: lost ones are proposed again.
	ProposeInterval time.Duration
}

const (
	reportsPerRecall = 20
	minRolloutReport = 100 * time.Millisecond
	maxRolloutReport = 250 * time.Millisecond
	proposeInterval  = 500 * time.Millisecond
)

func newRollouts(b *bootstrap.Bounds) Rollouts {
	return Rollouts{
		ReportInterval:       min(maxRolloutReport, max(minRolloutReport, b.Recall/reportsPerRecall)),
		LostSidecarWait:      b.InTouch,
		OpenStreamWait:       b.Grace,
		RetirementPeriod:     b.Grace,
		DuplicateOrderWindow: 2 * b.Receipt,
		ProposeInterval:      proposeInterval,
	}
}
