package dissemination

import (
	"time"

	"firplank/mesh/timing"
)

const (
	// relayBackoff is how long a relay that failed is left alone.
	relayBackoff = 5 * time.Second
	// maxRelayCandidates is how many relays are tried before a control machine.
	maxRelayCandidates = 2
	// exhaustedFactor times LastResort is the longest time that a sidecar looks for a fresh configuration, where it never gets through
	// all control machines.
	maxSearchFactor = 3
	// maxTrackedFailures bounds the parents whose failures are remembered; beyond it all are forgotten, and tried again.
	maxTrackedFailures = 256
	// unseenOrder is the order of one that the others have not seen lately: after all that never failed, before all that did.
	notSeenRank = -time.Minute
	// neverFailed is subtracted from the order of a control machine that never failed, so that it comes before all that did.
	neverFailedPreference = time.Hour
	// zonePreference is subtracted from that of one of the own zone.
	sameZonePreference = time.Hour
)

// Subscriber decides for one sidecar which publisher it subscribes to, and when it is ready. It is not safe for concurrent use.
//
// A sidecar becomes ready with a configuration that was the newest at most timing.Dissemination.MaxReadyAge ago. What is older comes from
// a control machine that has lost its quorum: the sidecar then goes on to the other control machines, and is ready with what it has only
// when all that it has learned of have failed, and has looked for LastResort (exhaustedFactor times that, where it never gets through
// them all). By then it is cut off from every majority that there may be, and serving by an old configuration is better than not serving.
type Subscriber struct {
	Node, Zone string
	// Seeds are the control machines that the settings name.
	Seeds []string
	// StartedAt is when the sidecar began to look for its first configuration.
	StartedAt time.Duration

	durations   timing.Dissemination
	ready       bool
	lastFailure map[string]time.Duration // by address of the parent
}

// NewSubscriber returns the subscriber of a sidecar that starts now.
func NewSubscriber(node, zone string, t timing.Dissemination, now time.Duration) *Subscriber {
	return &Subscriber{
		Node:        node,
		Zone:        zone,
		StartedAt:   now,
		durations:   t,
		lastFailure: map[string]time.Duration{},
	}
}

// RecordFailure records that a parent could not be reached, was left, or had nothing fresh.
func (s *Subscriber) RecordFailure(addr string, now time.Duration) {
	if len(s.lastFailure) >= maxTrackedFailures {
		clear(s.lastFailure)
	}
	s.lastFailure[addr] = now
}

// Ready reports whether the sidecar is ready, which it stays from then on. It has a version (0: none) that was the newest at asOf, or
// TimeUnknown.
func (s *Subscriber) Ready(now time.Duration, version uint32, asOf time.Duration, machines []ControlMachine) bool {
	searchedFor := now - s.StartedAt
	switch {
	case s.ready:
	case version == 0 || asOf == TimeUnknown:
	case now-asOf <= s.durations.MaxReadyAge:
		s.ready = true
	case searchedFor >= maxSearchFactor*s.durations.StaleFallbackDelay:
		s.ready = true
	default:
		s.ready = searchedFor >= s.durations.StaleFallbackDelay && s.allControlMachinesFailed(machines)
	}
	return s.ready
}

func (s *Subscriber) allControlMachinesFailed(machines []ControlMachine) bool {
	for _, addr := range s.controlMachineAddrs(machines) {
		if _, failed := s.lastFailure[addr]; !failed {
			return false
		}
	}
	return true
}

// controlMachineAddrs returns the addresses of the control machines that were learned, then those of the seeds that are not among them.
func (s *Subscriber) controlMachineAddrs(machines []ControlMachine) []string {
	var addrs []string
	learned := map[string]bool{}
	for _, m := range machines {
		learned[m.Addr] = true
		addrs = append(addrs, m.Addr)
	}
	for _, addr := range s.Seeds {
		if !learned[addr] {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// ShouldSwitch reports whether to look for another parent. The configuration was last confirmed at asOf. A sidecar that is not ready leaves
// a parent at once whose configuration is too old.
func (s *Subscriber) ShouldSwitch(now, asOf time.Duration, link ParentLink) bool {
	if !s.ready && link.Received && link.PartialBytes == 0 && asOf != TimeUnknown && now-asOf > s.durations.MaxReadyAge {
		return true
	}
	return link.Stale(now, asOf, &s.durations)
}

// ChooseParent returns the address to subscribe to: a relay, once the sidecar is ready and has a candidate that is worth an attempt, else
// the control machine that failed longest ago, those of the own zone first, and those last that the others have not seen lately.
// Members are the sidecars of the directory. A sidecar whose configuration was last confirmed so long ago that its parent counts as stale
// turns to the control machines at once: a relay that is cut off as well would cost the time that is left (timing.Durations.Reconnect).
func (s *Subscriber) ChooseParent(
	now, asOf time.Duration, members []Member, machines []ControlMachine,
) (addr string, relay bool) {
	if s.ready && now-asOf <= s.durations.StaleAfter {
		if addr := s.chooseRelay(now, members); addr != "" {
			return addr, true
		}
	}
	zones, notSeen := map[string]string{}, s.notSeenLately(machines)
	for _, m := range machines {
		zones[m.Addr] = m.Zone
	}
	best, bestRank := "", time.Duration(1<<62)
	for _, addr := range s.controlMachineAddrs(machines) {
		if rank := s.attemptRank(addr, zones[addr], notSeen[addr]); rank < bestRank {
			best, bestRank = addr, rank
		}
	}
	return best, false
}

// unseen returns the control machines that were seen longer ago than the latest, by more than timing.Dissemination.UnseenAfter: they
// are down, or cut off from the machine that listed them.
func (s *Subscriber) notSeenLately(machines []ControlMachine) map[string]bool {
	latest := TimeUnknown
	for _, m := range machines {
		latest = max(latest, m.LastSeen)
	}
	notSeen := map[string]bool{}
	for _, m := range machines {
		notSeen[m.Addr] = latest-m.LastSeen > s.durations.NotSeenAfter
	}
	return notSeen
}

// attemptOrder ranks a control machine; the lowest is tried first. It is the time of the last failure; those that never failed come before,
// spread over the sidecars by a hash.
func (s *Subscriber) attemptRank(addr, zone string, notSeen bool) time.Duration {
	if failedAt, failed := s.lastFailure[addr]; failed {
		return failedAt
	}
	if notSeen {
		return notSeenRank
	}
	rank := -neverFailedPreference
	if zone == s.Zone {
		rank -= sameZonePreference
	}
	return rank - time.Duration(hashOf(s.Node+addr)%uint64(time.Minute))
}

// chooseRelay returns the address of the first candidate that has not failed lately; empty: none.
func (s *Subscriber) chooseRelay(now time.Duration, members []Member) string {
	candidates := ParentCandidates(s.Node, members)
	for _, relay := range candidates[:min(len(candidates), maxRelayCandidates)] {
		if failedAt, failed := s.lastFailure[relay.PeerAddr]; !failed || now-failedAt > relayBackoff {
			return relay.PeerAddr
		}
	}
	return ""
}
