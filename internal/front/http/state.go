package http

import (
	"sync/atomic"
	"time"
)

const (
	// idleCloseDelay is the time from Pause until idle connections are closed. Until then new connections may arrive, and clients
	// are notified with "Connection: close" in an answer. minIdleBeforeClose is how long a connection must have been idle.
	idleCloseDelay     = 600 * time.Millisecond
	minIdleBeforeClose = 150 * time.Millisecond
)

// drainState is the part of a front's state that decides whether connections are kept. The zero value keeps them.
type drainState struct {
	ending    atomic.Bool
	succeeded atomic.Bool  // another process of the sidecar serves at the address
	paused    atomic.Int64 // start of the drain in Unix nanoseconds; 0: none
}

// Pause starts a drain, in which connections close after their answer, or ends it. Requests are still served.
func (s *drainState) Pause(on bool) {
	if on {
		s.paused.CompareAndSwap(0, time.Now().UnixNano())
	} else {
		s.paused.Store(0)
	}
}

// HandOver notifies that another process accepts at the same address: End then accepts no further connection.
func (s *drainState) HandOver() { s.succeeded.Store(true) }

// isReady reports whether the address should receive clients. It does where a successor serves it.
func (s *drainState) isReady() bool {
	return s.paused.Load() == 0 && (!s.ending.Load() || s.succeeded.Load())
}

// closesAfterAnswer reports whether connections close after their answer, and closesIdle whether idle ones are closed.
func (s *drainState) closesAfterAnswer() bool { return s.ending.Load() || s.paused.Load() != 0 }

func (s *drainState) closesIdle() bool {
	pausedAt := s.paused.Load()
	return pausedAt != 0 && time.Now().UnixNano()-pausedAt >= int64(idleCloseDelay)
}

// acceptGrace returns how long new connections are accepted after End.
func (s *drainState) acceptGrace(configured time.Duration) time.Duration {
	if s.succeeded.Load() {
		return 0
	}
	return configured
}
