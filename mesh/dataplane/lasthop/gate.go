// Package lasthop decides, at the last hop, which requests of other sidecars begin at the local server, and tracks those that
// did: the slot of each, the room on the machine's link, and the outcome of each attempt that must not run twice. It joins the decisions of
// packages admission and attempts, so that their order stands in one place, and is explored with them (lab/explore/calls). It has no clock,
// no goroutine and no socket.
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
	ServerID   string      // of the server that it is meant for
	Attempt    attempts.ID // of a request that must not run twice; without a sender its outcome is not logged
	Idempotent bool        // it may run again
	Bulk       bool        // its response is long, and is admitted by the link too
	Rank       int         // of its route; 0 goes first
	Forwarded  int         // how often it was rejected ahead of a server before
}

// Decision is whether a request begins. A rejection proves that this attempt has not started and never will, except for the verdict
// attempts.Duplicate, whose first copy has.
type Decision struct {
	Attempt   attempts.Verdict  // of the log of outcomes
	Admission admission.Verdict // of admission control, where the log admits the attempt
}

// Begins reports whether the request may be handed to the server.
func (d Decision) Admitted() bool {
	return d.Attempt == attempts.Admitted && d.Admission == admission.Admit
}

// Result is how a request that began has ended.
type Result[R any] struct {
	Response   R
	CacheBytes int              // size of Response as it is to be cached for queries; 0: it is not cached
	NotStarted bool             // it has not reached the server
	Refused    bool             // the server's address refused the connection
	Responded  bool             // the server has responded, with whatever status
	Health     admission.Result // for the server's health
	BodyBytes  int              // of the response's body, which now goes out on the link
}

// Completion is what follows from a result.
type Completion[Q any] struct {
	WaitingQueries []Q  // queries that wait for the attempt's end
	ServerChanged  bool // the server's state has changed, and is to be announced
	HealthChanged  bool // the server has become healthy or unhealthy
	Unhealthy      bool // the server counts as unhealthy
}

// Gate guards one local server. Queries of other sidecars are of type Q, responses that are cached for them of type R. Its size is
// bounded by that of its log. It is not safe for concurrent use.
type Gate[Q, R any] struct {
	Admission *admission.Controller
	Link      *admission.Link
	Outcomes  *attempts.Log[Q, R]
}

// Begin decides on a request that arrives. If it begins, Finish has to be called once.
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

// admit asks for a slot at the server, and for room on the link.
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

// Finish records how a request that began has ended.
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

// recordOutcome logs how an attempt has ended, and returns the queries that wait for that.
func (g *Gate[Q, R]) recordOutcome(now time.Duration, id attempts.ID, result Result[R]) (waiting []Q) {
	switch {
	case id.Sender == "":
		return nil
	case result.NotStarted:
		return g.Outcomes.Withdraw(now, id)
	}
	return g.Outcomes.Finish(now, id, result.Response, result.CacheBytes)
}

// Query answers a query about an attempt's outcome. With the status attempts.Running it waits for the attempt's Finish, or is returned by
// Expire.
func (g *Gate[Q, R]) Query(now time.Duration, id attempts.ID, query Q) (status attempts.Status, response R) {
	return g.Outcomes.Query(now, id, query)
}

// Expire lets time pass for the log of outcomes. It returns the queries that waited for attempts which the log has evicted since the last
// call: their status is attempts.Unknown. The caller calls it several times a second.
func (g *Gate[Q, R]) Expire(now time.Duration) (evicted []Q) {
	g.Outcomes.Tick(now)
	return g.Outcomes.TakeEvicted()
}
