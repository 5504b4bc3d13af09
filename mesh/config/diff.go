package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is a difference of one route between two configurations.
type Change struct {
	Host, Prefix string
	// Description is text for operators.
	Description string
	// MovedShare is the share, from 0 to 1, of the route's requests that go to another service. It is 1 for a route that is added or removed
	// while no other route matches its requests.
	MovedShare float64
}

// routeKey identifies a route within a configuration.
type routeKey struct{ host, prefix string }

func compareKeys(a, b routeKey) int {
	return slices.Compare([]string{a.host, a.prefix}, []string{b.host, b.prefix})
}

// Diff returns the changes from one configuration to another, sorted by host and prefix. If the requests of a route that is added or
// removed match a route with a shorter prefix in the other configuration, the description names that route.
func Diff(from, to *Config) []Change {
	keys := map[routeKey]struct{}{}
	for _, c := range []*Config{from, to} {
		for host, routes := range c.hosts {
			for prefix := range routes {
				keys[routeKey{host, prefix}] = struct{}{}
			}
		}
	}
	var changes []Change
	for _, key := range slices.SortedFunc(maps.Keys(keys), compareKeys) {
		if change := diffRoute(from, to, key); change.Description != "" {
			changes = append(changes, change)
		}
	}
	return changes
}

// diffRoute compares one route. The description is empty if the route is the same in both configurations.
func diffRoute(from, to *Config, key routeKey) Change {
	change := Change{Host: key.host, Prefix: key.prefix}
	before, after := from.hosts[key.host][key.prefix], to.hosts[key.host][key.prefix]
	switch {
	case before == nil:
		change.Description, change.MovedShare = "comes, to "+after.destinations(), 1
		if before = from.Match(key.host, key.prefix); before != nil {
			change.Description += "; until now its requests go by " + before.Match.Prefix + " to " + before.destinations()
			change.MovedShare = movedShare(before, after)
		}
	case after == nil:
		change.Description, change.MovedShare = "goes", 1
		if after = to.Match(key.host, key.prefix); after != nil {
			change.Description += "; from then on its requests go by " + after.Match.Prefix + " to " + after.destinations()
			change.MovedShare = movedShare(before, after)
		}
	default:
		change.Description, change.MovedShare = describeChange(before, after), movedShare(before, after)
	}
	return change
}

// destinations describes the services of a route, with their shares if there are several.
func (r *Route) destinations() string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	var parts []string
	for _, s := range r.Services {
		parts = append(parts, fmt.Sprintf("%s %.3g%%", s.Service, 100*s.Weight/r.totalWeight))
	}
	return strings.Join(parts, ", ")
}

// movedShare returns the share of the requests that has to move to another service at least. More may move, as ChooseService maps
// fractions to services in the order of the split.
func movedShare(before, after *Route) (moved float64) {
	seen := map[string]bool{}
	for _, s := range before.Services {
		if !seen[s.Service] {
			seen[s.Service] = true
			moved += max(0, before.share(s.Service)-after.share(s.Service))
		}
	}
	return moved
}

// describeChange lists the properties of a route that differ. It returns an empty text if there are none.
func describeChange(before, after *Route) string {
	var parts []string
	add := func(property string, old, now any) {
		if old != now {
			parts = append(parts, fmt.Sprintf("%s %v, was %v", property, now, old))
		}
	}
	add("to", before.destinations(), after.destinations())
	add("kind", before.Kind, after.Kind)
	add("time-out in s", before.Action.TimeoutS, after.Action.TimeoutS)
	add("attempts", before.Action.MaxAttempts, after.Action.MaxAttempts)
	add("aim in s", before.LatencyTargetS, after.LatencyTargetS)
	add("precedence", before.Precedence, after.Precedence)
	return strings.Join(parts, "; ")
}

// UnusedServices returns the names of the services that no route leads to, sorted.
func (c *Config) UnusedServices() []string {
	used := map[string]bool{}
	for r := range c.allRoutes() {
		for _, s := range r.Services {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	var unused []string
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if !used[name] {
			unused = append(unused, name)
		}
	}
	return unused
}
