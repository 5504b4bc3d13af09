package distribution

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/codec"
	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/dataplane/subscription"
	"firplank/mesh/dataplane/updates"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// fakeConn is a connection that is only compared.
type fakeConn struct{ name string }

func (*fakeConn) Send(*wire.FrameT) bool { panic("a node must not send on connections") }
func (*fakeConn) Close()                 { panic("a node must not close connections") }

// fakeHost adopts every configuration except the versions in invalid.
type fakeHost struct {
	invalid map[configversion.Version]bool
	inForce configversion.Version

	recorded, fetched []string
	fetchChanges      bool // the tombstones that were fetched change the server's state
	text              string
	state             directory.State
	restored          []directory.Entry
	incarnation       uint64
	readyCount        int
	packCount         int
}

func (*fakeHost) Unpack(_ configversion.Version, packed []byte) ([]byte, error) {
	return config.Unpack(packed)
}
func (*fakeHost) Intern(_ configversion.Version, text []byte) []byte { return text }

func (h *fakeHost) Pack(_ configversion.Version, text []byte) []byte {
	h.packCount++
	return config.Pack(text)
}

func (h *fakeHost) Adopt(version configversion.Version, text []byte) configversion.Version {
	if !h.invalid[version] {
		h.inForce, h.text = version, string(text)
	}
	return h.inForce
}

func (h *fakeHost) DescribeServer(own *directory.Entry) { own.State = h.state }

func (h *fakeHost) RestoreServer(_ time.Duration, e *directory.Entry) {
	h.restored = append(h.restored, *e)
}

func (h *fakeHost) IncarnationChanged(n uint64) { h.incarnation = n }
func (h *fakeHost) BecameReady(_ time.Duration) { h.readyCount++ }

func (h *fakeHost) TombstoneRecorded(_ time.Duration, server string) {
	h.recorded = append(h.recorded, server)
}

func (h *fakeHost) TombstonesFetched(servers []string) bool {
	h.fetched = servers
	return h.fetchChanges
}

const self = "n1"

// subscriberFrame returns a frame of the subscriber n2 that has a version in force.
func subscriberFrame(kind wire.Kind, version uint32, entries []*wire.EntryT) *wire.FrameT {
	f := &wire.FrameT{Kind: kind, From: "n2", Entries: entries}
	return codec.SetAck(f, dissemination.Ack{Version: configversion.Of(version), LowestInForce: configversion.Of(version)})
}

// acknowledges reports whether a frame states the version that its sender has, and the lowest in force at the sender and below it.
func acknowledges(f *wire.FrameT, version, lowest configversion.Version) bool {
	ack := codec.AckFromFrame(f)
	return ack.Version == version && ack.LowestInForce == lowest
}

// durations are those of a deployment with an inForceS of 2 s.
var durations = timing.DefaultInForce(2 * time.Second)

func newNode(seeds ...string) (*Node, *fakeHost) {
	h := &fakeHost{}
	policy := dissemination.NewSubscriber(self, "x", durations.Dissemination, 0)
	policy.Seeds = seeds
	return New(directory.Entry{Node: self, Incarnation: 10, Sequence: 1, Zone: "x", PeerAddr: "n1:1"}, policy, h, durations), h
}

// connect makes a node dial its parent and returns the connection and the subscription request.
func connect(t *testing.T, n *Node, now time.Duration) (*fakeConn, *wire.FrameT) {
	t.Helper()
	n.Maintain(now, 0)
	d, ok := lastAction(n.TakeActions()).(Dial)
	if !ok {
		t.Fatal("no parent was dialed")
	}
	c := &fakeConn{d.Addr}
	n.Handle(now, ParentDialed{Conn: c})
	s, ok := lastAction(n.TakeActions()).(Send)
	if !ok || s.To != c || s.Frame.Kind != wire.Subscribe {
		t.Fatalf("first sent %+v, want a subscription request", s)
	}
	return c, s.Frame
}

func lastAction(actions []Action) Action {
	if len(actions) == 0 {
		return nil
	}
	return actions[len(actions)-1]
}

