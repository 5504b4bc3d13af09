package http

import (
	"sync/atomic"
	"time"
)

const (
	// awayAfter is how long after clients were sent away those that carry nothing are closed: until then new ones come, and
	// who hears of it is told with an answer. awayIdle is how long a connection has to have been idle for that.
	idleCloseDelay     = 600 * time.Millisecond
	minIdleBeforeClose = 150 * time.Millisecond
)

// state is whether a front wants to be sent clients. The zero value does.
type drainState struct {
	ending    atomic.Bool
	succeeded atomic.Bool  // another process of the sidecar serves at the address
	paused    atomic.Int64 // Unix nanoseconds since when clients are sent away; 0: they are not
}

// Pause sends clients away, or takes them in again: what comes is still served.
func (s *drainState) Pause(on bool) {
	if on {
		s.paused.CompareAndSwap(0, time.Now().UnixNano())
	} else {
		s.paused.Store(0)
	}
}

// HandOver says that another process serves at the same address by now: with End no further connection is taken.
func (s *drainState) HandOver() { s.succeeded.Store(true) }

// up is what those ask that send clients. Where there is an heir the address is up.
func (s *drainState) isReady() bool {
	return s.paused.Load() == 0 && (!s.ending.Load() || s.succeeded.Load())
}

// leaving reports whether answers end their connections, and away whether those that carry nothing are to go.
func (s *drainState) closesAfterAnswer() bool { return s.ending.Load() || s.paused.Load() != 0 }

func (s *drainState) closesIdle() bool {
	pausedAt := s.paused.Load()
	return pausedAt != 0 && time.Now().UnixNano()-pausedAt >= int64(idleCloseDelay)
}

// lastCalls is how long new connections are taken after the signal to end.
func (s *drainState) acceptGrace(configured time.Duration) time.Duration {
	if s.succeeded.Load() {
		return 0
	}
	return configured
}
