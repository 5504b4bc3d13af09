package dataplane

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"

	"firplank/internal/strictjson"
	"firplank/mesh/admission"
	"firplank/mesh/api"
)

// maxServerIDLength bounds the ID of a server.
const maxServerIDLength = 200

// errNotDurable is the response to a server's leave that is not known to be on the disks of a majority of the control machines.
var errNotDurable = errors.New("it is not on a majority of disks yet")

// shutdownRetryAfter is the Retry-After of a leave that timed out.
const shutdownRetryAfter = 200 * time.Millisecond

// errServerIDTooLong is the response to an ID above maxServerIDLength.
var errServerIDTooLong = errors.New("id: too long")

// heartbeatRequest is the body of a server's heartbeat. The tags are the users' names.
type heartbeatRequest struct {
	Service     string  `json:"line"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Edition     string  `json:"edition"`
	Slots       int     `json:"berths"`
	Condition   string  `json:"condition"`
	WarmUpLeftS float64 `json:"coldLeftS"`
	// Sequence is nil in a heartbeat without a number.
	Sequence *uint64 `json:"sequence"`
}

// Conditions in a heartbeat, in the users' terms.
const (
	conditionAccepting = "accepting"
	conditionDraining  = "closing"
)

// Bounds of the fields of a heartbeat.
const (
	maxServiceLength = 200
	maxVersionLength = 200
	maxSlots         = 60000
	maxWarmUpS       = 3600.
)

// Validate implements validation.Validatable.
func (r heartbeatRequest) Validate() error {
	return validation.ValidateStruct(&r,
		validation.Field(&r.Service, validation.Required, validation.Length(1, maxServiceLength)),
		validation.Field(&r.Edition, validation.Length(0, maxVersionLength)),
		validation.Field(&r.Slots, validation.Min(0), validation.Max(maxSlots)),
		validation.Field(&r.Condition, validation.Required, validation.In(conditionAccepting, conditionDraining)),
		validation.Field(&r.WarmUpLeftS, validation.Min(0.), validation.Max(maxWarmUpS)),
	)
}

// serverRecord has the sidecar's state of the local server. Its methods are safe for concurrent use, and report whether
// the state has changed.
type serverRecord interface {
	handleHeartbeat(h admission.Heartbeat) (changed bool)
	serverLeft(id string) (changed bool)
}

// serverAPI serves the calls of the local server: heartbeats, and the leave by which it deregisters.
type serverAPI struct {
	record   serverRecord
	service  *atomic.Pointer[string] // of the server, from its heartbeats
	onChange func()                  // called after a change, on the goroutine of the call
	// recordShutdown announces the server's state if it has changed, and reports whether the server's shutdown is durable.
	recordShutdown func(id string, changed bool) (durable bool)
}

// router returns the router of the calls, whose paths have the users' names.
func (a *serverAPI) router() *api.Router {
	r := &api.Router{}
	r.Handle(http.MethodPost, "/Servers.Beat/*", a.heartbeat)
	r.Handle(http.MethodPost, "/Servers.Leave/*", a.leave)
	return r
}

func (a *serverAPI) heartbeat(c *api.Request) api.Response {
	var r heartbeatRequest
	if err := strictjson.Unmarshal(c.Body, &r); err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err)
	}
	if err := r.Validate(); err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err)
	}
	id := c.Args[0]
	if len(id) > maxServerIDLength {
		return api.ErrorResponse(http.StatusBadRequest, errServerIDTooLong)
	}
	h := admission.Heartbeat{
		ServerID:   id,
		Service:    r.Service,
		Version:    r.Edition,
		Slots:      r.Slots,
		Closing:    r.Condition == conditionDraining,
		WarmUpLeft: time.Duration(r.WarmUpLeftS * float64(time.Second)),
	}
	if r.Sequence != nil {
		h.Sequence = admission.NewSequence(*r.Sequence)
	}
	changed := a.record.handleHeartbeat(h)
	if changed {
		a.service.Store(&r.Service)
	}
	switch {
	case r.Condition == conditionDraining:
		return a.acknowledgeLeave(id, changed)
	case changed:
		a.onChange()
	}
	return api.JSONResponse(http.StatusOK, struct{}{})
}

func (a *serverAPI) leave(c *api.Request) api.Response {
	id := c.Args[0]
	if len(id) > maxServerIDLength {
		return api.ErrorResponse(http.StatusBadRequest, errServerIDTooLong)
	}
	return a.acknowledgeLeave(id, a.record.serverLeft(id))
}

// acknowledgeLeave acknowledges that a server leaves, or is draining, once that is durable: the acknowledgement binds whichever processes
// are killed next, this sidecar's included. Until then the server is asked to retry. In either case it gets no more requests.
func (a *serverAPI) acknowledgeLeave(id string, changed bool) api.Response {
	if !a.recordShutdown(id, changed) {
		response := api.ErrorResponse(http.StatusServiceUnavailable, errNotDurable)
		response.RetryAfter = shutdownRetryAfter
		return response
	}
	return api.JSONResponse(http.StatusOK, struct{}{})
}
