package dataplane

import (
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"firplank/balance"
	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	"firplank/mesh/config"
)

const (
	// What a client is to wait until it tries again, where this sidecar cannot route yet.
	retryAfterNoConfig  = 300 * time.Millisecond
	retryAfterNoService = 200 * time.Millisecond
)

// clientDialect is the outgoing request path up to the exchange: it routes what the front for the machine's clients takes in. It implements
// httpfront.Dialect, and is safe for concurrent use.
type clientDialect struct {
	config   *atomic.Pointer[config.Config]       // in force; nil while there is none
	services *atomic.Pointer[map[string]*service] // by name
	shutdown *atomic.Pointer[shutdownSchedule]    // nil: it has not begun
	refused  *metrics.Counter                     // of requests that come too late for it
	start    time.Time                            // of the process, from which its clock counts
}

// Fill implements httpfront.Dialect: it routes a request to a service's exchange, or returns the answer that rejects it.
func (d clientDialect) Fill(c *core.Call, r *httpfront.Request, body []byte) (*core.Answer, error) {
	cfg := d.config.Load()
	if cfg == nil {
		return ownAnswer(http.StatusServiceUnavailable, "", "there is no configuration yet", retryAfterNoConfig), nil
	}
	if r.Method == http.MethodHead || r.Method == http.MethodConnect {
		return nil, httpfront.BadRequest(http.StatusNotImplemented, "the method is not carried")
	}
	route := cfg.Match(r.Host, routePath(r))
	if route == nil {
		return ownAnswer(http.StatusNotFound, "", "no route", 0), nil
	}
	svc := (*d.services.Load())[route.ChooseService(hashUnit(r.Header.Get(requestIDHeader)))]
	if svc == nil {
		return ownAnswer(http.StatusServiceUnavailable, "", "the service is not known yet", retryAfterNoService), nil
	}
	left := route.Action.TimeoutS * millisPerSecond
	if byClient := remainingMillis(r.Header); byClient > 0 {
		left = min(left, byClient)
	}
	c.Received = time.Now()
	if !d.shutdown.Load().takes(c.Received, time.Duration(left*float64(time.Millisecond))) {
		d.refused.Inc()
		return ownAnswer(http.StatusServiceUnavailable, "", "the sidecar shuts down", retryAfterShutdown), nil
	}
	c.Message = messageOf(r, body, c.Message.Stream)
	c.Message.Safe = route.Idempotent()
	c.Message.ConfigVersion = uint64(cfg.Version)
	c.Message.Priority = route.Rank
	c.Request = balance.Request{
		Class:       svc.class(route),
		Tenant:      -1,
		Remaining:   left,
		Candidate:   svc.split.Next(c.Received.Sub(d.start)),
		MaxAttempts: route.Action.MaxAttempts,
	}
	c.Exchange = svc.exchange
	return nil, nil
}

// Verdict implements httpfront.Dialect.
func (clientDialect) ErrorAnswer(status int, text string) *core.Answer {
	return ownAnswer(status, "", text, 0)
}

// hashUnit maps a request's id to a number from 0 to below 1, always the same one.
func hashUnit(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}
