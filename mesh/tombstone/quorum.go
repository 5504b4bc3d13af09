package tombstone

import "slices"

// isQuorum reports whether machines include a majority of the members and, while a change of members is under way, of the prior members.
func (r *Replica) isQuorum(has func(machine string) bool) bool {
	return isMajority(r.members, has) && (len(r.priorMembers) == 0 || isMajority(r.priorMembers, has))
}

// isMajority reports whether more than half of the members are among the machines. It is false if there are no members.
func isMajority(members []string, has func(machine string) bool) bool {
	count := 0
	for _, member := range members {
		if has(member) {
			count++
		}
	}
	return count > len(members)/2
}

// voters returns the machines whose replies may count, without this one.
func (r *Replica) voters() []string {
	machines := slices.Concat(r.members, r.priorMembers)
	slices.Sort(machines)
	machines = slices.Compact(machines)
	return slices.DeleteFunc(machines, func(machine string) bool { return machine == r.self })
}

// others returns all other control machines that are known, members or not.
func (r *Replica) others() []string {
	machines := slices.Concat(r.voters(), r.peers)
	slices.Sort(machines)
	machines = slices.Compact(machines)
	return slices.DeleteFunc(machines, func(machine string) bool { return machine == r.self })
}
