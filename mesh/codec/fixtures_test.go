package codec_test

import (
	"fmt"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/configversion"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/membership"
	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// fixtureNow is the time of the process's clock at which the frames were encoded.
const fixtureNow = 100 * time.Second

// fullFrame returns a frame with a different value in each field.
func fullFrame(kind byte) *wire.FrameT {
	return &wire.FrameT{
		Kind:     kind,
		Id:       0x0102030405060708,
		From:     "from",
		Ok:       true,
		Ballot:   &wire.BallotT{Number: 11, Proposer: "ballot"},
		Promised: &wire.BallotT{Number: 12, Proposer: "promised"},
		Accepted: &wire.BallotT{Number: 13, Proposer: "accepted"},
		Value: &wire.ValueT{
			Version:      new(uint32(14)),
			Body:         []byte("body"),
			Members:      []string{"member-1", "member-2"},
			PriorMembers: []string{"prior-1", "prior-2"},
			Records:      []byte("records, of 20 bytes"),
			Floor:        new(uint32(15)),
		},
		Incarnations: []*wire.IncarnationT{{Node: "node-1", Number: 16}, {Node: "", Number: 17}},
		Incarnation:  18,
		AgeMs:        19,
		Version:      new(uint32(20)),
		Reserved:     0x1112131415161718,
		Entries:      []*wire.EntryT{fullEntry(30), {}, fullEntry(50)},
		Machines: []*wire.MachineT{
			{
				Addr:        "machine-1",
				AgeMs:       21,
				Zone:        "zone-1",
				Voter:       true,
				Draining:    true,
				DiskFailing: true,
				Accepted:    &wire.BallotT{Number: 22, Proposer: "machine"},
			},
			{Addr: "machine-2", AgeMs: 23},
		},
		Text:          "text",
		Deltas:        []*wire.DeltaT{{Base: 24, Version: 25, Bytes: []byte("delta")}, {Base: 26, Version: 27}},
		LowestVersion: new(uint32(28)),
	}
}

func fullEntry(n uint16) *wire.EntryT {
	return &wire.EntryT{
		Node:        fmt.Sprint("entry-", n),
		Incarnation: uint64(n) + 1,
		Sequence:    uint64(n) + 2,
		Addr:        "addr",
		PeerAddr:    "talk",
		Zone:        "zone",
		Service:     "line",
		ServerId:    "server",
		State:       byte(n) + 3,
		Slots:       n + 4,
		WarmUpMs:    uint32(n) + 5,
		AgeMs:       uint32(n) + 6,
		Reserved:    n + 7,
	}
}

var frameKindNames = []struct {
	name string
	kind byte
}{
	{"prepare", wire.Prepare},
	{"promise", wire.Promise},
	{"accept", wire.Accept},
	{"accepted", wire.Accepted},
	{"nack", wire.Nack},
	{"read", wire.Read},
	{"read-reply", wire.ReadReply},
	{"rejoin", wire.Rejoin},
	{"rejoin-reply", wire.RejoinReply},
	{"chosen", wire.Commit},
	{"hello", wire.Hello},
	{"join", wire.Subscribe},
	{"keep", wire.Report},
	{"news", wire.Update},
	{"bye", wire.GoAway},
	{"ask", wire.ReservedOutcomeRequest},
	{"fate", wire.ReservedOutcomeResponse},
	{"probe", wire.Probe},
	{"pong", wire.ReservedProbeReply},
	{"ballots", wire.VoteRequest},
	{"vote", wire.VoteResponse},
	{"in-force", wire.InForce},
	{"release", wire.LeaseRelease},
}

var registerKindNames = []struct {
	name string
	kind register.Kind
}{
	{"prepare", register.Prepare},
	{"promise", register.Promise},
	{"accept", register.Accept},
	{"accepted", register.Accepted},
	{"nack", register.Nack},
	{"read", register.Read},
	{"read-reply", register.ReadReply},
	{"rejoin", register.Rejoin},
	{"rejoin-reply", register.RejoinReply},
	{"chosen", register.Commit},
}

// fullMessage returns a message with a different value in each field. It has one incarnation, as the order of several is not
// fixed.
func fullMessage(kind register.Kind) *register.Message {
	return &register.Message{
		Kind:     kind,
		From:     "10.1.0.13:7620",
		To:       "10.2.0.11:7620",
		Round:    41,
		Ballot:   register.Ballot{Number: 42, Proposer: "10.1.0.13:7620"},
		Promised: register.Ballot{Number: 43, Proposer: "10.2.0.11:7620"},
		Accepted: register.Ballot{Number: 44, Proposer: "10.3.0.11:7620"},
		Value: &register.Value{
			Version:      configversion.Of(45),
			Body:         []byte(`{"gates":[]}`),
			Members:      []string{"10.1.0.13:7620", "10.2.0.11:7620", "10.3.0.12:7620"},
			PriorMembers: []string{"10.1.0.13:7620", "10.2.0.11:7620", "10.3.0.11:7620"},
			History: register.History{
				Floor: configversion.Of(43),
				Records: []register.Record{
					{Version: configversion.Of(44), Content: register.ContentOf([]byte("44"))},
					{Version: configversion.Of(45), Content: register.ContentOf([]byte("45"))},
				},
			},
		},
		Incarnations:     map[string]uint32{"10.2.0.11:7620": 46},
		IncarnationFloor: 47,
		Incarnation:      48,
		Voter:            true,
	}
}

func entries() []directory.Entry {
	return []directory.Entry{
		{
			Node:        "sidecar-1",
			Incarnation: 51,
			Sequence:    52,
			Addr:        "10.1.1.1:7000",
			PeerAddr:    "10.1.1.1:7320",
			Zone:        "zone-1",
			Service:     "huvo",
			Server:      "server-51",
			State:       directory.Accepting,
			Slots:       53,
			WarmUntil:   fixtureNow + 54*time.Millisecond,
			Lost:        true,
			LastSeen:    fixtureNow - 55*time.Millisecond,
		},
		{Node: "sidecar-2", Incarnation: 56, LastSeen: fixtureNow, WarmUntil: fixtureNow},
	}
}

func machines() []dissemination.ControlMachine {
	return []dissemination.ControlMachine{
		{Addr: "10.1.0.13:7620", Zone: "zone-1", LastSeen: fixtureNow - 57*time.Millisecond},
		{Addr: "10.2.0.11:7620", LastSeen: fixtureNow},
	}
}

// fixture is a frame of testdata/5126712/frames.txt, constructed with the present code.
type fixture struct {
	name  string
	frame *wire.FrameT
}

// fixtures returns the frames in the order of the file.
func fixtures() []fixture {
	var frames []fixture
	for _, k := range frameKindNames {
		frames = append(frames, fixture{"frame/full/" + k.name, fullFrame(k.kind)})
		frames = append(frames, fixture{"frame/zero/" + k.name, &wire.FrameT{Kind: k.kind}})
	}
	for _, k := range registerKindNames {
		frames = append(frames, fixture{"register/full/" + k.name, codec.RegisterToFrame(fullMessage(k.kind))})
		frames = append(frames, fixture{"register/zero/" + k.name, codec.RegisterToFrame(&register.Message{Kind: k.kind})})
	}
	for kind := membership.Ping; kind <= membership.Suspect; kind++ {
		full := &wire.FrameT{Kind: wire.Probe, Incarnation: uint32(kind), From: "sidecar-1", Id: 61, Text: "sidecar-2"}
		frames = append(frames, fixture{fmt.Sprint("membership/full/", uint8(kind)), full})
		frames = append(frames, fixture{fmt.Sprint("membership/zero/", uint8(kind)), &wire.FrameT{Kind: wire.Probe, Incarnation: uint32(kind)}})
	}
	subscribe := &wire.FrameT{Kind: wire.Subscribe, From: "sidecar-1", Entries: codec.EntriesToWire(entries(), fixtureNow)}
	liveness := []*wire.EntryT{codec.LivenessToWire(&entries()[0], fixtureNow)}
	return append(frames,
		fixture{"news/full", codec.UpdateToFrame(fullUpdate(), []byte("packed"), fixtureNow)},
		fixture{"news/zero", codec.UpdateToFrame(&dissemination.Update{AsOf: dissemination.TimeUnknown}, nil, fixtureNow)},
		fixture{"join/full", codec.SetAck(subscribe, fullAck)},
		fixture{"keep/alive", codec.SetAck(&wire.FrameT{Kind: wire.Report, From: "sidecar-1", Entries: liveness}, fullAck)},
		fixture{"hello/full", fullHello()},
	)
}

func fullUpdate() *dissemination.Update {
	return &dissemination.Update{
		SubscriberID:    71,
		Nonce:           72,
		AsOf:            fixtureNow - 73*time.Millisecond,
		Version:         configversion.Of(74),
		Deltas:          []dissemination.Delta{{Base: configversion.Of(75), Version: configversion.Of(76), Bytes: []byte("delta")}},
		FullText:        true,
		Entries:         entries(),
		ControlMachines: machines(),
	}
}

var fullAck = dissemination.Ack{Nonce: 81, Version: configversion.Of(82), LowestInForce: configversion.Of(83)}

var fullStatus = codec.NodeStatus{
	Voter:       true,
	Draining:    true,
	DiskFailing: true,
	Accepted:    register.Ballot{Number: 92, Proposer: "10.2.0.11:7620"},
}

func fullHello() *wire.FrameT {
	hello := &wire.FrameT{
		Kind:          wire.Hello,
		From:          "10.1.0.13:7620",
		Text:          "zone-1",
		LowestVersion: new(uint32(91)),
		Machines:      codec.MachinesToWire(machines(), fixtureNow),
	}
	codec.SetNodeStatus(hello, fullStatus)
	return hello
}
