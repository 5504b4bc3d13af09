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
	// suspectFactor times the old version's failure rate is a rate that the test tells from it, where that is above suspectRate.
	suspectFactor = 3
	maxSuspect    = 0.9
	// falseAlarmLog is the logarithm of one over the probability that a version of an allowed failure rate is ever called bad.
	falseAlarmLog = 9.2 // 1 in 10,000
	// Multiples of the old version's latency that the new one may have: while both get requests, and while the new one gets all of them.
	latencyFactorCanary    = 1.3
	latencyFactorPromoting = 2
	// latencyDeviations is how many standard errors a mean has to be above what is allowed.
	latencyDeviations = 4
	// minLatencySamples is the least number of answers of each version for a comparison of latencies.
	minLatencySamples = 12
	// minServersToExclude is the least number of servers of a version for the worst one to be left out: a fault of one server is no fault of
	// its version.
	minServersToExclude = 3
)

// Statistics count the requests of one class of routes at one server. They only grow, and can be added.
type Statistics struct {
	Class              uint32 // of routes
	Requests, Failures uint32
	// LogSum and LogSquareSum are the sums over the successful requests of the natural logarithm of the latency in milliseconds, and of its
	// square.
	LogSum, LogSquareSum float64
}

// Record counts a request.
func (s *Statistics) Record(failed bool, latency time.Duration) {
	s.Requests++
	if failed {
		s.Failures++
		return
	}
	log := math.Log(max(1, float64(latency)/float64(time.Millisecond)))
	s.LogSum += log
	s.LogSquareSum += log * log
}

// add adds those of another server.
func (s *Statistics) add(o *Statistics) {
	s.Requests += o.Requests
	s.Failures += o.Failures
	s.LogSum += o.LogSum
	s.LogSquareSum += o.LogSquareSum
}

// failureRate is the share of failures, with one failure assumed where there are few requests.
func (s *Statistics) failureRate() float64 { return float64(s.Failures+1) / float64(s.Requests+50) }

// latency returns the mean logarithm of the latency and the variance of that mean; ok is false for too few successes.
func (s *Statistics) latency() (mean, variance float64, ok bool) {
	n := float64(s.Requests) - float64(s.Failures)
	if n < minLatencySamples {
		return 0, 0, false
	}
	mean = s.LogSum / n
	return mean, max(0, s.LogSquareSum/n-mean*mean) / n, true
}

// Sample is what a server has counted since the last hop in front of it learned of the rollout.
type Sample struct {
	Candidate bool // it is of the new version
	Classes   []Statistics
}

// Verdict is the judgement on a new version.
type Verdict struct {
	Bad bool
	// Reason is the evidence, as text.
	Reason string
	// Requests are those that the new version has answered.
	Requests uint32
}

// Judge compares the new version with the old one, class by class: by a sequential probability ratio test of the failures (Wald, 1945),
// and by the mean logarithms of the latencies. The worst server of the new version is left out where there are several.
func Judge(stage Stage, samples []Sample) Verdict {
	verdict := Verdict{}
	for _, class := range classesOf(samples) {
		var base Statistics
		var candidates []Statistics
		for i := range samples {
			at := slices.IndexFunc(samples[i].Classes, func(s Statistics) bool { return s.Class == class })
			switch {
			case at < 0:
			case samples[i].Candidate:
				candidates = append(candidates, samples[i].Classes[at])
				verdict.Requests += samples[i].Classes[at].Requests
			default:
				base.add(&samples[i].Classes[at])
			}
		}
		if reason := judgeClass(stage, class, &base, candidates); reason != "" && !verdict.Bad {
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

// judgeClass returns why the new version is bad for a class of routes; empty: it is not.
func judgeClass(stage Stage, class uint32, base *Statistics, candidates []Statistics) string {
	failures := withoutWorst(candidates, func(s *Statistics) float64 { return float64(s.Failures) })
	if failsMore(&failures, base) {
		return fmt.Sprintf("class %08x: %d of %d requests failed at the new version, %d of %d at the old one",
			class, failures.Failures, failures.Requests, base.Failures, base.Requests)
	}
	factor := float64(latencyFactorCanary)
	if stage == Promoting {
		factor = latencyFactorPromoting
	}
	slowest := withoutWorst(candidates, func(s *Statistics) float64 { return s.LogSum })
	if ratio, slower := isSlower(&slowest, base, factor); slower {
		return fmt.Sprintf("class %08x: %d requests took %.1f times as long at the new version", class, slowest.Requests, ratio)
	}
	return ""
}

// withoutWorst adds the statistics of servers, but for the one that is worst by a measure, where there are enough.
func withoutWorst(servers []Statistics, measure func(*Statistics) float64) (sum Statistics) {
	worst := -1
	for i := range servers {
		if len(servers) >= minServersToExclude && (worst < 0 || measure(&servers[i]) > measure(&servers[worst])) {
			worst = i
		}
	}
	for i := range servers {
		if i != worst {
			sum.add(&servers[i])
		}
	}
	return sum
}

// failsMore reports whether the new version's failures are far likelier at a rate that is suspect than at one that is allowed.
func failsMore(candidate, base *Statistics) bool {
	allowed := max(minFailureRate, base.failureRate())
	suspect := min(maxSuspect, max(suspectRate, suspectFactor*allowed))
	if allowed >= suspect {
		return false
	}
	failed, served := float64(candidate.Failures), float64(candidate.Requests-candidate.Failures)
	ratio := failed*math.Log(suspect/allowed) + served*math.Log((1-suspect)/(1-allowed))
	return ratio > falseAlarmLog
}

// isSlower reports whether the new version takes surely more than factor times as long as the old one, and how many times.
func isSlower(candidate, base *Statistics, factor float64) (ratio float64, slower bool) {
	candidateMean, candidateVariance, known := candidate.latency()
	baseMean, baseVariance, baseKnown := base.latency()
	if !known || !baseKnown {
		return 0, false
	}
	excess := candidateMean - baseMean - math.Log(factor)
	return math.Exp(candidateMean - baseMean), excess > latencyDeviations*math.Sqrt(candidateVariance+baseVariance)
}