// configText returns the text of a configuration.
func configText(version string) []byte {
	return []byte(`{"edition":"` + version + `","caps":{},"gates":[],"fleets":[]}`)
}

// updateFor returns the update that a publisher with versions 1 to len(texts) sends to a subscriber with presentVersion.
func updateFor(t *testing.T, presentVersion configversion.Version, texts ...[]byte) *wire.FrameT {
	t.Helper()
	publisher := dissemination.NewPublisher(durations.Dissemination)
	for i, text := range texts {
		publisher.SetConfig(configversion.Of(uint32(i+1)), text, nil, 0)
	}
	publisher.Subscribe(1, presentVersion, 0)
	due, _ := publisher.Tick(0)
	return codec.UpdateToFrame(&due[0], config.Pack(publisher.Text), 0)
}

// frames returns the frames that the actions send on a connection.
func frames(actions []Action, to Conn) (sent []*wire.FrameT) {
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.To == to {
			sent = append(sent, s.Frame)
		}
	}
	return sent
}

// readyNode returns a node that is ready with version 1 and whose parent is a control machine.
func readyNode(t *testing.T) (*Node, *fakeHost, *fakeConn) {
	t.Helper()
	n, h := newNode("c1:1")
	parent, _ := connect(t, n, 0)
	n.Handle(0, FrameReceived{parent, updateFor(t, configversion.None, configText("00000001"))})
	if !n.Ready() || h.readyCount != 1 || h.inForce != configversion.Of(1) {
		t.Fatalf("ready %v, %d times, with version %v", n.Ready(), h.readyCount, h.inForce)
	}
	n.Publish(0)
	n.TakeActions()
	return n, h, parent
}

// A sidecar whose text differs from the base of a delta must request the full text, and must report and keep the
// version in force until it arrives. A delta that is applied to a different base would yield a corrupt configuration.
func TestSidecarRequestsFullTextAfterDeltaMismatch(t *testing.T) {
	n, h, parent := readyNode(t)
	mismatched := append(configText("00000001"), ' ')
	n.Handle(time.Second, FrameReceived{parent, updateFor(t, configversion.Of(1), mismatched, configText("00000002"))})
	rejected, ok := lastAction(n.TakeActions()).(UpdateRejected)
	if !ok || !errors.Is(rejected.Err, updates.ErrDeltaMismatch) || rejected.Version != configversion.Of(2) ||
		rejected.PresentVersion != configversion.Of(1) {
		t.Errorf("logged %+v", rejected)
	}
	n.Adopt()
	n.Publish(time.Second)
	sent := frames(n.TakeActions(), parent)
	if len(sent) != 1 || !acknowledges(sent[0], configversion.None, configversion.Of(1)) {
		t.Fatalf("reports %+v", sent)
	}
	if n.State().Version != configversion.Of(1) {
		t.Errorf("has version %v", n.State().Version)
	}
	n.Handle(time.Second, FrameReceived{parent, updateFor(t, configversion.None, mismatched, configText("00000002"))})
	n.Adopt()
	n.Publish(time.Second)
	sent = frames(n.TakeActions(), parent)
	if len(sent) != 1 || !acknowledges(sent[0], configversion.Of(2), configversion.Of(2)) || h.text != string(configText("00000002")) {
		t.Errorf("reports %+v with %s", sent, h.text)
	}
}

// The age of an update may exceed the time since the process started. A sidecar that limits the age to its own would
// become ready with an outdated configuration.
func TestUpdateOlderThanTheProcessKeepsItsAge(t *testing.T) {
	n, _ := newNode("c1:1")
	parent, _ := connect(t, n, 0)
	f := updateFor(t, configversion.None, configText("00000001"))
	f.AgeMs = 8000
	n.Handle(100*time.Millisecond, FrameReceived{parent, f})
	if age := 100*time.Millisecond - n.State().AsOf; age != 8*time.Second {
		t.Errorf("age of the configuration is %v", age)
	}
	if n.Ready() {
		t.Error("is ready with an outdated configuration")
	}
}

