// Package shed compares load shedding policies in an overload scenario. MaxWorth computes an upper bound of the worth that can be
// served with knowledge of all requests in advance. Play simulates a policy against the laboratory's server models, in virtual
// time and with clients that retry. There are no sockets or processes, so that results differ only by the policy's decisions.
//
// Begin with Compare.
package shed

import (
	"cmp"
	"slices"
	"time"

	"firplank/lab/scenario"
)

// sliceLength is the granularity at which the bound assigns capacity. Latency targets decide in which slices a request can run.
const sliceLength = 20 * time.Millisecond

// MaxWorth returns an upper bound of the worth that a policy with knowledge of all arrivals can serve of a plan, and the worth of
// all its requests. It assigns the capacity of the fleet, and of the sidecars' processors at the given cost per request, to the
// requests with the highest worth per work, each within its latency target. With byClass it uses the mean work of a request's
// class, as a real policy has to; otherwise the work of each request. It is a bound because parts of requests count, servers
// don't lose capacity by thrashing, and there are no retries.
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
		for i := it.to; i >= it.from && part < 1-1e-9; i-- { // latest slice first, which leaves the earlier ones to more urgent requests
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

// item is a request of the plan: its worth, its work in seconds, and the slices in which it can run.
type item struct {
	worth, work float64
	from, to    int
}

// planItems returns the requests of a plan over n slices, by descending worth per work, and the worth of all of them.
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
		// The work has to end before the latency target by the time of the wait on other services.
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
