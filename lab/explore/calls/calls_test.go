package calls

import (
	"math/rand/v2"
	"testing"

	"firplank/lab/explore"
)

// Whatever connections, servers and last hops do, nobody gets another's answer, nothing runs twice, and what was
// promised not to run does not.
func TestRequestsRunAtMostOnceAndGetTheirOwnResponse(t *testing.T) {
	few := Bounds{Requests: 1, Faults: 2, Evictions: 1}
	if r := explore.Exhaust(Start(few, nil), explore.Limits{Depth: 4, States: 100_000}); r.Breach != nil || !r.Complete {
		t.Error(r)
	}
	for _, b := range []Bounds{DefaultBounds, RefusingBounds} {
		if seed, breach := Search(b, nil, 1, 1000, Steps); breach != nil {
			t.Errorf("order %d of %+v: %v", seed, b, breach)
		}
	}
}

// A search that finds nothing has to be one that would.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		d := &Defects[i]
		if _, breach := Search(DefaultBounds, d, d.Seed, 1, Steps); breach == nil {
			t.Errorf("%s: not found", d.Name)
		} else {
			t.Logf("%s: %v", d.Name, breach)
		}
		if _, breach := Search(DefaultBounds, nil, d.Seed, 1, Steps); breach != nil {
			t.Errorf("%s: the same order breaks it without the defect: %v", d.Name, breach)
		}
	}
}

// Orders that end well are among those that are searched: a path that never answers keeps every promise.
func TestRequestsAreServed(t *testing.T) {
	answers := map[status]int{}
	for seed := range uint64(200) {
		w := Start(DefaultBounds, nil)().(*world)
		w.playRandom(seed, 60)
		for _, s := range w.history.answers {
			answers[s]++
		}
	}
	for _, s := range []status{served, failed, unknown} {
		if answers[s] < 20 {
			t.Errorf("%d answers with %d", answers[s], s)
		}
	}
}

// Once faults cease, every request comes to an end: no slot, no query and no attempt is forgotten. Without minutes that
// pass, as a query about an attempt that was evicted meanwhile waits for its deadline, which is not explored.
func TestRequestsEndOnceFaultsCease(t *testing.T) {
	bounds := RefusingBounds
	bounds.Evictions = 0
	for seed := range uint64(500) {
		w := Start(bounds, nil)().(*world)
		w.playRandom(seed, Steps)
		w.faults = w.bounds.Faults
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 5000 {
			w.collectChoices(true)
			if len(w.choices) == 0 || w.ended() {
				break
			}
			w.choices[rng.IntN(len(w.choices))].Do()
		}
		if err := w.Broken(); err != nil || !w.ended() {
			t.Fatalf("order %d: %d of %d requests answered, breach %v, left to do: %v", seed, len(w.history.answers),
				bounds.Requests, err, w.Choices())
		}
	}
}

// ended reports whether all requests are answered.
func (w *world) ended() bool { return len(w.history.answers) == w.bounds.Requests }
