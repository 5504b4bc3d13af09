package config

import (
	"fmt"
	"math"

	"github.com/go-faster/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// Bounds of a configuration. A configuration beyond any of them is rejected.
const (
	// MaxBytes bounds the text of a configuration.
	MaxBytes = 8 << 20
	// MaxRoutes bounds the routes of all virtual hosts together.
	MaxRoutes = 20000
	// MaxServices bounds the services.
	MaxServices = 2000
)

// Kind states whether the requests of a route are idempotent (the users' page on requests).
type Kind string

// The kinds of routes.
const (
	// Safe means that a request may run more than once.
	Safe Kind = "safe"
	// Unsafe means that a request runs at most once for each attempt of its client.
	Unsafe Kind = "unsafe"
	// Download is like Safe, with large responses.
	Download Kind = "download"
)

// Document is the JSON form of a configuration, as operators write it. Its keys are those of the users' pages; unknown ones are ignored.
type Document struct {
	// Version is eight hexadecimal digits; the highest version is in force.
	Version      string        `json:"edition"`
	Limits       ClientLimits  `json:"caps"`
	VirtualHosts []VirtualHost `json:"gates"`
	Services     []Service     `json:"fleets"`
}

// ClientLimits bound the requests and connections of clients. 0 means unbounded.
type ClientLimits struct {
	// HeaderBytes bounds the request line and the headers of a request.
	HeaderBytes int `json:"envelopeBytes"`
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `json:"contentsBytes"`
	// HeaderTimeoutS is the time, in seconds, within which a client has to send the headers.
	HeaderTimeoutS float64 `json:"envelopeS"`
	// IdleTimeoutS is the time, in seconds, that a client may keep a connection idle.
	IdleTimeoutS float64 `json:"idleS"`
}

// VirtualHost is a host, as the Host header names it, with its routes. One host may be listed several times.
type VirtualHost struct {
	Host   string      `json:"depot"`
	Routes []RouteSpec `json:"regulations"`
}

// RouteSpec is a route as it is configured.
type RouteSpec struct {
	Name string `json:"name"`
	Kind Kind   `json:"routeKind"`
	// LatencyTargetS is the time, in seconds, within which a response has its full value.
	LatencyTargetS float64 `json:"targetS"`
	// Precedence is the priority of the route's requests; 0 is the highest.
	Precedence int         `json:"precedence"`
	Match      PathMatch   `json:"sorting"`
	Action     RouteAction `json:"dispatch"`
}

// PathMatch is a condition on the path of a request.
type PathMatch struct {
	// Prefix begins and ends with a slash. A request matches the route of its host with the longest matching prefix.
	Prefix string `json:"lanePrefix"`
}

// RouteAction is the destination of a route: one service, or several by their weights.
type RouteAction struct {
	// Service is set where Split is empty.
	Service string            `json:"line"`
	Split   []WeightedService `json:"split"`
	// TimeoutS is the longest time, in seconds, that a request may take.
	TimeoutS float64 `json:"deadlineS"`
	// MaxAttempts bounds the number of servers to which a request may be sent.
	MaxAttempts int `json:"attempts"`
}

// WeightedService is a service of a split. Weights are relative: their sum need not be 1 or 100.
type WeightedService struct {
	Service string  `json:"line"`
	Weight  float64 `json:"share"`
}

// Service is a group of servers that requests can be routed to.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the servers' health check.
	HealthPath string `json:"healthPath"`
	// MaxConns bounds the connections that a server accepts from all callers together.
	MaxConns int `json:"maxConns"`
}

// checkLists reports a list that is not there. Without one, a configuration would remove all that the list had.
func (d *Document) checkLists() error {
	switch {
	case d.VirtualHosts == nil:
		return invalid("gates", ErrMissing)
	case d.Services == nil:
		return invalid("fleets", ErrMissing)
	}
	for i := range d.VirtualHosts {
		if d.VirtualHosts[i].Routes == nil {
			return invalid(fmt.Sprintf("gates[%d].regulations", i), ErrMissing)
		}
	}
	return nil
}

// Validate implements validation.Validatable.
func (l ClientLimits) Validate() error {
	return validation.ValidateStruct(&l,
		validation.Field(&l.HeaderBytes, validation.Min(0)),
		validation.Field(&l.BodyBytes, validation.Min(0)),
		validation.Field(&l.HeaderTimeoutS, validation.By(finite), validation.Min(0.)),
		validation.Field(&l.IdleTimeoutS, validation.By(finite), validation.Min(0.)),
	)
}

// validate checks the fields of a route that don't depend on the rest of the configuration. Valid routes are recognised without
// reflection, as configurations hold thousands of them.
func (r *RouteSpec) validate() error {
	if r.certainlyValid() {
		return nil
	}
	if err := validation.ValidateStruct(r,
		validation.Field(&r.Kind, validation.Required, validation.In(Safe, Unsafe, Download)),
		validation.Field(&r.LatencyTargetS, validation.By(finite), validation.Min(0.)),
	); err != nil {
		return err
	}
	a := &r.Action
	err := validation.ValidateStruct(a,
		validation.Field(&a.TimeoutS, validation.Required, validation.By(finite), validation.Min(0.).Exclusive()),
		validation.Field(&a.MaxAttempts, validation.Required, validation.Min(1)),
	)
	if err != nil {
		return invalid("dispatch", err)
	}
	return nil
}

// certainlyValid reports whether a route certainly passes validate. A route for which it returns false may pass, too.
func (r *RouteSpec) certainlyValid() bool {
	switch r.Kind {
	case Safe, Unsafe, Download:
	default:
		return false
	}
	return r.LatencyTargetS >= 0 && r.LatencyTargetS < math.MaxFloat32 &&
		r.Action.TimeoutS > 0 && r.Action.TimeoutS < math.MaxFloat32 && r.Action.MaxAttempts >= 1
}

var errNotFinite = errors.New("is not a finite number")

// finite is a rule of package validation for values of type float64.
func finite(value any) error {
	if v, ok := value.(float64); !ok || math.IsNaN(v) || math.IsInf(v, 0) {
		return errNotFinite
	}
	return nil
}
