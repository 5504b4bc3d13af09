package timing

import (
	"time"

	"firplank/mesh/bootstrap"
)

// Shutdown is the schedule of a sidecar's graceful shutdown. All times are measured from the termination request (SIGTERM). The schedule
// uses as much of graceS as possible: the platform's clients may wait for accepted requests until its last sixth, and a request that is
// aborted earlier counts as lost (LOST).
type Shutdown struct {
	// StopAccepting is when new connections are no longer accepted: after 2.2 s, as the platform keeps sending clients for two more
	// readiness checks, at an interval of 1 s. It is not after AbortRequests.
	StopAccepting time.Duration
	// CheckDeadlines is from when on a request is accepted only if its deadline is before AbortRequests: after 2.9 s, which is below the
	// 3 s after which the rules no longer excuse an aborted request. It is not after AbortRequests.
	CheckDeadlines time.Duration
	// AbortRequests is when requests that are still in flight fail: after 0.87 of graceS, within its last sixth.
	AbortRequests time.Duration
	// FrontsEnded is when the fronts have ended: after 0.92 of graceS. The responses to aborted requests are sent before that, and the
	// process ends after it.
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
	return Shutdown{
		StopAccepting:  min(maxAcceptTime, abort),
		CheckDeadlines: min(deadlineCheckTime, abort),
		AbortRequests:  abort,
		FrontsEnded:    shareOfGrace(frontsEndedShare),
	}
}

// Server is the timing of a sidecar's health checks of its local server. It implements the rule DRAIN, and the rule that a server without
// heartbeats gets no requests.
type Server struct {
	// HeartbeatTimeout is the time without a heartbeat after which a server is unresponsive: 2.6 heartbeat intervals, so that two
	// heartbeats may be lost.
	HeartbeatTimeout time.Duration
	// RestoredTimeout is how long a server that an earlier process announced may take until its first heartbeat: three quarters of
	// HeartbeatTimeout.
	RestoredTimeout time.Duration
	// IdentifiedTimeout is the same for a server that is known only by its health check. Such a server may have announced its shutdown to a
	// process that has ended, without any other process that knows of it. The time-out is RestoredTimeout, at most nine tenths of inTouchS,
	// so that the server gets no request that a machine in touch has forwarded.
	IdentifiedTimeout time.Duration
	// RestartConfirmTimeout is the time after its own start by which a restarted sidecar needs more than one heartbeat, or one health
	// check, to confirm that its server is still running: nine tenths of inTouchS. So a server whose acknowledged shutdown no process knows
	// any more gets no requests that a machine in touch has forwarded because of one delayed heartbeat.
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
	confirmTimeout := time.Duration(inTouchShare * float64(b.SettleTime))
	return Server{
		HeartbeatTimeout:      timeout,
		RestoredTimeout:       restored,
		IdentifiedTimeout:     min(restored, confirmTimeout),
		RestartConfirmTimeout: confirmTimeout,
	}
}
