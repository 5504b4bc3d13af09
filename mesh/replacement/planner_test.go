package replacement

import (
	"slices"
	"testing"
	"time"

	"firplank/mesh/timing"
)

var durations = timing.NewReplacement(4*time.Second, 6*time.Second)

const now = 60 * time.Second

// machinesUp returns machines that are up. Each is a voter with a full copy, in a zone of its own.
func machinesUp(names ...string) (all []Machine) {
	for _, name := range names {
		all = append(all, Machine{
			Addr:        name,
			Zone:        "zone of " + name,
			LastContact: now - 200*time.Millisecond,
			Connected:   true,
			Voter:       true,
			CaughtUp:    true,
		})
	}
	return all
}

// withChange returns the machines with a change to one of them.
func withChange(all []Machine, name string, change func(*Machine)) []Machine {
	all = slices.Clone(all)
	change(&all[slices.IndexFunc(all, func(m Machine) bool { return m.Addr == name })])
	return all
}

// lastSeenAgo returns a change that sets how long ago the last message of a machine was received, and whether it is connected.
func lastSeenAgo(since time.Duration, connected bool) func(*Machine) {
	return func(m *Machine) { m.LastContact, m.Connected = now-since, connected }
}

func lost(m *Machine)        { m.LastContact, m.Connected = 0, false }
func notVoter(m *Machine)    { m.Voter = false }
func draining(m *Machine)    { m.Draining = true }
func diskFailed(m *Machine)  { m.DiskFailed = true }
func notCaughtUp(m *Machine) { m.CaughtUp = false }

func TestLostMemberIsReplacedByEligibleStandby(t *testing.T) {
	four, five := machinesUp("a", "b", "c", "d"), machinesUp("a", "b", "c", "d", "e")
	lostB, twoSpares := withChange(four, "b", lost), withChange(five, "b", lost)
	inZoneOfA := func(m *Machine) { m.Zone = "zone of a" }
	for _, c := range []struct {
		name     string
		machines []Machine
		want     []string
	}{
		{"all are up", four, nil},
		{"one is lost, a stand-by is up", withChange(four, "b", lastSeenAgo(5*time.Second, false)), []string{"a", "c", "d"}},
		{"lost just longer than the time-out",
			withChange(four, "b", lastSeenAgo(durations.DetectionTimeout+time.Millisecond, false)), []string{"a", "c", "d"}},
		{"lost for the time-out exactly", withChange(four, "b", lastSeenAgo(durations.DetectionTimeout, false)), nil},
		{"no message, but still connected", withChange(four, "b", lastSeenAgo(durations.FrozenTimeout, true)), nil},
		{"no message for longer than FrozenTimeout",
			withChange(four, "b", lastSeenAgo(durations.FrozenTimeout+1, true)), []string{"a", "c", "d"}},
		{"no stand-by", withChange(machinesUp("a", "b", "c"), "b", lost), nil},
		{"the stand-by is lost itself", withChange(lostB, "d", lastSeenAgo(2*time.Second, false)), nil},
		{"the stand-by was not seen recently", withChange(lostB, "d", lastSeenAgo(durations.MaxContactAge, true)), nil},
		{"two are lost: one at a time", withChange(twoSpares, "c", lost), []string{"a", "c", "d"}},
		{"the stand-by is no voter yet", withChange(lostB, "d", notVoter), nil},
		{"the stand-by is draining", withChange(lostB, "d", draining), nil},
		{"the stand-by's disk has failed", withChange(lostB, "d", diskFailed), nil},
		{"one stand-by is in a member's zone", withChange(twoSpares, "d", inZoneOfA), []string{"a", "c", "e"}},
		{"one stand-by has the committed value", withChange(twoSpares, "d", notCaughtUp), []string{"a", "c", "e"}},
	} {
		got, _ := NewPlanner(durations, 1).Decide(now, Group{Members: []string{"a", "b", "c"}, Machines: c.machines})
		if !slices.Equal(got.Members, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got.Members, c.want)
		}
	}
}

// A machine that has just started has not received messages of the others yet. It decides only after ObservationPeriod.
func TestNoReplacementDuringObservationPeriod(t *testing.T) {
	all := withChange(machinesUp("a", "b", "c", "d"), "b", lost)
	for i := range all {
		all[i].LastContact -= now - durations.ObservationPeriod
	}
	g := Group{Members: []string{"a", "b", "c"}, Machines: all}
	if c, ok := NewPlanner(durations, 1).Decide(durations.ObservationPeriod-1, g); ok {
		t.Errorf("it proposes %v during the observation period", c.Members)
	}
	if _, ok := NewPlanner(durations, 1).Decide(durations.ObservationPeriod, g); !ok {
		t.Error("it proposes nothing after its observation period")
	}
}

// If two losses are tolerated, two lost members are replaced by one change, because a second change would take too long.
func TestToleratedLossesAreReplacedInOneChange(t *testing.T) {
	all := withChange(withChange(machinesUp("a", "b", "c", "d", "e", "f", "g"), "b", lost), "c", lost)
	c, _ := NewPlanner(durations, 2).Decide(now, Group{Members: []string{"a", "b", "c", "d", "e"}, Machines: all})
	if want := []string{"a", "d", "e", "f", "g"}; !slices.Equal(c.Members, want) {
		t.Errorf("%v, want %v", c.Members, want)
	}
}

