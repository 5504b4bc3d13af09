package distribution

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/codec"
	"firplank/mesh/config"
	"firplank/mesh/dataplane/subscription"
	"firplank/mesh/dataplane/updates"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// fakeConn is a connection of which only the identity counts.
type fakeConn struct{ name string }

func (*fakeConn) Send(*wire.FrameT) bool { panic("a node sends nothing itself") }
func (*fakeConn) Close()                 { panic("a node closes nothing itself") }

// fakeHost is a program that takes up each configuration but those that it refuses.
type fakeHost struct {
	refuses     map[uint32]bool
	inForce     uint32
	text        string
	state       directory.State
	recalled    []directory.Entry
	incarnation uint64
	ready       int
	packs       int
}

func (*fakeHost) Unpack(_ uint32, packed []byte) ([]byte, error) { return config.Unpack(packed) }
func (*fakeHost) Intern(_ uint32, text []byte) []byte            { return text }

func (h *fakeHost) Pack(_ uint32, text []byte) []byte {
	h.packs++
	return config.Pack(text)
}

func (h *fakeHost) Adopt(version uint32, text []byte) uint32 {
	if !h.refuses[version] {
		h.inForce, h.text = version, string(text)
	}
	return h.inForce
}

func (h *fakeHost) DescribeServer(own *directory.Entry) { own.State = h.state }

func (h *fakeHost) RestoreServer(_ time.Duration, e *directory.Entry) {
	h.recalled = append(h.recalled, *e)
}

func (h *fakeHost) IncarnationChanged(n uint64) { h.incarnation = n }
func (h *fakeHost) BecameReady(_ time.Duration) { h.ready++ }

const self = "n1"

// durations are those of a deployment with an inForceS of 2 s.
var durations = timing.DefaultInForce(2 * time.Second)

func newNode(seeds ...string) (*Node, *fakeHost) {
	h := &fakeHost{}
	policy := dissemination.NewSubscriber(self, "x", durations.Dissemination, 0)
	policy.Seeds = seeds
	return New(directory.Entry{Node: self, Incarnation: 10, Sequence: 1, Zone: "x", PeerAddr: "n1:1"}, policy, h, durations), h
}

// connect has a node dial its parent at a time and returns the connection and what was sent first.
func connect(t *testing.T, n *Node, now time.Duration) (*fakeConn, *wire.FrameT) {
	t.Helper()
	n.Maintain(now, 0)
	d, ok := last(n.TakeActions()).(Dial)
	if !ok {
		t.Fatal("no parent was dialed")
	}
	c := &fakeConn{d.Addr}
	n.Handle(now, ParentDialed{Conn: c})
	s, ok := last(n.TakeActions()).(Send)
	if !ok || s.To != c || s.Frame.Kind != wire.Subscribe {
		t.Fatalf("began with %+v", s)
	}
	return c, s.Frame
}

func last(all []Action) Action {
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1]
}

// textOf is a configuration of a version.
func textOf(version string) []byte {
	return []byte(`{"edition":"` + version + `","caps":{},"gates":[],"fleets":[]}`)
}

// updateFor is what a publisher with versions sends a subscriber that has one of them.
func updateFor(t *testing.T, has uint32, versions ...[]byte) *wire.FrameT {
	t.Helper()
	p := dissemination.NewPublisher(durations.Dissemination)
	for i, text := range versions {
		p.SetConfig(uint32(i+1), text, nil, 0)
	}
	p.Subscribe(1, has, 0)
	news, _ := p.Tick(0)
	return codec.UpdateToFrame(&news[0], config.Pack(p.Text), 0)
}

// frames returns the frames for a connection among actions.
func frames(all []Action, to Conn) (out []*wire.FrameT) {
	for _, a := range all {
		if s, ok := a.(Send); ok && s.To == to {
			out = append(out, s.Frame)
		}
	}
	return out
}

// readyNode returns a node that is ready with version 1 under a control machine.
func readyNode(t *testing.T) (*Node, *fakeHost, *fakeConn) {
	t.Helper()
	n, h := newNode("c1:1")
	parent, _ := connect(t, n, 0)
	n.Handle(0, FrameReceived{parent, updateFor(t, 0, textOf("00000001"))})
	if !n.Ready() || h.ready != 1 || h.inForce != 1 {
		t.Fatalf("ready %v, %d times, with version %d", n.Ready(), h.ready, h.inForce)
	}
	n.Publish(0)
	n.TakeActions()
	return n, h, parent
}

