// Package inflight tracks, at the sending sidecar, the attempts of requests that are not idempotent. It numbers them for the outcome log at
// their last hop (package attempts), stores each until it has a response, decides when to query the last hop after a broken connection, and
// derives the evidence of responses. It has no clock, goroutines or sockets. The model checker lab/explore/calls runs it unchanged.
//
// Start reading at Tracker.
package inflight

import (
	"sync"
	"time"

	"firplank/mesh/attempts"
)

// Bounds of queries and of a Tracker.
const (
	// MaxQueries bounds the queries about one attempt, and QueryInterval is the pause between them.
	MaxQueries    = 3
	QueryInterval = 150 * time.Millisecond
	// MinQueryTime is the shortest time before the request's deadline at which a query is still sent.
	MinQueryTime = 20 * time.Millisecond
	// MaxIncarnations bounds the last hops whose incarnations are stored. When it is exceeded, all are removed; the directory and the last
	// hops' responses supply them again.
	MaxIncarnations = 16384
)

// Attempt identifies an attempt that must not run twice and the last hop that it was sent to.
type Attempt struct {
	ID   attempts.ID
	Addr string // of the last hop
}

// Query is a query to the last hop of an attempt about the attempt's outcome.
type Query struct {
	Attempt Attempt
	Number  int // 1 for the first query about an attempt

	answered bool
}

// Answered reports whether the last hop has answered the query. If not, its response is no evidence about the attempt.
func (q *Query) Answered() bool { return q.answered }

// FirstQuery returns the first query about an attempt whose connection broke. It returns nil if too little time remains until the request's
// deadline.
func (a Attempt) FirstQuery(remaining time.Duration) *Query { return newQuery(a, 1, remaining) }

// Next returns the query to send QueryInterval after q was not answered. It returns nil after MaxQueries, or if too little time remains.
func (q *Query) Next(remaining time.Duration) *Query {
	return newQuery(q.Attempt, q.Number+1, remaining)
}

func newQuery(attempt Attempt, number int, remaining time.Duration) *Query {
	if number > MaxQueries || remaining < MinQueryTime {
		return nil
	}
	return &Query{Attempt: attempt, Number: number}
}

// entry is an attempt in flight, or a query about one.
type entry struct {
	attempt Attempt
	query   *Query // nil if the entry is the attempt itself
}

// lastHopIncarnation is the last known incarnation of the process at a last hop's address.
type lastHopIncarnation struct {
	announced uint64 // in the directory
	effective uint64 // the announced one, or a different one that the last hop has named in a response since
}

// Tracker holds the attempts in flight and the queries about them, by keys that the caller chooses. It has one entry for each, and the
// incarnations of at most MaxIncarnations last hops. It is safe for concurrent use.
type Tracker[K comparable] struct {
	sender string

	mu           sync.Mutex
	lastNumber   uint64
	entries      map[K]entry
	incarnations map[string]lastHopIncarnation // by the last hop's address
}

// New returns the tracker of a sender. The sender's name contains its node and its incarnation.
func New[K comparable](sender string) *Tracker[K] {
	return &Tracker[K]{sender: sender, entries: map[K]entry{}, incarnations: map[string]lastHopIncarnation{}}
}

// Begin adds an attempt that is about to be sent to the last hop at addr, and returns its ID. Each attempt has a higher number than the one
// before.
func (t *Tracker[K]) Begin(key K, addr string) attempts.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	id := attempts.ID{Sender: t.sender, Number: t.lastNumber, Incarnation: t.incarnations[addr].effective}
	t.entries[key] = entry{attempt: Attempt{ID: id, Addr: addr}}
	return id
}

// BeginQuery adds a query that is about to be sent.
func (t *Tracker[K]) BeginQuery(key K, q *Query) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[key] = entry{attempt: q.Attempt, query: q}
}

// QueryFor returns the query with a key, or nil if there is none.
func (t *Tracker[K]) QueryFor(key K) *Query {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[key].query
}

// HandleResponse handles a complete response to an attempt or a query, and returns its evidence about the attempt. It removes the entry, so
// that a later end of the connection has no effect. It also accepts responses to idempotent attempts, which are never added. incarnation
// is the incarnation that the last hop has named as its own in the response, or 0.
func (t *Tracker[K]) HandleResponse(key K, outcome attempts.Outcome, r attempts.Response, incarnation uint64) attempts.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	delete(t.entries, key)
	if ok && outcome == attempts.NotReceived {
		t.correctIncarnation(e.attempt.Addr, incarnation)
	}
	if e.query == nil {
		return attempts.FromLastHop(outcome, r)
	}
	evidence, answered := attempts.FromQuery(outcome, r)
	e.query.answered = answered
	return evidence
}

// HandleClose removes an attempt or a query whose connection has ended. If the entry is an attempt without a response, it is returned, as
// its outcome is now unknown. ok is false otherwise.
func (t *Tracker[K]) HandleClose(key K) (unanswered Attempt, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	delete(t.entries, key)
	return e.attempt, ok && e.query == nil
}

// SetAnnouncedIncarnation records the incarnation that the directory has for the last hop at an address. An incarnation that the last hop
// itself has named since takes precedence until the directory has a different one.
func (t *Tracker[K]) SetAnnouncedIncarnation(addr string, announced uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incarnations[addr].announced == announced {
		return
	}
	if len(t.incarnations) >= MaxIncarnations {
		clear(t.incarnations)
	}
	t.incarnations[addr] = lastHopIncarnation{announced: announced, effective: announced}
}

// correctIncarnation records the incarnation that a last hop has named as its own, if the directory has one for its address.
func (t *Tracker[K]) correctIncarnation(addr string, effective uint64) {
	if known, ok := t.incarnations[addr]; ok && effective != 0 {
		known.effective = effective
		t.incarnations[addr] = known
	}
}
