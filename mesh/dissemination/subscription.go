package dissemination

import "time"

const (
	// maxUnackedEntries is how many entries are pushed without awaiting an acknowledgement, and together with a configuration.
	maxUnackedEntries = 32
	// pushesBetweenMachines is how many pushes go without the list of control machines after one that had it.
	pushesBetweenMachineLists = 2
	// notChanged is the value of subscription.changedAt while there is nothing new for the subscriber.
	noChange = time.Duration(-1)
)

// subscription is a publisher's state for one subscriber.
type subscription struct {
	directoryRevision      uint64 // of the directory, up to which entries were pushed
	sentRolloutRevision    uint32 // revision of the rollouts that were pushed
	sentVersion            uint32 // that the subscriber has once it has applied all that was pushed
	nonce                  uint64 // of the last update that had one
	awaitingAck            bool   // that update is not acknowledged yet
	lowestInForce          uint32
	lastAck                time.Duration
	lastPush               time.Duration
	changedAt              time.Duration // since when there is something to push; below 0: there is nothing
	pushesUntilMachineList int           // pushes left until the control machines are listed again
}

// newSubscription returns the state for a subscriber that has a version. Its first push is due a heartbeat interval after lastPush.
func newSubscription(version uint32, lastPush, now time.Duration) *subscription {
	return &subscription{
		sentVersion:   version,
		lowestInForce: version,
		lastAck:       now,
		lastPush:      lastPush,
		changedAt:     now,
	}
}

// handleAck records an acknowledgement. One of an earlier nonce does not tell what the subscriber has by now.
func (s *subscription) handleAck(ack Ack, now time.Duration) {
	s.lastAck, s.lowestInForce = now, ack.LowestInForce
	if ack.Nonce == s.nonce {
		s.awaitingAck, s.sentVersion = false, ack.Version
	}
}

// dueAt returns when the next push is due: soon after a change, else at the next heartbeat.
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

// push builds the update that is due, and records it as sent: the configuration first, with entries where they are few or the
// subscriber's first.
func (s *subscription) push(id uint64, p *Publisher, now time.Duration) Update {
	update := Update{SubscriberID: id, AsOf: TimeUnknown}
	if s.sentRolloutRevision < p.Rollouts.Revision { // ahead of the entries of servers of new versions
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

// addConfig adds the newest version where the subscriber has an older one. It reports whether it did.
func (s *subscription) addConfig(update *Update, p *Publisher) bool {
	if s.sentVersion >= p.Version {
		return false
	}
	update.Deltas = p.history.since(s.sentVersion)
	update.FullText = update.Deltas == nil
	s.sentVersion = p.Version
	return true
}

// addEntries adds what has changed in the directory. It reports whether that has to be acknowledged.
func (s *subscription) addEntries(update *Update, p *Publisher, withConfig bool) bool {
	revision := p.Directory.Revision()
	if s.directoryRevision >= revision {
		return false
	}
	entries := p.Directory.ChangedSince(s.directoryRevision)
	if withConfig && s.directoryRevision > 0 && len(entries) > maxUnackedEntries {
		return false // they follow once the configuration is acknowledged
	}
	update.Entries, s.directoryRevision = entries, revision
	return len(entries) > maxUnackedEntries
}
