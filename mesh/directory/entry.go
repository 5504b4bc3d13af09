package directory

import (
	"cmp"
	"time"

	"firplank/mesh/rollout"
)

// State is the state of a server, as its sidecar announces it. The values are part of the wire format: append, never reorder.
// docs/ARCHITECTURE.md lists the places that another state touches.
type State uint8

// The states of a server.
const (
	// Unregistered: no server has sent a heartbeat to the sidecar yet.
	Unregistered State = iota
	// Accepting: the server's heartbeats arrive and report that it accepts requests.
	Accepting
	// Closing: the server has announced its shutdown; it finishes the requests that it has and accepts no new ones. This is what
	// other systems call draining.
	Closing
	// Departed: the server has ended, and has deregistered.
	Departed
	// Unresponsive: heartbeats are missing, or the sidecar cannot connect to the server.
	Unresponsive
	// Draining: the sidecar shuts down, while its server goes on; no new requests until the sidecar is back. It is not the server that
	// drains: that is Closing.
	Draining
)

// String is a state's name in logs.
func (s State) String() string {
	return [...]string{"unregistered", "accepting", "closing", "departed", "unresponsive", "draining", "unknown"}[min(s, Draining+1)]
}

// Entry describes one machine: its sidecar and the local server. The sidecar alone writes the fields that are announced;
// every directory derives Lost and LastSeen for itself. Copies may be shared as long as nobody changes them.
type Entry struct {
	// Node is the machine's name, the key of the directory.
	Node string
	// Incarnation identifies one run of the sidecar; a later run has a higher one (SWIM's incarnation number).
	Incarnation uint64
	// Sequence counts the announcements of one incarnation.
	Sequence uint64
	// Addr is the host and port that take requests for the server.
	Addr string
	// PeerAddr is the host and port at which other processes of the mesh reach the sidecar.
	PeerAddr string
	// Zone is the failure domain of the machine.
	Zone string
	// Service is the name of the service that the server belongs to.
	Service string
	// Server is the id of the server's current run; empty: none has registered.
	Server string
	// Version is the version of the server's software; empty: not known.
	Version string
	// State is the state of the server.
	State State
	// Slots is how many requests the server works on at once.
	Slots int
	// WarmUntil is the end of the server's slow start, by the clock of this process.
	WarmUntil time.Duration
	// Lost: there was no sign of life of the sidecar for so long that no requests are sent to it.
	Lost bool
	// LastSeen is the time of the sidecar's latest sign of life, by the clock of this process.
	LastSeen time.Duration
	// Evidence is what the sidecar reports of rollouts. It is for control machines: a change of it is no change of the entry.
	RolloutReport RolloutReport

	rolloutReportedAt time.Duration
	revision          uint64
}

// Evidence is what a sidecar reports of the rollouts that it knows.
type RolloutReport struct {
	// Confirmed is the revision of the rollouts by which the sidecar sends, with nothing in flight that they forbid.
	ConfirmedRevision uint32
	// Order is that of the rollout of the server's service that Classes were counted in; 0: none is under way. OrderAge is for how long the
	// sidecar has known of it.
	Order    uint32
	OrderAge time.Duration
	Classes  []rollout.Statistics
}

// Newer reports whether the entry was announced after another one of the same node.
func (e *Entry) Newer(other *Entry) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Sequence, other.Sequence)) > 0
}
