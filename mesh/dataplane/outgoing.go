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
	// Retry-After of requests that this sidecar cannot route yet.
	retryAfterNoConfig  = 300 * time.Millisecond
	retryAfterNoService = 200 * time.Millisecond
)

// clientDialect is the outgoing request path up to the exchange: it routes the requests that the front for the machine's clients accepts.
// It implements httpfront.Dialect, and is safe for concurrent use.
type clientDialect struct {
	config            *atomic.Pointer[config.Config]       // in force; nil until the first one
	services          *atomic.Pointer[map[string]*service] // by name
	shutdown          *atomic.Pointer[shutdownSchedule]    // nil until the shutdown begins
	refusedAtShutdown *metrics.Counter                     // counts requests rejected because of it
	start             time.Time                            // of the process: the origin of its clock
	splitFraction     func(requestID string) float64       // from 0 to below 1: decides which part of a split gets a request
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
	svc := (*d.services.Load())[route.ChooseService(d.splitFraction(r.Header.Get(requestIDHeader)))]
	if svc == nil {
		return ownAnswer(http.StatusServiceUnavailable, "", "the service is not known yet", retryAfterNoService), nil
	}
	remaining := route.Action.TimeoutS * millisPerSecond
	if clientRemaining, stated := remainingMillis(r.Header); stated {
		remaining = min(remaining, clientRemaining)
	}
	c.Received = time.Now()
	if !d.shutdown.Load().accepts(c.Received, time.Duration(remaining*float64(time.Millisecond))) {
		d.refusedAtShutdown.Inc()
		return ownAnswer(http.StatusServiceUnavailable, "", "the sidecar shuts down", retryAfterShutdown), nil
	}
	c.Message = messageOf(r, body, c.Message.Stream)
	c.Message.Safe = route.Idempotent()
	c.Message.ConfigVersion = uint64(cfg.Version.Number())
	c.Message.Priority = route.Rank
	c.Request = balance.Request{
		Class:       svc.classNumber(route),
		Tenant:      -1,
		Remaining:   remaining,
		Candidate:   svc.split.Next(c.Received.Sub(d.start)),
		MaxAttempts: route.Action.MaxAttempts,
	}
	c.Exchange = svc.exchange
	return nil, nil
}

// ErrorAnswer implements httpfront.Dialect.
func (clientDialect) ErrorAnswer(status int, text string) *core.Answer {
	return ownAnswer(status, "", text, 0)
}

// UploadErrorAnswer implements httpfront.Dialect: its status, unlike 408, makes no promise.
func (clientDialect) UploadErrorAnswer(text string) *core.Answer {
	return ownAnswer(http.StatusGatewayTimeout, "", text, 0)
}

// hashUnit maps a request ID to a number in [0, 1). The same ID always has the same number, and the numbers of IDs that differ in any
// characters are spread evenly.
func hashUnit(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	const mantissaBits = 53
	return float64(mixBits(h.Sum64())>>(64-mantissaBits)) / (1 << mantissaBits)
}

// mixBits lets every bit of x affect every bit of the result: the last step of MurmurHash3 (Appleby, 2011). The last characters that FNV-1a
// hashes hardly affect its high bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
