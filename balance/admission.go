package balance

import (
	"fmt"
	"math"
)

// Parameters of load shedding. Latencies are multiples of the latency target of their class.
const (
	queueAllowance     = 0.25 // queueing time allowed, as a part of the target beyond the best latency
	immediateShedGain  = 4    // part of the load to shed at once, per multiple of the target in excess
	minSteadyShedGain  = 0.04 // least gain of the steady part for each request
	steadyShedTargets  = 2    // with few requests the gain grows with time, to 1 in so many targets
	maxSteadyShedGain  = 0.5  // greatest gain of the steady part for a request
	shedPerLateShare   = 3    // the steady part is at most this multiple of the share of late answers
	maxImmediateShed   = 2    // the part shed is at most this multiple of the steady part
	maxShed            = 0.95 // below 1, as answers are needed to detect that the overload has ended
	maxExpectedLatency = 2    // upper bound of expected latencies
	lostLoadGain       = 4    // weight of overdue attempts as load, per excess of latency over the allowance
	assumedAnswers     = 15   // answers assumed, so that low traffic is not shed by chance
	maxUnderShare      = 2    // a tenant counts as at most this factor below its quota share
	valueTolerance     = 1.25 // values within this factor are shed alike: no tenant is shed for a tiny excess
	firstTryTolerance  = 0.99 // below this part of the longest remaining time a request counts as a retry
	minWork            = 1e-3 // keeps quotients finite
)

// shedder decides which part of the load to shed, so that the servers answer the rest within the latency
// targets.
type shedder struct {
	usesLoadReports bool    // load reports limit what is sent, so that assumed answers add no load
	lastArrivalAt   float64 // when the last request was received
	steadyShed      float64 // steady part of the load to shed
	lostLoad        float64 // sum over the overdue attempts of one over their latency target
}

// onRequest sheds a request, or admits it and starts its first attempt.
func (b *Balancer) onRequest(ev Request) error {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) {
		return fmt.Errorf("request %d: unknown class %d", ev.ID, ev.Class)
	}
	r := b.openRequest(ev)
	if b.cfg.RetryBudget != nil {
		b.cfg.RetryBudget.Deposit(b.now)
	}
	if !b.cfg.LastHop && !b.shedder.admit(&b.traffic, &b.random, r, b.openLoad()) {
		b.endUnserved(r, LoadShed)
		return nil
	}
	b.startProbes(r)
	b.step(r)
	return nil
}

// admit reports whether a request that was just received is admitted, given the traffic and the load in
// flight. It rejects requests that the fleet cannot answer within the latency targets before they are sent.
func (s *shedder) admit(t *traffic, random *randomSource, r *request, openLoad float64) bool {
	now := r.arrivedAt
	allowed := t.latency.allowed()
	congestion := t.congestionDecay(now)
	excess := min(s.expectedLatency(t, now, openLoad, congestion), maxExpectedLatency) - allowed
	shed := s.update(t, now, excess, congestion)
	tooLate := r.isLateRetry() && s.steadyShed >= r.class.LateValue
	return !tooLate && (shed == 0 || random.draw() >= t.shedProbability(r, shed))
}

// expectedLatency estimates the latency of an answer, as a multiple of its target: the attempts in flight
// over the rate of answers (Little's law). Assumed answers, which dominate in a sidecar with little traffic,
// take as long as recent ones: by its one or two attempts in flight alone, such a sidecar would shed nothing
// or all.
func (s *shedder) expectedLatency(t *traffic, now, openLoad, congestion float64) float64 {
	allowed := t.latency.allowed()
	recent := t.latency.bestRatio + (t.latency.meanRatio-t.latency.bestRatio)*congestion
	assumed := recent
	if s.usesLoadReports {
		assumed = 0
	}
	// While answers are fast, overdue attempts do not count as load.
	lost := s.lostLoad * clamp(lostLoadGain*(recent/allowed-1), 0, 1)
	load := openLoad + lost + assumed*assumedAnswers/rateWindowTargets/t.rate.span
	return load / t.rate.perMillis(now, assumedAnswers)
}

// update adjusts the steady part of the load to shed and returns the part to shed now.
func (s *shedder) update(t *traffic, now, excess, congestion float64) float64 {
	elapsed := (now - s.lastArrivalAt) / steadyShedTargets / t.rate.span
	gain := clamp(elapsed, minSteadyShedGain, maxSteadyShedGain)
	s.lastArrivalAt = now
	limit := min(maxShed, shedPerLateShare*t.latency.lateShare*congestion)
	s.steadyShed = clamp(s.steadyShed+gain*excess, 0, limit)
	return clamp(s.steadyShed+immediateShedGain*excess, 0, min(maxShed, maxImmediateShed*s.steadyShed))
}

// markLost moves an overdue attempt from its server's load to lostLoad if n is 1, and back if n is -1.
func (s *shedder) markLost(r *request, a *attempt, n float64) {
	a.server.load -= n / r.class.LatencyTarget
	s.lostLoad += n / r.class.LatencyTarget
}

// isLateRetry reports whether the request is a client's retry after its latency target has passed. A retry
// has less time left than first attempts of its class.
func (r *request) isLateRetry() bool {
	r.stats.maxRemaining = max(r.stats.maxRemaining, r.Remaining)
	return r.Remaining < firstTryTolerance*r.stats.maxRemaining &&
		r.Remaining <= r.class.Deadline-r.class.LatencyTarget
}

// allowed is the latency, as a multiple of its target, above which load is shed.
func (l *latencyStats) allowed() float64 { return l.bestRatio + queueAllowance*(1-l.bestRatio) }

// congestionDecay returns the weight of past congestion, which decays from 1 to 0 while there are no answers.
func (t *traffic) congestionDecay(now float64) float64 {
	timeConstant := max(rateWindowTargets*t.rate.span, errorHalfLifeMillis)
	return math.Exp((t.latency.lastAnswerAt - now) / timeConstant)
}

// shedProbability returns the probability of shedding a request, given the part of all load to shed. Classes
// and tenants with the least value for their work are shed first.
func (t *traffic) shedProbability(r *request, shed float64) float64 {
	requests := t.totalRequests()
	valuePerWork := func(class *classStats, tenant *counter) float64 {
		return class.value * t.quotaFactor(tenant, requests) / max(class.mean, minWork)
	}
	total, below, similar, ownValue := 0.0, 0.0, minWork, valuePerWork(r.stats, r.tenant)
	for c := range t.classes {
		class := &t.classes[c]
		for i := range t.tenants {
			work := class.requests * class.mean * t.tenants[i].requests
			total += work
			if v := valuePerWork(class, &t.tenants[i]); v*valueTolerance < ownValue {
				below += work
			} else if v < ownValue*valueTolerance {
				similar += work
			}
		}
	}
	return (shed*total - below) / similar
}

// quotaFactor returns the factor on the value of a tenant's requests: 1 if the tenant's part of this
// sidecar's requests equals its quota share, more below it and less above it.
func (t *traffic) quotaFactor(tenant *counter, requests float64) float64 {
	if tenant.share <= 0 {
		return 1
	}
	withinShare := min(tenant.share*requests/tenant.requests, maxUnderShare)
	return t.overShareValue + (1-t.overShareValue)*withinShare
}
