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
	// maxClasses bounds the classes of one service; beyond it a route shares a class of its kind.
	maxClasses = 48
	// maxWarmUpMillis bounds for how long a server counts as warming up after its start.
	maxWarmUpMillis = 3000
	// warmUpStepMillis is what starts of servers are rounded to, so that two computations of the same one agree.
	warmUpStepMillis = 500
	// maxAttempts is how often a request is sent, counting attempts that were rejected ahead of a server.
	maxAttempts = 8
	// backlogShare is the part of its latency target for which a request waits for a free server, and urgentBacklogShare that of one of the
	// first rank.
	backlogShare       = 0.2
	urgentBacklogShare = 0.9
	// lateWorth is the value of a response after its latency target, as a part of its full value.
	lateWorth = 0.3
	// crossZonePrice is the cost of a request that crosses zones, as a part of its value: it gives a server of the own zone 2.5 times the
	// weight of another. What the own zone has no room for is forwarded by its admission control.
	crossZonePrice = 0.0144
	// retryAfterShare is the part of its latency target for which a rejected client is to stay away, and maxRetryAfterMillis bounds it.
	retryAfterShare     = 0.5
	maxRetryAfterMillis = 1000
	// retryBudgetShare is the part of the retry budget that is handed out: the rest is for requests that a retry causes further on.
	retryBudgetShare = 0.5
	// coldShare is the capacity of a server at its start, as a part of its full capacity. One that warms up and gets more than fallMultiple of
	// its capacity for fallMillis fails (balance.Config has the definitions).
	coldShare    = 0.5
	fallMultiple = 8
	fallMillis   = 1000
	// millisPerSecond converts the configuration's seconds to the balancer's milliseconds.
	millisPerSecond = 1000
)

// service is one service as this sidecar sends to it: an exchange, with a balancer and a retry budget of its own. Its methods are safe for
// concurrent use.
type service struct {
	name     string
	zone     string // of this sidecar
	inFlight *inflight.Tracker[*core.Attempt]
	exchange *core.Loop
	split    rollout.Split // of requests between the versions

	mu         sync.Mutex
	classes    map[classKey]int
	classCount int
}

// classKey is what routes of one class have in common.
type classKey struct {
	kind       config.Kind
	targetS    float64
	timeoutS   float64
	precedence int
	rank       int
}

