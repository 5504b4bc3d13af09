package attempts

import (
	"container/list"
	"strings"
	"time"
)

// sender is a log's state of one sending sidecar.
type sender struct {
	name           string
	element        *list.Element // in the log's sendersByActivity
	floor          uint64        // the highest number of its evicted attempts
	loggedAttempts int           // number of its attempts in the log
	everBarred     bool          // one of its attempts was barred; the floor has to be kept for BarRetention since
	barredAt       time.Duration
}

func (s *sender) recordBar(now time.Duration) { s.everBarred, s.barredAt = true, now }

// addSender adds the sender of an attempt, or returns nil if there is no room for it. If any sender was evicted before, this sender may be
// one of those, and all its attempts before this one count as evicted.
func (l *Log[Q, R]) addSender(now time.Duration, id ID) *sender {
	if len(l.senders) >= MaxSenders && !l.evictSender(now) {
		return nil
	}
	s := &sender{name: strings.Clone(id.Sender)} // the caller's string would keep a larger buffer alive
	s.element = l.sendersByActivity.PushBack(s)
	if l.anySenderEvicted {
		s.floor = id.Number - 1
	}
	l.senders[s.name] = s
	return s
}

// evictSender evicts the least recently active of the senders whose floor is not needed any more, and reports whether there was one. After
// BarRetention no connection can be open any more on which a barred attempt could still arrive. No other guarantee of the log depends on
// time.
func (l *Log[Q, R]) evictSender(now time.Duration) bool {
	for element := l.sendersByActivity.Front(); element != nil; element = element.Next() {
		s, ok := element.Value.(*sender)
		if !ok || s.loggedAttempts > 0 || s.everBarred && now-s.barredAt < BarRetention {
			continue
		}
		l.sendersByActivity.Remove(element)
		delete(l.senders, s.name)
		l.anySenderEvicted = true
		return true
	}
	return false
}
