package balance

// Parameters of requests for the server list and of slow start. Peers are the sidecars of the fleet.
const (
	listRetryBackoffMillis    = 500  // longest pause before the first retry; doubles with each failure
	maxBackoffShift           = 4    // greatest number of times that the pause is doubled
	listRetryPerPeerMillis    = 50   // added for each peer over fewPeers, as all of them fail together
	minListRetryShare         = 0.33 // longest pause with few peers, as a part of Config.ListRefreshLimit
	maxListRetryShare         = 0.7  // longest pause with many peers; below 1, as the request takes time too
	fewPeers                  = 20   // below this number peers need not spread their requests
	manyPeers                 = 100  // peers over this is the longest pause between the two shares above
	maxInitialListDelayMillis = 2000 // time after the start by which every sidecar has sent its request
	minPauseFewPeers          = 0.5  // constant part of the pause; the rest is random
	minPauseManyPeers         = 0.1
	slowStartSafety           = 2 // a server in slow start gets at most its overload factor divided by this
	slowStartBurstShare       = 4 // bursts last at most Config.ColdOverloadTime divided by this
)

// warmingUp reports whether the server is in slow start.
func (b *Balancer) warmingUp(s *server) bool { return b.now < s.warmUpStart+b.cfg.SlowStartTime }

// slowStartFactor returns the least part of its capacity that a server has now: it grows from
// Config.SlowStartInitialFraction to 1 during slow start.
func (b *Balancer) slowStartFactor(s *server) float64 {
	age := max(0, b.now-s.warmUpStart) / max(b.cfg.SlowStartTime, 1)
	return b.cfg.SlowStartInitialFraction + (1-b.cfg.SlowStartInitialFraction)*min(1, age)
}

// withinSlowStartBudget reports whether a server in slow start may receive an attempt now. The limit is a
// token bucket. Its rate is half of the overload factor, times the rate at which warm servers of the same
// size answer this sidecar's requests, times the server's slow start factor and health. It is based on
// answers, as clients retry requests in overload, and assumes only one answer: with thirty assumed, the
// sidecars with little traffic together overloaded the server.
func (b *Balancer) withinSlowStartBudget(s *server) bool {
	perMillis := b.traffic.rate.perMillis(b.now, 1) * s.share / max(b.rotation.totalShare, s.share) *
		max(1, b.cfg.ColdOverloadFactor/slowStartSafety)
	burst := max(1, perMillis*b.cfg.ColdOverloadTime/slowStartBurstShare)
	s.slowStartTokens = min(s.slowStartTokens+perMillis*(b.now-s.tokensUpdatedAt), burst)
	s.tokensUpdatedAt = b.now
	return s.slowStartTokens >= 1
}

// startSlowStart begins a server's slow start. The initial tokens are random, so that the first attempts of
// the sidecars do not coincide.
func (b *Balancer) startSlowStart(s *server, since float64) {
	s.warmUpStart, s.tokensUpdatedAt, s.seeded = since, b.now, false
	s.slowStartTokens = b.random.draw()
}

// updateServer applies one entry of the server list. A restart clears the server's errors, and so does a
// restart of the proxy in front of it after connect failures.
func (b *Balancer) updateServer(entry *Server) {
	s := b.server(entry, len(b.cfg.Classes))
	if entry.StartedAt > s.StartedAt {
		s.clearErrors()
		b.startSlowStart(s, entry.StartedAt)
	}
	if entry.PathIncarnation > s.PathIncarnation && s.PathIncarnation > 0 && s.connectFailures > 0 {
		s.clearErrors()
	}
	s.Server = *entry
	s.kind, s.zone = sizeOf(b.sizes.kinds, s.Kind), sizeOf(b.sizes.zones, s.Zone)
}

// requestList subscribes to the server list at the start. With many peers it waits for a random time, so that
// the requests of a fleet that starts together are spread; until then each sidecar uses its cached list.
func (b *Balancer) requestList() {
	if b.cfg.Peers < fewPeers {
		b.emit(Action{Kind: Subscribe})
		return
	}
	spread := min(listRetryPerPeerMillis/2*float64(b.cfg.Peers), maxInitialListDelayMillis)
	b.emit(Action{Kind: SetTimer, Token: listTimer, At: spread * b.random.draw()})
}

// retryList retries a failed list request after an exponential backoff with jitter. The jitter spreads the
// requests of a fleet, as a failed request costs discovery as much as one that is answered. A few sidecars
// need less jitter and a longer minimum pause. The pause stays within Config.ListRefreshLimit.
func (b *Balancer) retryList() {
	peers := float64(b.cfg.Peers)
	pause := (listRetryBackoffMillis + listRetryPerPeerMillis*max(0, peers-fewPeers)) *
		float64(int(1)<<min(b.listFailures, maxBackoffShift))
	minPart := minPauseFewPeers
	if peers >= fewPeers {
		minPart = minPauseManyPeers
	}
	if limit := b.cfg.ListRefreshLimit; limit > 0 {
		pause = min(pause, clamp(peers/manyPeers, minListRetryShare, maxListRetryShare)*limit)
	}
	b.listFailures++
	b.emit(Action{Kind: SetTimer, Token: listTimer, At: pause * (minPart + (1-minPart)*b.random.draw())})
}
