package scale

import (
	"fmt"
	"testing"

	"firplank/mesh/codec"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/wire"
)

func entry(i int) *directory.Entry {
	return &directory.Entry{
		Node: fmt.Sprintf("hollow-%06d", i), Incarnation: 1700000000000, Sequence: 2, Addr: "127.78.16.1:7300",
		PeerAddr: "127.78.16.1:7320", Zone: "zone-1",
		Service: "service-001", Server: "i-000001", State: directory.Accepting, Slots: 8,
	}
}

func TestMeasureIsExactForShortFrames(t *testing.T) {
	whole, alive := codec.EntryToWire(entry(1), 0), codec.LivenessToWire(entry(2), 0)
	for name, f := range map[string]*wire.FrameT{
		"bare":       {Kind: wire.Subscribe, From: "hollow-000001"},
		"alive":      {Kind: wire.Report, From: "hollow-000001", Entries: []*wire.EntryT{alive}},
		"both":       {Kind: wire.Report, From: "hollow-000001", Entries: []*wire.EntryT{whole, alive, alive}},
		"news":       codec.UpdateToFrame(&dissemination.Update{Version: 7, AsOf: 0}, nil, 0),
		"difference": codec.UpdateToFrame(&dissemination.Update{Version: 7, Deltas: oneDelta()}, nil, 0),
		"bye":        {Kind: wire.GoAway},
		"configuration": {
			Kind: wire.Update, Version: new(uint32(7)), Entries: []*wire.EntryT{},
			Value: &wire.ValueT{Version: new(uint32(7)), Body: make([]byte, 5000)},
		},
		"machines": {
			Kind: wire.Update, Version: new(uint32(7)), Entries: []*wire.EntryT{},
			Machines: []*wire.MachineT{{Addr: "127.78.0.1:7320", Zone: "zone-1", AgeMs: 12}},
		},
	} {
		sent := wire.Encode(f)
		received, err := wire.Decode(sent[4:])
		if err != nil {
			t.Fatal(err)
		}
		if got := Measure(f).Total(); got != int64(len(sent)) {
			t.Errorf("%s: %d bytes, want %d", name, got, len(sent))
		}
		if got := Measure(received).Total(); got != int64(len(sent)) {
			t.Errorf("%s, received: %d bytes, want %d", name, got, len(sent))
		}
	}
}

func TestMeasureSplitsBytesByContent(t *testing.T) {
	f := &wire.FrameT{Kind: wire.Update, Version: new(uint32(7)), Value: &wire.ValueT{Version: new(uint32(7)), Body: make([]byte, 5000)}}
	for i := range 10 {
		f.Entries = append(f.Entries, codec.EntryToWire(entry(i), 0), codec.LivenessToWire(entry(i), 0))
	}
	s := Measure(f)
	if s.Configuration != 5000 || s.Machines != 0 || s.Alive <= 0 || s.Entries <= s.Alive+300 || s.Header > 200 {
		t.Errorf("%+v", s)
	}
	f = codec.UpdateToFrame(&dissemination.Update{Version: 7, Deltas: oneDelta()}, nil, 0)
	if s := Measure(f); s.Configuration != 100 || s.Entries+s.Alive+s.Machines != 0 {
		t.Errorf("frame with a delta: %+v", s)
	}
}

func TestMeasureOfLongListsApproximatesEncodedSize(t *testing.T) {
	f := &wire.FrameT{Kind: wire.Hello, From: "127.78.0.1:7320"}
	for i := range 3000 {
		f.Entries = append(f.Entries, codec.LivenessToWire(entry(i), 0))
		if i%3 == 0 {
			f.Entries = append(f.Entries, codec.EntryToWire(entry(i), 0))
		}
	}
	assertNear(t, "bytes", float64(Measure(f).Total()), float64(encodedSize(f)), 0.01)
}

func TestTrafficCounterSeparatesLinksAndKinds(t *testing.T) {
	a := NewTrafficCounter()
	a.Add(ControlToChild, wire.Update, Sizes{Header: 10, Configuration: 90})
	a.Add(ControlToChild, wire.Update, Sizes{Header: 10})
	a.Add(ControlToChild, wire.GoAway, Sizes{Header: 4})
	a.Add(RelayToChild, wire.Update, Sizes{Header: 7})
	want := map[string]Tally{
		"News down": {ControlToChild, "News", 2, Sizes{Header: 20, Configuration: 90}},
		"Bye":       {ControlToChild, "Bye", 1, Sizes{Header: 4}},
		"relayed":   {RelayToChild, "News", 1, Sizes{Header: 7}},
	}
	for name, w := range want {
		if got := find(a.Tallies(), w); got == nil || *got != w {
			t.Errorf("%s: %+v, want %+v", name, got, w)
		}
	}
	if len(a.Tallies()) != len(want) {
		t.Errorf("%d tallies", len(a.Tallies()))
	}
}

func TestSinceSubtractsEarlierTallies(t *testing.T) {
	a, b := NewTrafficCounter(), NewTrafficCounter()
	a.Add(ChildToControl, wire.Report, Sizes{Header: 5, Alive: 50})
	before := a.Tallies()
	a.Add(ChildToControl, wire.Report, Sizes{Header: 6, Alive: 60})
	b.Add(ChildToControl, wire.Report, Sizes{Header: 1})
	got := Since(Sum(a.Tallies(), b.Tallies()), before)
	want := Tally{ChildToControl, "Keep", 2, Sizes{Header: 7, Alive: 60}}
	if len(got) != 1 || got[0] != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if before[0].Frames != 1 {
		t.Error("Tallies returned earlier have changed")
	}
}

// oneDelta is a delta of 100 bytes.
func oneDelta() []dissemination.Delta {
	return []dissemination.Delta{{Base: 6, Version: 7, Bytes: make([]byte, 100)}}
}
