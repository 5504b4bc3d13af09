package controlplane

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"firplank/mesh/api"
	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/register"
)

const (
	// retryAfter is sent to clients as Retry-After by a machine that cannot commit, for example without a quorum.
	retryAfter = 500 * time.Millisecond
	// readTimeout and idleTimeout bound an operator's connection.
	readTimeout = 10 * time.Second
	idleTimeout = 30 * time.Second
	// unknownCallLogInterval is the minimum interval between log lines on unknown calls, after the first ones.
	unknownCallLogInterval = time.Second
	// maxQueuedEvents bounds the event loop's queue. While it is full, connections are not read.
	maxQueuedEvents = 2048
)

// operatorAPI returns the routes of the operators' calls.
func (s *Server) operatorAPI() *api.Router {
	router := &api.Router{Rejected: s.logUnknownCall}
	router.Handle(http.MethodPost, "/Timetable.Replace", s.replaceConfig)
	router.Handle(http.MethodGet, api.StatusPath, s.readStatus)
	router.Handle(http.MethodGet, "/Timetable.Read", s.readConfig)
	router.Handle(http.MethodPost, api.StartRolloutPath, s.startRollout)
	router.Handle(http.MethodGet, api.ReadRolloutPath+"/*", s.readRollout)
	router.Handle(http.MethodPost, api.RecallRolloutPath+"/*", s.recallRollout)
	return router
}

// logUnknownCall counts an unknown call, and logs it at a limited rate.
func (s *Server) logUnknownCall(r *http.Request, status int) {
	s.metrics.unknownCalls.Inc()
	s.unknownCallLog.Do(func() {
		_ = level.Warn(s.log).Log("msg", "unknown call rejected", "method", r.Method, "path", r.URL.Path, "status", status)
	})
}

var errNoConfig = errors.New("there is no configuration yet")

// unavailable returns the response to a call that this machine cannot commit now, with err as the reason. The operation may have been
// committed all the same, and another machine may be able to commit it.
func unavailable(err error) api.Response {
	response := api.ErrorResponse(http.StatusServiceUnavailable, err)
	response.RetryAfter = retryAfter
	return response
}

// commit posts an operation to the event loop, which proposes it, and waits for the outcome.
func (s *Server) commit(r operations.Request) (register.Outcome, error) {
	call := operations.NewCall(r)
	s.post(operationRequested{call})
	o, err := call.Wait(s.ctx, s.durations.Operations.Timeout)
	if errors.Is(err, operations.ErrTimeout) {
		s.post(operationCancelled{call})
	}
	s.recordOperationResult(call, err)
	return o, err
}

// replaceConfig commits a configuration under the version that it states.
func (s *Server) replaceConfig(c *api.Request) api.Response {
	cfg, err := config.Parse(c.Body)
	if err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err)
	}
	_, err = s.commit(operations.Write{Version: cfg.Version, Content: register.ContentOf(c.Body), Body: config.Pack(c.Body)})
	var taken *operations.VersionTakenError
	switch {
	case errors.As(err, &taken):
		s.logVersionTaken(taken)
		return api.ErrorResponse(http.StatusConflict, taken)
	case err != nil:
		return unavailable(err)
	}
	return api.Response{Status: http.StatusOK}
}

func (s *Server) logVersionTaken(e *operations.VersionTakenError) {
	_ = level.Warn(s.log).Log("msg", "configuration rejected: version taken with another content", "version", e.Version,
		"content", e.Content, "taken", e.CommittedContent, "newest", e.Newest)
}

// readConfig returns the newest committed configuration.
func (s *Server) readConfig(*api.Request) api.Response {
	o, err := s.commit(operations.Read{})
	switch {
	case err != nil:
		return unavailable(err)
	case o.Value.Version == configversion.None:
		return api.ErrorResponse(http.StatusNotFound, errNoConfig)
	}
	body, err := config.Unpack(o.Value.Body)
	if err != nil {
		return api.ErrorResponse(http.StatusInternalServerError, err)
	}
	return api.Response{Status: http.StatusOK, Body: body}
}
