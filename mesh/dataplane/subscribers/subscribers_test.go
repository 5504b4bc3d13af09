package subscribers

import (
	"fmt"
	"testing"
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// fakeConn is a connection that is only compared. It has a field so that pointers to different connections differ.
type fakeConn struct{ _ int }

func (*fakeConn) Send(*wire.FrameT) bool { panic("the package must not send on connections") }
func (*fakeConn) Close()                 { panic("the package must not close connections") }

// recordingPacker records the texts that it packs.
type recordingPacker struct{ packed []string }

func (p *recordingPacker) Pack(version configversion.Version, text []byte) []byte {
	p.packed = append(p.packed, fmt.Sprintf("%v:%s", version, text))
	return append([]byte("packed "), text...)
}

func newSet() (*Subscribers, *dissemination.Publisher, *recordingPacker) {
	state, packer := dissemination.NewPublisher(timing.Default().Dissemination), &recordingPacker{}
	state.SetConfig(configversion.Of(5), []byte("five"), nil, 0)
	return New(state, packer), state, packer
}

// subscribe adds a subscriber that has a version.
func subscribe(t *testing.T, s *Subscribers, version configversion.Version) *fakeConn {
	t.Helper()
	c := &fakeConn{}
	f := &wire.FrameT{Kind: wire.Subscribe, Version: version.Optional(), LowestVersion: version.Optional()}
	if added, sends := s.Add(c, f, true, 0); !added || len(sends) != 0 {
		t.Fatalf("added %v, sends %+v", added, sends)
	}
	return c
}

func isGoAway(sends []Send, to Conn) bool {
	return len(sends) == 1 && sends[0].To == to && sends[0].Frame.Kind == wire.GoAway
}

func TestSubscriptionIsRefusedWhenNotRelaying(t *testing.T) {
	s, state, _ := newSet()
	c := &fakeConn{}
	if added, sends := s.Add(c, &wire.FrameT{Kind: wire.Subscribe}, false, 0); added || !isGoAway(sends, c) {
		t.Errorf("added %v, sends %+v", added, sends)
	}
	if s.Len() != 0 || state.LowestInForce(0) != dissemination.Unconstrained {
		t.Error("a refused subscriber is counted")
	}
}

func TestSubscribersAreBounded(t *testing.T) {
	s, _, _ := newSet()
	for range dissemination.MaxSubscribers {
		subscribe(t, s, configversion.Of(5))
	}
	c := &fakeConn{}
	if added, sends := s.Add(c, &wire.FrameT{Kind: wire.Subscribe}, true, 0); added || !isGoAway(sends, c) {
		t.Errorf("added %v, sends %+v", added, sends)
	}
	if s.Len() != dissemination.MaxSubscribers {
		t.Errorf("%d subscribers", s.Len())
	}
}

func TestSecondRequestOnAConnectionIsIgnored(t *testing.T) {
	s, _, _ := newSet()
	c := subscribe(t, s, configversion.Of(5))
	if added, sends := s.Add(c, &wire.FrameT{Kind: wire.Subscribe}, true, 0); added || len(sends) != 0 || s.Len() != 1 {
		t.Errorf("added %v, sends %+v", added, sends)
	}
}

// A subscriber without a version must be sent the packed full text, and one with an earlier version the deltas.
func TestSubscribersAreSentFullTextOrDeltas(t *testing.T) {
	s, state, p := newSet()
	newSubscriber, oldSubscriber := subscribe(t, s, configversion.None), subscribe(t, s, configversion.Of(5))
	state.SetConfig(configversion.Of(6), []byte("six"), nil, 0)
	sends, next := s.Publish(time.Second)
	if len(sends) != 2 || next != time.Second+timing.Default().Dissemination.HeartbeatInterval {
		t.Fatalf("sends %+v, next at %v", sends, next)
	}
	for _, send := range sends {
		f := send.Frame
		switch send.To {
		case newSubscriber:
			if f.Value == nil || string(f.Value.Body) != "packed six" || *f.Version != 6 {
				t.Errorf("a new subscriber is sent %+v", f)
			}
		case oldSubscriber:
			if f.Value != nil || len(f.Deltas) != 1 || f.Deltas[0].Base != 5 || *f.Version != 6 {
				t.Errorf("a subscriber with the previous version is sent %+v", f)
			}
		}
	}
	if fmt.Sprint(p.packed) != "[00000006:six]" {
		t.Errorf("packed %v", p.packed)
	}
}

func TestAcknowledgementsCountForTheirSubscriber(t *testing.T) {
	s, state, _ := newSet()
	a, b := subscribe(t, s, configversion.Of(3)), subscribe(t, s, configversion.Of(4))
	if lowest := state.LowestInForce(0); lowest != configversion.Of(3) {
		t.Errorf("lowest %d", lowest)
	}
	s.Acknowledge(a, &wire.FrameT{Kind: wire.Report, Version: new(uint32(5)), LowestVersion: new(uint32(5))}, 0)
	if lowest := state.LowestInForce(0); lowest != configversion.Of(4) {
		t.Errorf("after the first subscriber has 5 in force: lowest %d", lowest)
	}
	s.Acknowledge(&fakeConn{1}, &wire.FrameT{Kind: wire.Report, Version: new(uint32(1)), LowestVersion: new(uint32(1))}, 0)
	if lowest := state.LowestInForce(0); lowest != configversion.Of(4) {
		t.Errorf("after a report on an unknown connection: lowest %d", lowest)
	}
	s.Remove(b)
	s.Remove(b)
	if lowest := state.LowestInForce(0); lowest != configversion.Of(5) || s.Len() != 1 {
		t.Errorf("after the other subscriber was removed: lowest %d, %d subscribers", lowest, s.Len())
	}
}

// A subscription request must count as an acknowledgement. A relay that reconnects may already have subscribers with an
// earlier version.
func TestFirstRequestIsAnAcknowledgementToo(t *testing.T) {
	s, state, _ := newSet()
	f := &wire.FrameT{Kind: wire.Subscribe, Version: new(uint32(5)), LowestVersion: new(uint32(2))}
	if added, _ := s.Add(&fakeConn{}, f, true, 0); !added || state.LowestInForce(0) != configversion.Of(2) {
		t.Errorf("added %v, lowest %d", added, state.LowestInForce(0))
	}
}

func TestRemovedSubscriberIsSentNothing(t *testing.T) {
	s, _, _ := newSet()
	c := subscribe(t, s, configversion.None)
	s.Remove(c)
	if sends, _ := s.Publish(time.Second); len(sends) != 0 || len(s.Conns()) != 0 {
		t.Errorf("sends %+v", sends)
	}
	if added, _ := s.Add(c, &wire.FrameT{Kind: wire.Subscribe}, true, time.Second); !added {
		t.Error("cannot subscribe again")
	}
	if sends, _ := s.Publish(2 * time.Second); len(sends) != 1 || sends[0].Frame.Value == nil {
		t.Errorf("after it has subscribed again, sends %+v", sends)
	}
}

func TestSubscribersRemainUntilTheirConnectionsEnd(t *testing.T) {
	s, _, _ := newSet()
	pending := map[Conn]bool{subscribe(t, s, configversion.Of(5)): true, subscribe(t, s, configversion.Of(5)): true}
	for _, send := range s.GoAwayAll() {
		if send.Frame.Kind != wire.GoAway || !pending[send.To] {
			t.Errorf("sends %+v", send)
		}
		delete(pending, send.To)
	}
	if len(pending) != 0 || s.Len() != 2 || len(s.Conns()) != 2 {
		t.Errorf("%d were not told to go away, %d subscribers", len(pending), s.Len())
	}
}
