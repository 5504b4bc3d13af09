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

// outcomeQueries queries last hops for the outcome of attempts whose connection broke, and ends those attempts by the responses. It owns a
// goroutine for each such attempt, which ends with the attempt, and is safe for concurrent use.
type outcomeQueries struct {
	ctx      context.Context // of the process: after its end nothing is queried
	log      kitlog.Logger
	inFlight *inflight.Tracker[*core.Attempt]
	pool     upstream       // of connections to other sidecars
	logLimit rate.Sometimes // bounds what is logged of these attempts
	asking   sync.WaitGroup
}

func newOutcomeQueries(ctx context.Context, log kitlog.Logger, inFlight *inflight.Tracker[*core.Attempt]) *outcomeQueries {
	return &outcomeQueries{ctx: ctx, log: log, inFlight: inFlight, logLimit: rate.Sometimes{First: 2, Interval: time.Second}}
}

// attemptEnded records how each attempt at another sidecar ends; it is an httpback.Config.Ended. For an attempt that
// must not run twice and whose connection broke without a response it queries the outcome, and ends the attempt itself
// later.
func (q *outcomeQueries) attemptEnded(a *core.Attempt, r core.Result) (later bool) {
	unanswered, ok := q.inFlight.HandleClose(a)
	if !ok || r.Outcome != balance.Reset {
		return false
	}
	q.asking.Go(func() { q.ask(a, unanswered) })
	return true
}

// wait waits for all queries. The context has to have ended.
func (q *outcomeQueries) wait() { q.asking.Wait() }

// ask queries the last hop of an attempt, a few times while it does not answer, and ends the attempt by its response.
func (q *outcomeQueries) ask(a *core.Attempt, unanswered inflight.Attempt) {
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

// send sends one query, and returns how it ended, or false as the process ends.
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
		q.pool.CloseIdle(lastHop) // a connection for queries is used once
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

// finish ends an attempt whose last hop was queried.
func (q *outcomeQueries) finish(a *core.Attempt, r core.Result, queries int) {
	q.logLimit.Do(func() {
		_ = level.Info(q.log).Log("msg", "connection broke under a request that must not run twice", "request", a.Message.Trace,
			"server", a.Endpoint.Name(), "queries", queries, "outcome", describeOutcome(r))
	})
	a.End(r)
}

// describeOutcome describes, for the log, what queries have found.
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
