// Package standin runs the laboratory's models on loopback sockets: servers, a roster (the discovery service) and clients that
// follow the protocol's pages and inject faults on request. It contains the sockets, timers and wire formats. The times of
// events are decided in lab/model and lab/scenario, and violations of rules in lab/judge. Of sidecars it knows only the
// addresses. Each stand-in can be used alone.
package standin

import (
	"time"

	"firplank/lab/judge"
)

// Clock returns the time since the start of the run.
type Clock func() time.Duration

// StartClock returns a clock that starts now.
func StartClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// ServerObserver receives the events of a server. *judge.Judge implements it.
type ServerObserver interface {
	Received(trace, server string, sidecar int, first time.Duration)
	Ran(trace, server string, cell int, at time.Duration)
	Finished(trace string)
	PushedOver(server string, at time.Duration)
}

// RosterObserver receives the changes of the roster's list and what was sent to whom. *judge.Judge implements it.
type RosterObserver interface {
	Changed(server string, ready bool, at time.Duration)
	Notified(sidecar int, server string, ready bool, at time.Duration)
	RosterCall(sidecar int, at, hold time.Duration, waits bool) func(judge.CallEnd, time.Duration)
}

// ClientObserver receives the events of clients. *judge.Judge implements it.
type ClientObserver interface {
	Sent(judge.Try)
	Answered(trace string, at time.Duration, a judge.Answer, made string)
	ExtraData(trace string, at time.Duration)
	ClientGone(trace string, at time.Duration)
}

var (
	_ ServerObserver = (*judge.Judge)(nil)
	_ RosterObserver = (*judge.Judge)(nil)
	_ ClientObserver = (*judge.Judge)(nil)
)
