package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Range of inForceS over which the durations of dissemination are interpolated.
const (
	minInForce  = 1500 * time.Millisecond
	fullInForce = 2500 * time.Millisecond
)

// Range of inTouchS over which the durations of reconnections are interpolated.
const (
	minInTouch  = 1500 * time.Millisecond
	fullInTouch = 3 * time.Second
)

// Dissemination is the timing of updates in the tree of sidecars. It implements the rule CONFIG: an acknowledged change is in force within
// inForceS at the machines that are in touch.
type Dissemination struct {
	// IdleReadInterval is the time after a commit at which a control machine's replica starts a read on its own, to learn whether its value
	// is still the newest: 150 to 300 ms, with inForceS from 1.5 to 2.5 s.
	IdleReadInterval time.Duration
	// HeartbeatInterval is the maximum time between two updates to a subscriber: 165 to 350 ms, over the same range.
	HeartbeatInterval time.Duration
	// StaleAfter is the time since the last confirmation of its configuration after which a sidecar leaves its parent: 700 to 1350 ms, over
	// the same range. It is above the sum of an idle read and two heartbeats, and leaves time to reconnect within inForceS.
	StaleAfter time.Duration
	// MaxTransferAge is the time since the last confirmation after which a sidecar leaves a parent from which a large frame is still
	// arriving: 1.6 times inForceS, at most 4 s. Leaving earlier would start the same transfer again.
	MaxTransferAge time.Duration
	// FirstUpdateTimeout is how long a parent may take to send anything to a sidecar without a configuration: 300 to 450 ms, over the same
	// range. It is above three round trips.
	FirstUpdateTimeout time.Duration
	// MaxReadyAge is the maximum age of a configuration with which a starting sidecar becomes ready: half of inForceS. The other half is
	// left for changes that were acknowledged in the meantime to arrive.
	MaxReadyAge time.Duration
	// StaleFallbackDelay is the time after which a starting sidecar that has tried all control machines becomes ready with an older
	// configuration: inForceS, at most a quarter of recoveryS (RECOVER). After three times that it becomes ready in any case.
	StaleFallbackDelay time.Duration
	// QuorumTimeout is the time without a committed round after which a control machine rejects operations: three tenths of receiptS, at
	// most 1.5 s. It is above two idle reads whose first attempt times out.
	QuorumTimeout time.Duration
	// AckTimeout is how long an operator's change waits at most, from its arrival, for its version to be in force everywhere: 400 to
	// 650 ms, with inForceS from 1.5 to 2.5 s. It is below the 1 s after which an operator asks another machine.
	AckTimeout time.Duration
	// PeerReportTTL is how long another control machine's report of the lowest version in force is valid: 1 s, above three hello intervals.
	PeerReportTTL time.Duration
	// NotSeenAfter is how much earlier than the most recently seen control machine another one has to have been seen for sidecars to try it
	// after the others: two reports.
	NotSeenAfter time.Duration
	// SubscriberTimeout is how long after its last report a subscriber still delays acknowledgements: two report intervals and a margin.
	SubscriberTimeout time.Duration
}

const (
	maxQuorumTimeout         = 1500 * time.Millisecond
	maxTransferAge           = 4 * time.Second
	peerReportTTL            = time.Second
	subscriberMargin         = 100 * time.Millisecond
	recoveryPerFallbackDelay = 4
)

func newDissemination(b *bootstrap.Bounds) Dissemination {
	byInForce := func(low, high time.Duration) time.Duration {
		return interpolation{minInForce, fullInForce, low * time.Millisecond, high * time.Millisecond}.at(b.InForce)
	}
	return Dissemination{
		IdleReadInterval:   byInForce(150, 300),
		HeartbeatInterval:  byInForce(165, 350),
		StaleAfter:         byInForce(700, 1350),
		MaxTransferAge:     min(maxTransferAge, b.InForce*8/5),
		FirstUpdateTimeout: byInForce(300, 450),
		MaxReadyAge:        b.InForce / 2,
		StaleFallbackDelay: min(b.InForce, b.Recovery/recoveryPerFallbackDelay),
		QuorumTimeout:      min(maxQuorumTimeout, b.AckTime*3/10),
		AckTimeout:         byInForce(400, 650),
		PeerReportTTL:      peerReportTTL,
		NotSeenAfter:       2 * peerReportTTL,
		SubscriberTimeout:  2*reportInterval + subscriberMargin,
	}
}

// Subscription is the timing of a sidecar's connection to its parent. The rule CONFIG depends on it, as it bounds the time in which a
// sidecar reconnects to a parent.
type Subscription struct {
	// ReportInterval is the maximum time between two reports to the parent: 700 ms.
	ReportInterval time.Duration
	// DialTimeout is the maximum time to connect to a parent: 300 to 500 ms, with inForceS from 1.5 to 2.5 s and inTouchS from 1.5 to 3 s,
	// whichever gives less.
	DialTimeout time.Duration
	// RedialDelay is the delay after a failed dial: 60 ms.
	RedialDelay time.Duration
	// TickInterval is how often the sidecar's loop checks conditions that depend only on time: 100 to 200 ms, with inForceS from 1.5 to
	// 2.5 s.
	TickInterval time.Duration
}

const (
	reportInterval = 700 * time.Millisecond
	redialDelay    = 60 * time.Millisecond
)

func newSubscription(b *bootstrap.Bounds) Subscription {
	const minDialTimeout, maxDialTimeout = 300 * time.Millisecond, 500 * time.Millisecond
	return Subscription{
		ReportInterval: reportInterval,
		DialTimeout: min(
			interpolation{minInForce, fullInForce, minDialTimeout, maxDialTimeout}.at(b.InForce),
			interpolation{minInTouch, fullInTouch, minDialTimeout, maxDialTimeout}.at(b.SettleTime),
		),
		RedialDelay:  redialDelay,
		TickInterval: interpolation{minInForce, fullInForce, 100 * time.Millisecond, 200 * time.Millisecond}.at(b.InForce),
	}
}

// Reconnect returns the maximum time from the last confirmation by a parent that fails to the first update of another parent, if one
// further candidate is down.
func (d *Durations) Reconnect(e Environment) time.Duration {
	s := &d.Subscription
	detectionTime := d.Dissemination.StaleAfter + s.TickInterval
	failedDialTime := s.DialTimeout + s.RedialDelay
	subscribeTime := s.TickInterval + 2*e.RoundTrip
	return detectionTime + failedDialTime + subscribeTime
}

// Sidecars is the timing of the failure detection of sidecars by control machines. It implements the rule LOST: requests in progress on a
// machine that is up must not be abandoned.
type Sidecars struct {
	// Timeout is the time without contact after which a sidecar counts as lost: four report intervals and a margin, 3 s.
	Timeout time.Duration
	// MinSilence is the time for which a control machine must not have seen a sidecar before it accepts reports by others that the sidecar
	// is lost: a report interval plus the delay of a report that a relay forwards.
	MinSilence time.Duration
}

func newSidecars() Sidecars {
	const timeoutMargin, relayDelay = 200 * time.Millisecond, 500 * time.Millisecond
	return Sidecars{Timeout: 4*reportInterval + timeoutMargin, MinSilence: reportInterval + relayDelay}
}
