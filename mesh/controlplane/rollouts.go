package controlplane

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	validation "github.com/go-ozzo/ozzo-validation/v4"

	"firplank/internal/strictjson"
	"firplank/mesh/api"
	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/directory"
	"firplank/mesh/register"
	"firplank/mesh/rollout"
	"firplank/mesh/timing"
)

const (
	// maxNameLength bounds the names of services and versions in an order.
	maxNameLength = 200
	// maxTermS bounds the term of an order: one day, in seconds.
	maxTermS = 86_400.
	// recalledByOperator is stored as the reason of a rollout that an operator has recalled.
	recalledByOperator = "by the operator"
)

var (
	errUnknownService  = errors.New("no configuration has the service")
	errNoRollout       = errors.New("there is no rollout of the service")
	errRolloutHasEnded = errors.New("the rollout has ended")
	errShuttingDown    = errors.New("the control machine shuts down")
)

// rolloutDriver advances rollouts through their stages. It belongs to the event loop.
type rolloutDriver struct {
	durations      timing.Rollouts
	controller     *rollout.Controller
	nextTick       time.Duration
	proposals      map[string]proposal // by service
	loggedRevision uint32              // of the rollouts that were logged last
	loggedWaits    map[string]string   // what each service's rollout waits for, as logged last
}

// proposal is a rollout transition that was proposed to the register.
type proposal struct {
	id         uint64
	proposedAt time.Duration
}

func newRolloutDriver(t timing.Rollouts, exposureSlack float64) *rolloutDriver {
	return &rolloutDriver{
		durations:   t,
		controller:  rollout.NewController(t, exposureSlack),
		proposals:   map[string]proposal{},
		loggedWaits: map[string]string{},
	}
}

// rolloutOrder is the JSON body of a call that starts a rollout.
type rolloutOrder struct {
	Service string  `json:"line"`
	Target  string  `json:"toEdition"`
	TermS   float64 `json:"overS"`
}

// Validate implements validation.Validatable.
func (o rolloutOrder) Validate() error {
	return validation.ValidateStruct(&o,
		validation.Field(&o.Service, validation.Required, validation.Length(1, maxNameLength)),
		validation.Field(&o.Target, validation.Required, validation.Length(1, maxNameLength)),
		validation.Field(&o.TermS, validation.Required, validation.Min(0.).Exclusive(), validation.Max(maxTermS)),
	)
}

// rolloutState is the JSON response to a read of a rollout.
type rolloutState struct {
	Condition string `json:"condition"`
	Target    string `json:"toEdition"`
}

// The values of rolloutState.Condition.
const (
	conditionInService = "in_service"
	conditionDelivered = "delivered"
	conditionRecalled  = "recalled"
)

// conditionOf returns the condition that operators see for a stage.
func conditionOf(s rollout.Stage) string {
	switch s {
	case rollout.Delivered:
		return conditionDelivered
	case rollout.Recalled:
		return conditionRecalled
	}
	return conditionInService
}

// rolloutsView is this machine's knowledge of the rollouts that is not in the register.
type rolloutsView struct {
	endedRecently bool   // the service's rollout ended so recently that duplicates of its order may still arrive
	confirmed     uint32 // the revision that all sidecars have confirmed
}

// rolloutsView returns the view for a service. It runs on the event loop.
func (s *Server) rolloutsView(service string) rolloutsView {
	now, controller := s.now(), s.rollouts.controller
	view := rolloutsView{endedRecently: controller.EndedRecently(now, service)}
	set := s.pipeline.Committed().Value.Rollouts
	if controller.Unconfirmed(now, set.Revision, s.rolloutMachines()) == 0 {
		view.confirmed = set.Revision
	}
	return view
}

// requestRolloutsView requests the view for a service from the event loop.
func (s *Server) requestRolloutsView(service string) (rolloutsView, error) {
	reply := make(chan rolloutsView, 1)
	s.post(rolloutsRequested{service, reply})
	select {
	case view := <-reply:
		return view, nil
	case <-s.ctx.Done():
		return rolloutsView{}, errShuttingDown
	}
}

