// Package shed reckons what shedding can win on a day of overload: the most worth that anyone could have served who knew all
// requests ahead (Most), and what a way of turning requests away serves of it against the laboratory's models of servers, in
// virtual time, with clients that try again (Play). No sockets, no processes: what a way decides is all that differs.
//
// Begin with Compare.
package shed

import (
	"cmp"
	"slices"
	"time"

	"firplank/lab/scenario"
)

// slice is the time over which capacity is filled; what is carried over from one to the next is a matter of aims.
const sliceLength = 20 * time.Millisecond

// Most is the worth that an omniscient shedder serves of a plan at the most, and what all of it is worth. It fills the fleet's
// capacity, and the processor's, with the requests of the most worth for their work, each within its aim. byClass says
// that it knows of a request's work no more than its class, as any real one; else it knows the work of each. It is a bound:
// parts of requests count, servers lose nothing by crowding, and first tries are all there is.
func MaxWorth(s *scenario.Scenario, plan *scenario.Plan, byClass bool, cost time.Duration) (served, all float64) {
	n := int(s.Length()/sliceLength) + 1 + int(longestLatencyTarget(s)/sliceLength)
	fleet, processor := make([]float64, n), make([]float64, n)
	for i := range n {
		fleet[i] = s.Capacity() * sliceLength.Seconds()
		processor[i] = sliceLength.Seconds() * max(s.Limits.Cores*float64(s.Sidecars), 1e-9)
		if s.Limits.Cores <= 0 || cost <= 0 {
			processor[i] = 1e18
		}
	}
	items, all := planItems(s, plan, byClass, n)
	each := cost.Seconds()
	for _, it := range items {
		part := 0.0
		for i := it.to; i >= it.from && part < 1-1e-9; i-- { // the latest first, which leaves room for those that cannot wait
			take := min(1-part, fleet[i]/it.work)
			if each > 0 {
				take = min(take, processor[i]/each)
			}
			part += take
			fleet[i] -= take * it.work
			processor[i] -= take * each
		}
		served += part * it.worth
	}
	return served, all
}

// item is a request as the bound sees it: its worth, its seconds of work, and the slices in which that may be done.
type item struct {
	worth, work float64
	from, to    int
}

// itemsOf returns the requests of a plan over n slices, those of the most worth for their work first, and the worth of all.
func planItems(s *scenario.Scenario, plan *scenario.Plan, byClass bool, n int) (items []item, all float64) {
	items = make([]item, 0, len(plan.Arrivals))
	for i := range plan.Arrivals {
		a := &plan.Arrivals[i]
		c := &s.Classes[a.Class]
		work := c.WorkMS / 1000
		if !byClass {
			w, _ := s.Work(a.Class, a.Trace(s.Seed, 0))
			work = max(w.Seconds(), 1e-6)
		}
		// The last of its work is done a wait on others before its aim.
		last := a.At + max(sliceLength, scenario.MS(c.AimMS-c.WaitMS))
		items = append(items, item{c.Worth, work, int(a.At / sliceLength), min(n-1, int(last/sliceLength))})
		all += c.Worth
	}
	slices.SortStableFunc(items, func(a, b item) int { return cmp.Compare(b.worth/b.work, a.worth/a.work) })
	return items, all
}

func longestLatencyTarget(s *scenario.Scenario) (longest time.Duration) {
	for i := range s.Classes {
		longest = max(longest, scenario.MS(s.Classes[i].AimMS))
	}
	return longest
}
