package talk

import (
	"testing"

	"firplank/fleet"
	"firplank/lab/explore"
)

// Guards against wrong fleet-wide counts: the members' bounds contain the true counts at all times, and all agree once faults end.
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

// Guards against a search that cannot detect faults: every planted defect is found.
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

// Guards against a false alarm of the checker: member 0 is the last that knows of the admitted requests, and restarts. No running member
// knows of them then, so upper bounds need not cover them.
func TestBoundsMayOmitCountsThatNoRunningMemberKnows(t *testing.T) {
	schedule := []int{0, 3, 5, 4, 0, 3, 4, 0, 0, 0, 19, 0, 1, 3, 14, 12, 1, 10, 3, 2, 7, 0, 1, 4}
	w := explore.Play(Start(Bounds{Members: 3, Faults: 10}, 0), schedule).(*world)
	if w.Broken() != nil {
		t.Error(w.Broken())
	}
	if known := w.knownAdmitted(); known != 0 || w.admitted[0] == 0 {
		t.Errorf("%d of %d requests are known after every process that knew of them has ended", known, w.admitted)
	}
}
