package subscription

import (
	"testing"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/configversion"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

const (
	first  = "c1:1"
	second = "c2:1"
)

// durations are those of a deployment with an inForceS of 2 s.
var (
	durations      = timing.DefaultInForce(2 * time.Second)
	reportInterval = durations.Subscription.ReportInterval
	redialDelay    = durations.Subscription.RedialDelay
)

// fixture is a subscription with the state and the own entry that it reads.
type fixture struct {
	*Subscription
	state *dissemination.Publisher
	self  *directory.Entry
}

func newFixture(seeds ...string) fixture {
	policy := dissemination.NewSubscriber("n1", "x", durations.Dissemination, 0)
	policy.Seeds = seeds
	f := fixture{
		state: dissemination.NewPublisher(durations.Dissemination),
		self:  &directory.Entry{Node: "n1", Incarnation: 7, Sequence: 1, Zone: "x", PeerAddr: "n1:1"},
	}
	f.Subscription = New(policy, f.state, f.self, durations.Subscription)
	return f
}

// dialedAddr calls Maintain and returns the address that it dials, or "" if it does not dial.
func (f fixture) dialedAddr(now time.Duration) string {
	for _, a := range f.Maintain(now, 0) {
		if d, ok := a.(Dial); ok {
			return d.Addr
		}
	}
	return ""
}

// connect makes the subscription dial and connect, and returns the address of its parent.
func (f fixture) connect(t *testing.T, now time.Duration) string {
	t.Helper()
	addr := f.dialedAddr(now)
	if addr == "" {
		t.Fatalf("%v: no parent is dialed", now)
	}
	f.Dialed(now)
	return addr
}

// acknowledges reports whether a frame states the version that its sender has, and the lowest in force at the sender and below it.
func acknowledges(f *wire.FrameT, version, lowest configversion.Version) bool {
	ack := codec.AckFromFrame(f)
	return ack.Version == version && ack.LowestInForce == lowest
}

// ready makes the sidecar and its policy ready with a version that is confirmed as the newest at now.
func (f fixture) ready(t *testing.T, version configversion.Version, now, reparentAt time.Duration) {
	t.Helper()
	f.state.SetConfig(version, []byte("text"), nil, now)
	if !f.policy.Ready(now, version, now, nil) {
		t.Fatal("the policy is not ready")
	}
	f.SetInForce(version)
	f.SetReady(reparentAt)
}

// onlyFrame returns the frame that the actions send, or nil if there is none. It fails the test if there are several.
func onlyFrame(t *testing.T, actions []Action) *wire.FrameT {
	t.Helper()
	var found *wire.FrameT
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			if found != nil {
				t.Fatalf("two frames: %+v", actions)
			}
			found = s.Frame
		}
	}
	return found
}

func TestUnreachableParentIsRedialedAfterADelayAndOthersFirst(t *testing.T) {
	f := newFixture(first, second)
	a := f.dialedAddr(0)
	if again := f.dialedAddr(time.Second); again != "" {
		t.Errorf("dials %s while the dial of %s is pending", again, a)
	}
	f.DialFailed(time.Second)
	if early := f.dialedAddr(time.Second + redialDelay - 1); early != "" {
		t.Errorf("dials %s without a delay", early)
	}
	b := f.dialedAddr(time.Second + redialDelay)
	if b == "" || b == a {
		t.Errorf("dials %q after %q failed", b, a)
	}
	f.DialFailed(2 * time.Second)
	if c := f.dialedAddr(2*time.Second + redialDelay); c != a {
		t.Errorf("dials %q, not %q which failed longest ago", c, a)
	}
}

func TestLostParentCountsAsFailedUnlessItSentAnUpdate(t *testing.T) {
	for _, received := range []bool{true, false} {
		f := newFixture(first, second)
		a := f.connect(t, 0)
		if received {
			f.UpdateReceived()
		}
		f.ConnectionLost(time.Second)
		if f.Connected() {
			t.Error("still connected")
		}
		if early := f.dialedAddr(time.Second + redialDelay - 1); early != "" {
			t.Errorf("dials %s without a delay", early)
		}
		if b := f.dialedAddr(time.Second + redialDelay); (b == a) != received {
			t.Errorf("received %v: dials %q after %q", received, b, a)
		}
	}
}

