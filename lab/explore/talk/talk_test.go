package talk

import (
	"testing"

	"firplank/fleet"
	"firplank/lab/explore"
)

// What members tell of the whole holds the truth at every moment, and all agree when all is mended.
func TestAggregatesBoundTheTrueCounts(t *testing.T) {
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
	for d := fleet.NoDefect + 1; d < fleet.DefectCount; d++ {
		r := explore.Random(Start(Bounds{Members: 3, Faults: 10}, d), 1, 1500, 60)
		if r.Breach == nil {
			t.Errorf("%v: not found", d)
			continue
		}
		t.Logf("%v: %v", d, r)
	}
}

// Member 0 is the last that has heard of what was taken, and is started anew: with it that is gone, and the bounds of those that come after
// need not hold it.
func TestBoundsMayOmitCountsThatNoRunningMemberKnows(t *testing.T) {
	schedule := []int{0, 3, 5, 4, 0, 3, 4, 0, 0, 0, 19, 0, 1, 3, 14, 12, 1, 10, 3, 2, 7, 0, 1, 4}
	w := explore.Play(Start(Bounds{Members: 3, Faults: 10}, 0), schedule).(*world)
	if w.Broken() != nil {
		t.Error(w.Broken())
	}
	if known := w.knownAdmitted(); known != 0 || w.admitted[0] == 0 {
		t.Errorf("%d of %d are known, after all that knew have ended", known, w.admitted)
	}
}