// An invalid configuration must leave the present one in force, and the sidecar must report that version to its parent.
// A sidecar without a present one must not become ready.
func TestInvalidConfigurationIsNotInForce(t *testing.T) {
	n, h, parent := readyNode(t)
	h.invalid = map[configversion.Version]bool{configversion.Of(2): true}
	n.Handle(time.Second, FrameReceived{parent, updateFor(t, configversion.None, configText("00000001"), configText("00000002"))})
	n.Adopt()
	n.Publish(time.Second)
	sent := frames(n.TakeActions(), parent)
	if len(sent) != 1 || !acknowledges(sent[0], configversion.Of(2), configversion.Of(1)) || h.inForce != configversion.Of(1) {
		t.Errorf("reports %+v with version %v", sent, h.inForce)
	}
	n, h = newNode("c1:1")
	h.invalid = map[configversion.Version]bool{configversion.Of(1): true}
	parent, _ = connect(t, n, 0)
	n.Handle(0, FrameReceived{parent, updateFor(t, configversion.None, configText("00000001"))})
	if n.Ready() || h.readyCount != 0 {
		t.Error("is ready without a configuration")
	}
}

// A sidecar accepts subscribers only while it is ready, connected to a control machine and not draining. Otherwise the
// subscribers would depend on a parent without fresh updates.
func TestOnlyReadyNodesBelowControlMachinesAcceptSubscribers(t *testing.T) {
	subscribe := func(n *Node, name string) (*fakeConn, []*wire.FrameT) {
		c := &fakeConn{name}
		n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Subscribe, From: name}})
		return c, frames(n.TakeActions(), c)
	}
	isGoAway := func(sent []*wire.FrameT) bool { return len(sent) == 1 && sent[0].Kind == wire.GoAway }

	notReady, _ := newNode("c1:1")
	connect(t, notReady, 0)
	if _, sent := subscribe(notReady, "n2"); !isGoAway(sent) || notReady.Subscribers() != 0 {
		t.Errorf("a node that is not ready sent %+v", sent)
	}
	n, _, parent := readyNode(t)
	c, sent := subscribe(n, "n2")
	if len(sent) != 0 || n.Subscribers() != 1 {
		t.Fatalf("a ready node sent %+v", sent)
	}
	n.Publish(time.Second)
	if sent = frames(n.TakeActions(), c); len(sent) != 1 || sent[0].Kind != wire.Update || sent[0].Value == nil {
		t.Errorf("a new subscriber was sent %+v", sent)
	}
	n.Handle(time.Second, ConnClosed{parent})
	if _, sent = subscribe(n, "n3"); !isGoAway(sent) {
		t.Errorf("a node without a parent sent %+v", sent)
	}
	n, _, _ = readyNode(t)
	n.Drain(time.Second)
	n.TakeActions()
	if _, sent = subscribe(n, "n4"); !isGoAway(sent) || n.Subscribers() != 0 {
		t.Errorf("a draining node sent %+v", sent)
	}
}

// Entries from subscribers are merged into the directory and forwarded to the parent. Entries marked as lost are
// forwarded only: the control machines decide whether a sidecar is lost.
func TestEntriesOfSubscribersAreForwardedToTheParent(t *testing.T) {
	n, _, parent := readyNode(t)
	c := &fakeConn{"n2"}
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Subscribe, From: "n2"}})
	n.TakeActions()
	entries := []*wire.EntryT{
		codec.EntryToWire(&directory.Entry{Node: "n2", Incarnation: 1, Sequence: 1, LastSeen: time.Second}, time.Second),
		codec.EntryToWire(&directory.Entry{Node: "n3", Incarnation: 1, Sequence: 1, LastSeen: time.Second, Lost: true}, time.Second),
	}
	n.Handle(time.Second, FrameReceived{c, subscriberFrame(wire.Report, 1, entries)})
	sent := frames(n.TakeActions(), parent)
	if len(sent) != 1 || len(sent[0].Entries) != 2 || sent[0].From != self {
		t.Errorf("the parent was sent %+v", sent)
	}
	if _, ok := n.State().Directory.Get("n2"); !ok {
		t.Error("the directory lacks the subscriber")
	}
	if _, ok := n.State().Directory.Get("n3"); ok {
		t.Error("the directory has an entry that a subscriber reported as lost")
	}
}

