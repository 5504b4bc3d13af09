package register

import (
	"cmp"
	"maps"
	"slices"
)

// maxNonMemberIncarnations limits the stored incarnations of machines that are neither members nor prior members.
const maxNonMemberIncarnations = 64

// highestIncarnation returns the highest incarnation that a voter has stored, or has stored and dropped. A machine that rejoins takes an
// incarnation above the highest one of each voter that replied. Therefore it is above the machine's earlier ones, even if those were
// dropped, and incarnations rise with time.
func highestIncarnation(incarnations map[string]uint32, floor uint32) uint32 {
	highest := floor
	for _, incarnation := range incarnations {
		highest = max(highest, incarnation)
	}
	return highest
}

// recordIncarnation stores a machine's new incarnation. The map is replaced and not changed, because messages and states that are being
// written share it.
func (r *Replica) recordIncarnation(machine string, incarnation uint32) {
	if incarnation <= r.state.Incarnations[machine] {
		return
	}
	r.state.Incarnations = maps.Clone(r.state.Incarnations)
	r.state.Incarnations[machine] = incarnation
	r.pruneIncarnations()
	r.markStateChanged()
}

// pruneIncarnations limits the stored incarnations. Those of members and prior members are always kept.
func (r *Replica) pruneIncarnations() {
	newest := r.newestValue()
	keep := slices.Concat(newest.Members, newest.PriorMembers)
	r.state.Incarnations, r.state.IncarnationFloor =
		pruneIncarnations(r.state.Incarnations, r.state.IncarnationFloor, keep, maxNonMemberIncarnations)
}

// pruneIncarnations drops the lowest incarnations, which are the oldest, of machines that are not in keep, until at most limit of them are
// left. It returns the remaining incarnations, and the floor raised to the dropped ones. It does not change its arguments.
//
// A reply from an incarnation whose successor was dropped could be counted again only in a round that the machine answered before its disk
// was emptied, and that lasts until as many other machines as the limit have rejoined. A round ends within a second.
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
