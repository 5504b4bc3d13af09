package dissemination

import (
	"math"
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/directory"
	"firplank/mesh/rollout"
)

// TimeUnknown means that no time is known at which a version was the newest. Known times may be negative, as times are measured from the
// start of the process: a sidecar that has just started receives versions that were the newest before its start.
const TimeUnknown = time.Duration(math.MinInt64)

// Unconstrained is the value of LowestInForce for a process without subscribers that a configuration has to reach.
const Unconstrained = configversion.Highest

// ControlMachine is a control machine that sidecars can subscribe to.
type ControlMachine struct {
	Addr     string        // host and port that sidecars connect to
	Zone     string        // failure domain; empty if not reported yet
	LastSeen time.Duration // by the clock of this process
}

// Delta is the difference between the texts of two versions of the configuration.
type Delta struct {
	Base    configversion.Version // version that the delta applies to
	Version configversion.Version // version that results, later than Base
	Bytes   []byte                // encoded by package delta; must not be modified
}

// Update is one push to a subscriber. Its slices are shared and must not be modified.
type Update struct {
	SubscriberID uint64
	// Nonce has to be returned in an Ack, as in xDS. It is 0 if no acknowledgement is awaited. No further configuration and no further
	// entries are pushed until the acknowledgement arrives.
	Nonce uint64
	// Version is the version of the configuration that the subscriber has after applying the update.
	Version configversion.Version
	// AsOf is a time at which Version was the newest version that a majority had, by the publisher's clock. With TimeUnknown the update
	// says nothing about the age of Version.
	AsOf time.Duration
	// Deltas lead from the version that the subscriber has to Version.
	Deltas []Delta
	// FullText reports whether the complete text of Version has to be sent in place of deltas.
	FullText bool
	// Rollouts is the publisher's set of rollouts, to be applied before the entries. It is nil if the subscriber has it already.
	Rollouts *rollout.Set
	// Entries are the directory entries that have changed since the last push.
	Entries []directory.Entry
	// ControlMachines is the publisher's list of control machines, or nil if this push does not repeat it.
	ControlMachines []ControlMachine
}

// Ack is a subscriber's report about itself and its own subscribers.
type Ack struct {
	// Nonce is the nonce of the last update that had one.
	Nonce uint64
	// Version is the version that the subscriber has. A version lower than the pushed one means that a delta did not apply and the full
	// text is needed (a NACK in xDS).
	Version configversion.Version
	// LowestInForce is the lowest version in force at the subscriber and its own subscribers, or Unconstrained.
	LowestInForce configversion.Version
}
