package roster

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"firplank/internal/strictjson"
	"firplank/internal/testbed"
)

// recordedEvents receives the lists and errors that the follower reports, in order.
type recordedEvents chan any

func (r recordedEvents) Listed(l *List)             { r <- l }
func (r recordedEvents) ListFailed(err error)       { r <- err }
func (r recordedEvents) Valid(time.Time, time.Time) {}

func start(t *testing.T, cfg Config) recordedEvents {
	t.Helper()
	events := make(recordedEvents, 100)
	run(t, New(cfg, events))
	return events
}

func run(t *testing.T, f *Follower) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// knownList returns a complete list to start from.
func knownList(revision int64) *List { return &List{Revision: revision, Complete: true} }

// A list with revision 0 must be watched like any other. When it was treated as missing, the complete list was fetched thousands of times a
// second.
func TestWatchFromRevisionZero(t *testing.T) {
	r := testbed.NewDiscoveryServer(t)
	start(t, Config{Addr: r.Addr, Known: knownList(0)})
	if got := testbed.Next(t, r.Queries); !strings.HasPrefix(got, "from=0&hold_ms=") {
		t.Errorf("first call: %q", got)
	}
	r.Responses <- List{Revision: 0, Complete: true}
	if got := testbed.Next(t, r.Queries); !strings.HasPrefix(got, "from=0&hold_ms=") {
		t.Errorf("second call: %q", got)
	}
	r.Responses <- List{Revision: 3}
	if got := testbed.Next(t, r.Queries); !strings.HasPrefix(got, "from=3&hold_ms=") {
		t.Errorf("third call: %q", got)
	}
}

// Without a known list the first call fetches the complete one, as there is no revision to watch from.
func TestFullListFirst(t *testing.T) {
	r := testbed.NewDiscoveryServer(t)
	start(t, Config{Addr: r.Addr, Known: &List{}})
	if got := testbed.Next(t, r.Queries); got != "" {
		t.Errorf("first call: %q", got)
	}
	r.Responses <- List{Revision: 7, Complete: true}
	if got := testbed.Next(t, r.Queries); !strings.HasPrefix(got, "from=7&hold_ms=") {
		t.Errorf("second call: %q", got)
	}
}

// Changes with an older revision than the current list's can't be applied: the complete list is fetched again.
func TestFullListAfterRevisionDecrease(t *testing.T) {
	r := testbed.NewDiscoveryServer(t)
	events := start(t, Config{Addr: r.Addr, Known: knownList(41)})
	testbed.Next(t, r.Queries)
	r.Responses <- List{Revision: 2}
	if got := testbed.Next(t, r.Queries); got != "" {
		t.Errorf("call after the lower revision: %q", got)
	}
	r.Responses <- List{Revision: 2, Complete: true}
	if ev, ok := testbed.Next[any](t, events).(*List); !ok || !ev.Complete {
		t.Errorf("received %#v", ev)
	}
}

// An agent that does not hold a watch must not be called in a tight loop.
func TestPausesBetweenUnchangedLists(t *testing.T) {
	calls := make(chan time.Time, 100)
	addr := testbed.ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case calls <- time.Now():
		default:
		}
		_ = json.NewEncoder(w).Encode(List{Revision: 41})
	}))
	start(t, Config{Addr: addr, Known: knownList(41)})
	first := testbed.Next(t, calls)
	for range 3 {
		testbed.Next(t, calls)
	}
	if took := testbed.Next(t, calls).Sub(first); took < 300*time.Millisecond {
		t.Errorf("four more calls within %v", took)
	}
}

// A failed call is reported and retried.
func TestReportsAndRetriesFailedCalls(t *testing.T) {
	for name, pushed := range map[string]bool{"asked": false, "pushed": true} {
		t.Run(name, func(t *testing.T) {
			s := testbed.NewScriptedServer(t, testbed.Respond(503, ""), testbed.Respond(503, ""),
				testbed.Respond(200, `{"revision":42}`), testbed.WriteAndStall(""))
			events := start(t, Config{Addr: s.Addr, Pushed: pushed, Known: knownList(41)})
			for range 2 {
				if ev := testbed.Next[any](t, events); !errors.Is(ev.(error), errStatus) {
					t.Errorf("received %v", ev)
				}
			}
			if l, ok := testbed.Next[any](t, events).(*List); !ok || l.Revision != 42 {
				t.Errorf("received %v", l)
			}
		})
	}
}

// A list that has its members twice is no list: which servers there are would depend on the reader.
func TestAmbiguousListIsReportedAndRetried(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, `{"revision":42,"complete":true,"members":[{"id":"s-1"}],"members":[]}`),
		testbed.Respond(200, `{"revision":42}`), testbed.WriteAndStall(""))
	events := start(t, Config{Addr: s.Addr, Known: knownList(41)})
	if ev, ok := testbed.Next[any](t, events).(error); !ok || !errors.Is(ev, strictjson.ErrDuplicateName) {
		t.Errorf("received %v", ev)
	}
	if l, ok := testbed.Next[any](t, events).(*List); !ok || l.Revision != 42 {
		t.Errorf("received %v", l)
	}
}

