package distribution

import (
	"fmt"
	"testing"
	"time"

	"firplank/mesh/wire"
)

// tombstoneFrame returns the only frame of a kind that the node sends on a connection, or nil.
func tombstoneFrame(t *testing.T, n *Node, now time.Duration, to Conn, kind wire.Kind) (found *wire.FrameT) {
	t.Helper()
	n.Maintain(now, 0)
	for _, f := range frames(n.TakeActions(), to) {
		if f.Kind == kind && found != nil {
			t.Errorf("kind %d is sent twice", kind)
		}
		if f.Kind == kind {
			found = f
		}
	}
	return found
}

// Guards against an acknowledged shutdown that no disk has: it counts as recorded only once the control machines have answered this
// request, which is sent until then, also to the next parent. An answer to an earlier process of the sidecar, or to another sidecar, must
// not count.
func TestShutdownIsRecordedOnceAnswered(t *testing.T) {
	n, h := newNode("c1")
	c, _ := connect(t, n, 0)
	n.RecordTombstone(0, "i-1")
	f := tombstoneFrame(t, n, 0, c, wire.RecordTombstone)
	if f == nil || f.From != self || len(f.Entries) != 1 || f.Entries[0].Node != self || f.Entries[0].ServerId != "i-1" {
		t.Fatalf("sent %+v", f)
	}
	if again := tombstoneFrame(t, n, time.Millisecond, c, wire.RecordTombstone); again != nil {
		t.Error("sent again at once")
	}
	for _, answer := range []*wire.FrameT{
		{Kind: wire.TombstoneRecorded, From: self, Id: f.Id - 1},
		{Kind: wire.TombstoneRecorded, From: "n2", Id: f.Id},
	} {
		if n.Handle(0, FrameReceived{c, answer}); len(h.recorded) > 0 {
			t.Errorf("%+v counts", answer)
		}
	}
	n.Handle(time.Millisecond, ConnClosed{c})
	c, _ = connect(t, n, 300*time.Millisecond)
	if f = tombstoneFrame(t, n, 300*time.Millisecond, c, wire.RecordTombstone); f == nil {
		t.Fatal("not sent to the next parent")
	}
	n.Handle(310*time.Millisecond, FrameReceived{c, &wire.FrameT{Kind: wire.TombstoneRecorded, From: self, Id: f.Id}})
	if fmt.Sprint(h.recorded) != "[i-1]" {
		t.Errorf("recorded %v", h.recorded)
	}
	if f = tombstoneFrame(t, n, time.Hour, c, wire.RecordTombstone); f != nil {
		t.Error("sent again after the answer")
	}
}

// A request that was not answered within the server's call is not sent any more, as the server calls again.
func TestUnansweredShutdownRequestEnds(t *testing.T) {
	n, h := newNode("c1")
	c, _ := connect(t, n, 0)
	n.RecordTombstone(0, "i-1")
	late := durations.Tombstones.CallTimeout
	if f := tombstoneFrame(t, n, late, c, wire.RecordTombstone); f != nil || len(h.recorded) > 0 {
		t.Errorf("sent %+v, recorded %v", f, h.recorded)
	}
}

// A restarted sidecar asks for the tombstones of its servers until it gets them, and announces its server if they change its state.
func TestTombstonesAreFetchedUntilAnswered(t *testing.T) {
	n, h := newNode("c1")
	h.fetchChanges = true
	n.FetchTombstones(0)
	c, _ := connect(t, n, 0)
	first := tombstoneFrame(t, n, 0, c, wire.FetchTombstones)
	again := tombstoneFrame(t, n, durations.Tombstones.ResendInterval, c, wire.FetchTombstones)
	if first == nil || again == nil || first.Id != again.Id || first.From != self {
		t.Fatalf("sent %+v, then %+v", first, again)
	}
	if third := tombstoneFrame(t, n, 2*durations.Tombstones.ResendInterval, c, wire.FetchTombstones); third != nil {
		t.Error("the interval does not grow while no majority answers")
	}
	before, _ := n.State().Directory.Get(self)
	fetched := []*wire.EntryT{{ServerId: "i-1"}, {ServerId: "i-2"}}
	answer := &wire.FrameT{Kind: wire.TombstonesFetched, From: self, Id: first.Id, Entries: fetched}
	n.Handle(time.Second, FrameReceived{c, answer})
	if after, _ := n.State().Directory.Get(self); fmt.Sprint(h.fetched) != "[i-1 i-2]" || after.Sequence <= before.Sequence {
		t.Errorf("fetched %v, announced %d, then %d", h.fetched, before.Sequence, after.Sequence)
	}
	if f := tombstoneFrame(t, n, time.Hour, c, wire.FetchTombstones); f != nil {
		t.Error("asked again after the answer")
	}
}

// A relay passes requests of its subscribers on to its parent, and the answers back to the subscriber that asked.
func TestRelayPassesTombstoneRequestsOn(t *testing.T) {
	n, _, parent := readyNode(t)
	c := &fakeConn{"n2"}
	n.Handle(time.Second, FrameReceived{c, subscriberFrame(wire.Subscribe, 1, nil)})
	n.TakeActions()
	request := &wire.FrameT{Kind: wire.RecordTombstone, From: "n2", Id: 7, Entries: []*wire.EntryT{{Node: "n2", ServerId: "i-1"}}}
	n.Handle(time.Second, FrameReceived{c, request})
	if sent := frames(n.TakeActions(), parent); len(sent) != 1 || sent[0] != request {
		t.Errorf("the parent gets %+v", sent)
	}
	answer := &wire.FrameT{Kind: wire.TombstoneRecorded, From: "n2", Id: 7}
	n.Handle(time.Second, FrameReceived{parent, answer})
	if sent := frames(n.TakeActions(), c); len(sent) != 1 || sent[0] != answer {
		t.Errorf("the subscriber gets %+v", sent)
	}
}
