package membership

// Kind is the kind of a message. The values are part of the wire format.
type Kind uint8

// The kinds of messages, in SWIM's terms.
const (
	// Ping requests an Ack with the same sequence number.
	Ping Kind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingReq requests a ping of Target on behalf of the sender.
	PingReq
	// Alive reports a sign of life of Target: the answer to a PingReq that succeeded, or the refutation of a Suspect.
	Alive
	// Suspect reports that the sender suspects Target to have failed, and requests a refutation.
	Suspect
	// StreamPing asks who carries the messages for a Ping of To over a connection, and for RecordContact once it is answered. It is no
	// datagram: those are lost first where a link is full.
	StreamPing
)

// Message is a datagram between two members, or a StreamPing. Any of them may be lost, delayed or duplicated.
type Message struct {
	Kind Kind
	// From and To are the names of the members.
	From, To string
	// SeqNo is chosen by who sends a Ping or a PingReq, and returned in the answer; 0: the message is no answer and awaits none.
	SeqNo uint64
	// Target is the member that a PingReq, Alive or Suspect is about; empty in a Ping and an Ack.
	Target string
}
