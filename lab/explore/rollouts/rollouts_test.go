package rollouts

import (
	"testing"

	"firplank/lab/explore"
)

// depth is the number of choices of an order. Since some choices take many steps, an order covers the rollout's term and more.
const depth = 40

func TestNoRequestsToOldVersionAfterDelivery(t *testing.T) {
	if r := explore.Random(Start(DefaultBounds, nil), 1, 1500, depth); r.Breach != nil {
		t.Error(r)
	} else {
		t.Log(r)
	}
}

// The explorer must be able to find faults: every planted defect breaks an invariant.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		seed, orders := uint64(1), 1500
		if Defects[i].Seed > 0 {
			seed, orders = Defects[i].Seed, 1
		}
		if r := explore.Random(Start(DefaultBounds, &Defects[i]), seed, orders, depth); r.Breach == nil {
			t.Errorf("%s: not found in %d steps", Defects[i].Name, r.Steps)
		} else {
			t.Logf("%s: after %d steps: %v", Defects[i].Name, r.Steps, r.Breach)
		}
	}
}
