package lease

import (
	"testing"

	"firplank/lab/explore"
)

// Two machines never hold the lease at the same time under any faults of links, clocks and processes, and one machine holds it after all
// faults are repaired.
func TestAtMostOneLeaseHolder(t *testing.T) {
	oneFault := Bounds{Machines: 3, Faults: 1, InFlight: 24}
	if r := explore.Exhaust(Start(oneFault, nil), explore.Limits{Depth: 4, States: 100_000}); r.Breach != nil {
		t.Error(r)
	}
	if r := explore.Random(Start(DefaultBounds, nil), 1, 500, 80); r.Breach != nil {
		t.Error(r)
	} else {
		t.Log(r)
	}
}

// The explorer must be able to find faults: every planted defect breaks an invariant.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		seed, orders := uint64(1), 4000
		if Defects[i].Seed > 0 {
			seed, orders = Defects[i].Seed, 1
		}
		if r := explore.Random(Start(DefaultBounds, &Defects[i]), seed, orders, 80); r.Breach == nil {
			t.Errorf("%s: not found in %d steps", Defects[i].Name, r.Steps)
		} else {
			t.Logf("%s: after %d steps: %v", Defects[i].Name, r.Steps, r.Breach)
		}
	}
}
