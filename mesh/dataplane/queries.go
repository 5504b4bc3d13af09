package dataplane

import (
	"context"
	"net/http"
	"sync"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/mesh/dataplane/inflight"
)

// outcomeQueries queries last hops for the outcome of attempts whose connection broke, and ends those attempts with the outcome. It runs a
// goroutine for each such attempt until the attempt ends. It is safe for concurrent use.
type outcomeQueries struct {
	ctx      context.Context // of the process; no query is sent after its end
	log      kitlog.Logger
	inFlight *inflight.Tracker[*core.Attempt]
	pool     upstream       // of connections to other sidecars
	logLimit rate.Sometimes // limits the log of these attempts
	running  sync.WaitGroup
}

func newOutcomeQueries(ctx context.Context, log kitlog.Logger, inFlight *inflight.Tracker[*core.Attempt]) *outcomeQueries {
	return &outcomeQueries{ctx: ctx, log: log, inFlight: inFlight, logLimit: rate.Sometimes{First: 2, Interval: time.Second}}
}

// attemptEnded is the httpback.Config.OnEnd of the pool to other sidecars, and is called for each attempt. If the attempt
// must not run twice and its connection broke without a response, it starts to query the outcome and returns true: the
// attempt is then ended later, by the queries.
func (q *outcomeQueries) attemptEnded(a *core.Attempt, r core.Result) (later bool) {
	unanswered, ok := q.inFlight.HandleClose(a)
	if !ok || r.Outcome != balance.Reset {
		return false
	}
	q.running.Go(func() { q.queryOutcome(a, unanswered) })
	return true
}

// wait waits for all queries. The context has to be cancelled first.
func (q *outcomeQueries) wait() { q.running.Wait() }

// queryOutcome queries the last hop of an attempt, retrying a few times without an answer, and ends the attempt with the result.
func (q *outcomeQueries) queryOutcome(a *core.Attempt, unanswered inflight.Attempt) {
	queries := 0
	for query := unanswered.FirstQuery(time.Until(a.Deadline)); query != nil; query = query.Next(time.Until(a.Deadline)) {
		if q.ctx.Err() != nil {
			break
		}
		queries++
		r, ok := q.send(a, query)
		if !ok {
			break
		}
		if query.Answered() {
			q.finish(a, r, queries)
			return
		}
		select {
		case <-time.After(inflight.QueryInterval):
		case <-q.ctx.Done():
		}
	}
	q.finish(a, core.Result{Outcome: balance.Reset}, queries)
}

// send sends one query and returns its result. It returns false if the context ended first.
func (q *outcomeQueries) send(a *core.Attempt, query *inflight.Query) (r core.Result, ok bool) {
	lastHop := core.NewEndpoint("", query.Attempt.Addr)
	m := &core.Message{
		Trace:     a.Message.Trace,
		Verb:      http.MethodGet,
		Target:    "/",
		Authority: a.Message.Authority,
		Safe:      true,
		Meta:      http.Header{requestIDHeader: {a.Message.Trace}},
	}
	ended := make(chan core.Result, 1)
	attempt := core.NewAttempt(lastHop, m, a.Deadline, func(r core.Result) {
		q.pool.CloseIdle(lastHop) // a connection for a query is used once
		ended <- r
	})
	q.inFlight.BeginQuery(attempt, query)
	q.pool.Begin(attempt)
	select {
	case r = <-ended:
		return r, true
	case <-q.ctx.Done():
		return r, false
	}
}

// finish ends an attempt with the result of its queries.
func (q *outcomeQueries) finish(a *core.Attempt, r core.Result, queries int) {
	q.logLimit.Do(func() {
		_ = level.Info(q.log).Log("msg", "connection of a non-idempotent request broke", "request", a.Message.Trace,
			"server", a.Endpoint.Name(), "queries", queries, "outcome", describeOutcome(r))
	})
	a.End(r)
}

// describeOutcome formats the result of queries for the log.
func describeOutcome(r core.Result) string {
	switch {
	case r.NotDelivered:
		return "not started, and barred"
	case r.Answer != nil:
		return "finished"
	case r.Outcome == balance.Rejected:
		return "rejected by the server"
	}
	return "unknown"
}
