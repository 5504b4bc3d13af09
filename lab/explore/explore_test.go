package explore

import (
	"slices"
	"testing"

	"github.com/go-faster/errors"
)

var errTooHigh = errors.New("the counter is too high")

// counter is a System that breaks when its value reaches a limit. Its choices add nothing, one and two.
type counter struct {
	value, limit int
}

func startCounter(limit int) func() System { return func() System { return &counter{limit: limit} } }

func (c *counter) Choices() []string { return []string{"add 0", "add 1", "add 2"} }

func (c *counter) Do(choice int) { c.value += choice }

func (c *counter) State() uint64 { return uint64(c.value) }

func (c *counter) Broken() error {
	if c.value >= c.limit {
		return errTooHigh
	}
	return nil
}

// A search to the depth of a breach finds it and shrinks its schedule. A less deep one explores every order and finds none.
func TestExhaustFindsBreachesWithinItsDepth(t *testing.T) {
	r := Exhaust(startCounter(6), Limits{Depth: 3, States: 100})
	if !errors.Is(r.Breach, errTooHigh) || !slices.Equal(r.Schedule, []int{2, 2, 2}) || len(r.Trace) != 3 {
		t.Errorf("depth 3: %v", r)
	}
	r = Exhaust(startCounter(6), Limits{Depth: 2, States: 100})
	if r.Breach != nil || !r.Complete || r.States != 5 {
		t.Errorf("depth 2: %v, want all of five states", r)
	}
	if r = Exhaust(startCounter(6), Limits{Depth: 3, States: 3}); r.Complete {
		t.Errorf("three states at most: %v", r)
	}
}

func TestRandomFindsABreachAndIsDeterministic(t *testing.T) {
	r := Random(startCounter(20), 1, 10, 40)
	if !errors.Is(r.Breach, errTooHigh) || Play(startCounter(20), r.Schedule).Broken() == nil {
		t.Errorf("%v", r)
	}
	if again := Random(startCounter(20), 1, 10, 40); !slices.Equal(again.Schedule, r.Schedule) || again.Steps != r.Steps {
		t.Errorf("the same seed: %v, before: %v", again, r)
	}
}

// A shrunk schedule breaks the invariant and has no unnecessary choice. The given schedule is not modified.
func TestShrink(t *testing.T) {
	given := []int{0, 2, 1, 0, 0, 2, 2, 1}
	before := slices.Clone(given)
	shrunk := Shrink(startCounter(4), given)
	if Play(startCounter(4), shrunk).Broken() == nil || !slices.Equal(shrunk, []int{2, 2}) {
		t.Errorf("shrunk to %v, want two choices of 2", shrunk)
	}
	if !slices.Equal(given, before) {
		t.Errorf("the given schedule is now %v", given)
	}
}

func TestOrderFingerprintDistinguishesOrders(t *testing.T) {
	const depth, choices = 6, 5
	seen := map[OrderFingerprint]bool{}
	var visit func(f OrderFingerprint, left int)
	visit = func(f OrderFingerprint, left int) {
		if seen[f] {
			t.Fatalf("two orders have the fingerprint %x", uint64(f))
		}
		seen[f] = true
		for choice := 0; left > 0 && choice < choices; choice++ {
			visit(f.Add(choice), left-1)
		}
	}
	visit(0, depth)
}
