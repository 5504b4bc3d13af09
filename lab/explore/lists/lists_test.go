package lists

import (
	"testing"

	"firplank/lab/explore"
)

// A sidecar never uses a list that lacks a change which counts as delivered, in whatever order discovery responds, truncates or stalls
// responses, stops responding and rejects calls.
func TestNoStaleListIsUsed(t *testing.T) {
	r := explore.Exhaust(Start(Bounds{Changes: 1, Faults: 2}, nil), explore.Limits{Depth: 7, States: 300_000})
	if t.Log(r); r.Breach != nil {
		t.Error("an invariant was broken")
	}
	if r := explore.Random(Start(Bounds{Changes: 6, Faults: 12}, nil), 1, 500, 80); r.Breach != nil {
		t.Error(r)
	}
}

// The explorer must be able to find faults: every planted defect breaks an invariant.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		d := &Defects[i]
		r := explore.Random(Start(Bounds{Changes: 3, Faults: 6}, d), 1, 3000, 60)
		if r.Breach == nil {
			t.Errorf("%s: not found", d.Name)
			continue
		}
		t.Logf("%s: %v", d.Name, r)
	}
}