// A sidecar whose text is another than its parent believes asks for the whole, and says meanwhile what is in force;
// it never takes up a mixture.
func TestSidecarAsksForTheWholeWhenDifferencesDoNotFit(t *testing.T) {
	n, h, parent := readyNode(t)
	other := append(textOf("00000001"), ' ')
	n.Handle(time.Second, FrameReceived{parent, updateFor(t, 1, other, textOf("00000002"))})
	rejected, ok := last(n.TakeActions()).(UpdateRejected)
	if !ok || !errors.Is(rejected.Err, updates.ErrDeltaMismatch) || rejected.Version != 2 || rejected.PresentVersion != 1 {
		t.Errorf("logged %+v", rejected)
	}
	n.Adopt()
	n.Publish(time.Second)
	sent := frames(n.TakeActions(), parent)
	if len(sent) != 1 || sent[0].Version != 0 || sent[0].LowestVersion != 1 {
		t.Fatalf("reports %+v", sent)
	}
	if n.State().Version != 1 {
		t.Errorf("has version %d", n.State().Version)
	}
	n.Handle(time.Second, FrameReceived{parent, updateFor(t, 0, other, textOf("00000002"))})
	n.Adopt()
	n.Publish(time.Second)
	sent = frames(n.TakeActions(), parent)
	if len(sent) != 1 || sent[0].Version != 2 || sent[0].LowestVersion != 2 || h.text != string(textOf("00000002")) {
		t.Errorf("reports %+v with %s", sent, h.text)
	}
}

// News that say how old their version is leave a sidecar that has just started with that age, which is more than its
// own.
func TestAgeReachesBehindTheStart(t *testing.T) {
	n, _ := newNode("c1:1")
	parent, _ := connect(t, n, 0)
	f := updateFor(t, 0, textOf("00000001"))
	f.AgeMs = 8000
	n.Handle(100*time.Millisecond, FrameReceived{parent, f})
	if age := 100*time.Millisecond - n.State().AsOf; age != 8*time.Second {
		t.Errorf("its age is %v", age)
	}
	if n.Ready() {
		t.Error("is ready with it")
	}
}

// A configuration that can't be used leaves the old one in force, which is what the parent hears, and the sidecar
// that has none isn't ready.
func TestUnusableConfigurationIsNotInForce(t *testing.T) {
	n, h, parent := readyNode(t)
	h.refuses = map[uint32]bool{2: true}
	n.Handle(time.Second, FrameReceived{parent, updateFor(t, 0, textOf("00000001"), textOf("00000002"))})
	n.Adopt()
	n.Publish(time.Second)
	sent := frames(n.TakeActions(), parent)
	if len(sent) != 1 || sent[0].Version != 2 || sent[0].LowestVersion != 1 || h.inForce != 1 {
		t.Errorf("reports %+v with version %d", sent, h.inForce)
	}
	n, h = newNode("c1:1")
	h.refuses = map[uint32]bool{1: true}
	parent, _ = connect(t, n, 0)
	n.Handle(0, FrameReceived{parent, updateFor(t, 0, textOf("00000001"))})
	if n.Ready() || h.ready != 0 {
		t.Error("is ready without a configuration")
	}
}

// Who subscribes is taken in by a sidecar that is ready and hears a control machine, and by no other.
func TestWhoMaySubscribe(t *testing.T) {
	join := func(n *Node, name string) (*fakeConn, []*wire.FrameT) {
		c := &fakeConn{name}
		n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Subscribe, From: name}})
		return c, frames(n.TakeActions(), c)
	}
	dismissed := func(sent []*wire.FrameT) bool { return len(sent) == 1 && sent[0].Kind == wire.GoAway }

	early, _ := newNode("c1:1")
	connect(t, early, 0)
	if _, sent := join(early, "n2"); !dismissed(sent) || early.Subscribers() != 0 {
		t.Errorf("one that isn't ready sent %+v", sent)
	}
	n, _, parent := readyNode(t)
	c, sent := join(n, "n2")
	if len(sent) != 0 || n.Subscribers() != 1 {
		t.Fatalf("a ready one sent %+v", sent)
	}
	n.Publish(time.Second)
	if sent = frames(n.TakeActions(), c); len(sent) != 1 || sent[0].Kind != wire.Update || sent[0].Value == nil {
		t.Errorf("a new subscriber was sent %+v", sent)
	}
	n.Handle(time.Second, ConnClosed{parent})
	if _, sent = join(n, "n3"); !dismissed(sent) {
		t.Errorf("one without a parent sent %+v", sent)
	}
	n, _, _ = readyNode(t)
	n.Drain(time.Second)
	n.TakeActions()
	if _, sent = join(n, "n4"); !dismissed(sent) || n.Subscribers() != 0 {
		t.Errorf("one that drains sent %+v", sent)
	}
}

