package dissemination

import (
	"math"
	"time"

	"firplank/mesh/directory"
	"firplank/mesh/rollout"
)

// TimeUnknown stands for the time at which a version was the newest where there is none. Real times may be below 0, before the start of
// the process's clock: a sidecar that has just started learns what was the newest before it ran.
const TimeUnknown = time.Duration(math.MinInt64)

// Unconstrained is the lowest version in force of a process that no configuration has to reach.
const Unconstrained = math.MaxUint32

// ControlMachine is a control machine that sidecars can subscribe to.
type ControlMachine struct {
	Addr     string        // host and port that sidecars connect to
	Zone     string        // its failure domain; empty: not reported yet
	LastSeen time.Duration // by the clock of this process
}

// Delta leads from the text of one version of the configuration to that of a later one.
type Delta struct {
	Base    uint32 // the version that it applies to
	Version uint32 // the version that results
	Bytes   []byte // as package delta encodes it; not to be changed
}

// Update is one push to a subscriber. The publisher gives it away; slices in it are shared and not to be changed.
type Update struct {
	SubscriberID uint64
	// Nonce is to be returned in an Ack, as in xDS; 0: no acknowledgement is awaited. Nothing large follows before it.
	Nonce uint64
	// Version is the version of the configuration that the subscriber has once it has applied the update.
	Version uint32
	// AsOf is a time at which Version was the newest that a majority had, by the publisher's clock. TimeUnknown: the update proves
	// nothing about its age.
	AsOf time.Duration
	// Deltas lead from what the subscriber has to Version.
	Deltas []Delta
	// FullText: the complete text of Version belongs to the update in place of deltas.
	FullText bool
	// Rollouts are those of the publisher, before the entries; nil: the subscriber has them.
	Rollouts *rollout.Set
	// Entries are the directory's entries that have changed since the last push.
	Entries []directory.Entry
	// ControlMachines are the publisher's; nil: not repeated in this push.
	ControlMachines []ControlMachine
}

// Ack is what a subscriber reports of itself and of those that subscribe to it.
type Ack struct {
	// Nonce is that of the last update with one that was applied.
	Nonce uint64
	// Version is the version that the subscriber has. Below what was pushed: a delta did not apply, and the full text is needed (a NACK
	// in the terms of xDS).
	Version uint32
	// LowestInForce is the lowest version in force at the subscriber and below it in the tree; Unconstrained: nobody has to reach any.
	LowestInForce uint32
}
