package cutoff

import (
	"reflect"
	"testing"
)

// Guards against false acknowledgements and stale reads or configurations while a control machine is cut off for 20 s: in either or both
// directions, as lease holder or not, as member or standby, with sidecar restarts on both sides and a burst of writes over slow links.
func TestCutOffMachineNeitherAcknowledgesNorServesStaleData(t *testing.T) {
	played, day, breach := Search(QuickScenarios(), nil)
	if breach != nil {
		t.Fatalf("%v: %v", day, breach)
	}
	t.Logf("%d days, no breach", played)
}

// Guards against a search that cannot detect faults: every planted defect is found.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		played, day, breach := Search(QuickScenarios(), &Defects[i])
		if breach == nil {
			t.Errorf("%s: not found in %d days", Defects[i].Name, played)
			continue
		}
		t.Logf("%s: day %d, %v: %v", Defects[i].Name, played, day, breach)
	}
}

func TestPlayIsDeterministic(t *testing.T) {
	day := QuickScenarios()[3]
	if !reflect.DeepEqual(Play(day, nil), Play(day, nil)) {
		t.Error("two runs of the same day differ")
	}
}
