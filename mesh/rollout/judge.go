package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Parameters of the tests. Both tests are one-sided: a new version that is better than the old one is never called bad.
const (
	// minAllowedFailureRate is the failure rate that any version may have. minSuspectFailureRate is the lowest failure rate that the
	// sequential test distinguishes from an allowed one.
	minAllowedFailureRate = 0.02
	minSuspectFailureRate = 0.15
	// The suspect rate of a test is suspectFactor times the allowed one, but at least the test's lowest suspect rate and at most
	// maxSuspectRate.
	suspectFactor  = 3
	maxSuspectRate = 0.9
	// A response counts as slow from the latency that at most baseTailShare of the old version's responses reach. minAllowedSlowRate is the
	// share of slow responses that any version may have. minSuspectSlowRate is the lowest share that the test distinguishes from an allowed
	// one.
	baseTailShare      = 0.05
	minAllowedSlowRate = 0.08
	minSuspectSlowRate = 0.25
	// While the new version gets all requests, it alone is affected by faults of the service as a whole: bursts, lost or garbled responses.
	// Therefore a response then counts as slow only promotingMarginBuckets later, minPromotingAllowedRate of the requests may fail or be slow,
	// and the test distinguishes that from a rate of at least minPromotingSuspectRate.
	promotingMarginBuckets  = bucketsPerDoubling
	minPromotingAllowedRate = 0.1
	minPromotingSuspectRate = 0.35
	// falseAlarmLogRatio is the log-likelihood ratio from which on a version is called bad. It is the logarithm of one over the probability
	// of a false alarm, for each time that the test restarts.
	falseAlarmLogRatio = 9.2 // 1 in 10,000
	// minBaseLatencies is the least number of the old version's latencies for a comparison.
	minBaseLatencies = 20
	// minServersToExclude is the least number of servers of a version for the worst one to be excluded, so that the fault of a single server
	// does not count as a fault of its version.
	minServersToExclude = 3
)

// Statistics counts the requests of one class of routes at one server. The counts only grow, and those of several servers can be added.
type Statistics struct {
	Class              uint32 // class of routes
	Requests, Failures uint32
	Latencies          Latencies // of the requests that succeeded outside a slow start
}

// Record counts a request. Latencies during a slow start are not representative and are left out.
func (s *Statistics) Record(failed, warmingUp bool, latency time.Duration) {
	s.Requests++
	switch {
	case failed:
		s.Failures++
	case !warmingUp:
		s.Latencies.Record(latency)
	}
}

// add adds the counts of another server.
func (s *Statistics) add(o *Statistics) {
	s.Requests += o.Requests
	s.Failures += o.Failures
	s.Latencies.add(&o.Latencies)
}

// since returns what was counted since an earlier state. Lower counts than in that state mean that the process has restarted and counted
// from zero.
func (s *Statistics) since(earlier *Statistics) Statistics {
	if earlier.Requests > s.Requests || earlier.Failures > s.Failures {
		return *s
	}
	return Statistics{
		Class:     s.Class,
		Requests:  s.Requests - earlier.Requests,
		Failures:  s.Failures - earlier.Failures,
		Latencies: s.Latencies.since(&earlier.Latencies),
	}
}

// smoothedFailureRate is the share of failures, with one failure in 50 requests added so that few requests don't give too low a rate.
func (s *Statistics) smoothedFailureRate() float64 {
	return float64(s.Failures+1) / float64(s.Requests+50)
}

// Sample is what the last hop of a server has counted since it received the rollout.
type Sample struct {
	Node      string // the server's machine
	Candidate bool   // the server runs the new version
	Classes   []Statistics
}

// Verdict is the result of a comparison of a new version with the old one.
type Verdict struct {
	Bad bool
	// Reason describes the evidence.
	Reason string
	// Requests is the number of requests that the new version has answered, and BaseRequests the number that the old version has.
	Requests, BaseRequests uint32
}

// Judge compares a new version with the old one for each class of routes, by the share of failures and by the share of slow responses. Each
// is a sequential probability ratio test (Wald, 1945) that restarts whenever it favours the new version (a cumulative sum, Page, 1954), so
// that a version that turns bad late is detected as quickly as one that is bad from the start. The worst server of the new version is
// excluded where the version has at least minServersToExclude. A Judge is not safe for concurrent use. The zero value is ready for use.
type Judge struct {
	failureBaselines, slownessBaselines map[uint32]baseline // by class
}

