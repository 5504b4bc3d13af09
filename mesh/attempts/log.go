package attempts

import (
	"container/list"
	"time"
)

type state uint8

const (
	barred state = iota
	running
	finished
)

// key is an ID without the last hop's incarnation.
type key struct {
	sender string
	number uint64
}

// record is the log's entry of one attempt.
type record[Q, R any] struct {
	key            key
	loggedAt       time.Duration
	state          state
	waitingQueries []Q
	response       R
	responseBytes  int // of the response, in bytes; 0: it is not cached
	finishedAt     time.Duration
}

// Log holds the attempts that have arrived at one last hop or were queried there, with queries of type Q and responses of type R. All times
// are from one monotonic clock. The constants of this package bound the size: a full log evicts its oldest attempt. A Log is not safe for
// concurrent use.
type Log[Q, R any] struct {
	incarnation    uint64
	records        map[key]*record[Q, R]
	byLoggedAt     []*record[Q, R] // all records, oldest first
	byFinishedAt   []*record[Q, R] // records with a cached response, oldest first
	cachedBytes    int
	evictedQueries []Q // queries that waited for evicted attempts

	senders           map[string]*sender
	sendersByActivity list.List // of *sender; the most recently active is at the back
	anySenderEvicted  bool      // an unknown sender may have had attempts at this last hop before
}

// New returns an empty log for an incarnation of the last hop, which must not be 0.
func New[Q, R any](incarnation uint64) *Log[Q, R] {
	return &Log[Q, R]{incarnation: incarnation, records: map[key]*record[Q, R]{}, senders: map[string]*sender{}}
}

// Incarnation returns the present incarnation of the last hop.
func (l *Log[Q, R]) Incarnation() uint64 { return l.incarnation }

// SetIncarnation sets a new incarnation of the last hop. Attempts that were sent to an earlier one are no longer admitted.
func (l *Log[Q, R]) SetIncarnation(incarnation uint64) { l.incarnation = incarnation }

// Check returns the verdict on an arriving attempt, without logging it.
func (l *Log[Q, R]) Check(id ID) Verdict {
	if r := l.records[key{id.Sender, id.Number}]; r != nil {
		if r.state == barred {
			return AlreadyBarred
		}
		return Duplicate
	}
	if id.Incarnation != 0 && id.Incarnation != l.incarnation {
		return WrongIncarnation
	}
	if s := l.senders[id.Sender]; s != nil && id.Number <= s.floor {
		return TooOld
	}
	return Admitted
}

// Begin returns the verdict on an arriving attempt, and logs it as running if the verdict is Admitted. Finish or Withdraw ends the attempt.
func (l *Log[Q, R]) Begin(now time.Duration, id ID) Verdict {
	l.Tick(now)
	if v := l.Check(id); v != Admitted {
		return v
	}
	if !l.insert(now, id, running) {
		return LogFull
	}
	return Admitted
}

// Query returns the status of an attempt, with its response if the status is Finished. If the status is NotStarted, the attempt is barred
// before Query returns. If the status is Running, the query waits and is later returned by Finish, Withdraw or TakeEvicted.
func (l *Log[Q, R]) Query(now time.Duration, id ID, query Q) (status Status, response R) {
	l.Tick(now)
	if r := l.records[key{id.Sender, id.Number}]; r != nil {
		return l.status(r, query)
	}
	s := l.senders[id.Sender]
	switch {
	case id.Incarnation == 0 || id.Incarnation != l.incarnation: // it may have run in another process
	case s != nil && id.Number <= s.floor: // its record may have been evicted
	case s == nil && l.anySenderEvicted: // its sender's floor may have been evicted
	case l.insert(now, id, barred):
		return NotStarted, response
	}
	return Unknown, response
}

// status returns the status of a logged attempt. If it is running, the query waits for its end.
func (l *Log[Q, R]) status(r *record[Q, R], query Q) (status Status, response R) {
	switch {
	case r.state == barred:
		return NotStarted, response
	case r.state == running && len(r.waitingQueries) >= MaxWaitingQueries:
		return Unknown, response
	case r.state == running:
		r.waitingQueries = append(r.waitingQueries, query)
		return Running, response
	case r.responseBytes > 0:
		return Finished, r.response
	}
	return Discarded, response
}

