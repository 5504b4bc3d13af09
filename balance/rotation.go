package balance

import "math"

// Parameters of the choice of a server.
const (
	boundedLoadFactor  = 0.4   // multiple of its share of requests above which a server is passed over
	zonePreferenceGain = 85    // times the penalty for crossing zones, squared: preference of the own zone
	reusePreference    = 4000  // preference of an open connection, per handshake penalty
	scarcityPreference = 50    // the same per recent share of connect failures: the servers' tables are full
	minCapacity        = 1e-6  // keeps weights above 0
	fullCapacity       = 100.0 // capacity of a healthy, warm server of size 1
)

// rotation is the state of smooth weighted round robin that all servers have in common.
type rotation struct {
	lastPickedWeight float64 // current weight of the server picked last
	totalShare       float64 // sum of the servers' shares at the last first attempt of a request
	zonePreference   float64 // ServerList.ZonePreference
}

// pick chooses a server for an attempt; nil: none is eligible. The first attempt of a request for candidates
// goes to a candidate if one is eligible; otherwise it goes to the other servers, as all other attempts do.
func (b *Balancer) pick(r *request, retry bool) *server {
	if r.Candidate && !retry {
		r.pickingCandidates = true
		s := b.pickEligible(r, retry)
		r.pickingCandidates = false
		if s != nil {
			return s
		}
	}
	return b.pickEligible(r, retry)
}

// pickEligible chooses a server by smooth weighted round robin over the eligible servers. A retry goes to the
// healthiest one, whose current weight is reduced like that of any server picked.
func (b *Balancer) pickEligible(r *request, retry bool) *server {
	total, maxPerWeight := b.updateWeights(r, retry, false)
	if total == 0 && !r.pickingCandidates { // all are ejected: the cause is probably not in the servers
		_, maxPerWeight = b.updateWeights(r, retry, true)
	}
	var best *server
	bestOver := false
	for _, s := range b.servers {
		if s.weight == 0 || b.warmingUp(s) && !b.withinSlowStartBudget(s) {
			continue
		}
		// Bounded load: a server with more than its share is slow, hung or overloaded. It is passed over and
		// keeps its current weight.
		over := !s.loadKnown || s.probing || b.pendingAt(s)+1 > math.Ceil(maxPerWeight*s.weight)
		if best == nil || bestOver && !over || over == bestOver && b.preferred(r, s, best, retry, over) {
			best, bestOver = s, over
		}
	}
	if best != nil {
		current := r.currentWeight(best, b.now)
		b.rotation.lastPickedWeight, *current = *current, max(*current-1, -1)
	}
	return best
}

// updateWeights sets the weights of the eligible servers and advances their current weights. It returns the
// sum of the weights and the number of pending requests that a server may have per unit of weight. With
// includeEjected, ejected servers are eligible too.
func (b *Balancer) updateWeights(r *request, retry, includeEjected bool) (total, maxPerWeight float64) {
	anyReport, totalShare := false, 0.0
	r.stats.updateExpected(b.servers, r.Class, b.now)
	for _, s := range b.servers {
		s.weight = 0
		if !r.eligibleAt(s, b.now) || s.isEjected(b.now) && !includeEjected {
			continue
		}
		s.share = b.capacity(s)
		s.weight = s.share * b.preference(s) * r.classFactor(s, b.now)
		total += s.weight
		totalShare += s.share
		s.loadKnown = b.reportFresh(s)
		anyReport = anyReport || s.loadKnown
	}
	if !retry && total > 0 {
		b.rotation.totalShare = totalShare
	}
	pending, weights := 1.0, 0.0
	for _, s := range b.servers {
		s.loadKnown = s.loadKnown || !anyReport // without reports, only own attempts are known
		if s.weight == 0 {
			continue
		}
		if s.loadKnown {
			pending += b.pendingAt(s)
			weights += s.weight
		}
		b.advance(r, s, retry, total)
	}
	return total, boundedLoadFactor * pending / weights
}

// advance adds a server's part of one turn to its current weight. Current weights are in units of a turn and
// start at random within one turn below the last picked one, so that sidecars do not begin at the same
// server.
func (b *Balancer) advance(r *request, s *server, retry bool, total float64) {
	warmingUp := b.warmingUp(s)
	if !s.seeded || s.seededCold && !warmingUp {
		s.currentWeight, s.seeded, s.seededCold = b.rotation.lastPickedWeight-b.random.draw(), true, warmingUp
		*r.currentWeight(s, b.now) = s.currentWeight
	}
	if !retry {
		current := r.currentWeight(s, b.now)
		*current = min(*current+s.weight/total, 1)
	}
}

