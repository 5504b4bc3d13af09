// Package inflight tracks, at the sending sidecar, the attempts that must not run twice: it numbers them for the log of outcomes at their
// last hop (package attempts), remembers each until it has a response, decides when a broken connection calls for a query, and draws the
// evidence of responses. It has no clock, no goroutine and no socket, and is explored as it is (lab/explore/calls).
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
	// MaxQueries is how often the last hop is queried about one attempt, and QueryInterval the pause before the next query.
	MaxQueries    = 3
	QueryInterval = 150 * time.Millisecond
	// MinQueryTime is how much time its request must have left for a query to be worth sending.
	MinQueryTime = 20 * time.Millisecond
	// MaxIncarnations bounds the last hops whose incarnation is remembered; beyond it all are forgotten, and learned anew.
	MaxIncarnations = 16384
)

// Attempt is an attempt that must not run twice, as it was sent.
type Attempt struct {
	ID   attempts.ID
	Addr string // of the last hop that it was sent to
}

// Query asks the last hop of an attempt for its outcome.
type Query struct {
	Attempt Attempt
	Number  int // 1 for the first query about an attempt

	answered bool
}

// Answered reports whether the last hop has understood the query, so that the evidence of its response is about the attempt.
func (q *Query) Answered() bool { return q.answered }

// FirstQuery returns the query that a broken connection calls for, or nil where the request has too little time left for one.
func (a Attempt) FirstQuery(remaining time.Duration) *Query { return newQuery(a, 1, remaining) }

// Next returns the query to send, QueryInterval later, after q was not answered, or nil where none is due any more.
func (q *Query) Next(remaining time.Duration) *Query {
	return newQuery(q.Attempt, q.Number+1, remaining)
}

func newQuery(attempt Attempt, number int, remaining time.Duration) *Query {
	if number > MaxQueries || remaining < MinQueryTime {
		return nil
	}
	return &Query{Attempt: attempt, Number: number}
}

// entry is an attempt that is out, or a query about one.
type entry struct {
	attempt Attempt
	query   *Query // nil: it is the attempt itself
}

// incarnation is which process stands at a last hop's address, as far as this sidecar knows.
type lastHopIncarnation struct {
	announced uint64 // by the directory
	effective uint64 // the announced one, or the one that the last hop itself has named since
}

// Tracker holds the attempts that are out, and the queries about them, by keys of the caller's. It holds one entry for each that is out,
// and the incarnations of MaxIncarnations last hops at most. It is safe for concurrent use.
type Tracker[K comparable] struct {
	sender string

	mu           sync.Mutex
	lastNumber   uint64
	entries      map[K]entry
	incarnations map[string]lastHopIncarnation // by the last hop's address
}

// New returns the tracker of a sender, which is named by its node and its own incarnation.
func New[K comparable](sender string) *Tracker[K] {
	return &Tracker[K]{sender: sender, entries: map[K]entry{}, incarnations: map[string]lastHopIncarnation{}}
}

// Begin numbers an attempt that is about to be written to the last hop at an address. Numbers rise with each attempt.
func (t *Tracker[K]) Begin(key K, addr string) attempts.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	id := attempts.ID{Sender: t.sender, Number: t.lastNumber, Incarnation: t.incarnations[addr].effective}
	t.entries[key] = entry{attempt: Attempt{ID: id, Addr: addr}}
	return id
}

// BeginQuery notes a query that is about to be sent.
func (t *Tracker[K]) BeginQuery(key K, q *Query) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[key] = entry{attempt: q.Attempt, query: q}
}

// QueryOf returns the query that a key stands for; nil: it stands for none.
func (t *Tracker[K]) QueryFor(key K) *Query {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[key].query
}

// Respond handles a complete response to an attempt or a query, and returns its evidence about the attempt. The entry is removed: what its
// connection does from then on means nothing. Idempotent attempts, which are never begun here, get the evidence alike. The incarnation is
// the one that the last hop has named as its own; 0: none.
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

// End removes an attempt or a query whose connection has ended. It returns the attempt whose outcome is unknown by that: one that had no
// response. Of a query it returns none.
func (t *Tracker[K]) HandleClose(key K) (unanswered Attempt, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	delete(t.entries, key)
	return e.attempt, ok && e.query == nil
}

// Announce records which incarnation the directory has of the last hop at an address. One that the last hop itself has named since
// prevails until the directory announces another one.
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

// correctIncarnation records the incarnation that a last hop names as its own, if the directory has announced one at its address.
func (t *Tracker[K]) correctIncarnation(addr string, effective uint64) {
	if known, ok := t.incarnations[addr]; ok && effective != 0 {
		known.effective = effective
		t.incarnations[addr] = known
	}
}
