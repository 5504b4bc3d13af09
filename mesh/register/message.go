package register

import (
	"cmp"
	"fmt"

	"firplank/mesh/configversion"
	"firplank/mesh/rollout"
)

// Ballot orders the rounds of all proposers. The zero Ballot is below the ballot of any round.
type Ballot struct {
	Number   uint64
	Proposer string
}

// Compare orders ballots by number, then by proposer. It returns -1, 0 or 1.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Proposer, o.Proposer))
}

// String returns a ballot for logs: "7 by 10.1.0.13:7620".
func (b Ballot) String() string { return fmt.Sprintf("%d by %s", b.Number, b.Proposer) }

// Value is the content of the register. A Value is immutable, because its slices are shared.
type Value struct {
	Version      configversion.Version // of the configuration
	Body         []byte                // the configuration, as in its Put
	History      History               // the content that each version was written with
	Members      []string              // addresses, sorted
	PriorMembers []string              // while a change of members is under way: the members before it; otherwise empty
	Rollouts     rollout.Set
}

// State is an acceptor's durable state.
type State struct {
	Promised Ballot // the highest promised ballot
	Accepted Ballot // the ballot at which Value was accepted
	Value    Value

	// Incarnations are the incarnations of other machines, as announced when they rejoined. For machines that are not members, at most
	// maxNonMemberIncarnations are stored.
	Incarnations map[string]uint32
	// IncarnationFloor is at least as high as each incarnation that was dropped from Incarnations.
	IncarnationFloor uint32
	// Incarnation is that of this machine. It is above all that the machine had before its disk was emptied.
	Incarnation uint32
	Voter       bool // the acceptor counts in quorums
}

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages, with the fields that each of them uses besides From, To and Round.
const (
	// Prepare requests a promise. Fields: Ballot; Accepted, the highest accepted ballot that the proposer knows.
	Prepare Kind = iota + 1
	// Promise replies to Prepare. Fields: Promised, Accepted, Value if it is newer than the proposer's, and the incarnations.
	Promise
	// Accept requests that the acceptor accept a value. Fields: Ballot, Value.
	Accept
	// Accepted replies to Accept. Fields: Ballot and the incarnations.
	Accepted
	// Nack rejects Prepare or Accept. Fields: Promised, the higher ballot that the acceptor has promised.
	Nack
	// Read requests the accepted value. Fields: Accepted, the highest accepted ballot that the reader knows.
	Read
	// ReadReply replies to Read, with the fields of a Promise.
	ReadReply
	// Rejoin is a Read that announces the sender's new incarnation, which the receiver stores. Fields: those of Read, and Incarnation.
	Rejoin
	// RejoinReply replies to Rejoin, with the fields of a Promise.
	RejoinReply
	// Commit announces a value that a quorum has accepted. It has no reply. Fields: Ballot; Value if the receiver may lack it.
	Commit
)

// Message is a message between replicas. It is not changed after it was sent, because the data it points to is shared.
type Message struct {
	Kind     Kind
	From, To string
	Round    uint64 // number of the proposer's round; a reply has that of its request

	Ballot, Promised, Accepted Ballot
	Value                      *Value // nil: none

	// In replies: the fields of the same names in the sender's State.
	Incarnations     map[string]uint32
	IncarnationFloor uint32
	Incarnation      uint32
	Voter            bool
}
