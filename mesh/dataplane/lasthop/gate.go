// Package lasthop decides, at the last hop, which requests from other sidecars begin at the local server. For those that begin it tracks
// the occupied slot, the load on the machine's link, and the outcome of each attempt that must not run twice. It combines the decisions of
// packages admission and attempts and defines their order. The model checker lab/explore/calls runs all three. The package has no clock,
// goroutines or sockets.
//
// Start reading at Gate.
package lasthop

import (
	"time"

	"firplank/mesh/admission"
	"firplank/mesh/attempts"
)

// Request is a request that another sidecar forwards.
type Request struct {
	ServerID   string      // of the intended server
	Attempt    attempts.ID // of a request that must not run twice; if Sender is empty, the outcome is not logged
	Idempotent bool        // it may run more than once
	Bulk       bool        // its response is long, so the link must admit it too
	Rank       int         // of its route; 0 is the most urgent
	Forwarded  int         // number of times it was rejected by a last hop and forwarded to another
}

// Decision states whether a request begins. A rejection proves that the attempt has not started and never will. The exception is
// attempts.Duplicate: an earlier copy of the attempt has started.
type Decision struct {
	Attempt   attempts.Verdict  // of the outcome log
	Admission admission.Verdict // of admission control, if the outcome log admits the attempt
}

// Admitted reports whether the request may be sent to the server.
func (d Decision) Admitted() bool {
	return d.Attempt == attempts.Admitted && d.Admission == admission.Admit
}

// Result is the result of a request that has begun.
type Result[R any] struct {
	Response   R
	CacheBytes int              // size of Response in the cache for queries; 0 if it is not to be cached
	NotStarted bool             // the request has not reached the server
	Refused    bool             // the server's address refused the connection
	Responded  bool             // the server has responded, with any status
	Health     admission.Result // evidence of the server's health
	BodyBytes  int              // size of the response body, which is now sent on the link
}

// Completion is what the caller must do after a result.
type Completion[Q any] struct {
	WaitingQueries []Q  // queries to answer, which waited for the attempt's outcome
	ServerChanged  bool // the server's state has changed and must be announced
	HealthChanged  bool // the server has become healthy or unhealthy
	Unhealthy      bool // the server is unhealthy
}

// Gate decides which requests begin at one local server. Q is the type of queries from other sidecars, and R is the type of responses
// that are cached for them. The size of a Gate is bounded by that of its outcome log. It is not safe for concurrent use.
type Gate[Q, R any] struct {
	Admission *admission.Controller
	Link      *admission.Link
	Outcomes  *attempts.Log[Q, R]
}

// Begin decides on a received request. If it is admitted, the caller must call Finish once.
func (g *Gate[Q, R]) Begin(now time.Duration, r Request) Decision {
	isLogged := r.Attempt.Sender != ""
	if isLogged {
		if v := g.Outcomes.Check(r.Attempt); v != attempts.Admitted {
			return Decision{Attempt: v}
		}
	}
	if v := g.admit(now, r); v != admission.Admit {
		return Decision{Admission: v}
	}
	if isLogged {
		if v := g.Outcomes.Begin(now, r.Attempt); v != attempts.Admitted {
			g.Admission.Release(r.ServerID)
			return Decision{Attempt: v}
		}
	}
	return Decision{}
}

// admit asks admission control for a slot at the server and, for a bulk request, for capacity on the link.
func (g *Gate[Q, R]) admit(now time.Duration, r Request) admission.Verdict {
	if g.Admission.ShouldDivert(now, r.Idempotent, r.Forwarded) {
		return admission.Unhealthy
	}
	if r.Bulk && !g.Link.TryBegin(now) {
		return admission.AtCapacity
	}
	verdict := g.Admission.Admit(r.ServerID, r.Rank, r.Forwarded)
	if r.Bulk && verdict != admission.Admit {
		g.Link.Finish(now, 0)
	}
	return verdict
}

// Finish records the result of a request that was admitted.
func (g *Gate[Q, R]) Finish(now time.Duration, r Request, result Result[R]) Completion[Q] {
	completion := Completion[Q]{WaitingQueries: g.recordOutcome(now, r.Attempt, result)}
	g.Admission.Release(r.ServerID)
	completion.HealthChanged = g.Admission.RecordResult(now, r.ServerID, result.Health)
	completion.Unhealthy = g.Admission.Unhealthy()
	if r.Bulk {
		g.Link.Finish(now, result.BodyBytes)
	} else {
		g.Link.RecordSent(now, result.BodyBytes)
	}
	switch {
	case result.Refused:
		completion.ServerChanged = g.Admission.ConnectionRefused()
	case result.Responded:
		completion.ServerChanged = g.Admission.ResponseReceived(now)
	}
	return completion
}

// recordOutcome logs the outcome of an attempt. It returns the queries that waited for the outcome.
func (g *Gate[Q, R]) recordOutcome(now time.Duration, id attempts.ID, result Result[R]) (waiting []Q) {
	switch {
	case id.Sender == "":
		return nil
	case result.NotStarted:
		return g.Outcomes.Withdraw(now, id)
	}
	return g.Outcomes.Finish(now, id, result.Response, result.CacheBytes)
}

// Query answers a query about an attempt's outcome. If the status is attempts.Running, the query waits and is returned later by the
// attempt's Finish or by Expire.
func (g *Gate[Q, R]) Query(now time.Duration, id attempts.ID, query Q) (status attempts.Status, response R) {
	return g.Outcomes.Query(now, id, query)
}

// Expire evicts expired attempts from the outcome log. It returns the queries that waited for attempts that were evicted since the last
// call; their status is attempts.Unknown. The caller calls it several times a second.
func (g *Gate[Q, R]) Expire(now time.Duration) (evicted []Q) {
	g.Outcomes.Tick(now)
	return g.Outcomes.TakeEvicted()
}
