package numbers

import "testing"

// A number never has two contents under any behaviour of operators, links, disks and machines, and every request completes after faults
// cease.
func TestEachNumberHasOneContent(t *testing.T) {
	for _, c := range []struct {
		bounds    Bounds
		histories uint64
	}{{TwoOperators, 50}, {DefaultBounds, 50}, {ManyOperators, 30}, {FullHistory, 6}, {TwoDiskLosses, 30}} {
		if seed, breach := Search(c.bounds, nil, 1, c.histories, Steps); breach != nil {
			t.Errorf("%d operators, %d numbers taken, history %d: %v", c.bounds.Operators, c.bounds.InitialNumbers, seed, breach)
		}
	}
}

// Histories must cover enough cases before faults cease: puts that are confirmed and rejected, also below a higher number and when
// retried. Without them, a search that finds no breach shows nothing.
func TestHistoriesCoverConfirmationsAndRefusals(t *testing.T) {
	var confirmed, refused, repeated, lower int
	for seed := range uint64(60) {
		s := play(ManyOperators, nil, seed, Steps)
		highest, sent := 0, map[request]bool{}
		for _, c := range s.history {
			if c.Read || c.Invoked > Steps {
				continue
			}
			o := request{c.Number, c.Content}
			switch {
			case c.Returned == 0:
			case c.Refused:
				refused++
			default:
				confirmed++
				if sent[o] {
					repeated++
				}
				if c.Number < highest {
					lower++
				}
			}
			sent[o] = true
			highest = max(highest, c.Number)
		}
	}
	t.Logf("%d puts confirmed, %d of them when sent again, %d under a lower number; %d refused", confirmed, repeated, lower, refused)
	if confirmed < 150 || refused < 120 || repeated < 100 || lower < 90 {
		t.Error("the histories cover too few cases")
	}
}

// The explorer must be able to find faults: every planted defect breaks an invariant.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		d := &Defects[i]
		if _, breach := Search(d.Bounds, d, d.Seed, 1, Steps); breach == nil {
			t.Errorf("%s: not found", d.Name)
		} else {
			t.Logf("%s: %v", d.Name, breach)
		}
		if _, breach := Search(d.Bounds, nil, d.Seed, 1, Steps); breach != nil {
			t.Errorf("%s: the same history breaks an invariant without the defect: %v", d.Name, breach)
		}
	}
}