// preferred reports whether s is preferred to best. If both are over their share, a first attempt goes to the
// one with fewer pending requests for its weight.
func (b *Balancer) preferred(r *request, s, best *server, retry, over bool) bool {
	if over && s.loadKnown != best.loadKnown { // a known high load is better than an unknown one
		return s.loadKnown
	}
	if over && !retry {
		return (b.pendingAt(s)+1)*best.weight < (b.pendingAt(best)+1)*s.weight
	}
	if retry {
		own, other := s.health(b.now)*r.classFactor(s, b.now), best.health(b.now)*r.classFactor(best, b.now)
		if own != other {
			return own > other
		}
	}
	return *r.currentWeight(s, b.now) > *r.currentWeight(best, b.now)
}

// eligibleAt reports whether the request may be sent to the server now.
func (r *request) eligibleAt(s *server, now float64) bool {
	if s.State != Ready || s.Candidate != r.pickingCandidates {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s && !(a.notDelivered && r.retryRejected) {
			return false
		}
		if a.notExecuted || r.class.Effect != Keyed {
			continue
		}
		// A keyed request that may have executed stays within the scope that recognises its key, and is not
		// sent again after the deduplication window.
		if now >= a.sentAt+r.class.DedupWindow ||
			r.class.DedupScope == DedupCell && a.server.Cell != s.Cell ||
			r.class.DedupScope == DedupZone && a.server.Zone != s.Zone {
			return false
		}
	}
	return true
}

// capacity is the server's size times its health, reduced during slow start.
func (b *Balancer) capacity(s *server) float64 {
	size := fullCapacity * s.rating() * s.size.factor * s.kind.factor * s.zone.factor
	return max(size*s.health(b.now)*b.slowStartFactor(s), minCapacity)
}

// preference returns the factor by which the weight of servers is raised that cost less: those in the own
// zone, and those with an open connection. The factors for ServerList.ZonePreference and for connections are
// not applied to a server with errors. A server in slow start has no connections yet and counts as if it had.
func (b *Balancer) preference(s *server) float64 {
	factor := 1.0
	switch {
	case s.Zone != b.cfg.Zone:
	case b.rotation.zonePreference > 0 && s.consecutiveErrors == 0:
		factor = b.rotation.zonePreference
	default:
		zoneFactor := zonePreferenceGain * b.cfg.Penalties.CrossZone
		factor += zoneFactor * zoneFactor
	}
	if b.warmingUp(s) || s.consecutiveErrors == 0 && b.connectionReusable(s) {
		factor *= 1 + reusePreference*b.cfg.Penalties.Handshake + scarcityPreference*b.connectFailureShare
	}
	return factor
}

// currentWeight returns the server's current weight for the request. A failing class has its own: otherwise
// bad servers would have their turn for it by the weights that other classes give them.
func (r *request) currentWeight(s *server, now float64) *float64 {
	if r.stats.failing(now) {
		return &s.byClass[r.Class].currentWeight
	}
	return &s.currentWeight
}

// pendingAt estimates the requests pending at a server: those of a fresh report plus this sidecar's attempts
// since, otherwise this sidecar's attempts in flight.
func (b *Balancer) pendingAt(s *server) float64 {
	if b.reportFresh(s) {
		return s.reportedPending + s.sentSinceReport
	}
	return float64(s.inFlight)
}

// reportFresh reports whether the server's last load report is recent enough to be used.
func (b *Balancer) reportFresh(s *server) bool {
	return s.reportedAt > 0 && b.cfg.Reports == ReportProbe &&
		b.now-s.reportedAt <= probeWaitShare*b.maxLatencyTarget
}

// connectionReusable reports whether a connection to the server is probably open. If a connection carries one
// attempt only and this sidecar has fewer attempts in flight than there are servers, it must be idle too.
// With more attempts, busy connections are normal and their number depends on the servers' sizes.
func (b *Balancer) connectionReusable(s *server) bool {
	open := s.lastSentAt <= b.now && b.now < s.lastSentAt+b.cfg.ConnIdle
	return open && (b.cfg.StreamsPerConn != 1 || b.inFlight >= len(b.servers) || s.inFlight < s.conns)
}
