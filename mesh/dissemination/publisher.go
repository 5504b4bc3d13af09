// Package dissemination decides what is pushed to whom, and when, in the tree that spreads the configuration and the directory: control
// machines at the root, relays (sidecars that serve others of their zone) below them, the other sidecars as leaves.
//
// A Publisher pushes the configuration and the directory to its subscribers, as a discovery server does in xDS: each gets what it does not
// have yet, with the age of that knowledge, and acknowledges it by nonce. Control machines have one, and so have sidecars, which may become
// relays. A Subscriber decides for a sidecar which publisher it subscribes to, when it switches, and when it is ready.
// ParentCandidates chooses a sidecar's relays. Confirmations decides when an operator's change is acknowledged.
//
// The package has no socket and no clock: times are arguments, measured from the start of the process. Its types are not safe for
// concurrent use.
//
// Start reading at Publisher.Tick and Subscriber.Ready.
package dissemination

import (
	"time"

	"firplank/mesh/delta"
	"firplank/mesh/directory"
	"firplank/mesh/rollout"
	"firplank/mesh/timing"
)

const (
	// MaxSubscribers bounds the subscribers of a publisher; more are refused, and turn to another one.
	MaxSubscribers = 512
	// batchDelay is how long a change waits for further ones, so that changes which come together share a push.
	batchDelay = 15 * time.Millisecond
	// maxDiffBytes bounds the texts that deltas are computed of, for the processor time that takes.
	maxDiffBytes = 2 << 20
)

// Publisher holds what is published and what each subscriber has of it. The exported fields are for reading, but for ControlMachines, which
// the owner replaces; SetConfig sets the others.
type Publisher struct {
	// Directory is published; the owner changes it by its own methods.
	Directory *directory.Directory
	// Version is the version of the configuration that is published; 0: none.
	Version uint32
	// Text is the configuration's text. It is shared, and not to be changed.
	Text []byte
	// AsOf is a time at which Version was the newest that a majority had; or TimeUnknown.
	AsOf time.Duration
	// Rollouts are the newest that were published; SetRollouts replaces them.
	Rollouts rollout.Set
	// ControlMachines are the control machines that subscribers may turn to.
	ControlMachines []ControlMachine

	durations     timing.Dissemination
	history       deltaHistory
	subscriptions map[uint64]*subscription
}

// NewPublisher returns a publisher with an empty directory and no configuration.
func NewPublisher(t timing.Dissemination) *Publisher {
	return &Publisher{Directory: directory.New(), AsOf: TimeUnknown, durations: t, subscriptions: map[uint64]*subscription{}}
}

// SetConfig records that a version was the newest at asOf. Text may be nil where the version is the present one. The deltas are those that
// led to it from the present version; without any, one is computed. It reports whether the version is newer than the present one.
func (p *Publisher) SetConfig(version uint32, text []byte, deltas []Delta, asOf time.Duration) bool {
	newer := version > p.Version && text != nil
	if newer {
		if len(deltas) == 0 {
			deltas = p.computeDelta(version, text)
		}
		p.history.add(deltas)
		p.Version, p.Text = version, text
	}
	// An older version proves nothing about the present one, and a newer one without its text isn't published.
	if version == p.Version && asOf > p.AsOf {
		p.AsOf = asOf
	}
	return newer
}

// SetRollouts replaces the rollouts by later ones. It reports whether they are later.
func (p *Publisher) SetRollouts(s rollout.Set) bool {
	if s.Revision <= p.Rollouts.Revision {
		return false
	}
	p.Rollouts = s
	return true
}

func (p *Publisher) computeDelta(version uint32, text []byte) []Delta {
	if p.Version == 0 || len(p.Text) > maxDiffBytes || len(text) > maxDiffBytes {
		return nil
	}
	return []Delta{{Base: p.Version, Version: version, Bytes: delta.Encode(p.Text, text)}}
}

// ApplyDeltas returns the text to which deltas lead from the present one, of at most maxBytes, and the deltas that were needed for that;
// those of earlier versions are passed over. It changes nothing. Ok is false where they do not apply.
func (p *Publisher) ApplyDeltas(deltas []Delta, maxBytes int) (text []byte, used []Delta, ok bool) {
	for i := range deltas {
		if deltas[i].Base == p.Version {
			used = deltas[i:]
			break
		}
	}
	text, version := p.Text, p.Version
	for _, d := range used {
		next, err := delta.Apply(text, d.Bytes, maxBytes)
		if err != nil || d.Base != version {
			return nil, nil, false
		}
		text, version = next, d.Version
	}
	return text, used, len(used) > 0
}

// Subscribe adds a subscriber that has a version of the configuration (0: none) and nothing of the directory. It reports false where there
// are MaxSubscribers.
func (p *Publisher) Subscribe(id uint64, version uint32, now time.Duration) bool {
	if len(p.subscriptions) >= MaxSubscribers {
		return false
	}
	p.subscriptions[id] = newSubscription(version, now-p.durations.HeartbeatInterval, now)
	return true
}

// Unsubscribe removes a subscriber.
func (p *Publisher) Unsubscribe(id uint64) { delete(p.subscriptions, id) }

// Subscribers returns the number of subscribers.
func (p *Publisher) Subscribers() int { return len(p.subscriptions) }

// HandleAck records a subscriber's report; one of an unknown subscriber is ignored.
func (p *Publisher) HandleAck(id uint64, ack Ack, now time.Duration) {
	if s := p.subscriptions[id]; s != nil {
		s.handleAck(ack, now)
	}
}

// LowestInForce returns the lowest version in force among the subscribers that have reported lately; Unconstrained: there are none.
func (p *Publisher) LowestInForce(now time.Duration) uint32 {
	lowest := uint32(Unconstrained)
	for _, s := range p.subscriptions {
		if now-s.lastAck <= p.durations.SubscriberTimeout {
			lowest = min(lowest, s.lowestInForce)
		}
	}
	return lowest
}

// Tick returns the updates that are due, in no particular order, and when to call it again at the latest. A subscriber that has yet to
// acknowledge an update gets heartbeats only, so that versions which are superseded meanwhile are never sent to it.
func (p *Publisher) Tick(now time.Duration) (updates []Update, next time.Duration) {
	next = now + p.durations.HeartbeatInterval
	for id, s := range p.subscriptions {
		if s.changedAt < 0 && s.hasChanges(p) {
			s.changedAt = now
		}
		if due := s.dueAt(p.durations.HeartbeatInterval); now < due {
			next = min(next, due)
			continue
		}
		updates = append(updates, s.push(id, p, now))
	}
	return updates, next
}