// baseline is what the servers had counted when a test last restarted, by node.
type baseline map[string]Statistics

// serverCounts is what one server has counted for one class of routes.
type serverCounts struct {
	node string
	*Statistics
}

// since returns what the server has counted since a baseline.
func (c *serverCounts) since(b baseline) Statistics {
	start := b[c.node]
	return c.Statistics.since(&start)
}

// classSamples are the counts of one class of routes, by version.
type classSamples struct {
	old, candidate []serverCounts
	oldTotal       Statistics // the sum over the servers of the old version
}

// Evaluate compares the versions by all that their servers have counted so far.
func (j *Judge) Evaluate(stage Stage, samples []Sample) Verdict {
	if j.failureBaselines == nil {
		j.failureBaselines, j.slownessBaselines = map[uint32]baseline{}, map[uint32]baseline{}
	}
	verdict := Verdict{}
	for _, class := range classesOf(samples) {
		classCounts := samplesOfClass(samples, class)
		verdict.BaseRequests += classCounts.oldTotal.Requests
		for i := range classCounts.candidate {
			verdict.Requests += classCounts.candidate[i].Requests
		}
		if reason := j.judgeClass(stage, class, &classCounts); reason != "" && !verdict.Bad {
			verdict.Bad, verdict.Reason = true, reason
		}
	}
	if !verdict.Bad {
		verdict.Reason = fmt.Sprintf("%d requests of the new version, none of its classes of routes worse", verdict.Requests)
	}
	return verdict
}

func classesOf(samples []Sample) []uint32 {
	var classes []uint32
	for i := range samples {
		for j := range samples[i].Classes {
			classes = append(classes, samples[i].Classes[j].Class)
		}
	}
	slices.Sort(classes)
	return slices.Compact(classes)
}

func samplesOfClass(samples []Sample, class uint32) (counts classSamples) {
	for i := range samples {
		index := slices.IndexFunc(samples[i].Classes, func(s Statistics) bool { return s.Class == class })
		if index < 0 {
			continue
		}
		server := serverCounts{node: samples[i].Node, Statistics: &samples[i].Classes[index]}
		if samples[i].Candidate {
			counts.candidate = append(counts.candidate, server)
		} else {
			counts.old = append(counts.old, server)
			counts.oldTotal.add(server.Statistics)
		}
	}
	return counts
}

// sumSince returns the sum of what servers have counted since a baseline.
func sumSince(servers []serverCounts, b baseline) (sum Statistics) {
	var delta Statistics
	for i := range servers {
		delta = servers[i].since(b)
		sum.add(&delta)
	}
	return sum
}

// setBaseline sets a baseline to what the servers have counted so far.
func (s *classSamples) setBaseline(b baseline) {
	clear(b)
	for _, servers := range [...][]serverCounts{s.old, s.candidate} {
		for i := range servers {
			b[servers[i].node] = *servers[i].Statistics
		}
	}
}

// judgeClass returns why the new version is bad for a class of routes, or an empty string if it is not.
func (j *Judge) judgeClass(stage Stage, class uint32, counts *classSamples) string {
	marginBuckets := 0
	hasAllRequests := stage == Promoting
	if hasAllRequests {
		marginBuckets = promotingMarginBuckets
	}
	if bad, reason := runTest(j.failureBaselines, class, counts, hasAllRequests, newFailureTest); bad {
		return reason
	}
	_, reason := runTest(j.slownessBaselines, class, counts, hasAllRequests, func(base, recent *Statistics) (rateTest, bool) {
		return newSlownessTest(base, recent, marginBuckets)
	})
	return reason
}

// rateTest is a sequential test of the rate of one kind of bad event, such as a failure.
type rateTest struct {
	name                     string
	allowedRate, suspectRate float64
	countIn                  func(s *Statistics) (bad, total uint32)
}

// testBuilder returns the test for what the old version's servers have counted in all and since the test last restarted. It returns ok =
// false where there is too little data.
type testBuilder func(base, recent *Statistics) (t rateTest, ok bool)

