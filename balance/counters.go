package balance

import "math"

// maxLatencySamples is the greatest number of answers over which a class's latency is averaged.
const maxLatencySamples = 300

// counter counts the requests of a class or tenant. It starts at 1, so that it is never 0.
type counter struct {
	requests float64
	share    float64 // of the service, by the tenant's quota; 0: unlimited
}

// classStats averages the latency of a class's answers and counts its requests.
type classStats struct {
	counter
	count        float64 // answers, at most maxLatencySamples
	mean         float64 // latency in ms
	deviation    float64 // mean absolute deviation in ms
	maxRemaining float64 // longest remaining time of a request on arrival, in ms
	value        float64 // of a request served in time
	failedAt     float64 // when a server last failed it
	expected     float64 // mean of the class's health over all servers
}

// add records the latency of an answer in ms, with at least the given gain.
func (c *classStats) add(latency, gain float64) {
	c.count = min(c.count+1, maxLatencySamples)
	gain = max(gain, 1/c.count)
	c.mean += (latency - c.mean) * gain
	c.deviation += (math.Abs(latency-c.mean) - c.deviation) * gain
}

// traffic holds the statistics of this sidecar's requests and their answers.
type traffic struct {
	classes        []classStats
	tenants        []counter // the last one is for requests without a tenant
	overShareValue float64   // Config.OverShareValue
	rate           rateEstimator
	latency        latencyStats
}

// newTraffic returns the initial statistics, without classes.
func newTraffic(cfg *Config) traffic {
	t := traffic{
		classes:        make([]classStats, 0, len(cfg.Classes)),
		tenants:        make([]counter, len(cfg.Tenants)+1),
		overShareValue: cfg.OverShareValue,
		latency:        latencyStats{bestRatio: initialLatencyRatio, meanRatio: initialLatencyRatio},
	}
	for i := range t.tenants {
		t.tenants[i].requests = 1
		if i < len(cfg.Tenants) {
			t.tenants[i].share = cfg.Tenants[i].Share
		}
	}
	return t
}

// addClass adds a class whose requests have the given value.
func (t *traffic) addClass(value float64) {
	t.classes = append(t.classes, classStats{
		counter:  counter{requests: 1},
		value:    value,
		failedAt: math.Inf(-1),
		expected: 1,
	})
}

// totalRequests counts all requests of this sidecar.
func (t *traffic) totalRequests() float64 {
	sum := 0.0
	for c := range t.classes {
		sum += t.classes[c].requests
	}
	return sum
}

// tenant returns the counter of a tenant; the last one is for requests without a tenant.
func (t *traffic) tenant(i int) *counter {
	last := len(t.tenants) - 1
	if i < 0 || i > last {
		i = last
	}
	return &t.tenants[i]
}
