// Package dissemination decides which updates are pushed to which subscribers, and when, in the tree that distributes the configuration
// and the directory: control machines are the roots, relays (sidecars that pass updates on to other sidecars of their zone) are below them,
// and the other sidecars are the leaves.
//
// A Publisher pushes the configuration and the directory to its subscribers, like a discovery server in xDS: each subscriber gets what it
// does not have yet, with the time at which that was known to be the newest, and acknowledges it by nonce. Control machines have a
// Publisher, and so do sidecars, as any of them may become a relay. A Subscriber decides for a sidecar which publisher it subscribes to,
// when it switches, and when it is ready. ParentCandidates chooses a sidecar's relays. Confirmations decides when an operator's change is
// acknowledged.
//
// The package has no socket and no clock: times are arguments, measured from the start of the process. Its types are not safe for
// concurrent use.
//
// Start reading at Publisher.Tick and Subscriber.Ready.
package dissemination

import (
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/delta"
	"firplank/mesh/directory"
	"firplank/mesh/rollout"
	"firplank/mesh/timing"
)

const (
	// MaxSubscribers is the maximum number of subscribers of a publisher. Further ones are rejected, and try another publisher.
	MaxSubscribers = 512
	// batchDelay is how long a push is delayed after a change, so that changes in quick succession share one push.
	batchDelay = 15 * time.Millisecond
	// maxDiffBytes is the size of a text above which no delta is computed, as that would take too much CPU time.
	maxDiffBytes = 2 << 20
)

// Publisher holds what is published and which part of it each subscriber has received. The exported fields are read-only outside of this
// package, except ControlMachines, which the owner replaces.
type Publisher struct {
	// Directory is the published directory. The owner changes it by the directory's own methods.
	Directory *directory.Directory
	// Version is the published version of the configuration, or None.
	Version configversion.Version
	// Text is the configuration's text. It is shared and must not be modified.
	Text []byte
	// AsOf is a time at which Version was the newest version that a majority had, or TimeUnknown.
	AsOf time.Duration
	// Rollouts is the published set of rollouts.
	Rollouts rollout.Set
	// ControlMachines are the control machines that subscribers may connect to.
	ControlMachines []ControlMachine

	durations     timing.Dissemination
	history       deltaHistory
	subscriptions map[uint64]*subscription
}

// NewPublisher returns a publisher with an empty directory and no configuration.
func NewPublisher(t timing.Dissemination) *Publisher {
	return &Publisher{Directory: directory.New(), AsOf: TimeUnknown, durations: t, subscriptions: map[uint64]*subscription{}}
}

// SetConfig records that a version was the newest at asOf. text may be nil if the version is the current one. deltas lead from the current
// version to the new one; if there are none, one is computed. SetConfig reports whether the version is newer than the current one and is
// now published.
func (p *Publisher) SetConfig(version configversion.Version, text []byte, deltas []Delta, asOf time.Duration) bool {
	newer := version > p.Version && text != nil
	if newer {
		if len(deltas) == 0 {
			deltas = p.computeDelta(version, text)
		}
		p.history.add(deltas)
		p.Version, p.Text = version, text
	}
	// An older version says nothing about the age of the current one, and a newer one without its text isn't published.
	if version == p.Version && asOf > p.AsOf {
		p.AsOf = asOf
	}
	return newer
}

// SetRollouts replaces the rollouts if the new set has a higher revision, and reports whether it has.
func (p *Publisher) SetRollouts(s rollout.Set) bool {
	if s.Revision <= p.Rollouts.Revision {
		return false
	}
	p.Rollouts = s
	return true
}

func (p *Publisher) computeDelta(version configversion.Version, text []byte) []Delta {
	if p.Version == configversion.None || len(p.Text) > maxDiffBytes || len(text) > maxDiffBytes {
		return nil
	}
	return []Delta{{Base: p.Version, Version: version, Bytes: delta.Encode(p.Text, text)}}
}

// ApplyDeltas applies deltas to the current text. It returns the resulting text, of at most maxBytes, and the deltas used; deltas of
// earlier versions are skipped. The publisher is not changed. ok is false if the deltas do not apply.
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

// Subscribe adds a subscriber that has a version of the configuration (or None) and no directory entries. It returns false if there are
// MaxSubscribers already.
func (p *Publisher) Subscribe(id uint64, version configversion.Version, now time.Duration) bool {
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

// HandleAck processes a subscriber's acknowledgement. Unknown subscribers are ignored.
func (p *Publisher) HandleAck(id uint64, ack Ack, now time.Duration) {
	if s := p.subscriptions[id]; s != nil {
		s.handleAck(ack, now)
	}
}

// LowestInForce returns the lowest version in force among the subscribers that have reported within SubscriberTimeout, or Unconstrained if
// there are none.
func (p *Publisher) LowestInForce(now time.Duration) configversion.Version {
	lowest := Unconstrained
	for _, s := range p.subscriptions {
		if now-s.lastAck <= p.durations.SubscriberTimeout {
			lowest = min(lowest, s.lowestInForce)
		}
	}
	return lowest
}

// Tick returns the updates that are due, in no particular order, and when to call it again at the latest. A subscriber that has not yet
// acknowledged an update gets only heartbeats and rollouts, so that versions superseded in the meantime are never sent to it.
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
