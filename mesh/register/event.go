package register

import (
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/rollout"
)

// Event is an input of Replica.Handle: one of the types in this file.
type Event interface{ event() }

// MessageReceived delivers a message that is addressed to the replica.
type MessageReceived struct{ Message }

// Tick reports that time has passed. See Replica.NextTick.
type Tick struct{}

// PeerConnected reports a new connection to another machine. A replica that has no committed value yet, or is not a voter, begins a new
// round at once. Any other replica resends the requests of its present round.
type PeerConnected struct{}

// PeersUpdated replaces the list of machines that requests are sent to while no member is known.
type PeersUpdated struct{ Peers []string }

// Put writes a configuration under its version. It is Confirmed once a quorum has recorded this content for the version, or has dropped the
// version's record in favor of higher versions. It is a Conflict once a quorum has recorded another content for the version.
type Put struct {
	ID      uint64
	Version configversion.Version
	Content Content // hash of the bytes that the operator sent; Body may be an encoding of them
	Body    []byte
}

// LinearizableRead reads a value that was the committed one at some time after the event was handled.
type LinearizableRead struct{ ID uint64 }

// ChangeMembers replaces the members. Its Outcome is delivered once the change is complete and the prior members no longer count.
type ChangeMembers struct {
	ID      uint64
	Members []string // sorted
	// ExpectedMembers, if not nil, are the members that the change was decided for. If the present members differ, the change completes
	// without effect. A change with ExpectedMembers may also replace one that is under way.
	ExpectedMembers []string
}

// ReplicateWithoutSelf completes once the committed value is on the disks of a quorum without this replica.
type ReplicateWithoutSelf struct{ ID uint64 }

// StartRollout starts the rollout of an order. It is Confirmed once a quorum has a rollout to the order's target after those that the order
// supersedes, and a Conflict once a quorum has a rollout to another target.
type StartRollout struct {
	ID    uint64
	Order rollout.Order
}

// AdvanceRollout moves a rollout to another stage. It completes without effect if the rollout is no longer at the transition's stage.
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

// Result is the result of an operation.
type Result uint8

// The results.
const (
	Confirmed Result = iota
	// Conflict means that the version of a Put is recorded with another content, which is final, or that a rollout to another target
	// prevents a StartRollout.
	Conflict
)

// Outcome completes an operation, which is any event that has an ID.
type Outcome struct {
	ID     uint64 // of the operation
	Result Result
	Value  Value // the committed value that completed the operation
	// AsOf is a time, by the clock of Handle's caller, at which Value was the committed one.
	AsOf time.Duration
}

// Output is the result of an event. The caller first stores State. Once that is on disk, it sends Messages and delivers Outcomes.
type Output struct {
	State    *State // nil: unchanged
	Messages []Message
	Outcomes []Outcome
}
