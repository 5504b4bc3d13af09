package roster

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"firplank/internal/testbed"
)

// recordedEvents passes on what the follower tells, one after the other.
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

// held is a list that was known at the start.
func knownList(revision int64) *List { return &List{Revision: revision, Complete: true} }

// Revision 0 was taken for no list at all: each call asked for the whole list again, thousands a second.
func TestWatchFromRevisionZero(t *testing.T) {
	r := testbed.NewRoster(t)
	start(t, Config{Addr: r.Addr, Known: knownList(0)})
	if got := testbed.Next(t, r.Calls); !strings.HasPrefix(got, "from=0&hold_ms=") {
		t.Errorf("first call: %q", got)
	}
	r.Lists <- List{Revision: 0, Complete: true}
	if got := testbed.Next(t, r.Calls); !strings.HasPrefix(got, "from=0&hold_ms=") {
		t.Errorf("second call: %q", got)
	}
	r.Lists <- List{Revision: 3}
	if got := testbed.Next(t, r.Calls); !strings.HasPrefix(got, "from=3&hold_ms=") {
		t.Errorf("third call: %q", got)
	}
}

// Where no list is held there is nothing to watch from.
func TestFullListFirst(t *testing.T) {
	r := testbed.NewRoster(t)
	start(t, Config{Addr: r.Addr, Known: &List{}})
	if got := testbed.Next(t, r.Calls); got != "" {
		t.Errorf("first call: %q", got)
	}
	r.Lists <- List{Revision: 7, Complete: true}
	if got := testbed.Next(t, r.Calls); !strings.HasPrefix(got, "from=7&hold_ms=") {
		t.Errorf("second call: %q", got)
	}
}

// An older revision with changes only cannot be applied to the list held.
func TestFullListAfterRevisionDecrease(t *testing.T) {
	r := testbed.NewRoster(t)
	events := start(t, Config{Addr: r.Addr, Known: knownList(41)})
	testbed.Next(t, r.Calls)
	r.Lists <- List{Revision: 2}
	if got := testbed.Next(t, r.Calls); got != "" {
		t.Errorf("call after the testbed.Step back: %q", got)
	}
	r.Lists <- List{Revision: 2, Complete: true}
	if ev, ok := testbed.Next[any](t, events).(*List); !ok || !ev.Complete {
		t.Errorf("heard %#v", ev)
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

// A failed call is told, and made again without anybody's word.
func TestReportsAndRetriesFailedCalls(t *testing.T) {
	for name, pushed := range map[string]bool{"asked": false, "pushed": true} {
		t.Run(name, func(t *testing.T) {
			s := testbed.NewScript(t, testbed.Say(503, ""), testbed.Say(503, ""), testbed.Say(200, `{"revision":42}`), testbed.Stop(""))
			events := start(t, Config{Addr: s.Addr, Pushed: pushed, Known: knownList(41)})
			for range 2 {
				if ev := testbed.Next[any](t, events); !errors.Is(ev.(error), errStatus) {
					t.Errorf("heard %v", ev)
				}
			}
			if l, ok := testbed.Next[any](t, events).(*List); !ok || l.Revision != 42 {
				t.Errorf("heard %v", l)
			}
		})
	}
}

// Discovery may break an answer off, or send what can't be read. What it was to tell counts as told, and may be a drain: it is asked
// again at once, also where the next call fails.
func TestRetriesAtOnceAfterTruncatedResponse(t *testing.T) {
	fullList := `{"revision":42,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:9","phase":"draining"}]}`
	for name, c := range map[string]struct {
		first     testbed.Step
		truncated bool
	}{
		"within the status line": {testbed.BreakOff("HTTP/1"), true},
		"within the list":        {testbed.BreakOff("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + fullList[:60]), true},
		"reset":                  {testbed.Cut(), true},
		"stopped in the line":    {testbed.Stop("HTTP/1"), true},
		"stopped in the list":    {testbed.Stop("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + fullList[:60]), true},
		"no JSON":                {testbed.Say(200, "gibberish"), true},
		"a member without id":    {testbed.Say(200, `{"revision":42,"complete":true,"members":[{"phase":"ready"}]}`), true},
		"busy":                   {testbed.Say(503, ""), false},
	} {
		t.Run(name, func(t *testing.T) {
			s := testbed.NewScript(t, c.first, testbed.Say(503, ""), testbed.Say(200, fullList)) // discovery is busy, too
			events := start(t, Config{Addr: s.Addr, Known: knownList(41)})
			began, failed := time.Now(), 0
			for {
				ev := testbed.Next[any](t, events)
				if _, ok := ev.(error); ok {
					failed++
					continue
				}
				if l := ev.(*List); l.Revision != 42 || len(l.Members) != 1 {
					t.Errorf("heard %#v", ev)
				}
				break
			}
			if took := time.Since(began); failed < 1 || c.truncated && took > 2*time.Second {
				t.Errorf("after %v and %d failures", took, failed)
			}
		})
	}
}

// A watch may fall silent on a connection that stays open. A proof beside it shows what it has missed, and it is made anew; held for long
// with nothing beside it, it missed the replacement of the whole fleet.
func TestStalledWatchIsReplaced(t *testing.T) {
	t.Parallel()
	r := testbed.NewRoster(t)
	events := start(t, Config{Addr: r.Addr, Known: knownList(41)})
	if got := testbed.Next(t, r.Calls); got != "from=41&hold_ms=40000" {
		t.Errorf("first call: %s", got)
	}
	if got := testbed.Next(t, r.Calls); got != "from=41&hold_ms=1" {
		t.Errorf("second call: %s", got)
	}
	// The stand-in gives the list to either call; where it is the watch, the proof is what is given up.
	r.Lists <- List{Revision: 42}
	if l, ok := testbed.Next[any](t, events).(*List); !ok || l.Revision != 42 {
		t.Errorf("heard %v", l)
	}
	if got := testbed.Next(t, r.Calls); got != "from=42&hold_ms=40000" {
		t.Errorf("third call: %s", got)
	}
	testbed.Next(t, r.Cut)
}

// The new discovery may not be up yet. It is asked again soon, and without the module, which waits for long
// after many failures.
func TestRetriesAfterMoveToUnreachableAddress(t *testing.T) {
	ln := testbed.Listen(t)
	_ = ln.Close()
	r := testbed.NewRoster(t)
	events := make(recordedEvents, 100)
	f := New(Config{Addr: r.Addr, Known: knownList(41)}, events)
	run(t, f)
	testbed.Next(t, r.Calls)
	f.Move(ln.Addr().String())
	for range 3 { // none of them asked for
		if _, ok := testbed.Next[any](t, events).(error); !ok {
			t.Error("the refusal went unheard")
		}
	}
	f.Move(r.Addr)
	if got := testbed.Next(t, r.Calls); got != "" {
		t.Errorf("first call after the move: %q", got)
	}
}

// Several moves in a row end at the last address, and so does one before the first list.
func TestConsecutiveMoves(t *testing.T) {
	first, second, third := testbed.NewRoster(t), testbed.NewRoster(t), testbed.NewRoster(t)
	events := make(recordedEvents, 100)
	f := New(Config{Addr: first.Addr, Known: &List{}}, events)
	f.Move(second.Addr) // before it runs
	run(t, f)
	testbed.Next(t, second.Calls)
	f.Move(first.Addr)
	f.Move(third.Addr)
	testbed.Next(t, third.Calls)
	third.Lists <- List{Revision: 1, Complete: true}
	if l, ok := testbed.Next[any](t, events).(*List); !ok || l.Revision != 1 {
		t.Errorf("heard %#v", l)
	}
}
