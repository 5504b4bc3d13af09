package replacement

import (
	"cmp"
	"slices"
	"time"

	"firplank/mesh/timing"
)

// never is the time of what has not happened yet.
const never = time.Duration(-1)

// minMembers is the least number of members that a group is brought to.
const minMembers = 3

// GroupSize returns how many members a group needs, so that a majority of them is left when as many are lost as the tolerance says: lost
// with their disks, too, as a member with an empty disk has no vote until a majority of the others has replied to it.
func GroupSize(tolerance int) int { return max(minMembers, 2*tolerance+1) }

// Planner decides on changes of members, at the machine that holds the lease. It is not safe for concurrent use.
type Planner struct {
	durations         timing.Replacement
	maxReplacedAtOnce int // members that are replaced in one change at most
	groupSize         int // of the group, where there are as many machines

	proposedAt time.Duration // of lastChange; never: there is none
	lastChange Change
}

// NewPlanner returns a planner that replaces up to tolerance members in one change, and at least one, and that adds members up to the
// GroupSize of the tolerance.
func NewPlanner(t timing.Replacement, tolerance int) *Planner {
	return &Planner{durations: t, maxReplacedAtOnce: max(1, tolerance), groupSize: GroupSize(tolerance), proposedAt: never}
}

// Decide returns the change of members that is to be proposed now; ok is false where there is none. The caller must hold the lease. The
// time counts from its start.
func (p *Planner) Decide(now time.Duration, g Group) (c Change, ok bool) {
	if now < p.durations.ObservationPeriod || len(g.Members) == 0 {
		return Change{}, false
	}
	c, ok = g.replace(now, &p.durations, p.lostMembers(now, &g))
	if !ok {
		c, ok = g.grow(now, &p.durations, p.groupSize)
	}
	if !ok {
		c, ok = g.spread(now, &p.durations)
	}
	if !ok || !p.proposalDue(now, c) {
		return Change{}, false
	}
	p.proposedAt, p.lastChange = now, c
	return c, true
}

// lostMembers returns the members that count as lost, up to the tolerance.
func (p *Planner) lostMembers(now time.Duration, g *Group) (lost []string) {
	for _, addr := range g.Members {
		if m := g.machine(addr); len(lost) < p.maxReplacedAtOnce && m.lost(now, &p.durations) {
			lost = append(lost, addr)
		}
	}
	return lost
}

// due reports whether a change may be proposed: one on the members of the last one when that has timed out, another after the least time
// between two changes.
func (p *Planner) proposalDue(now time.Duration, c Change) bool {
	switch {
	case p.proposedAt == never:
		return true
	case slices.Equal(c.ExpectedMembers, p.lastChange.ExpectedMembers):
		return now >= p.proposedAt+p.durations.ChangeTimeout
	}
	return now >= p.proposedAt+p.durations.MinChangeInterval
}

// replace returns the change that replaces members by successors; ok is false where there is none. Members without a successor
// stay.
func (g *Group) replace(now time.Duration, t *timing.Replacement, lost []string) (c Change, ok bool) {
	c.ExpectedMembers = g.Members
	members := slices.Clone(g.Members)
	for _, addr := range lost {
		remaining := slices.DeleteFunc(slices.Clone(members), func(member string) bool { return member == addr })
		successor, found := g.successor(now, t, remaining)
		if !found {
			break
		}
		members = append(remaining, successor)
		c.Lost = append(c.Lost, addr)
		c.Successors = append(c.Successors, successor)
	}
	slices.Sort(members)
	c.Members = members
	return c, len(c.Lost) > 0
}

// grow returns the change that adds members up to a size, or to the highest odd number below it for which there are eligible machines: an
// even number bears no more losses than the odd one below it. Ok is false where there is nothing to add, or a change is under way.
func (g *Group) grow(now time.Duration, t *timing.Replacement, size int) (c Change, ok bool) {
	if len(g.PriorMembers) > 0 {
		return Change{}, false
	}
	c.ExpectedMembers = g.Members
	members := slices.Clone(g.Members)
	for len(members) < size {
		added, found := g.successor(now, t, members)
		if !found {
			break
		}
		members = append(members, added)
		c.Successors = append(c.Successors, added)
	}
	if len(members)%2 == 0 && len(c.Successors) > 0 {
		members = members[:len(members)-1]
		c.Successors = c.Successors[:len(c.Successors)-1]
	}
	slices.Sort(members)
	c.Members = members
	return c, len(c.Successors) > 0
}

// spread returns the change that replaces a member of the zone with the most members by a machine of a zone with the fewest, where that has
// at least two fewer: the first members are those that the settings name, which may all stand in one zone. Ok is false where there is none,
// or not every member is in order.
func (g *Group) spread(now time.Duration, t *timing.Replacement) (c Change, ok bool) {
	if len(g.PriorMembers) > 0 {
		return Change{}, false
	}
	membersPerZone := map[string]int{}
	for _, addr := range g.Members {
		m := g.machine(addr)
		if !m.CaughtUp || m.Zone == "" || !m.eligible(now, t) {
			return Change{}, false
		}
		membersPerZone[m.Zone]++
	}
	replaced := slices.MaxFunc(g.Members, func(a, b string) int {
		return cmp.Or(cmp.Compare(membersPerZone[g.machine(a).Zone], membersPerZone[g.machine(b).Zone]), cmp.Compare(a, b))
	})
	remaining := slices.DeleteFunc(slices.Clone(g.Members), func(member string) bool { return member == replaced })
	successor, found := g.successor(now, t, remaining)
	if !found || membersPerZone[g.machine(successor).Zone]+2 > membersPerZone[g.machine(replaced).Zone] {
		return Change{}, false
	}
	c = Change{ExpectedMembers: g.Members, Members: append(remaining, successor), Successors: []string{successor}}
	slices.Sort(c.Members)
	return c, true
}

// successor returns the eligible machine that joins the remaining members; ok is false where there is none. It prefers one in the zone
// that has the fewest of them, then one that has the committed value already.
func (g *Group) successor(now time.Duration, t *timing.Replacement, remaining []string) (addr string, ok bool) {
	var eligible []Machine
	for _, m := range g.Machines {
		if !slices.Contains(remaining, m.Addr) && !slices.Contains(g.Members, m.Addr) && m.eligible(now, t) {
			eligible = append(eligible, m)
		}
	}
	if len(eligible) == 0 {
		return "", false
	}
	membersPerZone := map[string]int{}
	for _, member := range remaining {
		membersPerZone[g.machine(member).Zone]++
	}
	best := slices.MinFunc(eligible, func(a, b Machine) int {
		return cmp.Or(
			cmp.Compare(membersPerZone[a.Zone], membersPerZone[b.Zone]),
			trueFirst(a.CaughtUp, b.CaughtUp),
			cmp.Compare(a.Addr, b.Addr),
		)
	})
	return best.Addr, true
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