// newService starts the exchange of a service, which runs until the process ends.
func (p *Proxy) newService(name string) *service {
	settings := p.settings.Load()
	zones, own := numberZones(settings)
	s := &service{name: name, zone: settings.Zone, inFlight: p.inFlight, classes: map[classKey]int{}}
	s.exchange = core.New(p.ctx, core.Config{
		Balance: balance.Config{
			Seed:                     hashSeed(settings.NodeName+name) ^ uint64(p.start.UnixNano()),
			Zone:                     own,
			MaxAttempts:              maxAttempts,
			Cancel:                   true,
			RetryAfter:               true,
			MaxRetryAfter:            maxRetryAfterMillis,
			ConnectTimeout:           float64(hopConnectTimeout / time.Millisecond),
			ConnIdle:                 float64(hopIdleTimeout / time.Millisecond),
			StreamsPerConn:           1,
			SlowStartInitialFraction: coldShare,
			SlowStartTime:            maxWarmUpMillis,
			ColdOverloadFactor:       fallMultiple,
			ColdOverloadTime:         fallMillis,
			Goal:                     balance.Goal{Total: 1},
			Penalties:                balance.Penalties{CrossZone: crossZonePrice},
			RetryAfterFraction:       retryAfterShare,
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
		Observer:         &observer{service: name, log: p.log, figures: p.figures, limit: p.failures},
	})
	go s.exchange.Run()                                 // the exchange ends with p.ctx; End waits for its requests
	if schedule := p.shutdown.Load(); schedule != nil { // else shutDown tells the exchanges that there are
		s.exchange.Shutdown(schedule.cut)
	}
	return s
}

// numberZones numbers the zones of the settings for the balancer, and returns the number of the own one.
func numberZones(settings *bootstrap.Settings) (zones map[string]int, own int) {
	zones = map[string]int{}
	for name := range settings.Zones {
		zones[name] = len(zones)
	}
	own, ok := zones[settings.Zone]
	if !ok {
		own = len(zones)
	}
	return zones, own
}

// newRetryBudget is this sidecar's part of a service's retry budget, where there are so many sidecars.
func newRetryBudget(b *bootstrap.Bounds, sidecars int) *retrybudget.Budget {
	slack := b.RetrySlack * retryBudgetShare / float64(max(1, sidecars))
	return retrybudget.New(b.RetryRatio*retryBudgetShare, slack, float64(b.RetryWindow/time.Millisecond))
}

// class is the number of a route's class, which may be new.
func (s *service) class(r *config.Route) int {
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
	s.exchange.AddClass(classOf(r))
	return number
}

// classOf is the balancer's class of a route.
func classOf(r *config.Route) balance.Class {
	c := balance.Class{
		Effect:          balance.Safe,
		LatencyTarget:   r.LatencyTargetS * millisPerSecond,
		Deadline:        r.Action.TimeoutS * millisPerSecond,
		Value:           1 / (1 + math.Max(0, float64(r.Precedence))),
		LateValue:       lateWorth,
		DedupWindow:     math.Inf(1),
		MaxWaitFraction: backlogShare,
	}
	if r.Rank == 0 {
		c.MaxWaitFraction = urgentBacklogShare
	}
	if !r.Idempotent() {
		c.Effect = balance.Unsafe
	}
	if c.LatencyTarget <= 0 || c.LatencyTarget > c.Deadline {
		c.LatencyTarget = c.Deadline
	}
	return c
}

// setEndpoints brings the exchange to the servers of a directory, and the attempts in flight to their sidecars' incarnations.
// Eligible tells what a rollout makes of a server of a version.
func (s *service) setEndpoints(entries []directory.Entry, eligible func(version string) rollout.Eligibility, now time.Duration) {
	list := &roster.List{Complete: true, ZonePreference: s.localWeight(entries)}
	clockMillis := float64(time.Now().UnixMicro()) / 1000
	for i := range entries {
		e := &entries[i]
		draining := e.State == directory.Closing || e.State == directory.Draining
		if e.Service != s.name || e.Lost || e.Server == "" || e.State != directory.Accepting && !draining {
			continue
		}
		m := roster.Member{ID: e.Server, HostPort: e.Addr, Locality: e.Zone, Phase: "ready", Size: 1, PathIncarnation: e.Incarnation}
		switch eligibility := eligible(e.Version); {
		case draining || eligibility == rollout.NotEligible:
			m.Phase = "draining"
		case eligibility == rollout.CanaryOnly:
			m.Candidate = true
		}
		if left := float64(e.WarmUntil-now) / float64(time.Millisecond); left > 0 {
			started := clockMillis + left - maxWarmUpMillis
			m.UpSince = math.Max(1, math.Round(started/warmUpStepMillis)*warmUpStepMillis)
		}
		list.Members = append(list.Members, m)
		s.inFlight.SetAnnouncedIncarnation(e.Addr, e.Incarnation)
	}
	s.exchange.Listed(list)
}

// localWeight is the factor for the weight of the own zone's servers, by what there is in it and everywhere.
func (s *service) localWeight(entries []directory.Entry) float64 {
	var own, all locality.Zone
	for i := range entries {
		e := &entries[i]
		if e.Lost {
			continue
		}
		slots := 0
		if e.Service == s.name && e.State == directory.Accepting {
			slots = max(1, e.Slots)
		}
		all.Callers++
		all.Slots += slots
		if e.Zone == s.zone {
			own.Callers++
			own.Slots += slots
		}
	}
	return locality.LocalWeight(own, all)
}