// A response may be truncated or invalid. Its changes count as acknowledged, and may include a draining server: the call is repeated at
// once, also if the next one fails.
func TestRetriesAtOnceAfterTruncatedResponse(t *testing.T) {
	fullList := `{"revision":42,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:9","phase":"draining"}]}`
	for name, c := range map[string]struct {
		first     testbed.Step
		truncated bool
	}{
		"within the status line": {testbed.WriteAndClose("HTTP/1"), true},
		"within the list":        {testbed.WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + fullList[:60]), true},
		"reset":                  {testbed.ResetConn(), true},
		"stopped in the line":    {testbed.WriteAndStall("HTTP/1"), true},
		"stopped in the list":    {testbed.WriteAndStall("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + fullList[:60]), true},
		"no JSON":                {testbed.Respond(200, "gibberish"), true},
		"a member without id":    {testbed.Respond(200, `{"revision":42,"complete":true,"members":[{"phase":"ready"}]}`), true},
		"busy":                   {testbed.Respond(503, ""), false},
	} {
		t.Run(name, func(t *testing.T) {
			s := testbed.NewScriptedServer(t, c.first, testbed.Respond(503, ""), testbed.Respond(200, fullList)) // discovery is also overloaded
			events := start(t, Config{Addr: s.Addr, Known: knownList(41)})
			began, failed := time.Now(), 0
			for {
				ev := testbed.Next[any](t, events)
				if _, ok := ev.(error); ok {
					failed++
					continue
				}
				if l := ev.(*List); l.Revision != 42 || len(l.Members) != 1 {
					t.Errorf("received %#v", ev)
				}
				break
			}
			if took := time.Since(began); failed < 1 || c.truncated && took > 2*time.Second {
				t.Errorf("after %v and %d failures", took, failed)
			}
		})
	}
}

// A watch may stall on a connection that stays open. A probe detects the changes that it has missed, and the watch is replaced. Without
// probes a stalled watch missed the replacement of all servers.
func TestStalledWatchIsReplaced(t *testing.T) {
	t.Parallel()
	r := testbed.NewDiscoveryServer(t)
	events := start(t, Config{Addr: r.Addr, Known: knownList(41)})
	if got := testbed.Next(t, r.Queries); got != "from=41&hold_ms=40000" {
		t.Errorf("first call: %s", got)
	}
	if got := testbed.Next(t, r.Queries); got != "from=41&hold_ms=1" {
		t.Errorf("second call: %s", got)
	}
	// The stand-in sends the list in response to either call. If that is the watch, the probe is cancelled.
	r.Responses <- List{Revision: 42}
	if l, ok := testbed.Next[any](t, events).(*List); !ok || l.Revision != 42 {
		t.Errorf("received %v", l)
	}
	if got := testbed.Next(t, r.Queries); got != "from=42&hold_ms=40000" {
		t.Errorf("third call: %s", got)
	}
	testbed.Next(t, r.Cancelled)
}

// After a move the new discovery may not be up yet. Calls to it are retried soon, without the long backoff that follows repeated failures
// of the same discovery.
func TestRetriesAfterMoveToUnreachableAddress(t *testing.T) {
	ln := testbed.Listen(t)
	_ = ln.Close()
	r := testbed.NewDiscoveryServer(t)
	events := make(recordedEvents, 100)
	f := New(Config{Addr: r.Addr, Known: knownList(41)}, events)
	run(t, f)
	testbed.Next(t, r.Queries)
	f.Move(ln.Addr().String())
	for range 3 { // retries
		if _, ok := testbed.Next[any](t, events).(error); !ok {
			t.Error("the failed call was not reported")
		}
	}
	f.Move(r.Addr)
	if got := testbed.Next(t, r.Queries); got != "" {
		t.Errorf("first call after the move: %q", got)
	}
}

// Consecutive moves end at the last address, also before Run and before the first list.
func TestConsecutiveMoves(t *testing.T) {
	first, second, third := testbed.NewDiscoveryServer(t), testbed.NewDiscoveryServer(t), testbed.NewDiscoveryServer(t)
	events := make(recordedEvents, 100)
	f := New(Config{Addr: first.Addr, Known: &List{}}, events)
	f.Move(second.Addr) // before it runs
	run(t, f)
	testbed.Next(t, second.Queries)
	f.Move(first.Addr)
	f.Move(third.Addr)
	testbed.Next(t, third.Queries)
	third.Responses <- List{Revision: 1, Complete: true}
	if l, ok := testbed.Next[any](t, events).(*List); !ok || l.Revision != 1 {
		t.Errorf("received %#v", l)
	}
}
