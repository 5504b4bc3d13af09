package balance

// Parameters of requests for the server list. Peers are the sidecars of the fleet.
const (
	listRetryBackoffMillis    = 500  // ms before a retry of a list request, at most; doubles with each failure
	maxBackoffShift           = 4    // ... at most so often
	listRetryPerPeerMillis    = 50   // ms more for each peer beyond fewPeers: all of them fail together
	minListRetryShare         = 0.33 // part of Config.ListRefreshLimit that a pause takes at most, with few peers
	maxListRetryShare         = 0.7  // ... and with many; the request itself takes time, too
	fewPeers                  = 20   // peers that may send a request at once
	manyPeers                 = 100  // ... times the shares above are the peers between which the limit is spread
	maxInitialListDelayMillis = 2000 // ms after the start by which a sidecar with many peers has asked
	minPauseFewPeers          = 0.5  // least part of the pause, the rest is random
	minPauseManyPeers         = 0.1
	slowStartSafety           = 2 // a server in slow start is sent at most its overload factor over this
	slowStartBurstShare       = 4 // ... with bursts of at most Config.ColdOverloadTime over this
)

// warmingUp reports whether the server is in slow start.
func (b *Balancer) warmingUp(s *server) bool { return b.now < s.warmUpStart+b.cfg.SlowStartTime }

// slowStartFactor is the least part of its capacity that a server has in slow start; 1 when it is warm.
func (b *Balancer) slowStartFactor(s *server) float64 {
	age := max(0, b.now-s.warmUpStart) / max(b.cfg.SlowStartTime, 1)
	return b.cfg.SlowStartInitialFraction + (1-b.cfg.SlowStartInitialFraction)*min(1, age)
}

// withinSlowStartBudget reports whether a server in slow start may receive an attempt now. The hard limit, a
// token bucket, is half of the allowed multiple of what warm servers of its size answer of this sidecar's
// requests, times its slow start factor. It counts answers, not requests, which clients retry in overload,
// and assumes few: with thirty assumed, small sidecars exceeded what the server bears.
func (b *Balancer) withinSlowStartBudget(s *server) bool {
	perMillis := b.traffic.rate.perMillis(b.now, 1) * s.share / max(b.rotation.totalShare, s.share) *
		max(1, b.cfg.ColdOverloadFactor/slowStartSafety)
	burst := max(1, perMillis*b.cfg.ColdOverloadTime/slowStartBurstShare)
	s.slowStartTokens = min(s.slowStartTokens+perMillis*(b.now-s.tokensUpdatedAt), burst)
	s.tokensUpdatedAt = b.now
	return s.slowStartTokens >= 1
}

// startSlowStart begins a server's slow start. The first budget is random, so that the first attempts of all
// sidecars do not coincide.
func (b *Balancer) startSlowStart(s *server, since float64) {
	s.warmUpStart, s.tokensUpdatedAt, s.seeded = since, b.now, false
	s.slowStartTokens = b.random.draw()
}

// updateServer applies one entry of the server list. A restart clears the server's errors.
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

// requestList subscribes to the server list at the start, with many peers not in the same instant as a fleet
// that starts together: each sidecar has its last list.
func (b *Balancer) requestList() {
	if b.cfg.Peers < fewPeers {
		b.emit(Action{Kind: Subscribe})
		return
	}
	spread := min(listRetryPerPeerMillis/2*float64(b.cfg.Peers), maxInitialListDelayMillis)
	b.emit(Action{Kind: SetTimer, Token: listTimer, At: spread * b.random.draw()})
}

// retryList retries a failed list request after an exponential backoff with jitter, which spreads the
// requests of a whole fleet: discovery pays for one that fails as much as for one that is answered. Few
// sidecars need no spread and had better wait. The pause stays within Config.ListRefreshLimit.
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
