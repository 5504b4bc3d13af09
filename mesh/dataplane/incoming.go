package dataplane

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	"firplank/mesh/attempts"
	"firplank/mesh/config"
)

const (
	// bulkClass is the class of a message whose response is long, by its route.
	bulkClass = "bulk"
	// defaultRemainingMillis is how long a sender waits that names no deadline.
	defaultRemainingMillis = 60_000
)

// incomingDialect is the protocol with other sidecars, on the receiving side. It implements httpfront.Dialect, and is safe for concurrent
// use.
type incomingDialect struct {
	config  *atomic.Pointer[config.Config] // in force; nil while there is none
	service *atomic.Pointer[string]        // of the local server
}

// Fill implements httpfront.Dialect: it parses what the sending sidecar wrote, or returns the answer that rejects it.
func (d incomingDialect) Fill(c *core.Call, r *httpfront.Request, body []byte) (*core.Answer, error) {
	if r.Header.Get(queryHeader) == "" && d.routedByOutdatedConfig(r) {
		return ownAnswer(http.StatusServiceUnavailable, attempts.NotReceived, "the configuration is a newer one", 0), nil
	}
	left := remainingMillis(r.Header)
	if left <= 0 {
		left = defaultRemainingMillis
	}
	c.Received = time.Now()
	c.Request = balance.Request{Remaining: left}
	serverID := r.Header.Get(serverIDHeader)
	c.Message = messageOf(r, body, c.Message.Stream)
	c.Message.Object = serverID
	if cfg := d.config.Load(); cfg != nil {
		if route := cfg.Match(r.Host, routePath(r)); route != nil {
			c.Message.Safe = route.Idempotent()
			c.Request.Key = uint64(routeClass(route))
			if route.Kind == config.Download {
				c.Message.Class = bulkClass
			}
		}
	}
	c.Message.Priority, c.Message.ForwardCount = parseRank(r.Header.Get(rankHeader))
	return nil, nil
}

// parseRank parses a rank and how often its request was forwarded; 0 where either is missing.
func parseRank(text string) (rank, forwarded int) {
	first, second, _ := strings.Cut(text, ".")
	rank, _ = strconv.Atoi(first)       // 0 without one
	forwarded, _ = strconv.Atoi(second) // the same
	return rank, forwarded
}

// routedByOutdatedConfig reports whether a request was routed by a configuration older than this sidecar's, by which it may not come here.
func (d incomingDialect) routedByOutdatedConfig(r *httpfront.Request) bool {
	cfg := d.config.Load()
	version, err := strconv.ParseUint(r.Header.Get(versionHeader), 16, 32)
	if cfg == nil || err != nil || uint32(version) >= cfg.Version {
		return false
	}
	route := cfg.Match(r.Host, routePath(r))
	return route == nil || !route.Allows(*d.service.Load())
}

// Verdict implements httpfront.Dialect: what the front rejects has not been received by the server.
func (incomingDialect) ErrorAnswer(status int, text string) *core.Answer {
	return ownAnswer(status, attempts.NotReceived, text, 0)
}