// runTest runs a test on what was counted since its last restart, and restarts it where it favours the new version. If hasAllRequests is
// set, the new version gets all requests, and the rates of a promotion apply.
func runTest(
	baselines map[uint32]baseline, class uint32, counts *classSamples, hasAllRequests bool, build testBuilder,
) (bad bool, reason string) {
	start := baselines[class]
	if start == nil {
		start = baseline{}
		baselines[class] = start
	}
	recent := sumSince(counts.old, start)
	t, ok := build(&counts.oldTotal, &recent)
	if hasAllRequests {
		t.allowedRate = max(t.allowedRate, minPromotingAllowedRate)
		t.suspectRate = suspectRateOf(t.allowedRate, minPromotingSuspectRate)
	}
	if !ok || t.allowedRate >= t.suspectRate {
		return false, ""
	}
	if t.logRatio(t.count(counts.candidate, start, false)) <= 0 {
		counts.setBaseline(start)
		return false, ""
	}
	failed, total := t.count(counts.candidate, start, len(counts.candidate) >= minServersToExclude)
	if t.logRatio(failed, total) <= falseAlarmLogRatio {
		return false, ""
	}
	return true, fmt.Sprintf("class %08x: %d of %d requests %s at the new version, %.3f allowed by the old one",
		class, failed, total, t.name, t.allowedRate)
}

// count returns the number of bad events and of requests since a baseline. With excludeWorst it leaves out the server with the most bad
// events.
func (t *rateTest) count(servers []serverCounts, b baseline, excludeWorst bool) (bad, total uint32) {
	worstBad, worstTotal := uint32(0), uint32(0)
	var delta Statistics
	for i := range servers {
		delta = servers[i].since(b)
		serverBad, serverTotal := t.countIn(&delta)
		bad, total = bad+serverBad, total+serverTotal
		if serverBad > worstBad {
			worstBad, worstTotal = serverBad, serverTotal
		}
	}
	if excludeWorst {
		return bad - worstBad, total - worstTotal
	}
	return bad, total
}

// logRatio returns the log-likelihood ratio of the suspect rate to the allowed one, for so many bad events among the requests.
func (t *rateTest) logRatio(bad, total uint32) float64 {
	return float64(bad)*math.Log(t.suspectRate/t.allowedRate) + float64(total-bad)*math.Log((1-t.suspectRate)/(1-t.allowedRate))
}

// newFailureTest returns the test of the share of failures.
func newFailureTest(base, recent *Statistics) (rateTest, bool) {
	allowed := max(minAllowedFailureRate, base.smoothedFailureRate(), recent.smoothedFailureRate())
	return rateTest{
		name:        "failed",
		allowedRate: allowed,
		suspectRate: suspectRateOf(allowed, minSuspectFailureRate),
		countIn:     func(s *Statistics) (bad, total uint32) { return s.Failures, s.Requests },
	}, true
}

// newSlownessTest returns the test of the share of slow responses. A response is slow if its bucket is at least marginBuckets above the one
// from which on there are at most baseTailShare of the old version's responses, in all and since the test last restarted.
func newSlownessTest(base, recent *Statistics, marginBuckets int) (rateTest, bool) {
	if base.Latencies.countFrom(0) < minBaseLatencies {
		return rateTest{}, false
	}
	firstSlowBucket := base.Latencies.tailStart(baseTailShare)
	slowShare := base.Latencies.shareFrom(firstSlowBucket)
	if recent.Latencies.countFrom(0) >= minBaseLatencies {
		firstSlowBucket = max(firstSlowBucket, recent.Latencies.tailStart(baseTailShare))
		slowShare = max(base.Latencies.shareFrom(firstSlowBucket), recent.Latencies.shareFrom(firstSlowBucket))
	}
	firstSlowBucket += marginBuckets
	allowed := max(minAllowedSlowRate, slowShare)
	return rateTest{
		name:        "were slow",
		allowedRate: allowed,
		suspectRate: suspectRateOf(allowed, minSuspectSlowRate),
		countIn: func(s *Statistics) (bad, total uint32) {
			return s.Latencies.countFrom(firstSlowBucket), s.Latencies.countFrom(0)
		},
	}, true
}

// suspectRateOf returns the suspect rate of a test with an allowed rate; minRate is its lower bound.
func suspectRateOf(allowed, minRate float64) float64 {
	return min(maxSuspectRate, max(minRate, suspectFactor*allowed))
}
