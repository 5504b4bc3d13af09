// Package standin puts the laboratory's models on loopback sockets: servers, a roster and clients that behave as the
// protocol's pages describe, and that go wrong on command. It owns sockets, timers and the bytes on the wire; what
// happens when is decided in lab/model and lab/scenario, and whether a rule was broken in lab/judge. It knows nothing
// of sidecars but their addresses. Each stand-in can be used alone.
package standin

import (
	"time"

	"firplank/lab/judge"
)

// Clock tells the time since the run's start.
type Clock func() time.Duration

// StartClock returns a clock that starts now.
func StartClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// Witness is told what a server saw; *judge.Judge is one.
type ServerObserver interface {
	Received(trace, server string, sidecar int, first time.Duration)
	Ran(trace, server string, cell int, at time.Duration)
	Finished(trace string)
	PushedOver(server string, at time.Duration)
}

// Notary is told what the roster says to whom; *judge.Judge is one.
type RosterObserver interface {
	Changed(server string, ready bool, at time.Duration)
	Told(sidecar int, server string, ready bool, at time.Duration)
	Call(sidecar int, at, hold time.Duration, waits bool) func(judge.CallEnd, time.Duration)
}

// Observer is told what clients saw; *judge.Judge is one.
type ClientObserver interface {
	Sent(judge.Try)
	Answered(trace string, at time.Duration, a judge.Answer, made string)
	Extra(trace string, at time.Duration)
	Gone(trace string, at time.Duration)
}

var (
	_ ServerObserver = (*judge.Judge)(nil)
	_ RosterObserver = (*judge.Judge)(nil)
	_ ClientObserver = (*judge.Judge)(nil)
)
