package balance

// Cause is the decision because of which a request ended unserved.
type Cause uint8

// The causes.
const (
	NoCause           Cause = iota
	LoadShed                // shed before any attempt, as the servers cannot answer all load within the latency targets
	Overloaded              // probes found no server that would answer in time
	AttemptsExhausted       // the rules, the limits or the retry budget allow no further attempt
	WaitExpired             // no server was available within the time that the request may wait for one
	DeadlineExceeded        // its deadline has passed
)

// String returns the cause's name in log records.
func (c Cause) String() string {
	return [...]string{"none", "shed", "crowded", "spent", "aged", "late"}[min(c, DeadlineExceeded)]
}

// Snapshot is the part of a balancer's state that its decisions depend on most, for log records.
type Snapshot struct {
	Listed           int     // servers
	WarmingUp        int     // ready servers in slow start
	Ejected          int     // ready servers that are ejected
	WithinBudget     int     // servers in slow start that may receive an attempt now
	SteadyShed       float64 // steady part of the load to shed
	LateShare        float64 // recent share of attempts that ended after their latency target
	LatencyRatio     float64 // recent mean latency, as a multiple of the latency target
	BestLatencyRatio float64 // lowest recent mean latency so far, as a multiple of the latency target
	Load             float64 // sum over the attempts in flight of one over their latency target in ms
	AnswerRate       float64 // rate of answers per ms
}

// Snapshot returns the state at a time in ms. It does not change the balancer.
func (b *Balancer) Snapshot(now float64) Snapshot {
	snap := Snapshot{
		Listed:           len(b.servers),
		SteadyShed:       b.shedder.steadyShed,
		LateShare:        b.traffic.latency.lateShare,
		LatencyRatio:     b.traffic.latency.meanRatio,
		BestLatencyRatio: b.traffic.latency.bestRatio,
		Load:             b.openLoad(),
		AnswerRate:       b.traffic.rate.longCount / rateWindowTargets / b.maxLatencyTarget,
	}
	for _, s := range b.servers {
		if s.State != Ready {
			continue
		}
		if s.isEjected(now) {
			snap.Ejected++
		}
		if now < s.warmUpStart+b.cfg.SlowStartTime {
			snap.WarmingUp++
			if s.slowStartTokens >= 1 {
				snap.WithinBudget++
			}
		}
	}
	return snap
}
