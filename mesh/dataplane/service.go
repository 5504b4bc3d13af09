package dataplane

import (
	"math"
	"sync"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/roster"
	"firplank/mesh/bootstrap"
	"firplank/mesh/config"
	"firplank/mesh/dataplane/inflight"
	"firplank/mesh/directory"
	"firplank/mesh/locality"
	"firplank/mesh/retrybudget"
	"firplank/mesh/rollout"
)

const (
	// maxClasses bounds the classes of one service; a further route shares an existing class that is as idempotent as itself.
	maxClasses = 48
	// slowStartMillis is how long after its start a server has its full capacity at the latest.
	slowStartMillis = 3000
	// warmUpRoundingMillis is the multiple to which start times of servers are rounded, so that two computations of the same one agree.
	warmUpRoundingMillis = 500
	// maxAttempts bounds the attempts of a request, including those that were rejected before they reached a server.
	maxAttempts = 8
	// maxWaitFraction is the fraction of its latency target for which a request may wait for a free server, and topRankMaxWaitFraction that
	// of a request of rank 0.
	maxWaitFraction        = 0.2
	topRankMaxWaitFraction = 0.9
	// lateValueFraction is the value of a response after its latency target, as a fraction of its full value.
	lateValueFraction = 0.3
	// crossZonePenalty is the cost of a request that crosses zones, as a fraction of its value. It gives a server of the sidecar's zone 2.5
	// times the weight of another. Requests beyond that zone's capacity are rejected by admission control and forwarded to other zones.
	crossZonePenalty = 0.0144
	// retryAfterFraction is the fraction of its latency target after which a rejected client may retry, and maxRetryAfterMillis bounds it.
	retryAfterFraction  = 0.5
	maxRetryAfterMillis = 1000
	// retryBudgetFraction is the fraction of the retry budget that is handed out. The rest covers the requests that a retry causes further
	// downstream.
	retryBudgetFraction = 0.5
	// slowStartInitialFraction is the capacity of a server at its start, as a fraction of its full capacity. A server in slow start fails if
	// it is sent more than coldOverloadFactor times its capacity for coldOverloadMillis (see balance.Config).
	slowStartInitialFraction = 0.5
	coldOverloadFactor       = 8
	coldOverloadMillis       = 1000
	// millisPerSecond converts seconds of the configuration to milliseconds of the balancer.
	millisPerSecond = 1000
)

// service is the sending side of this sidecar towards one service: an exchange with its own balancer and retry budget. Its methods are safe
// for concurrent use.
type service struct {
	name     string
	zone     string // of this sidecar
	inFlight *inflight.Tracker[*core.Attempt]
	exchange *core.Loop
	split    rollout.Split // of requests between the versions during a rollout

	mu         sync.Mutex
	classes    map[classKey]int
	classCount int
}

// classKey identifies a class: the properties that its routes share.
type classKey struct {
	kind       config.Kind
	targetS    float64
	timeoutS   float64
	precedence int
	rank       int
}

// newService starts the exchange of a service, which runs until p.ctx ends.
func (p *Proxy) newService(name string) *service {
	settings := p.settings.Load()
	zones, ownZone := numberZones(settings)
	s := &service{name: name, zone: settings.Zone, inFlight: p.inFlight, classes: map[classKey]int{}}
	s.exchange = core.New(p.ctx, core.Config{
		Balance: balance.Config{
			Seed:                     hashSeed(settings.NodeName+name) ^ uint64(p.start.UnixNano()),
			Zone:                     ownZone,
			MaxAttempts:              maxAttempts,
			Cancel:                   true,
			RetryAfter:               true,
			MaxRetryAfter:            maxRetryAfterMillis,
			ConnectTimeout:           float64(hopConnectTimeout / time.Millisecond),
			ConnIdle:                 float64(hopIdleTimeout / time.Millisecond),
			StreamsPerConn:           1,
			SlowStartInitialFraction: slowStartInitialFraction,
			SlowStartTime:            slowStartMillis,
			ColdOverloadFactor:       coldOverloadFactor,
			ColdOverloadTime:         coldOverloadMillis,
			Goal:                     balance.Goal{Total: 1},
			Penalties:                balance.Penalties{CrossZone: crossZonePenalty},
			RetryAfterFraction:       retryAfterFraction,
			LastHop:                  true,
			RetryBudget:              newRetryBudget(&settings.Bounds, p.node.State().Directory.Len()),
		},
		Zones:            zones,
		Kinds:            map[string]int{},
		InitialList:      &roster.List{},
		Backend:          func(string) core.Backend { return p.sidecarPool },
		Log:              p.slog,
		CancelAtUnlisted: true,
		Invariants:       p.invariants,
		Observer:         &observer{service: name, log: p.log, metrics: p.metrics, logLimit: p.failureLogLimit},
	})
	go s.exchange.Run()                                 // it ends with p.ctx; front.End waits for its requests
	if schedule := p.shutdown.Load(); schedule != nil { // otherwise shutDown notifies the existing exchanges
		s.exchange.Shutdown(schedule.abortRequestsAt)
	}
	return s
}