// What comes from below goes into the directory and on to the parent, but for what one below says is lost, which goes
// only on.
func TestEntriesFromBelowGoToTheParent(t *testing.T) {
	n, _, parent := readyNode(t)
	c := &fakeConn{"n2"}
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Subscribe, From: "n2"}})
	n.TakeActions()
	entries := []*wire.EntryT{
		codec.EntryToWire(&directory.Entry{Node: "n2", Incarnation: 1, Sequence: 1, LastSeen: time.Second}, time.Second),
		codec.EntryToWire(&directory.Entry{Node: "n3", Incarnation: 1, Sequence: 1, LastSeen: time.Second, Lost: true}, time.Second),
	}
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Report, From: "n2", Entries: entries, Version: 1, LowestVersion: 1}})
	sent := frames(n.TakeActions(), parent)
	if len(sent) != 1 || len(sent[0].Entries) != 2 || sent[0].From != self {
		t.Errorf("the parent was sent %+v", sent)
	}
	if _, ok := n.State().Directory.Get("n2"); !ok {
		t.Error("the directory lacks the one below")
	}
	if _, ok := n.State().Directory.Get("n3"); ok {
		t.Error("the directory has one that is only said to be lost")
	}
}

func TestParentThatStartedAnewLearnsOfTheSidecarsBelow(t *testing.T) {
	n, _, parent := readyNode(t)
	c := &fakeConn{"n2"}
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Subscribe, From: "n2"}})
	below := directory.Entry{Node: "n2", Incarnation: 1, Sequence: 7, Server: "i-2", LastSeen: time.Second}
	announced := codec.EntryToWire(&below, time.Second)
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Report, From: "n2", Entries: []*wire.EntryT{announced}}})
	const heard, redialed = 50 * time.Second, 51 * time.Second
	alive := codec.LivenessToWire(&directory.Entry{Node: "n2", Incarnation: 1, LastSeen: heard}, heard)
	n.Handle(heard, FrameReceived{c, &wire.FrameT{Kind: wire.Report, From: "n2", Entries: []*wire.EntryT{alive}}})
	n.Handle(redialed-time.Second, ConnClosed{parent})
	n.TakeActions()
	n.Maintain(redialed, 0)
	if _, ok := last(n.TakeActions()).(Dial); !ok {
		t.Fatal("no parent was dialed")
	}
	next := &fakeConn{"next"}
	n.Handle(redialed, ParentDialed{Conn: next})
	sent := frames(n.TakeActions(), next)
	if len(sent) != 2 || sent[0].Kind != wire.Subscribe || len(sent[1].Entries) != 1 {
		t.Fatalf("the new parent was sent %+v", sent)
	}
	e, complete := codec.EntryFromWire(sent[1].Entries[0], redialed)
	if !complete || e.Node != "n2" || e.Sequence != 7 || e.Server != "i-2" || e.LastSeen != heard {
		t.Errorf("of the one below it was sent %+v", e)
	}
}

// The lowest version in force below a relay is what its parent hears.
func TestRelayReportsTheLowestVersion(t *testing.T) {
	n, _, parent := readyNode(t)
	c := &fakeConn{"n2"}
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Subscribe, From: "n2", Version: 1, LowestVersion: 1}})
	n.Handle(time.Second, FrameReceived{parent, updateFor(t, 1, textOf("00000001"), textOf("00000002"))})
	n.Adopt()
	n.Publish(time.Second)
	sent := frames(n.TakeActions(), parent)
	if len(sent) != 1 || sent[0].Version != 2 || sent[0].LowestVersion != 1 {
		t.Fatalf("reports %+v", sent)
	}
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Report, From: "n2", Version: 2, LowestVersion: 2}})
	n.Publish(time.Second)
	if sent = frames(n.TakeActions(), parent); len(sent) != 1 || sent[0].LowestVersion != 2 {
		t.Errorf("reports %+v", sent)
	}
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Report, From: "n2", Version: 1, LowestVersion: 1}})
	n.Handle(time.Second, ConnClosed{c})
	n.Publish(time.Second)
	if sent = frames(n.TakeActions(), parent); len(sent) != 0 || n.Subscribers() != 0 {
		t.Errorf("one that is gone still counts: %+v", sent)
	}
}

