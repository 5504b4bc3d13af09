package membership

// Kind is the kind of a message. The values are part of the wire format.
type Kind uint8

// The kinds of messages, in SWIM's terms.
const (
	// Ping requests an Ack with the same sequence number.
	Ping Kind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingReq asks the recipient to ping Target on behalf of the sender.
	PingReq
	// Alive reports that Target is alive: it answers a PingReq whose ping was acknowledged, or refutes a Suspect.
	Alive
	// Suspect reports that the sender suspects Target to have failed, and asks for a refutation.
	Suspect
	// StreamPing is not sent as a datagram. It tells the transport to ping To over a connection, and to call RecordContact when that is
	// answered. Datagrams are the first to be lost on a congested link.
	StreamPing
)

// Message is a datagram between two members, or a StreamPing. Messages may be lost, delayed or duplicated.
type Message struct {
	Kind Kind
	// From and To are the names of the members.
	From, To string
	// SeqNo is chosen by the sender of a Ping or a PingReq, and returned in the answer. It is 0 in other messages.
	SeqNo uint64
	// Target is the member that a PingReq, Alive or Suspect is about. It is empty in other messages.
	Target string
}
