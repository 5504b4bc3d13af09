package soak

import (
	"encoding/json"
	"fmt"

	"firplank/mesh/configversion"
)

// The mesh's services, and the routes to them. Each version of the configuration adds a marker route, which shows whether that version or
// a later one is in force. A configuration contains the marker routes of the last keptMarkers versions.
const (
	host          = "plates.example"
	safeService   = "records"
	unsafeService = "registry"
	safePrefix    = "/look/"
	filePrefix    = "/file/"
	splitPrefix   = "/either/" // split between both services by splitShares
	pullPrefix    = "/pull/"   // a route for downloads
	keptMarkers   = 40
)

// splitShares are the weights of the services on the route with splitPrefix.
var splitShares = map[string]int{safeService: 60, unsafeService: 40}

// markerPrefix returns the prefix of a version's marker route.
func markerPrefix(version configversion.Version) string {
	return fmt.Sprintf("/since-%d/", version.Number())
}

type (
	routeJSON struct {
		Name       string     `json:"name"`
		Kind       string     `json:"routeKind"`
		TargetS    float64    `json:"targetS"`
		Precedence int        `json:"precedence"`
		Match      matchJSON  `json:"sorting"`
		Action     actionJSON `json:"dispatch"`
	}
	matchJSON struct {
		Prefix string `json:"lanePrefix"`
	}
	actionJSON struct {
		Service  string      `json:"line,omitempty"`
		Split    []splitJSON `json:"split,omitempty"`
		TimeoutS float64     `json:"deadlineS"`
		Attempts int         `json:"attempts"`
	}
	splitJSON struct {
		Service string `json:"line"`
		Share   int    `json:"share"`
	}
	serviceJSON struct {
		Name       string `json:"name"`
		HealthPath string `json:"healthPath"`
		MaxConns   int    `json:"maxConns"`
	}
	hostJSON struct {
		Host   string      `json:"depot"`
		Routes []routeJSON `json:"regulations"`
	}
	configJSON struct {
		Version  string         `json:"edition"`
		Comment  string         `json:"comment,omitempty"` // makes two contents of one version differ
		Caps     map[string]int `json:"caps"`
		Hosts    []hostJSON     `json:"gates"`
		Services []serviceJSON  `json:"fleets"`
	}
)

// configuration returns the configuration of a version in JSON. Different comments give different contents of the same version.
func configuration(version configversion.Version, comment string) []byte {
	routes := []routeJSON{
		route("look", "safe", safePrefix, safeService, 2),
		route("file", "unsafe", filePrefix, unsafeService, 1),
		route("pull", "download", pullPrefix, safeService, 2),
		splitRoute(),
	}
	for v := configversion.Of(max(version.Number(), keptMarkers) - keptMarkers); v <= version; v++ {
		routes = append(routes, route(fmt.Sprintf("since-%d", v.Number()), "safe", markerPrefix(v), safeService, 2))
	}
	text, err := json.Marshal(configJSON{
		Version:  version.String(),
		Comment:  comment,
		Caps:     map[string]int{},
		Hosts:    []hostJSON{{host, routes}},
		Services: []serviceJSON{{safeService, "/health", 100}, {unsafeService, "/health", 100}},
	})
	if err != nil {
		panic(err) // plain structs can be encoded
	}
	return text
}

// routeTimeoutS is the time-out of all routes, in seconds.
const routeTimeoutS = 3

func route(name, kind, prefix, service string, attempts int) routeJSON {
	return routeJSON{
		Name: name, Kind: kind, TargetS: 0.5, Precedence: 1, Match: matchJSON{prefix},
		Action: actionJSON{Service: service, TimeoutS: routeTimeoutS, Attempts: attempts},
	}
}

// splitRoute returns the route that is split between both services.
func splitRoute() routeJSON {
	r := route("either", "safe", splitPrefix, "", 2)
	for _, service := range []string{safeService, unsafeService} {
		r.Action.Split = append(r.Action.Split, splitJSON{service, splitShares[service]})
	}
	return r
}

// invalidConfiguration returns a configuration that must be rejected: truncated JSON for even variants, an unknown service for odd ones.
func invalidConfiguration(version configversion.Version, variant int) []byte {
	text := configuration(version, "")
	if variant%2 == 0 {
		return text[:len(text)/2]
	}
	bad := configJSON{
		Version: version.String(), Caps: map[string]int{},
		Hosts: []hostJSON{{host, []routeJSON{route("look", "safe", safePrefix, "nobody", 2)}}},
	}
	text, err := json.Marshal(bad)
	if err != nil {
		panic(err) // plain structs can be encoded
	}
	return text
}