// startRollout commits the order of a rollout. It responds once all sidecars have confirmed the order, or timing.Dissemination.AckTimeout
// after the call was received.
func (s *Server) startRollout(c *api.Request) api.Response {
	receivedAt := time.Now()
	var requested rolloutOrder
	if err := strictjson.Unmarshal(c.Body, &requested); err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err)
	}
	if err := requested.Validate(); err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err)
	}
	current, err := s.commit(operations.Read{})
	if err != nil {
		return unavailable(err)
	}
	known, err := hasService(&current.Value, requested.Service)
	switch {
	case errors.Is(err, errNoConfig): // a configuration may be committed soon; after a 404 the client would not retry
		return unavailable(err)
	case err != nil || !known:
		return api.ErrorResponse(http.StatusNotFound, errors.Join(errUnknownService, err))
	}
	view, err := s.requestRolloutsView(requested.Service)
	if err != nil {
		return unavailable(err)
	}
	order := rollout.Order{
		Service:    requested.Service,
		Target:     requested.Target,
		Term:       time.Duration(requested.TermS * float64(time.Second)),
		Supersedes: current.Value.Rollouts.Supersedes(requested.Service, requested.Target, view.endedRecently),
	}
	committed, err := s.commit(operations.StartRollout{Order: order})
	switch {
	case errors.Is(err, operations.ErrRolloutUnderWay):
		return api.ErrorResponse(http.StatusConflict, err)
	case err != nil:
		return unavailable(err)
	}
	s.awaitConfirmation(requested.Service, committed.Value.Rollouts.Revision, receivedAt)
	return api.Response{Status: http.StatusOK}
}

// hasService reports whether a committed configuration has a service.
func hasService(v *register.Value, service string) (bool, error) {
	if v.Version == configversion.None {
		return false, errNoConfig
	}
	text, err := config.Unpack(v.Body)
	if err != nil {
		return false, err
	}
	cfg, err := config.ParseCommitted(text)
	if err != nil {
		return false, err
	}
	return cfg.Services[service] != nil, nil
}

// awaitConfirmation waits until all sidecars have confirmed a revision of the rollouts, at most timing.Dissemination.AckTimeout after the
// call was received. That is the bound for configurations, too.
func (s *Server) awaitConfirmation(service string, revision uint32, receivedAt time.Time) {
	for time.Since(receivedAt) < s.durations.Dissemination.AckTimeout {
		view, err := s.requestRolloutsView(service)
		if err != nil || view.confirmed >= revision {
			return
		}
		time.Sleep(s.durations.Rollouts.ReportInterval / 4)
	}
}

// readRollout responds with the condition of a service's rollout.
func (s *Server) readRollout(c *api.Request) api.Response {
	o, err := s.commit(operations.Read{})
	if err != nil {
		return unavailable(err)
	}
	r, ok := o.Value.Rollouts.Find(c.Args[0])
	if !ok {
		return api.ErrorResponse(http.StatusNotFound, errNoRollout)
	}
	return api.JSONResponse(http.StatusOK, rolloutState{Condition: conditionOf(r.Stage), Target: r.Target})
}

// recallRollout recalls a rollout for an operator. A delivered rollout can't be recalled, as the servers of the old version have stopped.
func (s *Server) recallRollout(c *api.Request) api.Response {
	for {
		o, err := s.commit(operations.Read{})
		if err != nil {
			return unavailable(err)
		}
		r, ok := o.Value.Rollouts.Find(c.Args[0])
		switch {
		case !ok:
			return api.ErrorResponse(http.StatusNotFound, errNoRollout)
		case r.Stage == rollout.Recalled:
			return api.Response{Status: http.StatusOK}
		case !r.Stage.Active():
			return api.ErrorResponse(http.StatusConflict, errRolloutHasEnded)
		}
		transition := rollout.Transition{
			Service: r.Service, Order: r.Order, From: r.Stage, To: rollout.Recalled, Reason: recalledByOperator, DecidedBy: s.self,
		}
		if _, err := s.commit(operations.AdvanceRollout{Transition: transition}); err != nil {
			return unavailable(err)
		}
	}
}

