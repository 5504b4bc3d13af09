package directory

import (
	"cmp"
	"time"

	"firplank/mesh/rollout"
)

// State is the state of a server, as its sidecar announces it. The values are part of the wire format: append new ones, never reorder.
// docs/ARCHITECTURE.md lists the code that has to change when a state is added.
type State uint8

// The states of a server.
const (
	// Unregistered: no server has sent a heartbeat to the sidecar yet.
	Unregistered State = iota
	// Accepting: the server's heartbeats arrive and report that it accepts requests.
	Accepting
	// Closing: the server has announced its shutdown. It finishes the requests in flight and accepts no new ones. Other systems call this
	// draining.
	Closing
	// Departed: the server has deregistered and terminated.
	Departed
	// Unresponsive: heartbeats are missing, or the sidecar cannot connect to the server.
	Unresponsive
	// Draining: the sidecar is shutting down while its server keeps running. The machine gets no new requests until the sidecar has
	// restarted. A server that shuts down itself is Closing.
	Draining
)

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"unregistered", "accepting", "closing", "departed", "unresponsive", "draining", "unknown"}[min(s, Draining+1)]
}

// Entry describes one machine: its sidecar and the local server. Only the sidecar itself writes the announced fields; each directory
// derives Lost and LastSeen on its own. Copies may be shared as long as they are not modified.
type Entry struct {
	// Node is the machine's name, the key of the directory.
	Node string
	// Incarnation identifies one run of the sidecar. A later run has a higher number (SWIM's incarnation number).
	Incarnation uint64
	// Sequence counts the announcements of one incarnation.
	Sequence uint64
	// Addr is the host and port at which requests for the server are accepted.
	Addr string
	// PeerAddr is the host and port at which other processes of the mesh reach the sidecar.
	PeerAddr string
	// Zone is the failure domain of the machine.
	Zone string
	// Service is the name of the service that the server belongs to.
	Service string
	// Server is the ID of the server's current run. It is empty if no server has registered.
	Server string
	// Version is the version of the server's software. It is empty if it is not known.
	Version string
	// State is the state of the server.
	State State
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// WarmUntil is the end of the server's slow start, by the clock of this process.
	WarmUntil time.Duration
	// Lost reports whether the sidecar has not been seen for so long that no requests are sent to it.
	Lost bool
	// LastSeen is the latest time at which the sidecar is known to have been alive, by the clock of this process.
	LastSeen time.Duration
	// RolloutReport is the sidecar's latest report about rollouts. Only control machines use it. A new report does not raise the
	// directory's revision, so it is not pushed to subscribers.
	RolloutReport RolloutReport

	rolloutReportedAt time.Duration
	revision          uint64
}

// RolloutReport is what a sidecar reports about the rollouts that it knows.
type RolloutReport struct {
	// ConfirmedRevision is the revision of the rollouts that the sidecar applies, with no request in flight that they forbid.
	ConfirmedRevision uint32
	// Order identifies the rollout of the server's service during which Classes were counted. It is 0 if no rollout is under way. OrderAge
	// is how long the sidecar has known that rollout.
	Order    uint32
	OrderAge time.Duration
	Classes  []rollout.Statistics
}

// Newer reports whether the entry was announced after another entry of the same node.
func (e *Entry) Newer(other *Entry) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Sequence, other.Sequence)) > 0
}
