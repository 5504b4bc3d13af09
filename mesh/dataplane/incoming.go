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
	"firplank/mesh/configversion"
)

const (
	// bulkClass is the class of a message whose route is a download, so that its response is long.
	bulkClass = "bulk"
	// defaultRemainingMillis is the time remaining for a request without a deadline header.
	defaultRemainingMillis = 60_000
)

// incomingDialect is the receiving side of the protocol between sidecars. It implements httpfront.Dialect, and is safe for concurrent use.
type incomingDialect struct {
	config  *atomic.Pointer[config.Config] // in force; nil until the first one
	service *atomic.Pointer[string]        // of the local server
}

// Fill implements httpfront.Dialect: it parses a request of the sending sidecar, or returns the answer that rejects it.
func (d incomingDialect) Fill(c *core.Call, r *httpfront.Request, body []byte) (*core.Answer, error) {
	if r.Header.Get(queryHeader) == "" && d.routedByOutdatedConfig(r) {
		return ownAnswer(http.StatusServiceUnavailable, attempts.NotReceived, "the configuration is a newer one", 0), nil
	}
	remaining, stated := remainingMillis(r.Header)
	if !stated {
		remaining = defaultRemainingMillis
	}
	c.Received = time.Now()
	c.Request = balance.Request{Remaining: remaining}
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

// parseRank parses a rank and the number of times that its request was forwarded; either is 0 if it is missing.
func parseRank(text string) (rank, forwarded int) {
	first, second, _ := strings.Cut(text, ".")
	rank, _ = strconv.Atoi(first)       // 0 if it is missing
	forwarded, _ = strconv.Atoi(second) // 0 if it is missing
	return rank, forwarded
}

// routedByOutdatedConfig reports whether a request was routed by an older configuration than this sidecar's, and would not be routed to
// this service by the present one.
func (d incomingDialect) routedByOutdatedConfig(r *httpfront.Request) bool {
	cfg := d.config.Load()
	version, err := strconv.ParseUint(r.Header.Get(versionHeader), 16, 32)
	if cfg == nil || err != nil || configversion.Of(uint32(version)) >= cfg.Version {
		return false
	}
	route := cfg.Match(r.Host, routePath(r))
	return route == nil || !route.Allows(*d.service.Load())
}

// ErrorAnswer implements httpfront.Dialect: a request that the front rejects before it is submitted has not reached the server.
func (incomingDialect) ErrorAnswer(status int, text string) *core.Answer {
	return ownAnswer(status, attempts.NotReceived, text, 0)
}

// UploadErrorAnswer implements httpfront.Dialect.
func (incomingDialect) UploadErrorAnswer(text string) *core.Answer {
	return ownAnswer(http.StatusGatewayTimeout, attempts.Indeterminate, text, 0)
}
