package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Range of inForceS over which the durations of updates change.
const (
	minInForce  = 1500 * time.Millisecond
	fullInForce = 2500 * time.Millisecond
)

// Range of inTouchS over which reconnections change.
const (
	minInTouch  = 1500 * time.Millisecond
	fullInTouch = 3 * time.Second
)

// Dissemination is the timing of updates down the tree of sidecars. It serves CONFIG: what was acknowledged is in force at machines in
// touch within inForceS.
type Dissemination struct {
	// IdleReadInterval is the time after a commit after which a control machine's replica reads without being asked, so that it knows how
	// old its value is: 150 to 300 ms, with inForceS from 1.5 to 2.5 s.
	IdleReadInterval time.Duration
	// HeartbeatInterval is the longest time between two updates to a subscriber: 165 to 350 ms, over the same range.
	HeartbeatInterval time.Duration
	// StaleAfter is the age of what a parent last confirmed at which a sidecar leaves it: 700 to 1350 ms, over the same range. It is above
	// the age that an idle read and two heartbeats add up to, and leaves time to reconnect within inForceS.
	StaleAfter time.Duration
	// MaxTransferAge is the age at which a sidecar leaves a parent from which a large frame is still arriving: 1.6 times inForceS, 4 s at
	// most. Leaving earlier would begin the same transfer anew.
	MaxTransferAge time.Duration
	// FirstUpdateTimeout is how long a parent may take to send anything to a sidecar without a configuration: 300 to 450 ms, over the same
	// range. It is above three round-trips.
	FirstUpdateTimeout time.Duration
	// MaxReadyAge is the age of a configuration up to which a starting sidecar is ready with it: half of inForceS. The other half is left
	// for what was acknowledged meanwhile to arrive.
	MaxReadyAge time.Duration
	// LastResort is after how long a starting sidecar that has tried all control machines is ready with an older configuration, and a
	// third of the time after which it is in any case: inForceS, a quarter of recoveryS at most (RECOVER).
	StaleFallbackDelay time.Duration
	// QuorumTimeout is for how long a control machine may be without a committed round before it refuses operations: three tenths of
	// receiptS, 1.5 s at most. It is above two idle reads whose first attempt times out.
	QuorumTimeout time.Duration
	// AckTimeout bounds how long an operator's change waits, from its arrival, until its version is in force everywhere: 400 to 650 ms,
	// with inForceS from 1.5 to 2.5 s. It is below the second after which an operator asks another machine.
	AckTimeout time.Duration
	// PeerReportTTL is for how long another control machine's report of the lowest version in force counts: 1 s, over three hellos.
	PeerReportTTL time.Duration
	// UnseenAfter is by how much longer ago than the others a control machine was seen for a sidecar to try it last: two reports.
	NotSeenAfter time.Duration
	// SubscriberTimeout is for how long after its last report a subscriber still delays acknowledgements: two reports and a margin.
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
		QuorumTimeout:      min(maxQuorumTimeout, b.Receipt*3/10),
		AckTimeout:         byInForce(400, 650),
		PeerReportTTL:      peerReportTTL,
		NotSeenAfter:       2 * peerReportTTL,
		SubscriberTimeout:  2*reportInterval + subscriberMargin,
	}
}

// Subscription is the timing of a sidecar's connection to its parent. It serves CONFIG, by the time in which a sidecar has a parent again.
type Subscription struct {
	// ReportInterval is the longest time between two reports to the parent: 700 ms.
	ReportInterval time.Duration
	// DialTimeout bounds the wait for a connection to a parent: 300 to 500 ms, with inForceS from 1.5 to 2.5 s and inTouchS from 1.5 to
	// 3 s, whichever is less.
	DialTimeout time.Duration
	// RedialDelay is the pause after a dial that failed: 60 ms.
	RedialDelay time.Duration
	// TickInterval is how often the sidecar's loop checks for what time alone changes: 100 to 200 ms, with inForceS from 1.5 to 2.5 s.
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
			interpolation{minInTouch, fullInTouch, minDialTimeout, maxDialTimeout}.at(b.InTouch),
		),
		RedialDelay:  redialDelay,
		TickInterval: interpolation{minInForce, fullInForce, 100 * time.Millisecond, 200 * time.Millisecond}.at(b.InForce),
	}
}

// Reconnect bounds the time from the last confirmation of a parent that fails until another one has sent an update, where one more
// candidate is down.
func (d *Durations) Reconnect(e Environment) time.Duration {
	s := &d.Subscription
	detectionTime := d.Dissemination.StaleAfter + s.TickInterval
	failedDialTime := s.DialTimeout + s.RedialDelay
	subscribeTime := s.TickInterval + 2*e.RoundTrip
	return detectionTime + failedDialTime + subscribeTime
}

// Sidecars is when a control machine holds a sidecar for lost. It serves LOST: what is at work on a machine that is up must not be given
// up.
type Sidecars struct {
	// Timeout is the silence after which a sidecar counts as lost: four reports and a margin, 3 s.
	Timeout time.Duration
	// MinSilence is for how long a control machine must not have seen a sidecar that others report lost: a report, and the delay of one
	// that a relay forwards.
	MinSilence time.Duration
}

func newSidecars() Sidecars {
	const timeoutMargin, relayDelay = 200 * time.Millisecond, 500 * time.Millisecond
	return Sidecars{Timeout: 4*reportInterval + timeoutMargin, MinSilence: reportInterval + relayDelay}
}
