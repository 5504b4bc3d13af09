package http

import (
	"sync/atomic"
	"time"
)

const (
	// awayAfter is how long after clients were sent away those that carry nothing are closed: until then new ones come, and
	// who hears of it is told with an answer. awayIdle is how long a connection has to have been idle for that.
	awayAfter = 600 * time.Millisecond
	awayIdle  = 150 * time.Millisecond
)

// state is whether a front wants to be sent clients. The zero value does.
type state struct {
	ending atomic.Bool
	heir   atomic.Bool  // another process of the sidecar serves at the address
	paused atomic.Int64 // Unix nanoseconds since when clients are sent away; 0: they are not
}

// Pause sends clients away, or takes them in again: what comes is still served.
func (s *state) Pause(on bool) {
	if on {
		s.paused.CompareAndSwap(0, time.Now().UnixNano())
	} else {
		s.paused.Store(0)
	}
}

// HandOver says that another process serves at the same address by now: with End no further connection is taken.
func (s *state) HandOver() { s.heir.Store(true) }

// up is what those ask that send clients. Where there is an heir the address is up.
func (s *state) up() bool { return s.paused.Load() == 0 && (!s.ending.Load() || s.heir.Load()) }

// leaving reports whether answers end their connections, and away whether those that carry nothing are to go.
func (s *state) leaving() bool { return s.ending.Load() || s.paused.Load() != 0 }

func (s *state) away() bool {
	at := s.paused.Load()
	return at != 0 && time.Now().UnixNano()-at >= int64(awayAfter)
}

// lastCalls is how long new connections are taken after the signal to end.
func (s *state) lastCalls(usual time.Duration) time.Duration {
	if s.heir.Load() {
		return 0
	}
	return usual
}