func TestNewParentIsSentTheEntriesOfSubscribers(t *testing.T) {
	n, _, parent := readyNode(t)
	c := &fakeConn{"n2"}
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Subscribe, From: "n2"}})
	entry := directory.Entry{Node: "n2", Incarnation: 1, Sequence: 7, Server: "i-2", LastSeen: time.Second}
	announced := codec.EntryToWire(&entry, time.Second)
	n.Handle(time.Second, FrameReceived{c, &wire.FrameT{Kind: wire.Report, From: "n2", Entries: []*wire.EntryT{announced}}})
	const lastSeen, redialed = 50 * time.Second, 51 * time.Second
	alive := codec.LivenessToWire(&directory.Entry{Node: "n2", Incarnation: 1, LastSeen: lastSeen}, lastSeen)
	n.Handle(lastSeen, FrameReceived{c, &wire.FrameT{Kind: wire.Report, From: "n2", Entries: []*wire.EntryT{alive}}})
	n.Handle(redialed-time.Second, ConnClosed{parent})
	n.TakeActions()
	n.Maintain(redialed, 0)
	if _, ok := lastAction(n.TakeActions()).(Dial); !ok {
		t.Fatal("no parent was dialed")
	}
	newParent := &fakeConn{"next"}
	n.Handle(redialed, ParentDialed{Conn: newParent})
	sent := frames(n.TakeActions(), newParent)
	if len(sent) != 2 || sent[0].Kind != wire.Subscribe || len(sent[1].Entries) != 1 {
		t.Fatalf("the new parent was sent %+v", sent)
	}
	e, complete := codec.EntryFromWire(sent[1].Entries[0], redialed)
	if !complete || e.Node != "n2" || e.Sequence != 7 || e.Server != "i-2" || e.LastSeen != lastSeen {
		t.Errorf("the subscriber's entry was sent as %+v", e)
	}
}

// A relay must report the lowest version in force on itself and its subscribers, so that the control machines do not
// count a version as in force everywhere too early.
func TestRelayReportsTheLowestVersion(t *testing.T) {
	n, _, parent := readyNode(t)
	c := &fakeConn{"n2"}
	n.Handle(time.Second, FrameReceived{c, subscriberFrame(wire.Subscribe, 1, nil)})
	n.Handle(time.Second, FrameReceived{parent, updateFor(t, configversion.Of(1), configText("00000001"), configText("00000002"))})
	n.Adopt()
	n.Publish(time.Second)
	sent := frames(n.TakeActions(), parent)
	if len(sent) != 1 || !acknowledges(sent[0], configversion.Of(2), configversion.Of(1)) {
		t.Fatalf("reports %+v", sent)
	}
	n.Handle(time.Second, FrameReceived{c, subscriberFrame(wire.Report, 2, nil)})
	n.Publish(time.Second)
	if sent = frames(n.TakeActions(), parent); len(sent) != 1 || !acknowledges(sent[0], configversion.Of(2), configversion.Of(2)) {
		t.Errorf("reports %+v", sent)
	}
	n.Handle(time.Second, FrameReceived{c, subscriberFrame(wire.Report, 1, nil)})
	n.Handle(time.Second, ConnClosed{c})
	n.Publish(time.Second)
	if sent = frames(n.TakeActions(), parent); len(sent) != 0 || n.Subscribers() != 0 {
		t.Errorf("a disconnected subscriber still counts: %+v", sent)
	}
}

