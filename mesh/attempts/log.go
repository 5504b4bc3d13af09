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

// key is an ID without the incarnation of the last hop.
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

// Log holds the attempts that have arrived at one last hop, or were queried there, with queries of type Q and responses of type R. All
// times are those of one clock that does not go back. All of it is bounded by the constants of this package: a full log evicts its oldest
// attempt. It is not safe for concurrent use.
type Log[Q, R any] struct {
	incarnation    uint64
	records        map[key]*record[Q, R]
	byLoggedAt     []*record[Q, R] // by loggedAt
	byFinishedAt   []*record[Q, R] // those with a response, by finishedAt
	cachedBytes    int
	evictedQueries []Q // queries that waited for attempts that were evicted

	senders           map[string]*sender
	sendersByActivity list.List // of *sender; the one that was last active is at the back
	anySenderEvicted  bool      // an unknown sender may have had attempts here before
}

// New returns the log of a last hop's incarnation, which is not 0.
func New[Q, R any](incarnation uint64) *Log[Q, R] {
	return &Log[Q, R]{incarnation: incarnation, records: map[key]*record[Q, R]{}, senders: map[string]*sender{}}
}

// Incarnation is the incarnation of the last hop that the log speaks for.
func (l *Log[Q, R]) Incarnation() uint64 { return l.incarnation }

// SetIncarnation gives the last hop another incarnation: attempts sent to the one before do not start any more.
func (l *Log[Q, R]) SetIncarnation(incarnation uint64) { l.incarnation = incarnation }

// Check returns the verdict on an attempt that arrives, without logging it.
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

// Begin logs an attempt that arrives as running, if its verdict is Admitted. Finish or Withdraw ends it.
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

// Query answers a query about an attempt, with the response where the status is Finished. Where the status is NotStarted, the attempt is
// barred before Query returns. Where it is Running, the query is returned by Finish, Withdraw or TakeEvicted.
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

// status answers a query about an attempt that is logged.
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

// Finish ends an attempt that runs, with a response of so many bytes; 0: it is not to be cached. It returns the queries that wait.
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

// Withdraw bars an attempt that was admitted and has not reached the server after all. It returns the queries that wait.
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

// Tick evicts responses and attempts whose retention is over.
func (l *Log[Q, R]) Tick(now time.Duration) {
	for len(l.byFinishedAt) > 0 && (l.cachedBytes > MaxCachedBytes || now-l.byFinishedAt[0].finishedAt >= ResponseRetention) {
		l.evictResponse(l.byFinishedAt[0])
		l.byFinishedAt = l.byFinishedAt[1:]
	}
	for len(l.byLoggedAt) > 0 && now-l.byLoggedAt[0].loggedAt >= Retention {
		l.evictOldest()
	}
}

// TakeEvicted returns, once, the queries that waited for attempts that were evicted: their status is Unknown.
func (l *Log[Q, R]) TakeEvicted() []Q {
	evicted := l.evictedQueries
	l.evictedQueries = nil
	return evicted
}

// Len is how many attempts are logged.
func (l *Log[Q, R]) Len() int { return len(l.records) }

// CachedBytes is the size of all cached responses.
func (l *Log[Q, R]) CachedBytes() int { return l.cachedBytes }

// insert logs an attempt in a state. It reports whether there is room for its sender.
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

// evictOldest evicts the oldest attempt, and raises its sender's floor to it.
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

// dropResponse evicts an attempt's response from the cache.
func (l *Log[Q, R]) evictResponse(r *record[Q, R]) {
	var none R
	l.cachedBytes -= r.responseBytes
	r.response, r.responseBytes = none, 0
}
