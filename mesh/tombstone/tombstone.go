// Package tombstone replicates the records of servers that have begun to shut down. A server's shutdown is acknowledged once its tombstone
// is on the disks of a majority of the control machines, so that it still binds after any processes were killed, and after as many disks
// were lost as the deployment tolerates. A sidecar that restarts reads the tombstones of its machine from a majority, and ignores delayed
// heartbeats of these servers.
//
// The tombstones are a grow-only set: writes commute, so that a majority of the members has to store a tombstone, and a majority has to be
// read, but no order has to be agreed on (the quorums of Gifford, 1979; the G-Set of Shapiro et al., 2011). A member that is new, or whose
// disk was lost, is incomplete: it stores tombstones, but its replies to reads do not count until it has read the sets of a majority of the
// others. Replicas that differ are found by digests, which control machines exchange with their hellos, and repaired. Tombstones expire
// after timing.Tombstones.Retention.
//
// The package has no I/O, no goroutine and no clock. Like etcd's raft, Replica.Handle takes an event and returns an Output, which the
// caller executes: it appends tombstones to the disk, reports Synced, and sends messages.
//
// Start reading at Replica.Handle.
package tombstone

import (
	"cmp"
	"time"
)

// Tombstone states that a server has begun to shut down, and gets no requests any more.
type Tombstone struct {
	Node   string // the machine of the server
	Server string // the ID of the server's process
}

// Compare orders tombstones by node, then by server. It returns -1, 0 or 1.
func (t Tombstone) Compare(o Tombstone) int {
	return cmp.Or(cmp.Compare(t.Node, o.Node), cmp.Compare(t.Server, o.Server))
}

// Aged is a tombstone with the time since it was requested last.
type Aged struct {
	Tombstone
	Age time.Duration
}

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages, with the fields that each uses besides From, To and ID.
const (
	// Store requests that the receiver store tombstones. Fields: Tombstones.
	Store Kind = iota + 1
	// Stored replies to Store once the tombstones are on the sender's disk.
	Stored
	// Read requests the tombstones of some nodes. Fields: Nodes; none means all.
	Read
	// ReadReply replies to Read. Fields: Tombstones and Complete.
	ReadReply
)

// Message is a message between replicas. It may be lost, delayed, duplicated or reordered. It is not changed after it was sent.
type Message struct {
	Kind       Kind
	From, To   string
	ID         uint64 // of the request; a reply has that of its request
	Tombstones []Aged
	Nodes      []string
	Complete   bool // the sender has all tombstones that a majority may have counted it for
}

// Event is an input of Replica.Handle: one of the types in this file.
type Event interface{ event() }

// RecordRequested requests that a tombstone become durable. ID identifies the request in Output.Recorded. The request ends without an
// output after timing.Tombstones.CallTimeout, or if there are too many tombstones.
type RecordRequested struct {
	ID        uint64
	Tombstone Tombstone
}

// FetchRequested requests the tombstones of a node. ID identifies the request in Output.Fetched. The request ends without an output after
// timing.Tombstones.CallTimeout.
type FetchRequested struct {
	ID   uint64
	Node string
}

// MessageReceived delivers a message that is addressed to the replica.
type MessageReceived struct{ Message }

// DigestReceived reports the digest of another replica, with its hello.
type DigestReceived struct {
	From   string
	Digest uint64
}

// MembershipChanged replaces the members and, while a change of members is under way, the prior members.
type MembershipChanged struct{ Members, PriorMembers []string }

// PeersChanged replaces the other control machines, members or not.
type PeersChanged struct{ Peers []string }

// Synced reports that all appends up to a number are on disk.
type Synced struct{ Number uint64 }

// Tick reports that time has passed. See Replica.NextTick.
type Tick struct{}

func (RecordRequested) event()   {}
func (FetchRequested) event()    {}
func (MessageReceived) event()   {}
func (DigestReceived) event()    {}
func (MembershipChanged) event() {}
func (PeersChanged) event()      {}
func (Synced) event()            {}
func (Tick) event()              {}

// Mark changes whether a replica is complete.
type Mark uint8

// The marks.
const (
	NoMark Mark = iota
	MarkComplete
	MarkIncomplete
)

// Append is what the caller has to write to the disk, the tombstones first, and to report by Synced.
type Append struct {
	Number     uint64 // rises by one with each Append
	Tombstones []Aged
	Mark       Mark
}

// Fetched is the result of a FetchRequested.
type Fetched struct {
	ID      uint64
	Servers []string // sorted
}

// Output is the result of an event. The caller appends first; the messages do not depend on the append.
type Output struct {
	Append   *Append // nil: nothing to write
	Messages []Message
	Recorded []uint64 // RecordRequested that are durable
	Fetched  []Fetched
}
