package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Parameters of the tests. Both are one-sided: a new version that is better is never bad.
const (
	// minFailureRate is the failure rate that any version may have, and suspectRate the least that the sequential test tells from it.
	minAllowedFailureRate = 0.02
	minSuspectFailureRate = 0.15
	// suspectFactor times the old version's rate is a rate that the tests tell from it, where that is above the suspect one.
	suspectFactor  = 3
	maxSuspectRate = 0.9
	// baseTail is the share of the old version's answers from whose latency on an answer counts as slow. A new version may have minSlowRate
	// of such answers, and slowSuspectRate is the least that the test tells from it.
	baseTailShare      = 0.05
	minAllowedSlowRate = 0.08
	minSuspectSlowRate = 0.25
	// While the new version has all requests it alone bears what befalls the service: a burst, answers that are lost or garbled. An answer
	// counts as slow promotingMargin buckets later then, and promotingRate may fail or be slow, which is told from promotingSuspectRate.
	promotingMarginBuckets  = bucketsPerDoubling
	minPromotingAllowedRate = 0.1
	minPromotingSuspectRate = 0.35
	// falseAlarmLog is the logarithm of one over the probability that a version of an allowed rate is called bad, each time that the test
	// begins anew.
	falseAlarmLogRatio = 9.2 // 1 in 10,000
	// minBaseSamples is the least number of the old version's answers for a comparison of latencies.
	minBaseLatencies = 20
	// minServersToExclude is the least number of servers of a version for the worst one to be left out: a fault of one server is no fault of
	// its version.
	minServersToExclude = 3
)

// Statistics count the requests of one class of routes at one server. They only grow, and can be added.
type Statistics struct {
	Class              uint32 // of routes
	Requests, Failures uint32
	Latencies          Latencies // of the requests that have not failed, but for those in a slow start
}

// Record counts a request. In a slow start its latency says nothing.
func (s *Statistics) Record(failed, warmingUp bool, latency time.Duration) {
	s.Requests++
	switch {
	case failed:
		s.Failures++
	case !warmingUp:
		s.Latencies.Record(latency)
	}
}

// add adds those of another server.
func (s *Statistics) add(o *Statistics) {
	s.Requests += o.Requests
	s.Failures += o.Failures
	s.Latencies.add(&o.Latencies)
}

// since returns what was counted since an earlier state. Counts below those of that state are of another process, which began anew.
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

// failureRate is the share of failures, with one failure assumed where there are few requests.
func (s *Statistics) smoothedFailureRate() float64 {
	return float64(s.Failures+1) / float64(s.Requests+50)
}

// Sample is what a server has counted since the last hop in front of it learned of the rollout.
type Sample struct {
	Node      string // that the server is on
	Candidate bool   // it is of the new version
	Classes   []Statistics
}

// Verdict is the judgement on a new version.
type Verdict struct {
	Bad bool
	// Reason is the evidence, as text.
	Reason string
	// Requests are those that the new version has answered, and BaseRequests those that the old one has.
	Requests, BaseRequests uint32
}

// Judge compares a new version with the old one, class by class: by the shares of failures and of slow answers, each by a sequential
// probability ratio test (Wald, 1945) that begins anew whenever it speaks for the new version (a cumulative sum, Page, 1954), so that one
// that turns bad late is found as soon as one that is bad at once. The worst server of the new version is left out where there are several.
// It is not safe for concurrent use. The zero value has seen nothing.
type Judge struct {
	failureBaselines, slownessBaselines map[uint32]baseline // by class
}

// baseline is what the servers had counted when a test began, by node.
type baseline map[string]Statistics

// counted is what one server has counted of one class of routes.
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
	oldTotal       Statistics // the sum of the old ones
}

// Judge judges what the servers have counted by now.
func (j *Judge) Evaluate(stage Stage, samples []Sample) Verdict {
	if j.failureBaselines == nil {
		j.failureBaselines, j.slownessBaselines = map[uint32]baseline{}, map[uint32]baseline{}
	}
	verdict := Verdict{}
	for _, class := range classesOf(samples) {
		counts := samplesOfClass(samples, class)
		verdict.BaseRequests += counts.oldTotal.Requests
		for i := range counts.candidate {
			verdict.Requests += counts.candidate[i].Requests
		}
		if reason := j.judgeClass(stage, class, &counts); reason != "" && !verdict.Bad {
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

// sumSince adds what servers have counted since a baseline.
func sumSince(servers []serverCounts, b baseline) (sum Statistics) {
	var delta Statistics
	for i := range servers {
		delta = servers[i].since(b)
		sum.add(&delta)
	}
	return sum
}

// setBaseline has a test begin with what the servers have counted by now.
func (s *classSamples) setBaseline(b baseline) {
	clear(b)
	for _, servers := range [...][]serverCounts{s.old, s.candidate} {
		for i := range servers {
			b[servers[i].node] = *servers[i].Statistics
		}
	}
}

// judgeClass returns why the new version is bad for a class of routes; empty: it is not.
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

// event is what a test counts, with the rate that is allowed and the one that is suspect.
type rateTest struct {
	name                     string
	allowedRate, suspectRate float64
	countIn                  func(s *Statistics) (bad, total uint32)
}

// test returns what to count by what the old version's servers have counted in all, and since the test began; ok is false where that is too
// little.
type testBuilder func(base, recent *Statistics) (e rateTest, ok bool)

// run runs a test on what was counted since it began last, and begins it anew where it speaks for the new version, which may have all
// requests alone.
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

// count counts the events and requests of servers since a baseline, if need be without the server with the most events.
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

// logRatio is how much likelier so many events of so many requests are at the suspect rate than at the allowed one, as a logarithm.
func (t *rateTest) logRatio(bad, total uint32) float64 {
	return float64(bad)*math.Log(t.suspectRate/t.allowedRate) + float64(total-bad)*math.Log((1-t.suspectRate)/(1-t.allowedRate))
}

// failureTest tests the share of failures.
func newFailureTest(base, recent *Statistics) (rateTest, bool) {
	allowed := max(minAllowedFailureRate, base.smoothedFailureRate(), recent.smoothedFailureRate())
	return rateTest{
		name:        "failed",
		allowedRate: allowed,
		suspectRate: suspectRateOf(allowed, minSuspectFailureRate),
		countIn:     func(s *Statistics) (bad, total uint32) { return s.Failures, s.Requests },
	}, true
}

// slownessTest tests the share of answers that are slower than all but baseTail of the old version's, in all or lately, and by margin
// buckets more.
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

// suspectOf is the rate that a test tells from an allowed one.
func suspectRateOf(allowed, minRate float64) float64 {
	return min(maxSuspectRate, max(minRate, suspectFactor*allowed))
}
