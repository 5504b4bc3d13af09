// Package locality decides how much of a zone's requests for a service stays in the zone. Traffic between zones has a cost, but a zone's
// servers should get no more than their part of the whole load: what exceeds it is balanced over all zones. The package knows counts only,
// neither servers nor requests. All functions are pure.
//
// Start reading at LocalWeight.
package locality

const (
	// maxLocalShare is the part of a zone's requests that stays in it at most: the rest shows how the other zones' servers perform, and
	// keeps connections to them open.
	maxLocalShare = 0.8
	// localCapacityShare is the part of its fair load that a zone's own requests may give its servers; requests of other zones come on top.
	localCapacityShare = 0.9
)

// Zone counts what there is in one zone, or in all of them.
type Zone struct {
	Callers int // sidecars that send requests
	Slots   int // of the service's servers that accept requests
}

// LocalShare is the part of a zone's requests for a service that should stay in it, from 0 to maxLocalShare, by what there is in the zone
// and in all zones together. If requests come evenly from all callers, no zone's servers get more from their own zone than
// localCapacityShare times their part of all slots.
func LocalShare(own, all Zone) float64 {
	if own.Slots <= 0 || own.Callers <= 0 || all.Slots <= 0 {
		return 0
	}
	slotShare := float64(own.Slots) / float64(all.Slots)
	callerShare := float64(own.Callers) / float64(all.Callers)
	return min(maxLocalShare, localCapacityShare*slotShare/callerShare)
}

// LocalWeight is the factor for the weight of the own zone's servers by which LocalShare of the requests stay, if all other servers have
// the weight 1. It is at least 1, or 0 where there is nothing to prefer.
func LocalWeight(own, all Zone) float64 {
	localShare := LocalShare(own, all)
	if localShare == 0 || own.Slots >= all.Slots {
		return 0
	}
	slotShare := float64(own.Slots) / float64(all.Slots)
	return max(1, localShare*(1-slotShare)/(slotShare*(1-localShare)))
}
