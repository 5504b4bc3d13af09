// Package subscription keeps a sidecar subscribed to one parent in the distribution tree: a control machine or a relay.
// It chooses the parent, connects, switches to another parent when the present one is stale, acknowledges updates, and
// sends heartbeats.
//
// It is a state machine without sockets, clock or goroutines: each method takes the time since the process started
// and what has happened, and returns the actions that the owner of the connection must perform, in order. Package
// dissemination (Subscriber) decides which parent to choose and when to leave it. Start reading at
// Subscription.Maintain.
package subscription

import (
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/configversion"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// reparentInterval is how often a sidecar whose parent is a control machine checks whether the tree has a relay for it.
const reparentInterval = 5 * time.Second

// Action is what the owner of the connection must do: Dial, Send or Disconnect.
type Action interface{ action() }

// Dial requests a connection to a parent. The owner reports the outcome by Dialed or DialFailed.
type Dial struct {
	Addr    string
	Relay   bool // the parent is a sidecar; a sidecar below a relay must not relay itself
	Timeout time.Duration
}

// Send requests that a frame is sent to the parent.
type Send struct{ Frame *wire.FrameT }

// Disconnect requests that the connection to the parent is closed. The owner does not report the end of that
// connection.
type Disconnect struct {
	Addr   string
	Reason Reason
}

func (Dial) action()       {}
func (Send) action()       {}
func (Disconnect) action() {}

// Reason is the reason for a Disconnect.
type Reason int

// The reasons.
const (
	Stale      Reason = iota + 1 // the parent has confirmed no fresh configuration for too long
	GoAway                       // the parent is at capacity or does not relay
	RelayFound                   // the distribution tree has a relay for this sidecar
)

// phase is the state of the connection to the parent.
type phase int

const (
	idle phase = iota
	dialing
	connected
)

// Subscription is a sidecar's subscription to a parent. It is not safe for concurrent use.
type Subscription struct {
	durations timing.Subscription

	policy *dissemination.Subscriber
	state  *dissemination.Publisher // the wanted state and the subscribers' versions; read only
	self   *directory.Entry         // the sidecar's own entry; read only

	ready   bool
	inForce configversion.Version // of the configuration in force, or None

	phase phase
	addr  string // of the present parent, or the last one
	relay bool   // the parent is a sidecar
	link  dissemination.ParentLink
	nonce uint64 // of the last update that was applied on this connection, or 0

	needsFullState bool              // the last configuration could not be applied: request the full text
	lastAck        dissemination.Ack // as last sent

	redialAt    time.Duration // earliest time of the next dial
	heartbeatAt time.Duration
	reparentAt  time.Duration // 0 until the sidecar is ready
}

// New returns a subscription without a parent. policy chooses parents. state and self are read on each call and never
// written.
func New(policy *dissemination.Subscriber, state *dissemination.Publisher, self *directory.Entry, t timing.Subscription) *Subscription {
	return &Subscription{durations: t, policy: policy, state: state, self: self}
}

// Connected reports whether there is a connection to a parent.
func (s *Subscription) Connected() bool { return s.phase == connected }

// ParentIsRelay reports whether the present parent, or the last one if there is none, is a sidecar.
func (s *Subscription) ParentIsRelay() bool { return s.relay }

// SetInForce sets the version of the configuration that is in force on this sidecar. Acknowledgements contain it.
func (s *Subscription) SetInForce(version configversion.Version) { s.inForce = version }

// SetReady marks the sidecar as ready. It may subscribe to relays from then on, and searches for one from reparentAt
// on.
func (s *Subscription) SetReady(reparentAt time.Duration) { s.ready, s.reparentAt = true, reparentAt }

// Dialed reports that the connection to the parent is established. It returns the subscription request.
func (s *Subscription) Dialed(now time.Duration) []Action {
	s.phase, s.heartbeatAt, s.nonce, s.needsFullState = connected, now+s.durations.ReportInterval, 0, false
	s.link = dissemination.ParentLink{ConnectedAt: now, LastByteAt: now}
	f := &wire.FrameT{Kind: wire.Subscribe, From: s.self.Node}
	if s.self.Sequence > 1 { // otherwise nothing has been announced
		f.Entries = []*wire.EntryT{s.ownEntry(now)}
	}
	s.lastAck = s.ack(now)
	return []Action{Send{codec.SetAck(f, s.lastAck)}}
}

// DialFailed reports that the parent could not be reached.
func (s *Subscription) DialFailed(now time.Duration) {
	s.phase, s.redialAt = idle, now+s.durations.RedialDelay
	s.policy.RecordFailure(s.addr, now)
}

// ConnectionLost reports that the connection to the parent has ended. A parent that never sent an update counts as failed.
func (s *Subscription) ConnectionLost(now time.Duration) {
	s.phase, s.redialAt = idle, now+s.durations.RedialDelay
	if !s.link.Received {
		s.policy.RecordFailure(s.addr, now)
	}
}

// GoAwayReceived reports that the parent has refused this sidecar or stopped relaying.
func (s *Subscription) GoAwayReceived(now time.Duration) []Action {
	return s.disconnectFailed(now, GoAway)
}

// disconnectFailed disconnects from the parent and records it as failed, so that other parents are tried first for a
// while.
func (s *Subscription) disconnectFailed(now time.Duration, reason Reason) []Action {
	s.policy.RecordFailure(s.addr, now)
	return s.disconnect(now, reason)
}

func (s *Subscription) disconnect(now time.Duration, reason Reason) []Action {
	s.phase, s.redialAt = idle, now
	return []Action{Disconnect{Addr: s.addr, Reason: reason}}
}

// Reparent disconnects from a control machine if the distribution tree has a relay for this sidecar. The next Maintain
// dials the relay.
func (s *Subscription) Reparent(now time.Duration) []Action {
	if s.reparentAt == 0 || now < s.reparentAt || s.phase != connected || s.relay {
		return nil
	}
	s.reparentAt = now + reparentInterval
	if _, relay := s.chooseParent(now); !relay {
		return nil
	}
	return s.disconnect(now, RelayFound)
}

// Maintain leaves a stale parent, dials if there is no connection, and sends a heartbeat when one is due. partialBytes
// is the number of bytes received of an incomplete frame from the parent: a parent counts as stale later while a frame
// is arriving. The owner calls it after each event and each tick.
func (s *Subscription) Maintain(now time.Duration, partialBytes int64) (actions []Action) {
	if s.phase == connected {
		actions = s.checkParent(now, partialBytes)
	}
	if s.phase != idle || now < s.redialAt {
		return actions
	}
	s.addr, s.relay = s.chooseParent(now)
	s.phase = dialing
	return append(actions, Dial{Addr: s.addr, Relay: s.relay, Timeout: s.durations.DialTimeout})
}

// checkParent disconnects from a stale parent. Otherwise it sends a heartbeat when one is due.
func (s *Subscription) checkParent(now time.Duration, partialBytes int64) []Action {
	if partialBytes != s.link.PartialBytes {
		s.link.PartialBytes, s.link.LastByteAt = partialBytes, now
	}
	if s.policy.ShouldSwitch(now, s.state.AsOf, s.link) {
		return s.disconnectFailed(now, Stale)
	}
	if now < s.heartbeatAt {
		return nil
	}
	return s.ReportLiveness(now)
}

// ReportLiveness sends the parent a heartbeat with this sidecar's report about rollouts, once the sidecar is ready.
func (s *Subscription) ReportLiveness(now time.Duration) []Action {
	if s.phase != connected || !s.ready {
		return nil
	}
	s.heartbeatAt = now + s.durations.ReportInterval
	own := *s.self
	own.LastSeen = now
	return s.Report(now, []*wire.EntryT{codec.AddRolloutReport(codec.LivenessToWire(&own, now), &own.RolloutReport)})
}

// UpdateReceived reports that the parent has sent an update.
func (s *Subscription) UpdateReceived() { s.link.Received = true }

// UpdateApplied reports that an update was applied. The next report acknowledges its nonce. A nonce of 0 needs no
// acknowledgement.
func (s *Subscription) UpdateApplied(nonce uint64) {
	if nonce > 0 {
		s.nonce = nonce
	}
}

// SetNeedsFullState sets whether the configuration of the last update could not be applied. While it is set,
// acknowledgements request the full text.
func (s *Subscription) SetNeedsFullState(needed bool) { s.needsFullState = needed }

// Acknowledge sends the parent an acknowledgement if it differs from the last one sent.
func (s *Subscription) Acknowledge(now time.Duration) []Action {
	if s.phase != connected || !s.link.Received || s.lastAck == s.ack(now) {
		return nil
	}
	return s.Report(now, nil)
}

// Announce sends the parent the sidecar's own entry. The owner calls it when the entry has changed.
func (s *Subscription) Announce(now time.Duration) []Action {
	if s.phase != connected || !s.ready {
		return nil
	}
	s.heartbeatAt = now + s.durations.ReportInterval
	return s.Report(now, []*wire.EntryT{s.ownEntry(now)})
}

// Report sends the parent entries and an acknowledgement, which also serves as a heartbeat. Without a parent it does
// nothing.
func (s *Subscription) Report(now time.Duration, entries []*wire.EntryT) []Action {
	if s.phase != connected {
		return nil
	}
	s.lastAck = s.ack(now)
	f := &wire.FrameT{Kind: wire.Report, From: s.self.Node, Entries: entries}
	return []Action{Send{codec.SetAck(f, s.lastAck)}}
}

// ack returns the acknowledgement for this sidecar and its subscribers: the last update applied and the lowest version
// in force. Without a version it requests the full text.
func (s *Subscription) ack(now time.Duration) dissemination.Ack {
	a := dissemination.Ack{
		Nonce:         s.nonce,
		Version:       s.state.Version,
		LowestInForce: min(s.inForce, s.state.LowestInForce(now)),
	}
	if s.needsFullState {
		a.Version = configversion.None
	}
	return a
}

// ownEntry returns the sidecar's own entry, last seen now.
func (s *Subscription) ownEntry(now time.Duration) *wire.EntryT {
	own := *s.self
	own.LastSeen = now
	return codec.AddRolloutReport(codec.EntryToWire(&own, now), &own.RolloutReport)
}

// chooseParent returns the parent to subscribe to. It is a control machine until the sidecar is ready.
func (s *Subscription) chooseParent(now time.Duration) (addr string, relay bool) {
	var candidates []dissemination.Member
	if s.ready {
		for _, e := range s.state.Directory.All() {
			if !e.Lost && e.State != directory.Departed || e.Node == s.self.Node {
				candidates = append(candidates, dissemination.Member{Node: e.Node, Zone: e.Zone, PeerAddr: e.PeerAddr})
			}
		}
	}
	return s.policy.ChooseParent(now, s.state.AsOf, candidates, s.state.ControlMachines)
}
