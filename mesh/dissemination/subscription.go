package dissemination

import (
	"time"

	"firplank/mesh/configversion"
)

const (
	// maxUnackedEntries is the maximum number of entries that are pushed without awaiting an acknowledgement, or together with a
	// configuration.
	maxUnackedEntries = 32
	// pushesBetweenMachineLists is the number of pushes without the list of control machines between two that include it.
	pushesBetweenMachineLists = 2
	// noChange is the value of subscription.changedAt while there is nothing to push.
	noChange = time.Duration(-1)
)

// subscription is a publisher's state for one subscriber.
type subscription struct {
	directoryRevision      uint64                // revision of the directory up to which entries were pushed
	sentRolloutRevision    uint32                // revision of the rollouts that were pushed
	sentVersion            configversion.Version // version that the subscriber has after applying all updates pushed so far
	nonce                  uint64                // of the last update with a nonce
	awaitingAck            bool                  // the update with that nonce is not acknowledged yet
	lowestInForce          configversion.Version
	lastAck                time.Duration
	lastPush               time.Duration
	changedAt              time.Duration // when the oldest change not yet pushed was detected, or noChange
	pushesUntilMachineList int           // number of pushes until the list of control machines is sent again
}

// newSubscription returns the state for a subscriber that has a version of the configuration (or None). Its first push is due a
// heartbeat interval after lastPush, or batchDelay after now, whichever is earlier.
func newSubscription(version configversion.Version, lastPush, now time.Duration) *subscription {
	return &subscription{
		sentVersion:   version,
		lowestInForce: version,
		lastAck:       now,
		lastPush:      lastPush,
		changedAt:     now,
	}
}

// handleAck records an acknowledgement. One with an earlier nonce does not say which version the subscriber has after the last update.
func (s *subscription) handleAck(ack Ack, now time.Duration) {
	s.lastAck, s.lowestInForce = now, ack.LowestInForce
	if ack.Nonce == s.nonce {
		s.awaitingAck, s.sentVersion = false, ack.Version
	}
}

// dueAt returns when the next push is due: batchDelay after a change, or else at the next heartbeat.
func (s *subscription) dueAt(heartbeatInterval time.Duration) time.Duration {
	heartbeat := s.lastPush + heartbeatInterval
	if s.changedAt < 0 {
		return heartbeat
	}
	return min(heartbeat, s.changedAt+batchDelay)
}

// hasChanges reports whether there is something that may be pushed now.
func (s *subscription) hasChanges(p *Publisher) bool {
	if s.sentRolloutRevision < p.Rollouts.Revision {
		return true
	}
	return !s.awaitingAck && (s.sentVersion < p.Version || s.directoryRevision < p.Directory.Revision())
}

// push builds the update that is due and records it as sent. The configuration comes first. Entries are added to it if they are few or if
// the subscriber has none yet.
func (s *subscription) push(id uint64, p *Publisher, now time.Duration) Update {
	update := Update{SubscriberID: id, AsOf: TimeUnknown}
	if s.sentRolloutRevision < p.Rollouts.Revision { // before the entries of servers of new versions
		rollouts := p.Rollouts
		update.Rollouts, s.sentRolloutRevision = &rollouts, rollouts.Revision
	}
	if !s.awaitingAck {
		config := s.addConfig(&update, p)
		entries := s.addEntries(&update, p, config)
		if config || entries {
			s.nonce++
			s.awaitingAck, update.Nonce = true, s.nonce
		}
	}
	update.Version = s.sentVersion
	if s.sentVersion >= p.Version {
		update.Version, update.AsOf = p.Version, p.AsOf
	}
	if s.pushesUntilMachineList--; s.pushesUntilMachineList < 0 {
		update.ControlMachines, s.pushesUntilMachineList = p.ControlMachines, pushesBetweenMachineLists
	}
	s.lastPush, s.changedAt = now, noChange
	return update
}

// addConfig adds the newest version if the subscriber has an older one. It reports whether it did.
func (s *subscription) addConfig(update *Update, p *Publisher) bool {
	if s.sentVersion >= p.Version {
		return false
	}
	update.Deltas = p.history.since(s.sentVersion)
	update.FullText = update.Deltas == nil
	s.sentVersion = p.Version
	return true
}

// addEntries adds the directory entries that have changed. It reports whether the update has to be acknowledged because of them.
func (s *subscription) addEntries(update *Update, p *Publisher, withConfig bool) bool {
	revision := p.Directory.Revision()
	if s.directoryRevision >= revision {
		return false
	}
	entries := p.Directory.ChangedSince(s.directoryRevision)
	if withConfig && s.directoryRevision > 0 && len(entries) > maxUnackedEntries {
		return false // pushed after the configuration is acknowledged
	}
	update.Entries, s.directoryRevision = entries, revision
	return len(entries) > maxUnackedEntries
}
