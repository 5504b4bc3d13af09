package members

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Operators keep receiving responses and no confirmed version is lost while machines fail one after the other, as soon as the tolerance
// allows.
func TestConfirmedWritesSurviveSuccessiveLosses(t *testing.T) {
	for _, environment := range DefaultEnvironments {
		for seed := range uint64(3) {
			if trace, breach := Run(environment, nil, seed); breach != nil {
				t.Errorf("%+v, seed %d: %v\n%s", environment, seed, breach, strings.Join(trace, "\n"))
			}
		}
	}
}

// The explorer must be able to find faults: every planted defect causes the expected breach.
func TestPlantedDefectsAreFound(t *testing.T) {
	for i := range Defects {
		d := &Defects[i]
		_, breach := Run(d.Environment, d, d.Seed)
		switch {
		case breach == nil:
			t.Errorf("%s: not found", d.Name)
		case d.LosesData != errors.Is(breach, ErrLost):
			t.Errorf("%s: found by an unexpected kind of breach: %v", d.Name, breach)
		default:
			t.Logf("%s: %v", d.Name, breach)
		}
		if _, breach := Run(d.Environment, nil, d.Seed); breach != nil {
			t.Errorf("%s: the same order breaks an invariant without the defect: %v", d.Name, breach)
		}
	}
}

// If a disk's sync takes up to 150 ms, no confirmed version is lost, and all but a few machines that are asked to leave do so gracefully
// within their time. Operators may wait for longer than MaxUnavailability, so this is not among the default environments.
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
	if t.Logf("%d graceful departures, %d others", inOrder, late); inOrder < 15 || 8*late > inOrder {
		t.Errorf("%d graceful departures, %d others", inOrder, late)
	}
}

// The same seed produces the same order, so that a breach can be reproduced.
func TestRunsAreReproducible(t *testing.T) {
	for seed := range uint64(3) {
		first, _ := Run(DefaultEnvironments[1], nil, seed)
		if again, _ := Run(DefaultEnvironments[1], nil, seed); !slices.Equal(first, again) {
			t.Errorf("seed %d:\n%s\nand then\n%s", seed, strings.Join(first, "\n"), strings.Join(again, "\n"))
		}
	}
}

// Orders must reach replacements of members, on average at least one in each.
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
