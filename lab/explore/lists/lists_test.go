package lists

import (
	"testing"

	"firplank/lab/explore"
)

// Nothing is sent by a list that lacks what counts as told, in whatever order discovery breaks, stops, falls silent,
// turns away and answers.
func TestNoStaleListIsUsed(t *testing.T) {
	r := explore.Exhaust(Start(Bounds{Changes: 1, Faults: 2}, nil), explore.Limits{Depth: 7, States: 300_000})
	if t.Log(r); r.Breach != nil {
		t.Error("broken")
	}
	if r := explore.Random(Start(Bounds{Changes: 6, Faults: 12}, nil), 1, 500, 80); r.Breach != nil {
		t.Error(r)
	}
}

// A search that finds nothing has to be one that would.
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
