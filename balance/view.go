package balance

// This file shows what a balancer goes by, for records. It decides nothing and changes nothing.

// Why says by which decision a request was ended unserved.
type Why uint8

// The decisions.
const (
	NoWhy   Why = iota
	Shed        // at once, as part of the load that the servers cannot answer within the aims
	Crowded     // probes found no server that would answer in time
	Spent       // what the rules and the bounds allow has been tried
	Aged        // no server could be had before its aim had passed
	Late        // its deadline has come
)

// String names the decision as records do.
func (w Why) String() string {
	return [...]string{"none", "shed", "crowded", "spent", "aged", "late"}[min(w, Late)]
}

// View is what a balancer goes by at a moment.
type View struct {
	Listed, Cold, Resting int     // servers; the cold and those at rest are of the ready ones
	Budgeted              int     // cold servers that may be sent to now
	Steady                float64 // part of the load that is refused lastingly
	LateShare             float64 // recent part of answers after their aim
	Slowness, Quickest    float64 // recent and least mean time of answers, as parts of their aim
	Load, Pace            float64 // open attempts, each as one over its aim, and the rate of answers a millisecond
}

// View returns what the balancer goes by.
func (b *Balancer) View(now float64) View {
	v := View{
		Listed: len(b.servers), Steady: b.steady, LateShare: b.lateShare, Slowness: b.slowness, Quickest: b.quickest,
		Load: b.openLoad(), Pace: b.answers / paceAims / b.longestAim,
	}
	for _, s := range b.servers {
		if s.State != Ready {
			continue
		}
		if now < s.restUntil {
			v.Resting++
		}
		if now < s.coldSince+b.cfg.ColdTime {
			v.Cold++
			if s.tokens >= 1 {
				v.Budgeted++
			}
		}
	}
	return v
}
