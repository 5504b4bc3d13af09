package exchanges

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"firplank/mesh/directory"
)

// exchange notes what it is told.
type exchange struct {
	service string
	entries string
	updates int
}

// world is a set with what it has made and what is wanted.
type world struct {
	set      *Set[*exchange]
	made     map[string]*exchange
	entries  []directory.Entry
	revision uint64
	reads    int
}

func newWorld() *world {
	w := &world{made: map[string]*exchange{}}
	w.set = New(func(service string) *exchange {
		if w.made[service] != nil {
			panic("made twice: " + service)
		}
		w.made[service] = &exchange{service: service}
		return w.made[service]
	}, func(e *exchange, entries []directory.Entry, _ time.Duration) {
		e.entries = fmt.Sprint(entries)
		e.updates++
	})
	return w
}

func (w *world) reconcile() {
	w.set.Reconcile(w.revision, func() []directory.Entry {
		w.reads++
		return w.entries
	}, 0)
}

// changeEvidence has the first sidecar lost, or found again, by evidence beside the directory.
func (w *world) changeEvidence() {
	w.entries = slices.Clone(w.entries)
	if len(w.entries) > 0 {
		w.entries[0].Lost = !w.entries[0].Lost
	}
	w.set.Invalidate()
}

// adopt asks for the exchanges of services, each of which has to be the one that was made first for it.
func (w *world) adopt(t *rapid.T, wanted []string) {
	before := maps.Clone(w.made)
	got := w.set.GetOrCreate(wanted)
	if len(got) != len(wanted) {
		t.Fatalf("for %v: %v", wanted, got)
	}
	for _, name := range wanted {
		if got[name] == nil || got[name].service != name || before[name] != nil && before[name] != got[name] {
			t.Fatalf("for %v: %+v", wanted, got)
		}
	}
}

// From any state to any other: each exchange has the entries that are wanted, is made once and stays, and nothing is
// done without a reason.
func TestExchangesComeToWhatIsWanted(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			due := false
			if rapid.Bool().Draw(t, "another directory") {
				w.revision++
				w.entries = append(slices.Clone(w.entries), directory.Entry{Node: fmt.Sprint("n", step)})
				due = true
			}
			if rapid.Bool().Draw(t, "other evidence") {
				w.changeEvidence()
				due = true
			}
			if rapid.Bool().Draw(t, "another configuration") {
				made := len(w.made)
				w.adopt(t, rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "services"))
				due = due || len(w.made) > made
			}
			reads := w.reads
			updates := map[string]int{}
			for name, e := range w.made {
				updates[name] = e.updates
			}
			w.reconcile()
			w.reconcile()
			want := 0
			if due {
				want = 1
			}
			if w.reads-reads != want {
				t.Fatalf("read the entries %d times, due %v", w.reads-reads, due)
			}
			for name, e := range w.made {
				if e.entries != fmt.Sprint(w.entries) || e.updates-updates[name] != want {
					t.Fatalf("%s has %s after %d updates, due %v; wanted %v", name, e.entries, e.updates-updates[name], due, w.entries)
				}
			}
		}
	})
}

// A service that the configuration has no more keeps its exchange, which goes on to follow the directory for the
// requests in flight.
func TestExchangeOfAFormerServiceFollowsTheDirectory(t *testing.T) {
	w := newWorld()
	w.set.GetOrCreate([]string{"a", "b"})
	w.reconcile()
	if got := w.set.GetOrCreate([]string{"b"}); len(got) != 1 {
		t.Errorf("%v", got)
	}
	w.revision, w.entries = 1, []directory.Entry{{Node: "n1"}}
	w.reconcile()
	if w.made["a"].updates != 2 {
		t.Errorf("%d updates", w.made["a"].updates)
	}
}
