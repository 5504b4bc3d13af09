package replacement

import (
	"cmp"
	"slices"
	"time"

	"firplank/mesh/timing"
)

// never is the time of an event that has not happened.
const never = time.Duration(-1)

// minMembers is the least size of a group.
const minMembers = 3

// GroupSize returns the number of members for which a majority is left when as many members are lost as the tolerance says. This also holds
// when members lose their disks, because a member with an empty disk has no vote until a majority of the others has replied to it.
func GroupSize(tolerance int) int { return max(minMembers, 2*tolerance+1) }

// Planner decides on changes of members, at the machine that holds the lease. It is not safe for concurrent use.
type Planner struct {
	durations         timing.Replacement
	maxReplacedAtOnce int // by one change
	groupSize         int // target number of members

	proposedAt time.Duration // when lastChange was proposed; never: there is none
	lastChange Change
}

// NewPlanner returns a planner that replaces up to tolerance members (at least one) by one change, and adds members up to the GroupSize of
// the tolerance.
func NewPlanner(t timing.Replacement, tolerance int) *Planner {
	return &Planner{durations: t, maxReplacedAtOnce: max(1, tolerance), groupSize: GroupSize(tolerance), proposedAt: never}
}

// Decide returns the change of members to propose now, and false if there is none. The caller must hold the lease. The time counts from the
// start of the caller's process.
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

// lostMembers returns the members that count as lost, up to maxReplacedAtOnce.
func (p *Planner) lostMembers(now time.Duration, g *Group) (lost []string) {
	for _, addr := range g.Members {
		if m := g.machine(addr); len(lost) < p.maxReplacedAtOnce && m.lost(now, &p.durations) {
			lost = append(lost, addr)
		}
	}
	return lost
}

// proposalDue reports whether a change may be proposed. A change of the same members as the last one may be proposed when the last one has
// timed out, any other after MinChangeInterval.
func (p *Planner) proposalDue(now time.Duration, c Change) bool {
	switch {
	case p.proposedAt == never:
		return true
	case slices.Equal(c.ExpectedMembers, p.lastChange.ExpectedMembers):
		return now >= p.proposedAt+p.durations.ChangeTimeout
	}
	return now >= p.proposedAt+p.durations.MinChangeInterval
}

// replace returns the change that replaces lost members by successors, and false if there is none. Members without a successor stay.
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
// even number tolerates no more losses than the odd number below it. It returns false if no member can be added or a change is in progress.
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

// spread returns the change that replaces a member in the zone with the most members by a machine in the zone with the fewest, if that has
// at least two fewer. The initial members are those that the settings name, which may all be in one zone. It returns false if there is no
// such change, a change is in progress, or a member is not eligible or not caught up.
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

// successor returns the eligible machine that is to join the remaining members, and false if there is none. It prefers a machine in the
// zone with the fewest of them, then one that already has the committed value.
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
