// Package locality calculates how much of a zone's requests for a service stays in the zone. Traffic between zones has a cost, but a zone's
// servers should get no more than their fair share of the load: the rest is balanced over all zones. The package works on counts of
// sidecars and servers. All functions are pure.
//
// Start reading at LocalWeight.
package locality

const (
	// maxLocalShare is the maximum share of a zone's requests that stays in it. The rest measures the latency and errors of the other zones'
	// servers, and keeps connections to them open.
	maxLocalShare = 0.8
	// localCapacityShare is the maximum share of a zone's fair load that comes from the zone itself, as other zones send requests too.
	localCapacityShare = 0.9
)

// Zone has the counts of one zone, or of all zones together.
type Zone struct {
	Callers int // sidecars that send requests
	Slots   int // sum over the service's servers that accept requests
}

// LocalShare returns the share of a zone's requests for a service that should stay in it, from 0 to maxLocalShare. If all callers send
// requests at the same rate, no zone's servers get more from their own zone than localCapacityShare times their share of all slots.
func LocalShare(own, all Zone) float64 {
	if own.Slots <= 0 || own.Callers <= 0 || all.Slots <= 0 {
		return 0
	}
	slotShare := float64(own.Slots) / float64(all.Slots)
	callerShare := float64(own.Callers) / float64(all.Callers)
	return min(maxLocalShare, localCapacityShare*slotShare/callerShare)
}

// LocalWeight returns the weight of the own zone's servers, relative to all others, at which LocalShare of the requests stay in the zone.
// It is at least 1, or 0 if either the zone or all other zones have no slots.
func LocalWeight(own, all Zone) float64 {
	localShare := LocalShare(own, all)
	if localShare == 0 || own.Slots >= all.Slots {
		return 0
	}
	slotShare := float64(own.Slots) / float64(all.Slots)
	return max(1, localShare*(1-slotShare)/(slotShare*(1-localShare)))
}