func TestAnotherParentIsDialedAtOnceAfterGoAway(t *testing.T) {
	f := newFixture(first, second)
	a := f.connect(t, 0)
	f.UpdateReceived()
	actions := f.GoAwayReceived(time.Second)
	if d, ok := actions[0].(Disconnect); len(actions) != 1 || !ok || d != (Disconnect{Addr: a, Reason: GoAway}) {
		t.Errorf("actions %+v", actions)
	}
	if b := f.dialedAddr(time.Second); b == "" || b == a {
		t.Errorf("dials %q after %q", b, a)
	}
}

func TestStaleParentIsLeftForAnother(t *testing.T) {
	f := newFixture(first, second)
	a := f.connect(t, 0)
	f.ready(t, configversion.Of(1), 0, time.Hour)
	f.UpdateReceived()
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		for _, action := range f.Maintain(now, 0) {
			switch action := action.(type) {
			case Disconnect:
				if action != (Disconnect{Addr: a, Reason: Stale}) || now < time.Second {
					t.Fatalf("%v: %+v", now, action)
				}
			case Dial:
				if action.Addr == a {
					t.Fatalf("%v: dials the stale parent again", now)
				}
				return
			}
		}
	}
	t.Error("does not leave a stale parent")
}

func TestArrivingFrameKeepsTheParent(t *testing.T) {
	f := newFixture(first, second)
	f.connect(t, 0)
	f.ready(t, configversion.Of(1), 0, time.Hour)
	f.UpdateReceived()
	for now := time.Duration(0); now < 2500*time.Millisecond; now += 50 * time.Millisecond {
		for _, action := range f.Maintain(now, int64(now)) {
			if d, ok := action.(Disconnect); ok {
				t.Fatalf("%v: leaves its parent while a frame arrives: %+v", now, d)
			}
		}
	}
}

func TestHeartbeatsAreSentWhenDueOnceReady(t *testing.T) {
	f := newFixture(first)
	f.connect(t, 0)
	f.state.SetConfig(configversion.Of(1), []byte("text"), nil, 0)
	if got := onlyFrame(t, f.Maintain(reportInterval, 0)); got != nil {
		t.Errorf("sends %+v before it is ready", got)
	}
	f.ready(t, configversion.Of(1), reportInterval, time.Hour)
	got := onlyFrame(t, f.Maintain(reportInterval, 0))
	if got == nil || got.Kind != wire.Report || len(got.Entries) != 1 || got.Entries[0].Incarnation != 7 || got.Entries[0].Addr != "" {
		t.Fatalf("sends %+v", got)
	}
	if got = onlyFrame(t, f.Maintain(2*reportInterval-1, 0)); got != nil {
		t.Errorf("sends %+v before the next is due", got)
	}
	if got = onlyFrame(t, f.Announce(2*reportInterval-1)); got == nil || got.Entries[0].PeerAddr != "n1:1" {
		t.Errorf("announces %+v", got)
	}
	f.state.SetConfig(configversion.Of(1), nil, nil, 2*reportInterval)
	if got = onlyFrame(t, f.Maintain(3*reportInterval-2, 0)); got != nil {
		t.Errorf("sends %+v although an announcement has served as a heartbeat", got)
	}
	if got = onlyFrame(t, f.Maintain(3*reportInterval-1, 0)); got == nil {
		t.Error("sends no heartbeat")
	}
}

func TestSubscriptionCarriesWhatWasAnnounced(t *testing.T) {
	f := newFixture(first)
	f.dialedAddr(0)
	got := onlyFrame(t, f.Dialed(0))
	if got.Kind != wire.Subscribe || got.From != "n1" || len(got.Entries) != 0 || got.Version != nil {
		t.Errorf("a new sidecar subscribes with %+v", got)
	}
	f.ConnectionLost(0)
	f.ready(t, configversion.Of(3), 0, time.Hour)
	f.self.Sequence = 2
	f.dialedAddr(redialDelay)
	got = onlyFrame(t, f.Dialed(redialDelay))
	if len(got.Entries) != 1 || got.Entries[0].Sequence != 2 || !acknowledges(got, configversion.Of(3), configversion.Of(3)) {
		t.Errorf("an announced sidecar subscribes with %+v", got)
	}
}

