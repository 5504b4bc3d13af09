package inflight

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/mesh/attempts"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A last hop that has restarted names its new incarnation when it rejects an attempt. The tracker must use it even though the directory
// still has the earlier one. Otherwise all attempts are rejected until the directory is updated.
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
		t.Errorf("for an unknown last hop: incarnation %d", got)
	}
	correct(5) // ignored, as the directory has not announced the last hop
	tracker.SetAnnouncedIncarnation("h:1", 1)
	correct(2)
	tracker.SetAnnouncedIncarnation("h:1", 1) // the directory does not yet have the new incarnation
	if got := sent(); got != 2 {
		t.Errorf("after a correction by the last hop: incarnation %d", got)
	}
	correct(0) // a response without an incarnation
	if got := sent(); got != 2 {
		t.Errorf("after a response without an incarnation: incarnation %d", got)
	}
	tracker.SetAnnouncedIncarnation("h:1", 3)
	if got := sent(); got != 3 {
		t.Errorf("after the directory announced another: incarnation %d", got)
	}
}

// An incarnation must be taken only from a response with the outcome NotReceived.
func TestOnlyNotReceivedCorrectsTheIncarnation(t *testing.T) {
	tracker := New[string]("me.1")
	tracker.SetAnnouncedIncarnation("h:1", 1)
	tracker.Begin("a", "h:1")
	tracker.HandleResponse("a", attempts.Executed, attempts.Response{Success: true, Postmarked: true}, 9)
	if id := tracker.Begin("b", "h:1"); id.Incarnation != 1 || id.Number != 2 || id.Sender != "me.1" {
		t.Errorf("%+v", id)
	}
}

// Only an attempt without a response must be queried when its connection ends. The end of a query's own connection must not cause another
// query here.
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
		t.Errorf("%d entries remain", n)
	}
}

// At most MaxQueries queries are sent about an attempt, and none with less than MinQueryTime before the request's deadline.
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
		t.Error("query sent with less than MinQueryTime remaining")
	}
}

// The stored incarnations must not exceed MaxIncarnations, however often the directory changes.
func TestIncarnationsAreBounded(t *testing.T) {
	tracker := New[string]("me.1")
	for i := range MaxIncarnations + 10 {
		tracker.SetAnnouncedIncarnation(time.Duration(i).String(), 1)
		if len(tracker.incarnations) > MaxIncarnations {
			t.Fatalf("%d incarnations", len(tracker.incarnations))
		}
	}
}
