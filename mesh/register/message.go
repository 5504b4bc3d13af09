package register

import (
	"cmp"
	"fmt"

	"firplank/mesh/rollout"
)

// Ballot orders the rounds of all proposers. The zero Ballot is below each that a round uses.
type Ballot struct {
	Number   uint64
	Proposer string
}

// Compare orders ballots by number, then by proposer. It returns a negative number, zero or a positive one.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Proposer, o.Proposer))
}

// String returns a ballot for logs: "7 by 10.1.0.13:7620".
func (b Ballot) String() string { return fmt.Sprintf("%d by %s", b.Number, b.Proposer) }

// Value is the content of the register. A Value is never changed; its slices are shared.
type Value struct {
	Version      uint32   // of the configuration; 0: there is none yet
	Body         []byte   // the configuration, in the form in which it was put
	History      History  // which content each version was written with
	Members      []string // addresses, sorted
	PriorMembers []string // the members before, while a change of members is under way; else empty
	Rollouts     rollout.Set
}

// State is an acceptor's durable state.
type State struct {
	Promised Ballot // the highest ballot that was promised
	Accepted Ballot // the ballot at which Value was accepted
	Value    Value

	// Incarnations are those of other machines, as they announced them when they rejoined. At most maxOtherIncarnations are kept of
	// machines that are not members.
	Incarnations map[string]uint32
	// IncarnationFloor is at least as high as each incarnation that was dropped from Incarnations.
	IncarnationFloor uint32
	// Incarnation is this disk's own. It is above each that the machine had before its disk came back empty.
	Incarnation uint32
	Voter       bool // the acceptor takes part in quorums
}

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages, and the fields that each of them uses besides From, To and Round.
const (
	// Prepare asks for a promise. Ballot; Accepted: the highest that the proposer knows.
	Prepare Kind = iota + 1
	// Promise answers Prepare. Promised, Accepted, Value where it is newer than what the proposer knows, and the incarnations.
	Promise
	// Accept asks the acceptor to accept a value. Ballot, Value.
	Accept
	// Accepted answers Accept. Ballot and the incarnations.
	Accepted
	// Nack rejects Prepare or Accept. Promised: the higher ballot that the acceptor has promised.
	Nack
	// Read asks for the accepted value. Accepted: the highest that the reader knows.
	Read
	// ReadReply answers Read, with the fields of a Promise.
	ReadReply
	// Rejoin is a Read that announces the sender's new incarnation, which the receiver stores. Incarnation.
	Rejoin
	// RejoinReply answers Rejoin, with the fields of a Promise.
	RejoinReply
	// Commit announces a value that a quorum has accepted. Ballot; Value where the receiver may lack it. There is no reply.
	Commit
)

// Message is what replicas send each other. A Message is never changed once sent; what it points to is shared.
type Message struct {
	Kind     Kind
	From, To string
	Round    uint64 // of the proposer; replies carry that of the request

	Ballot, Promised, Accepted Ballot
	Value                      *Value // nil: none

	// In replies: the fields of the same names of the sender's State.
	Incarnations     map[string]uint32
	IncarnationFloor uint32
	Incarnation      uint32
	Voter            bool
}
