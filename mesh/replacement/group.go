package replacement

import (
	"slices"
	"time"

	"firplank/mesh/timing"
)

// Machine is the observed state of a control machine.
type Machine struct {
	Addr        string
	Zone        string        // the failure domain
	LastContact time.Duration // when its last message or hello was received; 0: never
	Connected   bool          // a connection to it is established
	Voter       bool          // its replica of the register takes part in quorums
	Draining    bool          // it is shutting down
	DiskFailed  bool          // its disk refuses writes or stalls
	CaughtUp    bool          // its disk has the committed value, by its last hello
}

// lost reports whether a member counts as lost. One that is still connected is slow, not lost, until its process has been silent for so
// long that it is taken for frozen.
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

// Group is the members of the register, and the observed state of all control machines, including the one that decides.
type Group struct {
	Members      []string
	PriorMembers []string // the members before, while a change is under way
	Machines     []Machine
}

// machine returns the observed state of a machine; of an unknown one, only its address.
func (g *Group) machine(addr string) Machine {
	for _, m := range g.Machines {
		if m.Addr == addr {
			return m
		}
	}
	return Machine{Addr: addr}
}

// isMember reports whether a machine is a member, or a prior member while a change is under way.
func (g *Group) isMember(addr string) bool {
	return slices.Contains(g.Members, addr) || slices.Contains(g.PriorMembers, addr)
}

// Change is a change of members.
type Change struct {
	ExpectedMembers []string // it was decided on these, and must have no effect on others
	Members         []string // the new members, sorted
	Lost            []string // the members that are replaced because they are lost; none where the group grows or is spread over zones
	Successors      []string // the machines that replace them, in the same order, or that are added
}