// advanceRollouts decides on the rollouts every half timing.Rollouts.ReportInterval and proposes the transitions that are due.
func (s *Server) advanceRollouts(now time.Duration) {
	d := s.rollouts
	if now < d.nextTick {
		return
	}
	d.nextTick = now + d.durations.ReportInterval/2
	committed := s.pipeline.Committed()
	set := committed.Value.Rollouts
	if set.Revision == 0 || s.reconciler.Draining() {
		return
	}
	s.logRollouts(set)
	view := rollout.View{Self: s.self, Leader: s.reconciler.LeaseHeld(now), Set: set}
	if set.AnyActive() {
		view.Machines = s.rolloutMachines()
	}
	transitions := d.controller.Decide(now, view)
	for _, transition := range transitions {
		s.proposeTransition(now, transition)
	}
	s.logWaiting(set)
}

// logWaiting logs what each rollout waits for, whenever that changes.
func (s *Server) logWaiting(set rollout.Set) {
	d := s.rollouts
	for i := range set.Rollouts {
		service := set.Rollouts[i].Service
		waitsFor := d.controller.WaitsFor(service)
		if waitsFor != "" && waitsFor != d.loggedWaits[service] {
			_ = level.Info(s.log).Log("msg", "rollout waiting", "service", service, "for", waitsFor)
		}
		d.loggedWaits[service] = waitsFor
	}
}

// proposeTransition proposes a transition, unless one of the same service was proposed within timing.Rollouts.ProposeInterval. It cancels
// the service's earlier proposal.
func (s *Server) proposeTransition(now time.Duration, t rollout.Transition) {
	d := s.rollouts
	last, proposed := d.proposals[t.Service]
	if proposed && now-last.proposedAt < d.durations.ProposeInterval {
		return
	}
	if proposed {
		s.pipeline.Cancel(last.id)
	}
	d.proposals[t.Service] = proposal{id: s.nextOperationID(), proposedAt: now}
	_ = level.Info(s.log).Log("msg", "rollout stage proposed", "service", t.Service, "order", t.Order,
		"from", t.From, "to", t.To, "reason", t.Reason)
	s.pipeline.Apply(now, register.AdvanceRollout{ID: d.proposals[t.Service].id, Transition: t})
}

// logRollouts logs all rollouts once for each revision.
func (s *Server) logRollouts(set rollout.Set) {
	if set.Revision == s.rollouts.loggedRevision {
		return
	}
	s.rollouts.loggedRevision = set.Revision
	for i := range set.Rollouts {
		r := &set.Rollouts[i]
		_ = level.Info(s.log).Log("msg", "rollout", "service", r.Service, "target", r.Target, "order", r.Order, "stage", r.Stage, "term", r.Term,
			"reason", r.Reason, "decided_by", r.DecidedBy)
	}
}

// rolloutMachines returns the directory's entries of sidecars and their servers as package rollout reads them.
func (s *Server) rolloutMachines() []rollout.Machine {
	entries := s.hub.Publisher.Directory.All()
	machines := make([]rollout.Machine, len(entries))
	for i := range entries {
		e := &entries[i]
		machines[i] = rollout.Machine{
			Node:      e.Node,
			Service:   e.Service,
			Version:   e.Version,
			Accepting: e.State == directory.Accepting,
			Slots:     e.Slots,
			Lost:      e.Lost,
			LastSeen:  e.LastSeen,
			Confirmed: e.RolloutReport.ConfirmedRevision,
			Order:     e.RolloutReport.Order,
			OrderAge:  e.RolloutReport.OrderAge,
			Classes:   e.RolloutReport.Classes,
		}
	}
	return machines
}

// rolloutStatus returns the rollouts of a set for the status call.
func (s *Server) rolloutStatus(now time.Duration, set rollout.Set) (status []api.Rollout) {
	controller := s.rollouts.controller
	for i := range set.Rollouts {
		r := &set.Rollouts[i]
		status = append(status, api.Rollout{
			Service:     r.Service,
			Target:      r.Target,
			Order:       r.Order,
			Stage:       r.Stage.String(),
			TermS:       r.Term.Seconds(),
			Reason:      r.Reason,
			DecidedBy:   r.DecidedBy,
			Evidence:    controller.LastVerdict(r.Service).Reason,
			WaitsFor:    controller.WaitsFor(r.Service),
			Unconfirmed: controller.Unconfirmed(now, set.Revision, s.rolloutMachines()),
		})
	}
	return status
}