func TestChangesAreAcknowledgedOnce(t *testing.T) {
	f := newFixture(first)
	f.connect(t, 0)
	f.ready(t, configversion.Of(4), 0, time.Hour)
	if got := onlyFrame(t, f.Acknowledge(0)); got != nil {
		t.Errorf("acknowledges %+v before an update was received", got)
	}
	f.UpdateReceived()
	f.UpdateApplied(9)
	got := onlyFrame(t, f.Acknowledge(0))
	if got == nil || got.Id != 9 || !acknowledges(got, configversion.Of(4), configversion.Of(4)) || len(got.Entries) != 0 {
		t.Fatalf("acknowledges %+v", got)
	}
	if got = onlyFrame(t, f.Acknowledge(0)); got != nil {
		t.Errorf("acknowledges the same again: %+v", got)
	}
	if f.UpdateApplied(0); onlyFrame(t, f.Acknowledge(0)) != nil {
		t.Error("acknowledges an update that needs none")
	}
	f.state.Subscribe(1, configversion.Of(2), 0)
	if got = onlyFrame(t, f.Acknowledge(0)); got == nil || configversion.FromOptional(got.LowestVersion) != configversion.Of(2) {
		t.Errorf("with a subscriber at an earlier version: %+v", got)
	}
}

func TestFullStateIsRequestedUntilTheNextParent(t *testing.T) {
	f := newFixture(first)
	f.connect(t, 0)
	f.ready(t, configversion.Of(4), 0, time.Hour)
	f.UpdateReceived()
	f.UpdateApplied(9)
	f.SetNeedsFullState(true)
	if got := onlyFrame(t, f.Acknowledge(0)); got == nil || !acknowledges(got, configversion.None, configversion.Of(4)) || got.Id != 9 {
		t.Errorf("acknowledges %+v", got)
	}
	f.ConnectionLost(0)
	f.dialedAddr(redialDelay)
	if got := onlyFrame(t, f.Dialed(redialDelay)); configversion.FromOptional(got.Version) != configversion.Of(4) || got.Id != 0 {
		t.Errorf("subscribes to the next parent with %+v", got)
	}
}

func TestRelayIsSoughtFromReparentTimeOn(t *testing.T) {
	f := newFixture(first)
	f.connect(t, 0)
	f.ready(t, configversion.Of(1), 0, 3*time.Second)
	f.state.Directory.Merge(*f.self, 0)
	if got := f.Reparent(3*time.Second - 1); got != nil {
		t.Errorf("searches before reparentAt: %+v", got)
	}
	if got := f.Reparent(3 * time.Second); got != nil {
		t.Errorf("without candidates in its zone: %+v", got)
	}
	for i := range 30 {
		name := "m" + string(rune('a'+i))
		f.state.Directory.Merge(directory.Entry{Node: name, Incarnation: 1, Sequence: 1, Zone: "x", PeerAddr: name + ":1"}, 0)
	}
	if got := f.Reparent(3*time.Second + reparentInterval - 1); got != nil {
		t.Errorf("searches again too early: %+v", got)
	}
	f.state.SetConfig(configversion.Of(1), nil, nil, 3*time.Second+reparentInterval)
	got := f.Reparent(3*time.Second + reparentInterval)
	if len(got) != 1 || got[0] != (Disconnect{Addr: first, Reason: RelayFound}) {
		t.Fatalf("actions %+v", got)
	}
	actions := f.Maintain(3*time.Second+reparentInterval, 0)
	d, ok := actions[0].(Dial)
	if len(actions) != 1 || !ok || !d.Relay || d.Addr == first {
		t.Fatalf("actions %+v", actions)
	}
	f.Dialed(9 * time.Second)
	if got = f.Reparent(time.Hour); got != nil || !f.ParentIsRelay() {
		t.Errorf("searches for a relay below a relay: %+v", got)
	}
}

func TestNothingIsSentWithoutAParent(t *testing.T) {
	f := newFixture(first)
	f.ready(t, configversion.Of(1), 0, 1)
	f.UpdateReceived()
	for name, actions := range map[string][]Action{
		"a report":           f.Report(0, nil),
		"an announcement":    f.Announce(0),
		"an acknowledgement": f.Acknowledge(0),
		"a change of parent": f.Reparent(time.Hour),
	} {
		if len(actions) != 0 {
			t.Errorf("%s: %+v", name, actions)
		}
	}
}
