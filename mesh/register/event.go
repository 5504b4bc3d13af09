package register

import (
	"time"

	"firplank/mesh/rollout"
)

// Event is an input of Replica.Handle: one of the types of this file.
type Event interface{ event() }

// MessageReceived is the arrival of a message that is addressed to the replica.
type MessageReceived struct{ Message }

// Tick lets time pass. See Replica.NextTick.
type Tick struct{}

// PeerConnected reports a new connection to another machine. A replica that has no committed value yet, or is not a voter, then begins a
// new round at once.
type PeerConnected struct{}

// PeersUpdated replaces the machines that are contacted while no member is known.
type PeersUpdated struct{ Peers []string }

// Put writes a configuration under its version. It is Confirmed once a quorum has this content recorded under the version, or has dropped
// the version's record for higher ones; it is a Conflict once a quorum has another content recorded under it.
type Put struct {
	ID      uint64
	Version uint32
	Content Content // identifies the bytes that the operator sent; Body may be an encoding of them
	Body    []byte
}

// LinearizableRead reads a value that was the committed one at some moment after the event was handled.
type LinearizableRead struct{ ID uint64 }

// ChangeMembers replaces the members. Its Outcome comes once the change is complete and the prior members count no more.
type ChangeMembers struct {
	ID      uint64
	Members []string // sorted
	// ExpectedMembers, where given, are the members that the change was decided on. Where the members are others, it completes without
	// effect. A change with ExpectedMembers may also take the place of one that is under way.
	ExpectedMembers []string
}

// ReplicateWithoutSelf completes once the committed value is on the disks of a quorum that does not include this replica.
type ReplicateWithoutSelf struct{ ID uint64 }

// StartRollout takes an order of a rollout. It is Confirmed once a quorum has a rollout to its target after those that it supersedes, and a
// Conflict once a quorum has one to another target.
type StartRollout struct {
	ID    uint64
	Order rollout.Order
}

// AdvanceRollout moves a rollout to another stage. It completes without effect where the rollout is not at the transition's stage any more.
type AdvanceRollout struct {
	ID         uint64
	Transition rollout.Transition
}

func (MessageReceived) event()      {}
func (Tick) event()                 {}
func (PeerConnected) event()        {}
func (PeersUpdated) event()         {}
func (Put) event()                  {}
func (LinearizableRead) event()     {}
func (ChangeMembers) event()        {}
func (ReplicateWithoutSelf) event() {}
func (StartRollout) event()         {}
func (AdvanceRollout) event()       {}

// Result is how an operation ended.
type Result uint8

// The results.
const (
	Confirmed Result = iota
	// Conflict: the version of a Put has another content, and will never have this one; or a rollout to another target stands in the way.
	Conflict
)

// Outcome is the end of an operation: of any event that has an ID.
type Outcome struct {
	ID     uint64 // of the operation
	Result Result
	Value  Value // the committed value that the operation ended with
	// AsOf is a time, by the clock of Handle's caller, at which Value was the committed one.
	AsOf time.Duration
}

// Output is the result of an event. The caller stores State, and only when that is on disk sends Messages and delivers Outcomes.
type Output struct {
	State    *State // nil: unchanged
	Messages []Message
	Outcomes []Outcome
}
