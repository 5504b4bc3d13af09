package dataplane

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/mesh/attempts"
	"firplank/mesh/dataplane/inflight"
)

// newSidecarDialect returns the dialect of a sidecar whose service is "one".
func newSidecarDialect() sidecarDialect {
	service := &atomic.Pointer[string]{}
	name := "one"
	service.Store(&name)
	return sidecarDialect{inFlight: inflight.New[*core.Attempt]("me.1"), service: service, recordReachable: func(string) {}}
}

// A response counts as evidence about the queried attempt only if the last hop handled the request as a query: a rejection of the query
// itself says nothing about the attempt.
func TestRejectedQueryIsNoEvidence(t *testing.T) {
	for _, c := range []struct {
		outcome      attempts.Outcome
		status       int
		want         balance.Result
		notDelivered bool
		answered     bool
	}{
		{attempts.NotReceived, 503, balance.Reset, false, false}, {attempts.Barred, 503, balance.Rejected, true, true},
		{attempts.Indeterminate, 502, balance.Reset, false, true}, {attempts.Rejected, 503, balance.Rejected, false, true},
		{attempts.Executed, 500, balance.Failed, false, true}, {"", 503, balance.Reset, false, true},
	} {
		dialect := newSidecarDialect()
		a := core.NewAttempt(core.NewEndpoint("", "h:1"), &core.Message{Trace: "x"}, time.Now(), func(core.Result) {})
		query := &inflight.Query{Number: 1}
		dialect.inFlight.BeginQuery(a, query)
		got := dialect.Evaluate(a, c.status, header("Firplank-Fate", string(c.outcome), "Try-Id", "x"), nil)
		if got.Outcome != c.want || got.NotDelivered != c.notDelivered || query.Answered() != c.answered {
			t.Errorf("%q: %v, not delivered %v, answered %v", c.outcome, got.Outcome, got.NotDelivered, query.Answered())
		}
	}
}

// queriedPool is a pool of connections to a last hop that answers queries with the given outcomes.
type queriedPool struct {
	stubPool
	dialect   sidecarDialect
	outcomes  []attempts.Outcome // in turn; empty: the connection breaks
	queriedAt []time.Time
}

func (p *queriedPool) Begin(a *core.Attempt) {
	p.dialect.AppendHeaders(nil, a, time.Until(a.Deadline))
	queryIndex := len(p.queriedAt)
	p.queriedAt = append(p.queriedAt, time.Now())
	if queryIndex >= len(p.outcomes) || p.outcomes[queryIndex] == "" {
		a.End(core.Result{Outcome: balance.Reset})
		return
	}
	a.End(p.dialect.Evaluate(a, 503, header("Firplank-Fate", string(p.outcomes[queryIndex]), "Try-Id", "x"), nil))
}

// An attempt whose connection broke ends with the outcome that its last hop returns, or as unknown after all queries,
// which are 150 ms apart and end with the request's deadline.
func TestBrokenAttemptsEndWithQueriedOutcome(t *testing.T) {
	for _, c := range []struct {
		name         string
		remaining    time.Duration
		outcomes     []attempts.Outcome
		want         balance.Result
		notDelivered bool
		queries      int
	}{
		{"the last hop proves that it did not start", time.Second, []attempts.Outcome{attempts.Barred}, balance.Rejected, true, 1},
		{"the first query breaks", time.Second, []attempts.Outcome{"", attempts.Barred}, balance.Rejected, true, 2},
		{"the first query is rejected", time.Second, []attempts.Outcome{attempts.NotReceived, attempts.Rejected}, balance.Rejected, false, 2},
		{"the last hop does not know", time.Second, []attempts.Outcome{attempts.Indeterminate, attempts.Barred}, balance.Reset, false, 1},
		{"no query is answered", time.Second, nil, balance.Reset, false, 3},
		{"the deadline passes after one query", 160 * time.Millisecond, nil, balance.Reset, false, 1},
		{"too little time for a query", 10 * time.Millisecond, []attempts.Outcome{attempts.Barred}, balance.Reset, false, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			dialect := newSidecarDialect()
			pool := &queriedPool{dialect: dialect, outcomes: c.outcomes}
			q := newOutcomeQueries(t.Context(), kitlog.NewNopLogger(), dialect.inFlight)
			q.pool = pool
			ended := make(chan core.Result, 1)
			a := core.NewAttempt(core.NewEndpoint("i1", "h:1"), &core.Message{Trace: "x"}, time.Now().Add(c.remaining),
				func(r core.Result) { ended <- r })
			dialect.AppendHeaders(nil, a, c.remaining)
			if !q.attemptEnded(a, core.Result{Outcome: balance.Reset}) {
				t.Fatalf("%s: no query is sent", c.name)
			}
			if r := <-ended; r.Outcome != c.want || r.NotDelivered != c.notDelivered || len(pool.queriedAt) != c.queries {
				t.Errorf("%s: %v, not delivered %v, after %d queries", c.name, r.Outcome, r.NotDelivered, len(pool.queriedAt))
			}
			for i := 1; i < len(pool.queriedAt); i++ {
				if pause := pool.queriedAt[i].Sub(pool.queriedAt[i-1]); pause != inflight.QueryInterval {
					t.Errorf("%s: queries %v apart", c.name, pause)
				}
			}
			q.wait()
		})
	}
}

// Attempts that end otherwise than by a broken connection, and those of idempotent requests, are not queried.
func TestOnlyUnsafeResetAttemptsAreQueried(t *testing.T) {
	dialect := newSidecarDialect()
	q := newOutcomeQueries(t.Context(), kitlog.NewNopLogger(), dialect.inFlight)
	for _, c := range []struct {
		safe    bool
		outcome balance.Result
	}{{false, balance.TimedOut}, {false, balance.ConnectFailed}, {false, balance.OK}, {true, balance.Reset}} {
		a := core.NewAttempt(core.NewEndpoint("i1", "h:1"), &core.Message{Trace: "x", Safe: c.safe}, time.Now(), func(core.Result) {})
		dialect.AppendHeaders(nil, a, time.Second)
		if q.attemptEnded(a, core.Result{Outcome: c.outcome}) {
			t.Errorf("queried %+v", c)
		}
	}
}

// When the context ends, queried attempts end as unknown, and no goroutine is left.
func TestQueriesEndWithContext(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	dialect := newSidecarDialect()
	q := newOutcomeQueries(ctx, kitlog.NewNopLogger(), dialect.inFlight)
	q.pool = &stubPool{} // a last hop that never answers
	ended := make(chan core.Result, 1)
	a := core.NewAttempt(core.NewEndpoint("i1", "h:1"), &core.Message{Trace: "x"}, time.Now().Add(time.Hour),
		func(r core.Result) { ended <- r })
	dialect.AppendHeaders(nil, a, time.Hour)
	q.attemptEnded(a, core.Result{Outcome: balance.Reset})
	stop()
	q.wait()
	if r := <-ended; r.Outcome != balance.Reset {
		t.Errorf("%v", r.Outcome)
	}
}