// Finish ends a running attempt. It caches the response, unless responseBytes is 0 or more than MaxResponseBytes. It returns the queries
// that waited for the attempt.
func (l *Log[Q, R]) Finish(now time.Duration, id ID, response R, responseBytes int) (waiting []Q) {
	r := l.records[key{id.Sender, id.Number}]
	if r == nil || r.state != running {
		return nil
	}
	waiting, r.waitingQueries = r.waitingQueries, nil
	r.state, r.finishedAt = finished, now
	if responseBytes > 0 && responseBytes <= MaxResponseBytes {
		r.response, r.responseBytes = response, responseBytes
		l.byFinishedAt = append(l.byFinishedAt, r)
		l.cachedBytes += responseBytes
	}
	l.Tick(now)
	return waiting
}

// Withdraw bars an attempt that was admitted but has not reached the server. It returns the queries that waited for the attempt.
func (l *Log[Q, R]) Withdraw(now time.Duration, id ID) (waiting []Q) {
	r := l.records[key{id.Sender, id.Number}]
	if r == nil || r.state != running {
		return nil
	}
	waiting, r.waitingQueries = r.waitingQueries, nil
	r.state = barred
	l.senders[id.Sender].recordBar(now)
	return waiting
}

// Tick evicts responses and attempts whose retention has ended.
func (l *Log[Q, R]) Tick(now time.Duration) {
	for len(l.byFinishedAt) > 0 && (l.cachedBytes > MaxCachedBytes || now-l.byFinishedAt[0].finishedAt >= ResponseRetention) {
		l.evictResponse(l.byFinishedAt[0])
		l.byFinishedAt = l.byFinishedAt[1:]
	}
	for len(l.byLoggedAt) > 0 && now-l.byLoggedAt[0].loggedAt >= Retention {
		l.evictOldest()
	}
}

// TakeEvicted returns the queries that waited for attempts that were evicted since the last call. The status of these attempts is Unknown.
func (l *Log[Q, R]) TakeEvicted() []Q {
	evicted := l.evictedQueries
	l.evictedQueries = nil
	return evicted
}

// Len returns the number of logged attempts.
func (l *Log[Q, R]) Len() int { return len(l.records) }

// CachedBytes returns the total size of the cached responses.
func (l *Log[Q, R]) CachedBytes() int { return l.cachedBytes }

// insert logs an attempt in a state. It returns false, and logs nothing, if there is no room for the attempt's sender.
func (l *Log[Q, R]) insert(now time.Duration, id ID, st state) bool {
	if len(l.byLoggedAt) >= MaxAttempts {
		l.evictOldest()
	}
	s := l.senders[id.Sender]
	if s == nil {
		if s = l.addSender(now, id); s == nil {
			return false
		}
	}
	l.sendersByActivity.MoveToBack(s.element)
	s.loggedAttempts++
	if st == barred {
		s.recordBar(now)
	}
	r := &record[Q, R]{key: key{s.name, id.Number}, loggedAt: now, state: st}
	l.records[r.key] = r
	l.byLoggedAt = append(l.byLoggedAt, r)
	return true
}

// evictOldest evicts the oldest attempt and raises its sender's floor to the attempt's number.
func (l *Log[Q, R]) evictOldest() {
	r := l.byLoggedAt[0]
	l.byLoggedAt[0] = nil
	l.byLoggedAt = l.byLoggedAt[1:]
	l.evictResponse(r)
	l.evictedQueries = append(l.evictedQueries, r.waitingQueries...)
	r.waitingQueries = nil
	delete(l.records, r.key)
	s := l.senders[r.key.sender]
	s.floor = max(s.floor, r.key.number)
	s.loggedAttempts--
}

// evictResponse removes an attempt's response from the cache.
func (l *Log[Q, R]) evictResponse(r *record[Q, R]) {
	var none R
	l.cachedBytes -= r.responseBytes
	r.response, r.responseBytes = none, 0
}
