package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Rollouts is the timing of rollouts of versions. It implements the rule EXPOSURE, that a bad version is recalled within recallS, and the
// rule that no requests are sent to servers that may be stopped.
type Rollouts struct {
	// ReportInterval is how often a last hop reports its server's request statistics while a rollout of the service is under way: a
	// twentieth of recallS, 100 to 250 ms, so that several reports, a hello and a round of the register fit into recallS.
	ReportInterval time.Duration
	// LostSidecarWait is how long a lost sidecar delays a delivery: inTouchS, after which the sidecar is out of touch. After the delivery,
	// servers of the old version may be stopped.
	LostSidecarWait time.Duration
	// OpenStreamWait is how long after a promotion responses that old servers are still sending delay a delivery: graceS, the time that a
	// process has to end.
	OpenStreamWait time.Duration
	// RetirementPeriod is how long after a delivery servers of the old version get no requests: graceS. Servers of that version that appear
	// later are new ones.
	RetirementPeriod time.Duration
	// DuplicateOrderWindow is how long after the end of a rollout an identical order is treated as a delayed duplicate: twice receiptS.
	DuplicateOrderWindow time.Duration
	// ProposeInterval is the time after which the same transition is proposed again, as a proposal may be lost.
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
		LostSidecarWait:      b.SettleTime,
		OpenStreamWait:       b.Grace,
		RetirementPeriod:     b.Grace,
		DuplicateOrderWindow: 2 * b.AckTime,
		ProposeInterval:      proposeInterval,
	}
}
