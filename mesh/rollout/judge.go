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
	minFailureRate = 0.02
	suspectRate    = 0.15
	// suspectFactor times the old version's rate is a rate that the tests tell from it, where that is above the suspect one.
	suspectFactor = 3
	maxSuspect    = 0.9
	// baseTail is the share of the old version's answers from whose latency on an answer counts as slow. A new version may have minSlowRate
	// of such answers, and slowSuspectRate is the least that the test tells from it.
	baseTail        = 0.05
	minSlowRate     = 0.08
	slowSuspectRate = 0.25
	// promotingMargin is how many buckets later an answer counts as slow while the new version has all requests: a burst is borne by it alone.
	promotingMargin = bucketsPerDoubling
	// falseAlarmLog is the logarithm of one over the probability that a version of an allowed rate is called bad, each time that the test
	// begins anew.
	falseAlarmLog = 9.2 // 1 in 10,000
	// minBaseSamples is the least number of the old version's answers for a comparison of latencies.
	minBaseSamples = 20
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
func (s *Statistics) failureRate() float64 { return float64(s.Failures+1) / float64(s.Requests+50) }

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
	failures, slowness map[uint32]baseline // by class
}

// baseline is what the servers had counted when a test began, by node.
type baseline map[string]Statistics

// classSamples are the counts of one class of routes, by node.
type classSamples struct{ old, candidate baseline }

// Judge judges what the servers have counted by now.
func (j *Judge) Judge(stage Stage, samples []Sample) Verdict {
	if j.failures == nil {
		j.failures, j.slowness = map[uint32]baseline{}, map[uint32]baseline{}
	}
	verdict := Verdict{}
	for _, class := range classesOf(samples) {
		counted := samplesOfClass(samples, class)
		base, candidate := counted.old.sum(), counted.candidate.sum()
		verdict.Requests += candidate.Requests
		verdict.BaseRequests += base.Requests
		if reason := j.judgeClass(stage, class, counted); reason != "" && !verdict.Bad {
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

func samplesOfClass(samples []Sample, class uint32) classSamples {
	counted := classSamples{old: baseline{}, candidate: baseline{}}
	for i := range samples {
		at := slices.IndexFunc(samples[i].Classes, func(s Statistics) bool { return s.Class == class })
		switch {
		case at < 0:
		case samples[i].Candidate:
			counted.candidate[samples[i].Node] = samples[i].Classes[at]
		default:
			counted.old[samples[i].Node] = samples[i].Classes[at]
		}
	}
	return counted
}

// sum adds the counts of all servers.
func (b baseline) sum() (total Statistics) {
	for _, s := range b {
		total.add(&s)
	}
	return total
}

// since returns what the servers have counted since an earlier baseline.
func (b baseline) since(earlier baseline) baseline {
	grown := baseline{}
	for node, s := range b {
		before := earlier[node]
		grown[node] = s.since(&before)
	}
	return grown
}

// merge returns the counts of the old and of the new version's servers together, as a test's next baseline.
func (c *classSamples) merge() baseline {
	all := baseline{}
	for node, s := range c.old {
		all[node] = s
	}
	for node, s := range c.candidate {
		all[node] = s
	}
	return all
}

// judgeClass returns why the new version is bad for a class of routes; empty: it is not.
func (j *Judge) judgeClass(stage Stage, class uint32, counted classSamples) string {
	if bad, reason := run(j.failures, class, &counted, failureTest); bad {
		return reason
	}
	margin := 0
	if stage == Promoting {
		margin = promotingMargin
	}
	_, reason := run(j.slowness, class, &counted, func(base, recent Statistics) (event, bool) { return slownessTest(base, recent, margin) })
	return reason
}

// event is what a test counts, with the rate that is allowed and the one that is suspect.
type event struct {
	name             string
	allowed, suspect float64
	of               func(s *Statistics) (bad, total uint32)
}

// test returns what to count by what the old version's servers have counted in all, and since the test began; ok is false where that is too
// little.
type test func(base, recent Statistics) (e event, ok bool)

// run runs a test on what was counted since it began last, and begins it anew where it speaks for the new version.
func run(begun map[uint32]baseline, class uint32, counted *classSamples, t test) (bad bool, reason string) {
	since := begun[class]
	base, recent := counted.old.sum(), counted.old.since(since).sum()
	e, ok := t(base, recent)
	if !ok || e.allowed >= e.suspect {
		return false, ""
	}
	grown := counted.candidate.since(since)
	if e.logRatio(grown.sum()) <= 0 {
		begun[class] = counted.merge()
		return false, ""
	}
	rest := grown.withoutWorst(e)
	if e.logRatio(rest) <= falseAlarmLog {
		return false, ""
	}
	failed, total := e.of(&rest)
	return true, fmt.Sprintf("class %08x: %d of %d requests %s at the new version, %.3f allowed by the old one",
		class, failed, total, e.name, e.allowed)
}

// logRatio is how much likelier the counts are at the suspect rate than at the allowed one, as a logarithm.
func (e *event) logRatio(s Statistics) float64 {
	bad, total := e.of(&s)
	return float64(bad)*math.Log(e.suspect/e.allowed) + float64(total-bad)*math.Log((1-e.suspect)/(1-e.allowed))
}

// withoutWorst adds the counts of the servers but for the one with the most events, where there are enough.
func (b baseline) withoutWorst(e event) (sum Statistics) {
	worst, most := "", uint32(0)
	for node, s := range b {
		if bad, _ := e.of(&s); len(b) >= minServersToExclude && (bad > most || bad == most && (worst == "" || node < worst)) {
			worst, most = node, bad
		}
	}
	for node, s := range b {
		if node != worst || len(b) < minServersToExclude {
			sum.add(&s)
		}
	}
	return sum
}

// failureTest tests the share of failures.
func failureTest(base, recent Statistics) (event, bool) {
	allowed := max(minFailureRate, base.failureRate(), recent.failureRate())
	return event{
		name:    "failed",
		allowed: allowed,
		suspect: suspectOf(allowed, suspectRate),
		of:      func(s *Statistics) (bad, total uint32) { return s.Failures, s.Requests },
	}, true
}

// slownessTest tests the share of answers that are slower than all but baseTail of the old version's, in all or lately, and by margin
// buckets more.
func slownessTest(base, recent Statistics, margin int) (event, bool) {
	if base.Latencies.count(0) < minBaseSamples {
		return event{}, false
	}
	from := base.Latencies.tailFrom(baseTail)
	share := base.Latencies.tailShare(from)
	if recent.Latencies.count(0) >= minBaseSamples {
		from = max(from, recent.Latencies.tailFrom(baseTail))
		share = max(base.Latencies.tailShare(from), recent.Latencies.tailShare(from))
	}
	from += margin
	allowed := max(minSlowRate, share)
	return event{
		name:    "were slow",
		allowed: allowed,
		suspect: suspectOf(allowed, slowSuspectRate),
		of:      func(s *Statistics) (bad, total uint32) { return s.Latencies.count(from), s.Latencies.count(0) },
	}, true
}

// suspectOf is the rate that a test tells from an allowed one.
func suspectOf(allowed, least float64) float64 {
	return min(maxSuspect, max(least, suspectFactor*allowed))
}
