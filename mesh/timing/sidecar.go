package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Shutdown is the schedule of a sidecar that was asked to end, from that moment on. It takes as much of graceS as it can: the platform's
// clients may wait for what was taken until the last sixth of it, and what is cut off earlier is lost to them (LOST).
type Shutdown struct {
	// Accept is for how long new connections are accepted: 2.2 s, as the platform sends clients for two more readiness checks of a second
	// each; not after Cut.
	StopAccepting time.Duration
	// Late is after how long a request is taken only if its time is over before Cut: 2.9 s, which is below the 3 s up to which the rules
	// excuse that a request is cut off, and not after Cut.
	CheckDeadlines time.Duration
	// Cut is when requests that are still open fail: 0.87 of graceS, within its last sixth.
	AbortRequests time.Duration
	// End is when the fronts have ended: 0.92 of graceS. Between Cut and End the answers go out; after it the process ends.
	FrontsEnded time.Duration
}

const (
	maxAcceptTime     = 2200 * time.Millisecond
	deadlineCheckTime = 2900 * time.Millisecond
	abortShare        = 0.87
	frontsEndedShare  = 0.92
)

func newShutdown(grace time.Duration) Shutdown {
	shareOfGrace := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	abort := shareOfGrace(abortShare)
	return Shutdown{StopAccepting: min(maxAcceptTime, abort), CheckDeadlines: min(deadlineCheckTime, abort), AbortRequests: abort, FrontsEnded: shareOfGrace(frontsEndedShare)}
}

// Server is when a sidecar doubts its local server. It serves DRAIN and the rule that a silent server gets no requests.
type Server struct {
	// HeartbeatTimeout is the silence after which a server is unresponsive: 2.6 heartbeats, so that two may be lost.
	HeartbeatTimeout time.Duration
	// RestoredTimeout is how long a server that another process has announced may take until its first heartbeat: three quarters of
	// HeartbeatTimeout.
	RestoredTimeout time.Duration
	// IdentifiedTimeout is the same for a server that is known by its health check alone, whose acknowledged end nobody may know any more:
	// RestoredTimeout, and nine tenths of inTouchS at most. So it gets no request that a machine in touch has sent on.
	IdentifiedTimeout time.Duration
	// ConfirmBy is when a restarted sidecar has to know by more than one heartbeat, or one health check, that its server goes on, from its
	// own start on: nine tenths of inTouchS. So a late heartbeat of a server whose acknowledged end nobody knows any more brings it no
	// request that a machine in touch has sent on.
	RestartConfirmTimeout time.Duration
}

const (
	heartbeatTimeoutFactor = 2.6
	minServerHeartbeat     = 200 * time.Millisecond
	restoredNumerator      = 3
	restoredDenominator    = 4
	inTouchShare           = 0.9
)

func newServer(b *bootstrap.Bounds, heartbeat time.Duration) Server {
	timeout := time.Duration(heartbeatTimeoutFactor * float64(max(heartbeat, minServerHeartbeat)))
	restored := timeout * restoredNumerator / restoredDenominator
	confirmTimeout := time.Duration(inTouchShare * float64(b.InTouch))
	return Server{
		HeartbeatTimeout:      timeout,
		RestoredTimeout:       restored,
		IdentifiedTimeout:     min(restored, confirmTimeout),
		RestartConfirmTimeout: confirmTimeout,
	}
}