// numberZones assigns the balancer's numbers to the zones of the settings, and returns that of this sidecar's zone.
func numberZones(settings *bootstrap.Settings) (zones map[string]int, ownZone int) {
	zones = map[string]int{}
	for name := range settings.Zones {
		zones[name] = len(zones)
	}
	ownZone, ok := zones[settings.Zone]
	if !ok {
		ownZone = len(zones)
	}
	return zones, ownZone
}

// newRetryBudget returns this sidecar's share of a service's retry budget; sidecars is the number of sidecars that share it.
func newRetryBudget(b *bootstrap.Bounds, sidecars int) *retrybudget.Budget {
	slack := b.RetrySlack * retryBudgetFraction / float64(max(1, sidecars))
	return retrybudget.New(b.RetryRatio*retryBudgetFraction, slack, float64(b.RetryWindow/time.Millisecond))
}

// classNumber returns the number of a route's class, and adds the class if it is new.
func (s *service) classNumber(r *config.Route) int {
	key := classKey{r.Kind, r.LatencyTargetS, r.Action.TimeoutS, r.Precedence, r.Rank}
	s.mu.Lock()
	defer s.mu.Unlock()
	if number, ok := s.classes[key]; ok {
		return number
	}
	if s.classCount >= maxClasses {
		for other, number := range s.classes {
			if (other.kind == config.Unsafe) == (key.kind == config.Unsafe) {
				return number
			}
		}
	}
	number := s.classCount
	s.classCount++
	s.classes[key] = number
	s.exchange.AddClass(balanceClass(r))
	return number
}

// balanceClass returns the balancer's class for a route.
func balanceClass(r *config.Route) balance.Class {
	c := balance.Class{
		Effect:          balance.Safe,
		LatencyTarget:   r.LatencyTargetS * millisPerSecond,
		Deadline:        r.Action.TimeoutS * millisPerSecond,
		Value:           1 / (1 + math.Max(0, float64(r.Precedence))),
		LateValue:       lateValueFraction,
		DedupWindow:     math.Inf(1),
		MaxWaitFraction: maxWaitFraction,
	}
	if r.Rank == 0 {
		c.MaxWaitFraction = topRankMaxWaitFraction
	}
	if !r.Idempotent() {
		c.Effect = balance.Unsafe
	}
	if c.LatencyTarget <= 0 || c.LatencyTarget > c.Deadline {
		c.LatencyTarget = c.Deadline
	}
	return c
}

// setEndpoints updates the exchange to the servers of a directory, and the tracker of attempts in flight to the incarnations of their
// sidecars. eligibilityOf returns which requests a rollout permits for servers of a version.
func (s *service) setEndpoints(entries []directory.Entry, eligibilityOf func(version string) rollout.Eligibility, now time.Duration) {
	list := &roster.List{Complete: true, ZonePreference: s.localWeight(entries)}
	clockMillis := float64(time.Now().UnixMicro()) / 1000
	for i := range entries {
		e := &entries[i]
		draining := e.State == directory.Closing || e.State == directory.Draining
		if e.Service != s.name || e.Lost || e.Server == "" || e.State != directory.Accepting && !draining {
			continue
		}
		m := roster.Member{ID: e.Server, HostPort: e.Addr, Locality: e.Zone, Phase: "ready", Size: 1, PathIncarnation: e.Incarnation}
		switch eligibility := eligibilityOf(e.Version); {
		case draining || eligibility == rollout.NotEligible:
			m.Phase = "draining"
		case eligibility == rollout.CanaryOnly:
			m.Candidate = true
		}
		if remainingMillis := float64(e.WarmUntil-now) / float64(time.Millisecond); remainingMillis > 0 {
			startedMillis := clockMillis + remainingMillis - slowStartMillis
			m.UpSince = math.Max(1, math.Round(startedMillis/warmUpRoundingMillis)*warmUpRoundingMillis)
		}
		list.Members = append(list.Members, m)
		s.inFlight.SetAnnouncedIncarnation(e.Addr, e.Incarnation)
	}
	s.exchange.Listed(list)
}

// localWeight returns the factor for the weight of servers in this sidecar's zone, from the callers and slots there and in all zones.
func (s *service) localWeight(entries []directory.Entry) float64 {
	var ownZone, allZones locality.Zone
	for i := range entries {
		e := &entries[i]
		if e.Lost {
			continue
		}
		slots := 0
		if e.Service == s.name && e.State == directory.Accepting {
			slots = max(1, e.Slots)
		}
		allZones.Callers++
		allZones.Slots += slots
		if e.Zone == s.zone {
			ownZone.Callers++
			ownZone.Slots += slots
		}
	}
	return locality.LocalWeight(ownZone, allZones)
}
