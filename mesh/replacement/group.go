package replacement

import (
	"slices"
	"time"

	"firplank/mesh/timing"
)

// Machine is the observed state of a control machine.
type Machine struct {
	Addr        string
	Zone        string        // its failure domain
	LastContact time.Duration // when its last message or hello was received; 0: never
	Connected   bool          // a connection to it is established
	Voter       bool          // its replica of the register votes in quorums
	Draining    bool          // it is shutting down
	DiskFailed  bool          // its disk rejects writes or stalls
	CaughtUp    bool          // its disk has the committed value, according to its last hello
}

// lost reports whether a member counts as lost. A member that is still connected counts as slow until FrozenTimeout, after which its
// process is assumed to be frozen.
func (m *Machine) lost(now time.Duration, t *timing.Replacement) bool {
	timeout := t.DetectionTimeout
	if m.Connected {
		timeout = t.FrozenTimeout
	}
	return now-m.LastContact > timeout
}

// eligible reports whether a machine may become a member.
func (m *Machine) eligible(now time.Duration, t *timing.Replacement) bool {
	return m.Connected && now-m.LastContact < t.MaxContactAge && m.Voter && !m.Draining && !m.DiskFailed
}

// Group holds the members of the register and the observed state of all control machines, including the one that decides.
type Group struct {
	Members      []string
	PriorMembers []string // the previous members, while a change is in progress
	Machines     []Machine
}

// machine returns the observed state of a machine. For an unknown machine only the address is set.
func (g *Group) machine(addr string) Machine {
	for _, m := range g.Machines {
		if m.Addr == addr {
			return m
		}
	}
	return Machine{Addr: addr}
}

// isMember reports whether a machine is a member, or a prior member while a change is in progress.
func (g *Group) isMember(addr string) bool {
	return slices.Contains(g.Members, addr) || slices.Contains(g.PriorMembers, addr)
}

// Change is a change of members.
type Change struct {
	ExpectedMembers []string // the present members; the change must have no effect if they differ
	Members         []string // the new members, sorted
	Lost            []string // the members that are replaced because they are lost; empty if the change only adds or spreads members
	Successors      []string // the machines that replace the lost members, in the same order, or that are added
}