// A group grows to the size that the tolerance requires, to an odd number of members, only by eligible machines, and not while a change is
// in progress.
func TestGroupGrowsToItsTolerance(t *testing.T) {
	three, seven := []string{"a", "b", "c"}, machinesUp("a", "b", "c", "d", "e", "f", "g")
	for _, c := range []struct {
		name      string
		tolerance int
		group     Group
		want      []string
	}{
		{"a tolerance of one", 1, Group{Members: three, Machines: seven}, nil},
		{"a tolerance of two", 2, Group{Members: three, Machines: seven}, []string{"a", "b", "c", "d", "e"}},
		{"a tolerance of three", 3, Group{Members: three, Machines: seven}, []string{"a", "b", "c", "d", "e", "f", "g"}},
		{"too few machines", 3, Group{Members: three, Machines: seven[:6]}, []string{"a", "b", "c", "d", "e"}},
		{"only one stand-by", 2, Group{Members: three, Machines: seven[:4]}, nil},
		{"a machine that is no voter yet", 2, Group{Members: three, Machines: withChange(seven[:5], "e", notVoter)}, nil},
		{"the group is large enough", 2, Group{Members: []string{"a", "b", "c", "d", "e"}, Machines: seven}, nil},
		{"a change is under way", 2, Group{Members: three, PriorMembers: []string{"a", "b", "d"}, Machines: seven}, nil},
		{"a lost member is replaced first", 2, Group{Members: three, Machines: withChange(seven, "b", lost)}, []string{"a", "c", "d"}},
	} {
		got, _ := NewPlanner(durations, c.tolerance).Decide(now, c.group)
		if !slices.Equal(got.Members, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got.Members, c.want)
		}
	}
}

// However often machines seem to be lost, changes are proposed no more often than every MinChangeInterval. The same change is proposed
// again after its time-out.
func TestChangeRateIsBounded(t *testing.T) {
	p, g := NewPlanner(durations, 1), Group{Members: []string{"a", "b", "c"}}
	proposed := 0
	for at := time.Duration(0); at < 10*durations.MinChangeInterval; at += durations.CheckInterval {
		g.Machines = machinesUp("a", "b", "c", "d")
		lostMember := g.Members[proposed%3]
		for i := range g.Machines {
			g.Machines[i].LastContact = now + at
			g.Machines[i].Connected = g.Machines[i].Addr != lostMember
			if g.Machines[i].Addr == lostMember {
				g.Machines[i].LastContact -= 2 * durations.DetectionTimeout
			}
		}
		if c, ok := p.Decide(now+at, g); ok {
			proposed, g.Members = proposed+1, c.Members
		}
	}
	if proposed > 10 {
		t.Errorf("%d changes in ten times MinChangeInterval", proposed)
	}
	p, g = NewPlanner(durations, 1), Group{Members: []string{"a", "b", "c"}, Machines: withChange(machinesUp("a", "b", "c", "d"), "b", lost)}
	_, first := p.Decide(now, g)
	_, early := p.Decide(now+durations.ChangeTimeout-1, g)
	for i := range g.Machines {
		g.Machines[i].LastContact += durations.ChangeTimeout
	}
	g.Machines = withChange(g.Machines, "b", lost)
	if _, again := p.Decide(now+durations.ChangeTimeout, g); !first || early || !again {
		t.Errorf("proposed at once %v, before the time-out %v, after the time-out %v", first, early, again)
	}
}

// The members that the settings name may all be in one zone. They are spread over zones one at a time, only while all members are eligible,
// and only as long as the distribution improves.
func TestMembersAreSpreadOverZones(t *testing.T) {
	inOneZone := func(names ...string) (all []Machine) {
		all = machinesUp("a", "b", "c", "d", "e")
		for i := range all {
			if slices.Contains(names, all[i].Addr) {
				all[i].Zone = "zone of all"
			}
		}
		return all
	}
	crowded := inOneZone("a", "b", "c")
	for _, c := range []struct {
		name  string
		group Group
		want  []string
	}{
		{"three in one zone", Group{Members: []string{"a", "b", "c"}, Machines: crowded}, []string{"a", "b", "d"}},
		{"two in one zone, a machine elsewhere", Group{Members: []string{"a", "b", "d"}, Machines: crowded}, []string{"a", "d", "e"}},
		{"spread", Group{Members: []string{"a", "d", "e"}, Machines: crowded}, nil},
		{"no machine in another zone", Group{Members: []string{"a", "b", "c"}, Machines: inOneZone("a", "b", "c", "d", "e")}, nil},
		{"a member has not caught up", Group{Members: []string{"a", "b", "c"}, Machines: withChange(crowded, "b", notCaughtUp)}, nil},
		{"a member was not seen recently",
			Group{Members: []string{"a", "b", "c"}, Machines: withChange(crowded, "b", lastSeenAgo(time.Second, true))}, nil},
		{"a change is under way", Group{Members: []string{"a", "b", "c"}, PriorMembers: []string{"a", "b", "d"}, Machines: crowded}, nil},
	} {
		got, _ := NewPlanner(durations, 1).Decide(now, c.group)
		if !slices.Equal(got.Members, c.want) || len(got.Lost) > 0 {
			t.Errorf("%s: %+v, want %v", c.name, got, c.want)
		}
	}
}
