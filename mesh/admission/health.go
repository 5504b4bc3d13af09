package admission

import (
	"math"
	"time"
)

// Health classifies the local server as healthy or unhealthy by the results of its admitted requests. The last hop sees all of them, while
// each sender sees only a few. The measure is an exponentially weighted failure rate, which also finds a server that fails part of its
// requests without announcing any problem; the server's announcements don't count. The zero value is healthy. A Health is not safe for
// concurrent use.
//
// Requests are diverted from an unhealthy server, within two bounds. A request that was forwarded maxDiversions times is not diverted, so
// that a service whose servers are all unhealthy still gets requests. Of the idempotent requests one in admitOneIn is not diverted, so that
// the recovery of the server is detected.
type Health struct {
	failureRate    float64 // exponentially weighted, from 0 to 1
	samples        float64 // number of results in it, up to minSamples
	updatedAt      time.Duration
	unhealthy      bool
	idempotentSeen int // idempotent requests that arrived while it was unhealthy
}

const (
	// failureGain is the weight of one result in the failure rate. minSamples is the least number of results for a server to be unhealthy.
	failureGain = 0.08
	minSamples  = 10
	// A server becomes unhealthy at a failure rate of unhealthyFrom and healthy again at healthyUpTo (hysteresis).
	unhealthyFrom = 0.22
	healthyUpTo   = 0.1
	// decayHalfLife is the half-life of the failure rate. The rate decays with time because there are no new results while no request is
	// admitted.
	decayHalfLife = 4 * time.Second
	// maxDiversions bounds how often a request is diverted from unhealthy servers. One in admitOneIn idempotent requests is admitted.
	maxDiversions = 2
	admitOneIn    = 5
)

// Record records the result of a request that the server received.
func (h *Health) Record(now time.Duration, success bool) {
	h.decay(now)
	gain := failureGain
	if h.samples = min(h.samples+1, minSamples); h.samples < minSamples {
		gain = 1 / h.samples
	}
	outcome := 1.
	if success {
		outcome = 0
	}
	h.failureRate += gain * (outcome - h.failureRate)
	h.classify()
}

// decay applies the decay of the failure rate up to now.
func (h *Health) decay(now time.Duration) {
	h.failureRate *= math.Exp2(-(now - h.updatedAt).Seconds() / decayHalfLife.Seconds())
	h.updatedAt = now
}

// classify sets whether the server is unhealthy by its failure rate, with hysteresis.
func (h *Health) classify() {
	switch {
	case h.samples >= minSamples && h.failureRate >= unhealthyFrom:
		h.unhealthy = true
	case h.failureRate <= healthyUpTo:
		h.unhealthy = false
	}
}

// Unhealthy reports whether the server counts as unhealthy.
func (h *Health) Unhealthy() bool { return h.unhealthy }

// ShouldDivert reports whether to reject a request because the server is unhealthy. Forwarded is how often it was forwarded before.
func (h *Health) ShouldDivert(now time.Duration, idempotent bool, forwarded int) bool {
	if !h.unhealthy {
		return false
	}
	h.decay(now)
	if h.classify(); !h.unhealthy || forwarded >= maxDiversions {
		return false
	}
	if !idempotent {
		return true
	}
	h.idempotentSeen++
	return h.idempotentSeen%admitOneIn != 0
}
