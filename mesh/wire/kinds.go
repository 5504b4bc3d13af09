package wire

// Kind is the kind of a Frame. The numbers are sent: a new kind goes to the end, and none is used for anything else
// later.
type Kind = byte

// The kinds, with the fields that each uses. Those of the register carry a register.Message (package codec). Version and LowestVersion are
// nil where there is no configuration.
const (
	// Prepare requests a promise to Ballot.
	Prepare Kind = iota + 1
	// Promise answers it, with Accepted and Value.
	Promise
	// Accept proposes Value at Ballot.
	Accept
	// Accepted answers it.
	Accepted
	// Nack refuses either, with Promised.
	Nack
	// Read requests a value newer than Accepted.
	Read
	// ReadReply answers it.
	ReadReply
	// Rejoin requests the value for a replica whose disk is empty; Incarnation is that of its new disk.
	Rejoin
	// RejoinReply answers it.
	RejoinReply
	// Commit announces that Value was accepted at Ballot by a majority.
	Commit
	// Hello goes between control machines: From, Text (the sender's zone), LowestVersion, Machines (the sender first),
	// changed Entries, and Id, the digest of the sender's tombstones (0 from a release without them).
	Hello
	// Subscribe goes from a sidecar to its parent: From, Entries, and a report (Id, Version, LowestVersion).
	Subscribe
	// Report goes from a subscriber to its parent: From, Entries of itself and of those below it, and a report.
	Report
	// Update goes from a parent to a subscriber: Id, Version, AgeMs, Deltas or Value, Entries, Machines.
	Update
	// GoAway ends a subscription: the parent rejects it, or shuts down. It has no fields.
	GoAway
	// ReservedOutcomeRequest is unused: outcomes of requests are queried in HTTP headers.
	ReservedOutcomeRequest
	// ReservedOutcomeResponse is unused.
	ReservedOutcomeResponse
	// Probe is a datagram with a membership.Message: Incarnation (its kind), From, Id, Text (whom it is about).
	Probe
	// ReservedProbeReply is unused: a reply is a Probe, too.
	ReservedProbeReply
	// VoteRequest goes between control machines: From requests the lease numbered Id.
	VoteRequest
	// VoteResponse answers it: Ok where the vote is granted.
	VoteResponse
	// InForce goes between control machines: From, and LowestVersion, the lowest in force among the sidecars below it.
	InForce
	// LeaseRelease goes between control machines: From releases the lease numbered Id.
	LeaseRelease
	// RecordTombstone goes from a sidecar to its parent, which passes it on to a control machine: From requests that Entries (of Node and
	// ServerId) become durable. Id is the number of the request.
	RecordTombstone
	// TombstoneRecorded answers it, on the way back: From and Id are those of the request.
	TombstoneRecorded
	// FetchTombstones takes the way of RecordTombstone: From requests its tombstones.
	FetchTombstones
	// TombstonesFetched answers it: From and Id are those of the request, Entries the tombstones.
	TombstonesFetched
	// StoreTombstones goes between control machines, as do the following kinds, which carry a tombstone.Message (package codec).
	StoreTombstones
	// TombstonesStored answers it.
	TombstonesStored
	// ReadTombstones requests the tombstones of the nodes of Entries, or all.
	ReadTombstones
	// TombstonesRead answers it, with Entries, and Ok where the sender is complete.
	TombstonesRead
)
