package tombstones

import (
	"testing"

	"firplank/lab/explore"
)

// A tombstone that was reported as durable is found by every later read, under any faults of links, disks and processes, if one disk is
// lost at a time; and requests are answered after all faults are repaired.
func TestDurableTombstonesAreFound(t *testing.T) {
	if r := explore.Random(Start(DefaultBounds, nil), 1, 4000, 90); r.Breach != nil {
		t.Error(r)
	} else {
		t.Log(r)
	}
}

// The explorer must be able to find faults: every planted defect breaks an invariant.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		if r := explore.Random(Start(DefaultBounds, &Defects[i]), 1, 30_000, 90); r.Breach == nil {
			t.Errorf("%s: not found in %d steps", Defects[i].Name, r.Steps)
		} else {
			t.Logf("%s: after %d steps: %v", Defects[i].Name, r.Steps, r.Breach)
		}
	}
}
