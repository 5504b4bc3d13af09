package codec

import (
	"firplank/mesh/configversion"
	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// frameKinds are the kinds of frames that carry the register's messages, by register.Kind. 0 stands for no frame.
var frameKinds = [...]wire.Kind{
	register.Prepare:     wire.Prepare,
	register.Promise:     wire.Promise,
	register.Accept:      wire.Accept,
	register.Accepted:    wire.Accepted,
	register.Nack:        wire.Nack,
	register.Read:        wire.Read,
	register.ReadReply:   wire.ReadReply,
	register.Rejoin:      wire.Rejoin,
	register.RejoinReply: wire.RejoinReply,
	register.Commit:      wire.Commit,
}

// RegisterToFrame returns the frame of a message of the register. The frame does not contain the message's recipient,
// which is the peer of the connection.
func RegisterToFrame(m *register.Message) *wire.FrameT {
	return &wire.FrameT{
		Kind:         frameKinds[m.Kind],
		Id:           m.Round,
		From:         m.From,
		Ok:           m.Voter,
		Ballot:       ballotToWire(m.Ballot),
		Promised:     ballotToWire(m.Promised),
		Accepted:     ballotToWire(m.Accepted),
		Value:        valueToWire(m.Value),
		Incarnations: incarnationsToWire(m.Incarnations, m.IncarnationFloor),
		Incarnation:  m.Incarnation,
	}
}

// RegisterFromFrame returns the register's message in a frame, without its recipient. ok is false for other kinds of
// frames.
func RegisterFromFrame(f *wire.FrameT) (m register.Message, ok bool) {
	kind, ok := registerKind(f.Kind)
	if !ok {
		return register.Message{}, false
	}
	incarnations, floor := incarnationsFromWire(f.Incarnations)
	return register.Message{
		Kind:             kind,
		Round:            f.Id,
		From:             f.From,
		Voter:            f.Ok,
		Ballot:           ballotFromWire(f.Ballot),
		Promised:         ballotFromWire(f.Promised),
		Accepted:         ballotFromWire(f.Accepted),
		Value:            valueFromWire(f.Value),
		Incarnations:     incarnations,
		IncarnationFloor: floor,
		Incarnation:      f.Incarnation,
	}, true
}

func registerKind(wireKind wire.Kind) (kind register.Kind, ok bool) {
	for kind, frameKind := range frameKinds {
		if frameKind == wireKind && frameKind != 0 {
			return register.Kind(kind), true
		}
	}
	return 0, false
}

// StateToWire converts a replica's state for storage.
func StateToWire(s *register.State) *wire.StateT {
	return &wire.StateT{
		Promised:     ballotToWire(s.Promised),
		Accepted:     ballotToWire(s.Accepted),
		Value:        valueToWire(&s.Value),
		Incarnations: incarnationsToWire(s.Incarnations, s.IncarnationFloor),
		Incarnation:  s.Incarnation,
		Voter:        s.Voter,
	}
}

// StateFromWire converts the stored state of a replica.
func StateFromWire(s *wire.StateT) *register.State {
	incarnations, floor := incarnationsFromWire(s.Incarnations)
	state := &register.State{
		Promised:         ballotFromWire(s.Promised),
		Accepted:         ballotFromWire(s.Accepted),
		Incarnations:     incarnations,
		IncarnationFloor: floor,
		Incarnation:      s.Incarnation,
		Voter:            s.Voter,
	}
	if value := valueFromWire(s.Value); value != nil {
		state.Value = *value
	}
	return state
}

// ballotToWire returns nil for the zero ballot, so that it takes no bytes.
func ballotToWire(b register.Ballot) *wire.BallotT {
	if b == (register.Ballot{}) {
		return nil
	}
	return &wire.BallotT{Number: b.Number, Proposer: b.Proposer}
}

func ballotFromWire(b *wire.BallotT) register.Ballot {
	if b == nil {
		return register.Ballot{}
	}
	return register.Ballot{Number: b.Number, Proposer: b.Proposer}
}

func valueToWire(v *register.Value) *wire.ValueT {
	if v == nil {
		return nil
	}
	return &wire.ValueT{
		Version:      v.Version.Optional(),
		Body:         v.Body,
		Members:      v.Members,
		PriorMembers: v.PriorMembers,
		Records:      recordsToWire(v.History.Records),
		Floor:        v.History.Floor.Optional(),

		Rollouts:        rolloutsToWire(v.Rollouts),
		RolloutRevision: v.Rollouts.Revision,
	}
}

func valueFromWire(v *wire.ValueT) *register.Value {
	if v == nil {
		return nil
	}
	return &register.Value{
		Version:      configversion.FromOptional(v.Version),
		Body:         v.Body,
		Members:      v.Members,
		PriorMembers: v.PriorMembers,
		History:      historyFromWire(v),
		Rollouts:     rolloutsFromWire(v.RolloutRevision, v.Rollouts),
	}
}

// incarnationsToWire returns the incarnations as a list in random order. The floor is sent as the incarnation of a node
// without a name.
func incarnationsToWire(incarnations map[string]uint32, floor uint32) []*wire.IncarnationT {
	var list []*wire.IncarnationT
	for node, number := range incarnations {
		list = append(list, &wire.IncarnationT{Node: node, Number: number})
	}
	if floor > 0 {
		list = append(list, &wire.IncarnationT{Number: floor})
	}
	return list
}

func incarnationsFromWire(list []*wire.IncarnationT) (incarnations map[string]uint32, floor uint32) {
	incarnations = make(map[string]uint32, len(list))
	for _, i := range list {
		if i.Node == "" {
			floor = max(floor, i.Number)
			continue
		}
		incarnations[i.Node] = i.Number
	}
	return incarnations, floor
}
