package replacement

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// A departing machine hands over its membership, then has the value replicated, then terminates. Each step begins only when the previous
// one is complete.
func TestDepartureStepsInOrder(t *testing.T) {
	d := NewDeparture(durations, "c", now)
	g := Group{Members: []string{"a", "b", "c"}, Machines: machinesUp("a", "b", "c", "d")}
	first := d.Decide(now, g, false)
	handover := slices.Equal(first.Change.Members, []string{"a", "b", "d"}) && slices.Equal(first.Change.ExpectedMembers, g.Members)
	if first.Kind != ProposeHandover || !handover {
		t.Fatalf("first %+v", first)
	}
	if a := d.Decide(now+durations.ChangeTimeout/2, g, false); a.Kind != Wait {
		t.Errorf("while the change is proposed: %+v", a)
	}
	g.Members, g.PriorMembers = []string{"a", "b", "d"}, g.Members
	if a := d.Decide(now+durations.ChangeTimeout/2, g, false); a.Kind != Wait {
		t.Errorf("while the change is not complete: %+v", a)
	}
	if a := d.Decide(now+durations.ChangeTimeout, g, false); a.Kind != Wait {
		t.Errorf("when the change has not completed in time: %+v", a)
	}
	g.PriorMembers = nil
	if a := d.Decide(now+durations.ChangeTimeout/2, g, false); a.Kind != ReplicateWithoutSelf {
		t.Errorf("when the change is complete: %+v", a)
	}
	if a := d.Decide(now+durations.ChangeTimeout, g, false); a.Kind != Wait {
		t.Errorf("before the value is replicated: %+v", a)
	}
	if a := d.Decide(now+durations.ChangeTimeout, g, true); a.Kind != Depart || a.Err != nil {
		t.Errorf("when all steps are complete: %+v", a)
	}
}

// Without a successor the value is still replicated, and the machine departs at DepartureTimeout, within graceS, whatever fails.
func TestDepartureWithoutSuccessor(t *testing.T) {
	for name, all := range map[string][]Machine{
		"no stand-by": machinesUp("a", "b", "c"), "the stand-by is draining too": withChange(machinesUp("a", "b", "c", "d"), "d", draining),
	} {
		d := NewDeparture(durations, "c", now)
		g := Group{Members: []string{"a", "b", "c"}, Machines: all}
		if a := d.Decide(now, g, false); a.Kind != ReplicateWithoutSelf {
			t.Errorf("%s: first %+v", name, a)
		}
		if a := d.Decide(now+time.Second, g, false); a.Kind != Wait {
			t.Errorf("%s: not replicated: %+v", name, a)
		}
		if a := d.Decide(now+durations.DepartureTimeout, g, false); a.Kind != Depart || !errors.Is(a.Err, ErrDepartureTimeout) {
			t.Errorf("%s: at the departure time-out: %+v", name, a)
		}
	}
}

// A machine that departs while it is still a member returns the cause: there was no successor, or the change did not complete.
func TestDepartureReturnsCause(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines []Machine
		want     error
	}{
		{"no stand-by", machinesUp("a", "b", "c"), ErrNoSuccessor},
		{"the change does not complete", machinesUp("a", "b", "c", "d"), ErrHandoverTimeout},
	} {
		d := NewDeparture(durations, "c", now)
		g := Group{Members: []string{"a", "b", "c"}, Machines: c.machines}
		d.Decide(now, g, false)
		late := now + durations.DepartureTimeout*2/3
		d.Decide(late, g, false) // starts the replication at the latest
		if a := d.Decide(late, g, true); a.Kind != Depart || !errors.Is(a.Err, c.want) {
			t.Errorf("%s: %+v, want %v", c.name, a, c.want)
		}
	}
}
