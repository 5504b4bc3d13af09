package inflight

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/mesh/attempts"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A sidecar to which the directory has announced one incarnation, and which learns another from the last hop itself, sends to that.
func TestIncarnationNamedByTheLastHopIsUsed(t *testing.T) {
	tracker := New[int]("me.1")
	key := 0
	sent := func() uint64 {
		key++
		return tracker.Begin(key, "h:1").Incarnation
	}
	correct := func(incarnation uint64) {
		key++
		tracker.Begin(key, "h:1")
		tracker.HandleResponse(key, attempts.NotReceived, attempts.Response{}, incarnation)
	}
	if got := sent(); got != 0 {
		t.Errorf("to nobody known: %d", got)
	}
	correct(5) // of whom the directory has announced nothing
	tracker.SetAnnouncedIncarnation("h:1", 1)
	correct(2)
	tracker.SetAnnouncedIncarnation("h:1", 1) // the directory has not heard of it yet
	if got := sent(); got != 2 {
		t.Errorf("after it was corrected: %d", got)
	}
	correct(0) // a last hop that does not name itself
	if got := sent(); got != 2 {
		t.Errorf("after a response without an incarnation: %d", got)
	}
	tracker.SetAnnouncedIncarnation("h:1", 3)
	if got := sent(); got != 3 {
		t.Errorf("after the directory announced another: %d", got)
	}
}

// Only a response that says that the attempt was not received names an incarnation worth taking.
func TestOnlyNotReceivedCorrectsTheIncarnation(t *testing.T) {
	tracker := New[string]("me.1")
	tracker.SetAnnouncedIncarnation("h:1", 1)
	tracker.Begin("a", "h:1")
	tracker.HandleResponse("a", attempts.Executed, attempts.Response{Success: true, Postmarked: true}, 9)
	if id := tracker.Begin("b", "h:1"); id.Incarnation != 1 || id.Number != 2 || id.Sender != "me.1" {
		t.Errorf("%+v", id)
	}
}

// A broken connection calls for a query unless its attempt has been answered, and a query's own connection never does.
func TestOnlyUnansweredAttemptsAreQueried(t *testing.T) {
	tracker := New[string]("me.1")
	tracker.Begin("broken", "h:1")
	tracker.Begin("answered", "h:1")
	tracker.HandleResponse("answered", attempts.Indeterminate, attempts.Response{}, 0)
	tracker.BeginQuery("query", &Query{Attempt: Attempt{Addr: "h:1"}, Number: 1})
	for _, c := range []struct {
		key  string
		want bool
	}{{"broken", true}, {"broken", false}, {"answered", false}, {"query", false}, {"never begun", false}} {
		if _, got := tracker.HandleClose(c.key); got != c.want {
			t.Errorf("%s: %v, want %v", c.key, got, c.want)
		}
	}
	if n := len(tracker.entries); n != 0 {
		t.Errorf("%d entries are left", n)
	}
}

// A last hop is queried MaxQueries times, and only while the request has time for that.
func TestQueriesAreBoundedInNumberAndTime(t *testing.T) {
	n := 0
	for q := (Attempt{}).FirstQuery(time.Second); q != nil; q = q.Next(time.Second) {
		if n++; q.Number != n {
			t.Errorf("query %d has number %d", n, q.Number)
		}
	}
	if n != MaxQueries {
		t.Errorf("%d queries, want %d", n, MaxQueries)
	}
	if (Attempt{}).FirstQuery(MinQueryTime-1) != nil || (&Query{Number: 1}).Next(MinQueryTime-1) != nil {
		t.Error("queried with no time left")
	}
}

// However often the directory changes, the last hops that are remembered stay within their bound.
func TestIncarnationsAreBounded(t *testing.T) {
	tracker := New[string]("me.1")
	for i := range MaxIncarnations + 10 {
		tracker.SetAnnouncedIncarnation(time.Duration(i).String(), 1)
		if len(tracker.incarnations) > MaxIncarnations {
			t.Fatalf("%d incarnations", len(tracker.incarnations))
		}
	}
}
