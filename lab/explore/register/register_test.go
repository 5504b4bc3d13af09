package register

import (
	"testing"

	"firplank/lab/explore"
)

// A confirmed version is never lost, reverted or changed under any faults of links, disks and machines, if one disk is lost at a time.
func TestConfirmedVersionsAreNeverLost(t *testing.T) {
	fewFaults := Bounds{Machines: 3, Members: 3, Puts: 1, Reads: 1, Faults: 1, InFlight: 8}
	if r := explore.Exhaust(Start(fewFaults, nil), explore.Limits{Depth: 5, States: 200_000}); r.Breach != nil {
		t.Error(r)
	}
	for seed := range uint64(3) {
		if seed, breach := Search(DefaultBounds, nil, seed*10000, 500, Steps); breach != nil {
			t.Fatalf("order %d: %v", seed, breach)
		}
	}
}

// A register that never responds breaks no invariant. Operations must therefore complete in orders with few faults.
func TestOperationsCompleteWithFewFaults(t *testing.T) {
	fewFaults := Bounds{Machines: 4, Members: 3, Puts: 3, Reads: 3, Faults: 2, Wipes: 1, MemberChanges: 1, InFlight: 40}
	answers := 0
	for seed := range uint64(40) {
		s := newSystem(fewFaults, nil)
		s.walk(seed, 400)
		answers += len(s.history.answers)
	}
	if answers < 80 {
		t.Errorf("%d operations completed in 40 orders of up to 6 operations each", answers)
	}
}

// The explorer must be able to find faults: every planted defect with a known seed breaks an invariant.
func TestPlantedDefectsAreFound(t *testing.T) {
	known := 0
	for i := range Defects {
		d := &Defects[i]
		if d.Seed == 0 {
			continue
		}
		known++
		if _, breach := Search(d.Bounds, d, d.Seed, 1, Steps); breach == nil {
			t.Errorf("%s: not found", d.Name)
		} else {
			t.Logf("%s: %v", d.Name, breach)
		}
		if _, breach := Search(d.Bounds, nil, d.Seed, 1, Steps); breach != nil {
			t.Errorf("%s: the same order breaks an invariant without the defect: %v", d.Name, breach)
		}
	}
	if known < 8 {
		t.Errorf("%d planted defects are found, want 8 or more", known)
	}
}
