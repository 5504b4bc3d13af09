package lasthop

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/mesh/admission"
	"firplank/mesh/attempts"
	"firplank/mesh/timing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	incarnation = 7
	slots       = 2
)

// newGate returns the gate of the server "i1", with a link of the given capacity; 0: unlimited.
func newGate(mbps float64) *Gate[string, string] {
	g := &Gate[string, string]{
		Admission: admission.New(timing.Server{HeartbeatTimeout: time.Hour, RestoredTimeout: time.Hour}),
		Link:      admission.NewLink(mbps),
		Outcomes:  attempts.New[string, string](incarnation),
	}
	g.Admission.HandleHeartbeat(0, admission.Heartbeat{ServerID: "i1", Service: "one", Slots: slots, Sequence: admission.NewSequence(1)})
	return g
}

func request(number uint64) Request {
	return Request{ServerID: "i1", Attempt: attempts.ID{Sender: "s.1", Number: number, Incarnation: incarnation}}
}

// The outcome log must decide before admission control. Otherwise a duplicate of a running attempt could be rejected by admission control,
// which the sender would take as proof that the attempt has not started.
func TestOutcomeLogDecidesBeforeAdmission(t *testing.T) {
	rejected := func(v attempts.Verdict) Decision { return Decision{Attempt: v} }
	otherServer, idempotent := request(1), Request{ServerID: "i1", Idempotent: true}
	otherServer.ServerID = "i2"
	olderIncarnation := request(1)
	olderIncarnation.Attempt.Incarnation--
	for _, c := range []struct {
		name   string
		before func(*Gate[string, string])
		r      Request
		want   Decision
	}{
		{"admitted", func(*Gate[string, string]) {}, request(1), Decision{}},
		{"idempotent, without an attempt ID", func(*Gate[string, string]) {}, idempotent, Decision{}},
		{"for another server", func(*Gate[string, string]) {}, otherServer, Decision{Admission: admission.WrongServer}},
		{"to another incarnation", func(*Gate[string, string]) {}, olderIncarnation, rejected(attempts.WrongIncarnation)},
		{"duplicate", func(g *Gate[string, string]) { g.Begin(0, request(1)) }, request(1), rejected(attempts.Duplicate)},
		{"after a query", func(g *Gate[string, string]) { g.Query(0, request(1).Attempt, "q") }, request(1), rejected(attempts.AlreadyBarred)},
		{"duplicate while the server is closing", func(g *Gate[string, string]) {
			g.Begin(0, request(1))
			g.Admission.HandleHeartbeat(0, admission.Heartbeat{ServerID: "i1", Closing: true, Sequence: admission.NewSequence(2)})
		}, request(1), rejected(attempts.Duplicate)},
		{"beyond the slots", func(g *Gate[string, string]) {
			for n := range uint64(3 * slots) {
				g.Begin(0, request(n+2))
			}
		}, request(1), Decision{Admission: admission.AtCapacity}},
		{"unhealthy", func(g *Gate[string, string]) {
			for range 40 {
				g.Admission.RecordResult(0, "i1", admission.Failure)
			}
		}, request(1), Decision{Admission: admission.Unhealthy}},
	} {
		g := newGate(0)
		c.before(g)
		if got := g.Begin(0, c.r); got != c.want || got.Admitted() != (c.want == Decision{}) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// A request that admission control rejects must not be logged, so that the same attempt may still begin later.
func TestRejectedRequestsAreNotLogged(t *testing.T) {
	g := newGate(0)
	otherServer := request(1)
	otherServer.ServerID = "i2"
	g.Begin(0, otherServer)
	if n := g.Outcomes.Len(); n != 0 {
		t.Errorf("%d attempts are logged", n)
	}
	if d := g.Begin(0, request(1)); !d.Admitted() {
		t.Errorf("%+v", d)
	}
}

// Every result of a request must release its slot and return the waiting queries. Later queries must get the status that belongs to the
// result.
func TestFinishReleasesTheSlotAndReturnsWaitingQueries(t *testing.T) {
	for _, c := range []struct {
		name     string
		result   Result[string]
		want     attempts.Status
		response string
		changed  bool
	}{
		{"responded", Result[string]{Response: "r", CacheBytes: 1, Responded: true, Health: admission.Success}, attempts.Finished, "r", false},
		{"responded, not cached", Result[string]{Responded: true, Health: admission.Success}, attempts.Discarded, "", false},
		{"connection broke", Result[string]{Response: "broke", CacheBytes: 5, Health: admission.Failure}, attempts.Finished, "broke", false},
		{"refused", Result[string]{Response: "r", CacheBytes: 1, NotStarted: true, Refused: true}, attempts.NotStarted, "", true},
		{"not written", Result[string]{Response: "r", CacheBytes: 1, NotStarted: true}, attempts.NotStarted, "", false},
	} {
		g := newGate(0)
		for n := range uint64(4 * slots) { // more than the slots at once
			r := request(n + 1)
			if d := g.Begin(0, r); !d.Admitted() {
				t.Fatalf("%s: request %d: %+v", c.name, n, d)
			}
			if status, _ := g.Query(0, r.Attempt, "q"); status != attempts.Running {
				t.Fatalf("%s: %v", c.name, status)
			}
			done := g.Finish(0, r, c.result)
			if len(done.WaitingQueries) != 1 || done.WaitingQueries[0] != "q" || done.ServerChanged != c.changed {
				t.Errorf("%s: %+v", c.name, done)
			}
			if status, response := g.Query(0, r.Attempt, "q"); status != c.want || response != c.response {
				t.Errorf("%s: %v %q, want %v %q", c.name, status, response, c.want, c.response)
			}
			if c.changed { // the server counts as unresponsive until its next heartbeat
				g.Admission.HandleHeartbeat(0, admission.Heartbeat{ServerID: "i1", Slots: slots, Sequence: admission.NewSequence(n + 2)})
			}
		}
	}
}

// A server that fails its requests becomes unhealthy, and the change must be reported exactly once.
func TestHealthChangesAreReported(t *testing.T) {
	g := newGate(0)
	changes := 0
	for n := range uint64(20) {
		r := request(n + 1)
		r.Forwarded = 9 // often enough not to be diverted
		g.Begin(0, r)
		if done := g.Finish(0, r, Result[string]{Health: admission.Failure}); done.HealthChanged {
			changes++
			if !done.Unhealthy {
				t.Error("the server is reported as healthy")
			}
		}
	}
	if changes != 1 {
		t.Errorf("%d changes", changes)
	}
}

// A bulk request occupies capacity on the link until Finish. One that admission control rejects must release it at once; otherwise the
// capacity leaks.
func TestBulkRequestsAreLimitedByTheLink(t *testing.T) {
	g := newGate(1) // 125 kB a second: one long response at a time
	bulk := Request{ServerID: "i1", Bulk: true}
	otherServer := Request{ServerID: "i2", Bulk: true}
	for range 5 {
		if d := g.Begin(0, otherServer); d.Admission != admission.WrongServer {
			t.Fatalf("%+v", d)
		}
	}
	if d := g.Begin(0, bulk); !d.Admitted() {
		t.Fatalf("%+v", d)
	}
	if d := g.Begin(0, bulk); d.Admission != admission.AtCapacity {
		t.Errorf("%+v", d)
	}
	g.Finish(0, bulk, Result[string]{})
	if d := g.Begin(0, bulk); !d.Admitted() {
		t.Errorf("after Finish %+v", d)
	}
}

// A query that waits for an attempt must be returned when the outcome log evicts the attempt, without another call. Otherwise the query is
// never answered.
func TestQueriesForEvictedAttemptsAreReturned(t *testing.T) {
	g := newGate(0)
	r := request(1)
	g.Begin(0, r)
	if status, _ := g.Query(0, r.Attempt, "q"); status != attempts.Running {
		t.Fatal(status)
	}
	if evicted := g.Expire(attempts.Retention - 1); len(evicted) > 0 {
		t.Errorf("%v before the retention has ended", evicted)
	}
	if evicted := g.Expire(attempts.Retention); !slices.Equal(evicted, []string{"q"}) {
		t.Errorf("%v, want the query", evicted)
	}
	if evicted := g.Expire(attempts.Retention); len(evicted) > 0 {
		t.Errorf("%v twice", evicted)
	}
}
