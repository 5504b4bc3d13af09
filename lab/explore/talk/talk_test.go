package talk

import (
	"testing"

	"cedararch/fleet"
	"cedararch/lab/explore"
)

// What members tell of the whole holds the truth at every moment, and all agree when all is mended.
func TestSumsHoldTheTruth(t *testing.T) {
	r := explore.Exhaust(Start(Bounds{Members: 3, Faults: 1}, 0), explore.Limits{Depth: 3, States: 100_000})
	if t.Log(r); r.Breach != nil {
		t.Error("broken")
	}
	r = explore.Random(Start(Bounds{Members: 3, Faults: 10}, 0), 1, 300, 60)
	if t.Log(r); r.Breach != nil {
		t.Error("broken")
	}
}

// A search that finds nothing has to be one that would.
func TestPlantedDefectsAreFound(t *testing.T) {
	for d := fleet.NoDefect + 1; d < fleet.Defects; d++ {
		r := explore.Random(Start(Bounds{Members: 3, Faults: 10}, d), 1, 1500, 60)
		if r.Breach == nil {
			t.Errorf("%v: not found", d)
			continue
		}
		t.Logf("%v: %v", d, r)
	}
}
