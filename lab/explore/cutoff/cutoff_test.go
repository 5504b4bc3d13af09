package cutoff

import (
	"reflect"
	"testing"
)

// One control machine is cut off for 20 s, in each direction and in both, as the last to propose and not, as a member and not, with
// sidecars restarted on either side and a storm of changes over narrow links.
func TestCutOffMachineNeitherAcknowledgesNorServesStaleData(t *testing.T) {
	played, day, breach := Search(QuickScenarios(), nil)
	if breach != nil {
		t.Fatalf("%v: %v", day, breach)
	}
	t.Logf("%d days, no breach", played)
}

// A search that finds nothing has to be one that would.
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
		t.Error("two plays of one day differ")
	}
}
