package balance

import (
	"fmt"
	"math"
)

// Parameters of load shedding. Latencies are multiples of the latency target of their class.
const (
	queueAllowance     = 0.25 // part of the target above the best latency that queues may take
	immediateShedGain  = 4    // part of the load to shed at once, per multiple of the target in excess
	minSteadyShedGain  = 0.04 // step of the lasting part for each request
	steadyShedTargets  = 2    // ... or by time, where requests are few: a full step in so many targets
	maxSteadyShedGain  = 0.5  // ... but at most this at once
	shedPerLateShare   = 3    // the lasting part is at most this multiple of the share of late answers
	maxImmediateShed   = 2    // what is shed is at most this multiple of the lasting part
	maxShed            = 0.95 // never all: answers are needed to notice that the load is gone
	maxExpectedLatency = 2    // expected latencies above this count as this
	lostLoadGain       = 4    // how fast overdue attempts count as load as latency exceeds the allowance
	assumedAnswers     = 15   // answers assumed, so that little traffic is not shed by chance
	maxUnderShare      = 2    // a tenant counts as at most this far below its quota share
	valueTolerance     = 1.25 // values within this factor are shed alike: no tenant pays for a tiny excess
	firstTryTolerance  = 0.99 // part of the longest remaining time below which a request is a retry
	minWork            = 1e-3 // keeps quotients finite
)

// shedder sheds load that the servers cannot answer within the latency targets.
type shedder struct {
	usesLoadReports bool    // load reports bound what is sent, so that assumed answers count as no load
	lastArrivalAt   float64 // when the last request came
	steadyShed      float64 // part of the load that is shed lastingly
	lostLoad        float64 // overdue attempts, each as one over its latency target
}

// onRequest admits a request and starts its first attempt, or sheds it.
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

// admit reports whether a request that has just come is let in, by the traffic and the load in flight. It
// sheds what the fleet cannot answer within the latency targets before it is sent.
func (s *shedder) admit(t *traffic, random *randomSource, r *request, openLoad float64) bool {
	now := r.arrivedAt
	allowed := t.latency.allowed()
	congestion := t.congestionDecay(now)
	excess := min(s.expectedLatency(t, now, openLoad, congestion), maxExpectedLatency) - allowed
	shed := s.update(t, now, excess, congestion)
	tooLate := r.isLateRetry() && s.steadyShed >= r.class.LateValue
	return !tooLate && (shed == 0 || random.draw() >= t.shedProbability(r, shed))
}

// expectedLatency estimates the latency of an answer, as a multiple of its target, from the attempts in
// flight over the rate of answers (Little's law). Assumed answers, most of what a sidecar with little traffic
// has, take as long as recent ones: by its one or two attempts in flight alone it would shed nothing or all.
func (s *shedder) expectedLatency(t *traffic, now, openLoad, congestion float64) float64 {
	allowed := t.latency.allowed()
	recent := t.latency.bestRatio + (t.latency.meanRatio-t.latency.bestRatio)*congestion
	assumed := recent
	if s.usesLoadReports {
		assumed = 0
	}
	// While answers are fast, overdue attempts are not load.
	lost := s.lostLoad * clamp(lostLoadGain*(recent/allowed-1), 0, 1)
	load := openLoad + lost + assumed*assumedAnswers/rateWindowTargets/t.rate.span
	return load / t.rate.perMillis(now, assumedAnswers)
}

// update moves the part of the load that is shed lastingly and returns the part to shed now.
func (s *shedder) update(t *traffic, now, excess, congestion float64) float64 {
	elapsed := (now - s.lastArrivalAt) / steadyShedTargets / t.rate.span
	gain := clamp(elapsed, minSteadyShedGain, maxSteadyShedGain)
	s.lastArrivalAt = now
	limit := min(maxShed, shedPerLateShare*t.latency.lateShare*congestion)
	s.steadyShed = clamp(s.steadyShed+gain*excess, 0, limit)
	return clamp(s.steadyShed+immediateShedGain*excess, 0, min(maxShed, maxImmediateShed*s.steadyShed))
}

// markLost moves an overdue attempt from its server's load to the load that may be lost; n is 1, or -1 to
// move it back.
func (s *shedder) markLost(r *request, a *attempt, n float64) {
	a.server.load -= n / r.class.LatencyTarget
	s.lostLoad += n / r.class.LatencyTarget
}

// isLateRetry reports whether the request is a client's retry after its latency target has passed: it has
// less time left than first tries have.
func (r *request) isLateRetry() bool {
	r.stats.maxRemaining = max(r.stats.maxRemaining, r.Remaining)
	return r.Remaining < firstTryTolerance*r.stats.maxRemaining &&
		r.Remaining <= r.class.Deadline-r.class.LatencyTarget
}

// allowed is the latency, as a multiple of its target, above which load is shed.
func (l *latencyStats) allowed() float64 { return l.bestRatio + queueAllowance*(1-l.bestRatio) }

// congestionDecay is the weight, 1 to 0, of past congestion: without answers it is forgotten.
func (t *traffic) congestionDecay(now float64) float64 {
	timeConstant := max(rateWindowTargets*t.rate.span, errorHalfLifeMillis)
	return math.Exp((t.latency.lastAnswerAt - now) / timeConstant)
}

// shedProbability spreads the part of the load to shed over classes and tenants, those with the least value
// for their work first.
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

// quotaFactor is the part of its value that a tenant's request has, by the tenant's share of this sidecar's
// requests.
func (t *traffic) quotaFactor(tenant *counter, requests float64) float64 {
	if tenant.share <= 0 {
		return 1
	}
	withinShare := min(tenant.share*requests/tenant.requests, maxUnderShare)
	return t.overShareValue + (1-t.overShareValue)*withinShare
}
