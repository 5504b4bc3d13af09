package balance

// Cause is the decision by which a request ended unserved.
type Cause uint8

// The causes.
const (
	NoCause           Cause = iota
	LoadShed                // at once, as part of the load that the servers cannot answer within the latency targets
	Overloaded              // probes found no server that would answer in time
	AttemptsExhausted       // no further attempt is allowed by the rules, the limits or the retry budget
	WaitExpired             // no server was available in the time for which it may wait for one
	DeadlineExceeded        // its deadline has passed
)

// String returns the cause's name in records.
func (c Cause) String() string {
	return [...]string{"none", "shed", "crowded", "spent", "aged", "late"}[min(c, DeadlineExceeded)]
}

// Snapshot is the state that a balancer's decisions depend on most, for records.
type Snapshot struct {
	Listed           int     // servers
	WarmingUp        int     // ready servers in slow start
	Ejected          int     // ready servers that are ejected
	WithinBudget     int     // servers in slow start that may receive an attempt now
	SteadyShed       float64 // part of the load that is shed lastingly
	LateShare        float64 // recent share of attempts that ended after their latency target
	LatencyRatio     float64 // recent mean latency, as a multiple of the latency target
	BestLatencyRatio float64 // least recent mean latency so far, likewise
	Load             float64 // attempts in flight, each as one over its latency target in ms
	AnswerRate       float64 // rate of answers per ms
}

// Snapshot returns the present state at a time in ms. It changes nothing.
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
