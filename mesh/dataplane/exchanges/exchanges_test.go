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

// fakeExchange records the updates to it.
type fakeExchange struct {
	service string
	entries string
	updates int
}

// fixture is a set with the exchanges that it has created and the wanted entries.
type fixture struct {
	set          *Set[*fakeExchange]
	created      map[string]*fakeExchange
	entries      []directory.Entry
	revision     uint64
	entriesReads int
}

func newFixture() *fixture {
	f := &fixture{created: map[string]*fakeExchange{}}
	f.set = New(func(service string) *fakeExchange {
		if f.created[service] != nil {
			panic("exchange created twice: " + service)
		}
		f.created[service] = &fakeExchange{service: service}
		return f.created[service]
	}, func(e *fakeExchange, entries []directory.Entry, _ time.Duration) {
		e.entries = fmt.Sprint(entries)
		e.updates++
	})
	return f
}

func (f *fixture) reconcile() {
	f.set.Reconcile(f.revision, func() []directory.Entry {
		f.entriesReads++
		return f.entries
	}, 0)
}

// changeEvidence toggles whether the first sidecar is lost, without a new directory revision.
func (f *fixture) changeEvidence() {
	f.entries = slices.Clone(f.entries)
	if len(f.entries) > 0 {
		f.entries[0].Lost = !f.entries[0].Lost
	}
	f.set.Invalidate()
}

// getOrCreate requests the exchanges of services and checks that existing exchanges are not replaced.
func (f *fixture) getOrCreate(t *rapid.T, wanted []string) {
	createdBefore := maps.Clone(f.created)
	got := f.set.GetOrCreate(wanted)
	if len(got) != len(wanted) {
		t.Fatalf("for %v: %v", wanted, got)
	}
	for _, name := range wanted {
		if got[name] == nil || got[name].service != name || createdBefore[name] != nil && createdBefore[name] != got[name] {
			t.Fatalf("for %v: %+v", wanted, got)
		}
	}
}

// From any state, Reconcile must give every exchange the wanted entries, without creating an exchange twice. An
// unchanged state must cause no updates.
func TestExchangesConvergeToTheWantedState(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			due := false
			if rapid.Bool().Draw(t, "another directory") {
				f.revision++
				f.entries = append(slices.Clone(f.entries), directory.Entry{Node: fmt.Sprint("n", step)})
				due = true
			}
			if rapid.Bool().Draw(t, "other evidence") {
				f.changeEvidence()
				due = true
			}
			if rapid.Bool().Draw(t, "another configuration") {
				created := len(f.created)
				f.getOrCreate(t, rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "services"))
				due = due || len(f.created) > created
			}
			readsBefore := f.entriesReads
			updatesBefore := map[string]int{}
			for name, e := range f.created {
				updatesBefore[name] = e.updates
			}
			f.reconcile()
			f.reconcile()
			want := 0
			if due {
				want = 1
			}
			if f.entriesReads-readsBefore != want {
				t.Fatalf("read the entries %d times, due %v", f.entriesReads-readsBefore, due)
			}
			for name, e := range f.created {
				if e.entries != fmt.Sprint(f.entries) || e.updates-updatesBefore[name] != want {
					t.Fatalf("%s has %s after %d updates, due %v; wanted %v", name, e.entries, e.updates-updatesBefore[name], due, f.entries)
				}
			}
		}
	})
}

// The exchange of a service that was removed from the configuration must still be updated from the directory, because
// it may have requests in flight.
func TestExchangeOfARemovedServiceIsStillUpdated(t *testing.T) {
	f := newFixture()
	f.set.GetOrCreate([]string{"a", "b"})
	f.reconcile()
	if got := f.set.GetOrCreate([]string{"b"}); len(got) != 1 {
		t.Errorf("%v", got)
	}
	f.revision, f.entries = 1, []directory.Entry{{Node: "n1"}}
	f.reconcile()
	if f.created["a"].updates != 2 {
		t.Errorf("%d updates", f.created["a"].updates)
	}
}
