// Package subscription keeps a sidecar subscribed to one parent in the distribution tree: a control machine, or a
// sidecar that relays. It chooses the parent, connects, switches parents when the present one has nothing fresh,
// acknowledges updates, and sends heartbeats.
//
// It is a state machine without sockets, clock or goroutines: each method takes the time since the process started
// and what has happened, and returns the actions that the owner of the connection must perform, in order. Which
// parent to choose and when to give it up is decided by dissemination.Subscriber. Start reading at
// Subscription.Maintain.
package subscription

import (
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// reparentInterval is how often a sidecar whose parent is a control machine checks whether the tree has a relay for it.
const reparentInterval = 5 * time.Second

// Action is what the owner of the connection must do: Dial, Send or Disconnect.
type Action interface{ action() }

// Dial asks for a connection to a parent. The owner reports the outcome by Dialed or DialFailed.
type Dial struct {
	Addr    string
	Relay   bool // the parent is a sidecar; a sidecar below a relay must not relay itself
	Timeout time.Duration
}

// Send is a frame for the parent.
type Send struct{ Frame *wire.FrameT }

// Disconnect closes the connection to the parent. The owner does not report the end of that connection.
type Disconnect struct {
	Addr   string
	Reason Reason
}

func (Dial) action()       {}
func (Send) action()       {}
func (Disconnect) action() {}

// Reason states why a parent was left.
type Reason int

// The reasons.
const (
	Stale      Reason = iota + 1 // the parent has sent nothing fresh for too long
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
	inForce uint32 // version of the configuration in force; 0: none

	phase phase
	addr  string // of the present parent, or the last one
	relay bool   // it is a sidecar
	link  dissemination.ParentLink
	nonce uint64 // of the last update that was applied; 0: none on this connection

	needsFullState bool              // deltas could not be applied: ask for the full text
	lastAck        dissemination.Ack // as sent

	redialAt    time.Duration // no dial before
	heartbeatAt time.Duration
	reparentAt  time.Duration // 0: the sidecar is not ready
}

// New returns a subscription without a parent. The policy chooses parents. State and self are read on each call and
// never written.
func New(policy *dissemination.Subscriber, state *dissemination.Publisher, self *directory.Entry, t timing.Subscription) *Subscription {
	return &Subscription{durations: t, policy: policy, state: state, self: self}
}

// Connected reports whether there is a connection to a parent.
func (s *Subscription) Connected() bool { return s.phase == connected }

// Relayed reports whether the present parent, or the last one, is a sidecar.
func (s *Subscription) ParentIsRelay() bool { return s.relay }

// SetInForce sets the version of the configuration that is in force on this sidecar, which acknowledgements carry.
func (s *Subscription) SetInForce(version uint32) { s.inForce = version }

// SetReady marks the sidecar as ready: it may subscribe to relays, and from reparentAt on looks for one.
func (s *Subscription) SetReady(reparentAt time.Duration) { s.ready, s.reparentAt = true, reparentAt }

// Dialed reports that the connection to the parent is established. It returns the subscription request.
func (s *Subscription) Dialed(now time.Duration) []Action {
	s.phase, s.heartbeatAt, s.nonce, s.needsFullState = connected, now+s.durations.ReportInterval, 0, false
	s.link = dissemination.ParentLink{ConnectedAt: now, LastByteAt: now}
	f := &wire.FrameT{Kind: wire.Subscribe, From: s.self.Node}
	if s.self.Sequence > 1 { // else nothing was announced yet
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

// Lost reports that the connection to the parent has ended. A parent that never sent an update counts as failed.
func (s *Subscription) ConnectionLost(now time.Duration) {
	s.phase, s.redialAt = idle, now+s.durations.RedialDelay
	if !s.link.Received {
		s.policy.RecordFailure(s.addr, now)
	}
}

// Dismiss reports that the parent refuses this sidecar, or no longer relays.
func (s *Subscription) GoAwayReceived(now time.Duration) []Action {
	return s.disconnectFailed(now, GoAway)
}

// leave disconnects from the parent, which counts as failed: others are tried first for a while.
func (s *Subscription) disconnectFailed(now time.Duration, reason Reason) []Action {
	s.policy.RecordFailure(s.addr, now)
	return s.disconnect(now, reason)
}

func (s *Subscription) disconnect(now time.Duration, reason Reason) []Action {
	s.phase, s.redialAt = idle, now
	return []Action{Disconnect{Addr: s.addr, Reason: reason}}
}

// Reparent disconnects from a control machine where the distribution tree has a relay for this sidecar; the next
// Maintain dials that.
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

// Maintain keeps the subscription up: it leaves a stale parent, dials where there is no connection, and sends a
// heartbeat when one is due. partialBytes is how many bytes of an incomplete frame have arrived from the parent. The
// owner calls it after each event and each tick.
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

// checkParent leaves a stale parent, or sends it a heartbeat when one is due.
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

// ReportLiveness sends the parent a heartbeat with what this sidecar reports of rollouts, once the sidecar is ready.
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

// UpdateApplied reports that an update was applied. The next report acknowledges its nonce; 0: the update needs no
// acknowledgement.
func (s *Subscription) UpdateApplied(nonce uint64) {
	if nonce > 0 {
		s.nonce = nonce
	}
}

// SetNeedsFullState sets whether the configuration of the last update could not be applied: acknowledgements then ask
// for the full text.
func (s *Subscription) SetNeedsFullState(needed bool) { s.needsFullState = needed }

// Acknowledge sends the parent what was applied and is in force, if it has changed since it was last sent.
func (s *Subscription) Acknowledge(now time.Duration) []Action {
	if s.phase != connected || !s.link.Received || s.lastAck == s.ack(now) {
		return nil
	}
	return s.Report(now, nil)
}

// Announce sends the parent the sidecar's own entry, after it has changed.
func (s *Subscription) Announce(now time.Duration) []Action {
	if s.phase != connected || !s.ready {
		return nil
	}
	s.heartbeatAt = now + s.durations.ReportInterval
	return s.Report(now, []*wire.EntryT{s.ownEntry(now)})
}

// Report sends the parent entries with an acknowledgement, which serves as a heartbeat. Without a parent it does
// nothing.
func (s *Subscription) Report(now time.Duration, entries []*wire.EntryT) []Action {
	if s.phase != connected {
		return nil
	}
	s.lastAck = s.ack(now)
	f := &wire.FrameT{Kind: wire.Report, From: s.self.Node, Entries: entries}
	return []Action{Send{codec.SetAck(f, s.lastAck)}}
}

// ack returns what this sidecar and those below it have applied and in force.
func (s *Subscription) ack(now time.Duration) dissemination.Ack {
	a := dissemination.Ack{
		Nonce:         s.nonce,
		Version:       s.state.Version,
		LowestInForce: min(s.inForce, s.state.LowestInForce(now)),
	}
	if s.needsFullState {
		a.Version = 0
	}
	return a
}

// ownEntry returns the sidecar's own entry, as seen now.
func (s *Subscription) ownEntry(now time.Duration) *wire.EntryT {
	own := *s.self
	own.LastSeen = now
	return codec.AddRolloutReport(codec.EntryToWire(&own, now), &own.RolloutReport)
}

// chooseParent returns the parent to subscribe to. Before the sidecar is ready that is a control machine.
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
