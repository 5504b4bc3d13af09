package register

import (
	"cmp"
	"maps"
	"slices"
)

// maxOtherIncarnations bounds the incarnations that are kept of machines that are neither members nor prior members.
const maxNonMemberIncarnations = 64

// highestIncarnation returns the highest incarnation that a voter knows, or knew and dropped. A machine that rejoins takes an incarnation
// above that of each voter that replied. So each is above the machine's earlier ones, even where those were dropped, and they rise with
// time.
func highestIncarnation(incarnations map[string]uint32, floor uint32) uint32 {
	highest := floor
	for _, incarnation := range incarnations {
		highest = max(highest, incarnation)
	}
	return highest
}

// recordIncarnation stores a machine's new incarnation. The map is replaced, not changed: messages and states that are being written share
// it.
func (r *Replica) recordIncarnation(machine string, incarnation uint32) {
	if incarnation <= r.state.Incarnations[machine] {
		return
	}
	r.state.Incarnations = maps.Clone(r.state.Incarnations)
	r.state.Incarnations[machine] = incarnation
	r.pruneIncarnations()
	r.markStateChanged()
}

// pruneIncarnations keeps the stored incarnations within their bound. Those of members and prior members always stay.
func (r *Replica) pruneIncarnations() {
	newest := r.newestValue()
	keep := slices.Concat(newest.Members, newest.PriorMembers)
	r.state.Incarnations, r.state.IncarnationFloor =
		pruneIncarnations(r.state.Incarnations, r.state.IncarnationFloor, keep, maxNonMemberIncarnations)
}

// pruneIncarnations drops the lowest incarnations, which are the oldest, of machines other than those to keep, until at most limit of them
// are left, and returns what remains with the floor raised to those that were dropped. It changes no argument.
//
// A reply from an incarnation whose successor was dropped could count again only in a round that the machine answered before its disk was
// emptied, and that lasts while as many other machines as the limit rejoin. A round ends within a second.
func pruneIncarnations(incarnations map[string]uint32, floor uint32, keep []string, limit int) (map[string]uint32, uint32) {
	var prunable []string
	for machine := range incarnations {
		if !slices.Contains(keep, machine) {
			prunable = append(prunable, machine)
		}
	}
	if len(prunable) <= limit {
		return incarnations, floor
	}
	slices.SortFunc(prunable, func(a, b string) int {
		return cmp.Or(cmp.Compare(incarnations[a], incarnations[b]), cmp.Compare(a, b))
	})
	incarnations = maps.Clone(incarnations)
	for _, machine := range prunable[:len(prunable)-limit] {
		floor = max(floor, incarnations[machine])
		delete(incarnations, machine)
	}
	return incarnations, floor
}