// Another incarnation's entry of this sidecar is not one to be merged: an earlier one is recalled, a later one makes
// this one later still.
func TestOwnEntryOfAnotherIncarnation(t *testing.T) {
	for _, c := range []struct {
		name          string
		life          uint64
		recalled      int
		incarnation   uint64
		announcedAnew bool
	}{
		{"an earlier one", 9, 1, 0, false},
		{"its own", 10, 0, 0, false},
		{"a later one", 30, 1, 31, true},
	} {
		n, h, parent := readyNode(t)
		e := codec.EntryToWire(&directory.Entry{Node: self, Incarnation: c.life, Sequence: 50}, 0)
		n.Handle(time.Second, FrameReceived{parent, &wire.FrameT{Kind: wire.Update, AgeMs: 1, Entries: []*wire.EntryT{e}}})
		sent := frames(n.TakeActions(), parent)
		if len(h.recalled) != c.recalled || h.incarnation != c.incarnation || len(sent) > 0 != c.announcedAnew {
			t.Errorf("%s: recalled %d, now %d, sent %+v", c.name, len(h.recalled), h.incarnation, sent)
		}
		if c.announcedAnew && (len(sent) != 1 || sent[0].Entries[0].Incarnation != c.incarnation) {
			t.Errorf("%s: announced %+v", c.name, sent)
		}
	}
}

// A sidecar that goes under a relay may be none itself: it sends its subscribers away before it dials.
func TestSubscribersAreDismissedAheadOfARelay(t *testing.T) {
	n, _, parent := readyNode(t)
	below := &fakeConn{"n2"}
	n.Handle(time.Second, FrameReceived{below, &wire.FrameT{Kind: wire.Subscribe, From: "n2"}})
	var entries []*wire.EntryT
	relay := ""
	for _, e := range zone(30) {
		entries = append(entries, codec.EntryToWire(&e, 0))
	}
	entries = append(entries, codec.EntryToWire(&directory.Entry{Node: self, Incarnation: 10}, 0))
	n.Handle(time.Second, FrameReceived{parent, &wire.FrameT{Kind: wire.Update, AgeMs: 1, Entries: entries}})
	version := n.State().Version
	n.Handle(10*time.Second, FrameReceived{parent, &wire.FrameT{Kind: wire.Update, Version: version, AgeMs: 1}})
	n.TakeActions()
	n.Reparent(10 * time.Second)
	if c, ok := last(n.TakeActions()).(Close); !ok || c.Conn != parent || c.Reason != subscription.RelayFound {
		t.Fatal("found no relay: is this one of the relays, by its name?")
	}
	n.Maintain(10*time.Second, 0)
	all := n.TakeActions()
	if len(all) != 2 {
		t.Fatalf("%+v", all)
	}
	bye, _ := all[0].(Send)
	dial, _ := all[1].(Dial)
	if relay = dial.Addr; bye.To != below || bye.Frame.Kind != wire.GoAway || !dial.Relay || relay == "c1:1" {
		t.Errorf("%+v, then %+v", bye, dial)
	}
}

// zone returns sidecars of this one's zone.
func zone(count int) (all []directory.Entry) {
	for i := range count {
		name := "m" + string(rune('a'+i))
		all = append(all, directory.Entry{Node: name, Incarnation: 1, Sequence: 1, Zone: "x", PeerAddr: name + ":1"})
	}
	return all
}

// Frames of a parent that was left, or of nobody's, change nothing.
func TestOnlyTheParentIsHeard(t *testing.T) {
	n, h, _ := readyNode(t)
	n.Handle(time.Second, FrameReceived{&fakeConn{"other"}, updateFor(t, 0, textOf("00000001"), textOf("00000002"))})
	n.Adopt()
	if n.State().Version != 1 || h.inForce != 1 {
		t.Errorf("has version %d", n.State().Version)
	}
	n.Handle(time.Second, FrameReceived{&fakeConn{"other"}, &wire.FrameT{Kind: wire.GoAway}})
	if n.Parent() == nil {
		t.Error("left its parent")
	}
}

// What a sidecar has announced of its server counts as confirmed once its parent sends it back, and not by an entry of an earlier process.
func TestAnnouncementIsConfirmedByTheParent(t *testing.T) {
	n, _ := newNode("c1")
	c, _ := connect(t, n, 0)
	n.Announce(0)
	own, _ := n.State().Directory.Get(self)
	update := func(e directory.Entry) *wire.FrameT {
		return &wire.FrameT{Kind: wire.Update, Entries: []*wire.EntryT{codec.EntryToWire(&e, 0)}}
	}
	earlier := own
	earlier.Incarnation, earlier.Sequence = own.Incarnation-1, own.Sequence+5
	n.Handle(0, FrameReceived{Conn: c, Frame: update(earlier)})
	if n.ConfirmedSequence() >= n.AnnouncedSequence() {
		t.Error("the entry of an earlier process confirms")
	}
	n.Handle(0, FrameReceived{Conn: c, Frame: update(own)})
	if n.ConfirmedSequence() != n.AnnouncedSequence() {
		t.Errorf("confirmed %d, announced %d", n.ConfirmedSequence(), n.AnnouncedSequence())
	}
	n.Announce(time.Second)
	if n.ConfirmedSequence() >= n.AnnouncedSequence() {
		t.Error("a later announcement counts as confirmed")
	}
}
