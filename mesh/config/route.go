package config

import (
	"math"
	"strings"

	"github.com/go-faster/errors"
)

// urgencyFactor is the ratio of latency targets from which a route is urgent compared with another route to the same service (Route.Rank).
const urgencyFactor = 1.4

// Route is a validated route. It is immutable, and safe for concurrent use.
type Route struct {
	*RouteSpec
	// Services are the destinations of the route: at least one, with a positive total weight.
	Services []WeightedService
	// Rank is the priority at a server's admission; 0 is the highest. It is the route's precedence, except that urgent routes have rank 0. A
	// route is urgent if another route to the same service has a latency target that is longer by urgencyFactor. Requests of urgent routes can
	// wait least, and are mostly calls that a server makes for a request that it is working on.
	Rank int

	totalWeight float64
}

// newRoute validates a route.
func (c *Config) newRoute(spec *RouteSpec) (*Route, error) {
	prefix, action := spec.Match.Prefix, &spec.Action
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		return nil, invalid("sorting.lanePrefix", errors.Errorf("%q does not begin and end with a slash", prefix))
	}
	if err := spec.validate(); err != nil {
		return nil, err
	}
	r := &Route{RouteSpec: spec, Services: action.Split}
	if len(action.Split) == 0 {
		r.Services = []WeightedService{{Service: action.Service, Weight: 1}}
	} else if action.Service != "" {
		return nil, invalid("dispatch", errors.New("both line and split"))
	}
	for i, s := range r.Services {
		if c.Services[s.Service] == nil {
			return nil, invalid("dispatch", errors.Errorf("%w %q", ErrUnknownService, s.Service))
		}
		if !(s.Weight >= 0) || math.IsInf(s.Weight, 0) {
			return nil, errors.Errorf("dispatch.split[%d].share: %v", i, s.Weight)
		}
		r.totalWeight += s.Weight
	}
	if !(r.totalWeight > 0) {
		return nil, invalid("dispatch.split", errors.New("no share above 0"))
	}
	return r, nil
}

// assignRanks sets the ranks of all routes. Latency targets of routes with the highest precedence don't make others urgent.
func (c *Config) assignRanks() {
	longestTarget := map[string]float64{} // by service, of the routes with a precedence other than 0
	for r := range c.allRoutes() {
		r.Rank = r.Precedence
		if r.Precedence <= 0 {
			continue
		}
		for _, s := range r.Services {
			longestTarget[s.Service] = max(longestTarget[s.Service], r.LatencyTargetS)
		}
	}
	for r := range c.allRoutes() {
		for _, s := range r.Services {
			if r.LatencyTargetS*urgencyFactor <= longestTarget[s.Service] {
				r.Rank = 0
			}
		}
	}
}

// ChooseService picks a service by the weights. The fraction, from 0 to below 1, determines the choice: the same fraction picks the same
// service.
func (r *Route) ChooseService(fraction float64) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	fraction *= r.totalWeight
	last := ""
	for _, s := range r.Services {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if fraction -= s.Weight; fraction < 0 {
			break
		}
	}
	return last
}

// Allows reports whether requests of the route may go to a service.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Services {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind != Unsafe }

// share returns the share of the route's requests that go to a service, from 0 to 1.
func (r *Route) share(service string) (share float64) {
	for _, s := range r.Services {
		if s.Service == service {
			share += s.Weight / r.totalWeight
		}
	}
	return share
}
