package dissemination

import (
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/timing"
)

const (
	// relayBackoff is how long a relay is not retried after a failure.
	relayBackoff = 5 * time.Second
	// maxRelayCandidates is the number of relays that are tried before a control machine.
	maxRelayCandidates = 2
	// maxSearchFactor times StaleFallbackDelay is how long a sidecar looks for a fresh configuration at most, even if it has not tried
	// all control machines by then.
	maxSearchFactor = 3
	// maxTrackedFailures is the maximum number of parents whose failures are recorded. When it is reached, all records are cleared, and
	// these parents are tried again.
	maxTrackedFailures = 256
	// notSeenRank is the rank of a control machine that the others have not seen lately: after all that never failed, before all that did.
	notSeenRank = -time.Minute
	// neverFailedPreference is subtracted from the rank of a control machine that never failed, so that it comes before all that did.
	neverFailedPreference = time.Hour
	// sameZonePreference is subtracted from the rank of a control machine that never failed and is in the sidecar's zone.
	sameZonePreference = time.Hour
)

// Subscriber decides for one sidecar which publisher it subscribes to, and when it is ready. It is not safe for concurrent use.
//
// A sidecar becomes ready with a configuration that was the newest at most timing.Dissemination.MaxReadyAge ago. An older one comes from a
// control machine that has lost its quorum. The sidecar then tries the other control machines. It becomes ready with an old configuration
// only after all known control machines have failed and StaleFallbackDelay has passed, or after maxSearchFactor times that delay if it has
// not tried them all. By then it is cut off from any majority, and serving with an old configuration is better than not serving.
type Subscriber struct {
	Node, Zone string
	// Seeds are the addresses of the control machines named in the settings.
	Seeds []string
	// StartedAt is when the sidecar started to look for its first configuration.
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

// RecordFailure records that a parent could not be reached, was left as stale, or had no fresh configuration.
func (s *Subscriber) RecordFailure(addr string, now time.Duration) {
	if len(s.lastFailure) >= maxTrackedFailures {
		clear(s.lastFailure)
	}
	s.lastFailure[addr] = now
}

// Ready reports whether the sidecar is ready. Once ready, it stays ready. version is the sidecar's configuration version (or None),
// which was the newest at asOf (TimeUnknown if that is not known).
func (s *Subscriber) Ready(now time.Duration, version configversion.Version, asOf time.Duration, machines []ControlMachine) bool {
	searchedFor := now - s.StartedAt
	switch {
	case s.ready:
	case version == configversion.None || asOf == TimeUnknown:
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

// controlMachineAddrs returns the addresses of the control machines learned from updates, then those of the seeds that are not among them.
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
// a parent with too old a configuration at once.
func (s *Subscriber) ShouldSwitch(now, asOf time.Duration, link ParentLink) bool {
	if !s.ready && link.Received && link.PartialBytes == 0 && asOf != TimeUnknown && now-asOf > s.durations.MaxReadyAge {
		return true
	}
	return link.Stale(now, asOf, &s.durations)
}

// ChooseParent returns the address to subscribe to, and whether it is a relay. members are the sidecars in the directory.
//
// A relay is chosen if the sidecar is ready, its configuration was confirmed within StaleAfter (asOf), and a relay candidate is not in
// backoff. Otherwise the control machine with the lowest attemptRank is chosen. A sidecar with a stale configuration goes to the control
// machines directly, as a relay that is cut off as well would take the time that is left (timing.Durations.Reconnect).
func (s *Subscriber) ChooseParent(
	now, asOf time.Duration, members []Member, machines []ControlMachine,
) (addr string, relay bool) {
	if s.ready && now-asOf <= s.durations.StaleAfter {
		if addr := s.chooseRelay(now, members); addr != "" {
			return addr, true
		}
	}
	zones, notSeenLately := map[string]string{}, s.notSeenLately(machines)
	for _, m := range machines {
		zones[m.Addr] = m.Zone
	}
	best, bestRank := "", time.Duration(1<<62)
	for _, addr := range s.controlMachineAddrs(machines) {
		if rank := s.attemptRank(addr, zones[addr], notSeenLately[addr]); rank < bestRank {
			best, bestRank = addr, rank
		}
	}
	return best, false
}

// notSeenLately returns, by address, whether a control machine was last seen more than timing.Dissemination.NotSeenAfter before the most
// recently seen one. Such a machine is down, or cut off from the machine that sent the list.
func (s *Subscriber) notSeenLately(machines []ControlMachine) map[string]bool {
	latest := TimeUnknown
	for _, m := range machines {
		latest = max(latest, m.LastSeen)
	}
	notSeenLately := map[string]bool{}
	for _, m := range machines {
		notSeenLately[m.Addr] = latest-m.LastSeen > s.durations.NotSeenAfter
	}
	return notSeenLately
}

// attemptRank returns the rank of a control machine; the lowest is tried first. The rank of a machine that failed is the time of its last
// failure. Machines that never failed come first, those of the sidecar's zone before the others, in an order that differs between sidecars
// by a hash, so that the load is spread. Machines not seen lately come between the two groups.
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

// chooseRelay returns the address of the first of maxRelayCandidates candidates that has not failed within relayBackoff, or "" if there is
// none.
func (s *Subscriber) chooseRelay(now time.Duration, members []Member) string {
	candidates := ParentCandidates(s.Node, members)
	for _, relay := range candidates[:min(len(candidates), maxRelayCandidates)] {
		if failedAt, failed := s.lastFailure[relay.PeerAddr]; !failed || now-failedAt > relayBackoff {
			return relay.PeerAddr
		}
	}
	return ""
}
