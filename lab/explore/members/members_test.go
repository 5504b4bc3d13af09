package members

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Whatever one machine after the other suffers, as soon as it may, operators go on being answered and nothing confirmed is lost.
func TestMajorityAndConfirmedChangesOutliveLosses(t *testing.T) {
	for _, in := range Usual {
		for seed := range uint64(3) {
			if story, breach := Run(in, nil, seed); breach != nil {
				t.Errorf("%+v, seed %d: %v\n%s", in, seed, breach, strings.Join(story, "\n"))
			}
		}
	}
}

// A search that finds nothing has to be one that would.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		d := &Defects[i]
		_, breach := Run(d.In, d, d.Seed)
		switch {
		case breach == nil:
			t.Errorf("%s: not found", d.Name)
		case d.Lost != errors.Is(breach, ErrLost):
			t.Errorf("%s: found by another breach than it stands for: %v", d.Name, breach)
		default:
			t.Logf("%s: %v", d.Name, breach)
		}
		if _, breach := Run(d.In, nil, d.Seed); breach != nil {
			t.Errorf("%s: the same order breaks without the defect: %v", d.Name, breach)
		}
	}
}

// On disks that take up to 150 ms for a sync nothing is lost, and all but a few machines that are asked to leave do so in order within
// their time. Operators may have to wait for longer than MaxUnavailability there, which is why these orders are not among the usual ones.
func TestDeparturesOnSlowDisks(t *testing.T) {
	in := Surroundings{Machines: 5, Faults: 3, Sync: 150 * time.Millisecond}
	inOrder, late := 0, 0
	for seed := range uint64(30) {
		story, breach := Run(in, nil, seed)
		if errors.Is(breach, ErrLost) {
			t.Errorf("seed %d: %v\n%s", seed, breach, strings.Join(story, "\n"))
		}
		all := strings.Join(story, "\n")
		ends := strings.Count(all, " leaves (error: ")
		done := strings.Count(all, " leaves (error: <nil>")
		inOrder, late = inOrder+done, late+ends-done
	}
	if t.Logf("%d departures in order, %d not", inOrder, late); inOrder < 15 || 8*late > inOrder {
		t.Errorf("%d departures in order, %d not", inOrder, late)
	}
}

// The same seed plays the same order.
func TestOrdersCanBePlayedAgain(t *testing.T) {
	for seed := range uint64(3) {
		first, _ := Run(Usual[1], nil, seed)
		if again, _ := Run(Usual[1], nil, seed); !slices.Equal(first, again) {
			t.Errorf("seed %d:\n%s\nand then\n%s", seed, strings.Join(first, "\n"), strings.Join(again, "\n"))
		}
	}
}

// Orders have to get somewhere: in each, operators are answered all the time, and members are replaced.
func TestOrdersGetFar(t *testing.T) {
	replaced := 0
	for seed := range uint64(3) {
		story, _ := Run(Usual[1], nil, seed)
		replaced += strings.Count(strings.Join(story, "\n"), " replaces ")
	}
	if replaced < 3 {
		t.Errorf("%d members were replaced in 3 orders", replaced)
	}
}