// An entry of another incarnation of this sidecar must not be merged. The server is restored from it, and if the
// incarnation is later, the sidecar must switch to one that is later still and announce itself again.
func TestOwnEntryOfAnotherIncarnation(t *testing.T) {
	for _, c := range []struct {
		name             string
		entryIncarnation uint64
		restored         int
		newIncarnation   uint64
		announcedAnew    bool
	}{
		{"an earlier incarnation", 9, 1, 0, false},
		{"the present incarnation", 10, 0, 0, false},
		{"a later incarnation", 30, 1, 31, true},
	} {
		n, h, parent := readyNode(t)
		e := codec.EntryToWire(&directory.Entry{Node: self, Incarnation: c.entryIncarnation, Sequence: 50}, 0)
		n.Handle(time.Second, FrameReceived{parent, &wire.FrameT{Kind: wire.Update, AgeMs: 1, Entries: []*wire.EntryT{e}}})
		sent := frames(n.TakeActions(), parent)
		if len(h.restored) != c.restored || h.incarnation != c.newIncarnation || len(sent) > 0 != c.announcedAnew {
			t.Errorf("%s: restored %d, incarnation %d, sent %+v", c.name, len(h.restored), h.incarnation, sent)
		}
		if c.announcedAnew && (len(sent) != 1 || sent[0].Entries[0].Incarnation != c.newIncarnation) {
			t.Errorf("%s: announced %+v", c.name, sent)
		}
	}
}

// A sidecar below a relay must not relay itself, so it tells its subscribers to go away before it dials the relay.
// Otherwise the tree could contain a cycle.
func TestSubscribersAreSentGoAwayBeforeARelayIsDialed(t *testing.T) {
	n, _, parent := readyNode(t)
	subscriber := &fakeConn{"n2"}
	n.Handle(time.Second, FrameReceived{subscriber, &wire.FrameT{Kind: wire.Subscribe, From: "n2"}})
	var entries []*wire.EntryT
	relay := ""
	for _, e := range relayCandidates(30) {
		entries = append(entries, codec.EntryToWire(&e, 0))
	}
	entries = append(entries, codec.EntryToWire(&directory.Entry{Node: self, Incarnation: 10}, 0))
	n.Handle(time.Second, FrameReceived{parent, &wire.FrameT{Kind: wire.Update, AgeMs: 1, Entries: entries}})
	version := n.State().Version
	n.Handle(10*time.Second, FrameReceived{parent, &wire.FrameT{Kind: wire.Update, Version: version.Optional(), AgeMs: 1}})
	n.TakeActions()
	n.Reparent(10 * time.Second)
	if c, ok := lastAction(n.TakeActions()).(Close); !ok || c.Conn != parent || c.Reason != subscription.RelayFound {
		t.Fatal("found no relay: the name of this node may make it a relay itself")
	}
	n.Maintain(10*time.Second, 0)
	actions := n.TakeActions()
	if len(actions) != 2 {
		t.Fatalf("%+v", actions)
	}
	goAway, _ := actions[0].(Send)
	dial, _ := actions[1].(Dial)
	if relay = dial.Addr; goAway.To != subscriber || goAway.Frame.Kind != wire.GoAway || !dial.Relay || relay == "c1:1" {
		t.Errorf("%+v, then %+v", goAway, dial)
	}
}

// relayCandidates returns entries of sidecars in the zone of the tested node.
func relayCandidates(count int) (entries []directory.Entry) {
	for i := range count {
		name := "m" + string(rune('a'+i))
		entries = append(entries, directory.Entry{Node: name, Incarnation: 1, Sequence: 1, Zone: "x", PeerAddr: name + ":1"})
	}
	return entries
}

// Frames of a former parent, or of a connection that was never the parent, must be ignored.
func TestFramesOfOtherConnectionsAreIgnored(t *testing.T) {
	n, h, _ := readyNode(t)
	n.Handle(time.Second, FrameReceived{&fakeConn{"other"}, updateFor(t, configversion.None, configText("00000001"), configText("00000002"))})
	n.Adopt()
	if n.State().Version != configversion.Of(1) || h.inForce != configversion.Of(1) {
		t.Errorf("has version %v", n.State().Version)
	}
	n.Handle(time.Second, FrameReceived{&fakeConn{"other"}, &wire.FrameT{Kind: wire.GoAway}})
	if n.Parent() == nil {
		t.Error("left its parent")
	}
}
