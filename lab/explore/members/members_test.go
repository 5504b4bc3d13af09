package members

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Whatever one machine after the other suffers, as soon as it may, operators go on being answered and nothing confirmed is lost.
func TestConfirmedWritesSurviveSuccessiveLosses(t *testing.T) {
	for _, environment := range DefaultEnvironments {
		for seed := range uint64(3) {
			if trace, breach := Run(environment, nil, seed); breach != nil {
				t.Errorf("%+v, seed %d: %v\n%s", environment, seed, breach, strings.Join(trace, "\n"))
			}
		}
	}
}

// A search that finds nothing has to be one that would.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		d := &Defects[i]
		_, breach := Run(d.Environment, d, d.Seed)
		switch {
		case breach == nil:
			t.Errorf("%s: not found", d.Name)
		case d.LosesData != errors.Is(breach, ErrLost):
			t.Errorf("%s: found by another breach than it stands for: %v", d.Name, breach)
		default:
			t.Logf("%s: %v", d.Name, breach)
		}
		if _, breach := Run(d.Environment, nil, d.Seed); breach != nil {
			t.Errorf("%s: the same order breaks without the defect: %v", d.Name, breach)
		}
	}
}

// On disks that take up to 150 ms for a sync nothing is lost, and all but a few machines that are asked to leave do so in order within
// their time. Operators may have to wait for longer than MaxUnavailability there, which is why these orders are not among the usual ones.
func TestDeparturesOnSlowDisks(t *testing.T) {
	environment := Environment{Machines: 5, Faults: 3, Sync: 150 * time.Millisecond}
	inOrder, late := 0, 0
	for seed := range uint64(30) {
		trace, breach := Run(environment, nil, seed)
		if errors.Is(breach, ErrLost) {
			t.Errorf("seed %d: %v\n%s", seed, breach, strings.Join(trace, "\n"))
		}
		joinedTrace := strings.Join(trace, "\n")
		departures := strings.Count(joinedTrace, " leaves (error: ")
		graceful := strings.Count(joinedTrace, " leaves (error: <nil>")
		inOrder, late = inOrder+graceful, late+departures-graceful
	}
	if t.Logf("%d departures in order, %d not", inOrder, late); inOrder < 15 || 8*late > inOrder {
		t.Errorf("%d departures in order, %d not", inOrder, late)
	}
}

// The same seed plays the same order.
func TestRunsAreReproducible(t *testing.T) {
	for seed := range uint64(3) {
		first, _ := Run(DefaultEnvironments[1], nil, seed)
		if again, _ := Run(DefaultEnvironments[1], nil, seed); !slices.Equal(first, again) {
			t.Errorf("seed %d:\n%s\nand then\n%s", seed, strings.Join(first, "\n"), strings.Join(again, "\n"))
		}
	}
}

// Orders have to get somewhere: in each, operators are answered all the time, and members are replaced.
func TestRunsReplaceMembers(t *testing.T) {
	replaced := 0
	for seed := range uint64(3) {
		trace, _ := Run(DefaultEnvironments[1], nil, seed)
		replaced += strings.Count(strings.Join(trace, "\n"), " replaces ")
	}
	if replaced < 3 {
		t.Errorf("%d members were replaced in 3 orders", replaced)
	}
}
