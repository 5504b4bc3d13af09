package follow

import "time"

// The calls of a fleet are spread by the sidecars' numbers. If N sidecars start an interval at the same time, each has its own position in
// the interval, so that any part of it contains its share of the N calls, and at most one more. The positions in the next interval are the
// same, rotated by the golden section.
const (
	minProbeInterval      = 4 * time.Second // between a response and the probe that follows
	maxProbeSpread        = 5 * time.Second // added, by the fleet's size and the position
	probeSpreadPerSidecar = 50 * time.Millisecond

	firstDelayPerSidecar = 50 * time.Millisecond // over which a fleet that starts together spreads its first calls
	maxFirstDelay        = 4 * time.Second

	smallFleet        = 20 // sidecars that may all call at once
	backoffBase       = 500 * time.Millisecond
	backoffPerSidecar = 50 * time.Millisecond // for each sidecar beyond smallFleet; doubles with each failure
	maxDoublings      = 4
	minLimitShare     = 0.33 // of the refresh limit that a backoff takes at most, with few sidecars
	maxLimitShare     = 0.7  // ... and with many
	largeFleet        = 100

	agentBackoffBase  = 100 * time.Millisecond // the agent isn't shared; doubles
	maxAgentDoublings = 3

	refetchDelayPerSidecar = 4 * time.Millisecond // between a truncated response and the next call
	maxRefetchDelay        = 1200 * time.Millisecond
	repeatedRefetchDelay   = 250 * time.Millisecond // added after consecutive truncated responses
	goldenSection          = 0.6180339887498949
)

// spread places the calls of one sidecar among those of its fleet.
type spread struct {
	position     float64 // 0 to 1
	sidecars     float64
	pushed       bool
	refreshLimit time.Duration
	turns        int
}

func newSpread(cfg Config) spread {
	n := max(1, cfg.Sidecars)
	if cfg.Pushed { // the agent has no other sidecars
		n = 1
	}
	return spread{
		position: (float64(max(0, cfg.Number)%n) + 0.5) / float64(n), sidecars: float64(n), pushed: cfg.Pushed, refreshLimit: cfg.RefreshLimit,
	}
}

// positionAt returns this sidecar's position, from 0 to 1, after a number of rotations.
func (s *spread) positionAt(turns int) float64 {
	position := s.position + float64(turns)*goldenSection
	return position - float64(int(position))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// firstDelay is the delay of a sidecar's first call.
func (s *spread) firstDelay() time.Duration {
	if s.pushed || s.sidecars < smallFleet {
		return 0
	}
	return scale(min(scale(firstDelayPerSidecar, s.sidecars), maxFirstDelay), s.position)
}

// probeDelay is the delay between a response and the probe that follows.
func (s *spread) probeDelay() time.Duration {
	s.turns++
	return minProbeInterval + scale(max(time.Second, min(maxProbeSpread, scale(probeSpreadPerSidecar, s.sidecars))), s.positionAt(s.turns))
}

// backoff is the delay after a call that failed without a part of a response, by the number of consecutive failures.
func (s *spread) backoff(failures int, moved bool) time.Duration {
	if s.pushed || moved {
		pause := agentBackoffBase << min(failures, maxAgentDoublings)
		return pause/2 + scale(pause/2, s.positionAt(failures))
	}
	pause := backoffBase + scale(backoffPerSidecar, max(0, s.sidecars-smallFleet))
	pause <<= min(failures, maxDoublings)
	pause = min(pause, scale(s.refreshLimit, max(minLimitShare, min(maxLimitShare, s.sidecars/largeFleet))))
	minShare := 0.5
	if s.sidecars >= smallFleet {
		minShare = 0.1
	}
	return scale(pause, minShare+(1-minShare)*s.positionAt(failures))
}

// refetchDelay is the delay before the call that follows a truncated response.
func (s *spread) refetchDelay(failures int) time.Duration {
	wait := scale(min(scale(refetchDelayPerSidecar, s.sidecars), maxRefetchDelay), s.positionAt(failures))
	if failures > 0 {
		wait += repeatedRefetchDelay
	}
	return wait
}
