package calls

import (
	"math/rand/v2"
	"testing"

	"firplank/lab/explore"
)

// Under every explored fault of connections, servers and last hops, each client gets the response to its own request,
// no request runs twice, and a request that was reported as not executed never runs.
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

// Guards against a search that cannot detect faults: every planted defect is found, and the same order passes without it.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		d := &Defects[i]
		if _, breach := Search(DefaultBounds, d, d.Seed, 1, Steps); breach == nil {
			t.Errorf("%s: not found", d.Name)
		} else {
			t.Logf("%s: %v", d.Name, breach)
		}
		if _, breach := Search(DefaultBounds, nil, d.Seed, 1, Steps); breach != nil {
			t.Errorf("%s: the same order has a breach without the defect: %v", d.Name, breach)
		}
	}
}

// Guards against vacuous passes: a path that never answers would keep every promise, so many orders must end with each status.
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
			t.Errorf("%d answers with status %d, want at least 20", answers[s], s)
		}
	}
}

// Once faults cease, every request is answered, so no slot, query or attempt leaks. The clock does not advance here: a
// query about an attempt that was evicted meanwhile would wait for its deadline, which is not modelled.
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
			t.Fatalf("order %d: %d of %d requests answered, breach %v, remaining choices: %v", seed, len(w.history.answers),
				bounds.Requests, err, w.Choices())
		}
	}
}

// ended reports whether all requests are answered.
func (w *world) ended() bool { return len(w.history.answers) == w.bounds.Requests }
