package balance

import "math"

// Parameters of the estimates of rate and latency.
const (
	rateWindowTargets   = 8    // long span of the rate of answers, in longest latency targets
	minElapsed          = 1e-3 // least part of the span that counts as elapsed after the start
	burstDeviations     = 2    // standard deviations by which a higher recent rate must be certain to count
	gainWindowMillis    = 1000 // window of an average over answers, whatever their number
	minGain             = 0.01 // least gain of such an average
	maxGain             = 0.2  // greatest gain, as the latencies of single answers scatter
	recentWindow        = 50   // window of an average, as a number of answers or reports
	initialLatencyRatio = 0.33 // best latency until there are answers, as a multiple of the target
	maxLatencyRatio     = 2    // upper bound of latencies in averages, as a multiple of the target
)

// rateEstimator estimates the rate of answers by two exponentially decaying counts.
type rateEstimator struct {
	startedAt  float64
	span       float64 // ms; the longest latency target
	longCount  float64 // answers of about the last rateWindowTargets spans
	shortCount float64 // answers of about the last span
	updatedAt  float64
}

// add decays the counts up to now and adds answers to them.
func (e *rateEstimator) add(now, answers float64) {
	shortSpan, longSpan := e.span, rateWindowTargets*e.span
	e.shortCount = e.shortCount*math.Exp((e.updatedAt-now)/shortSpan) + answers
	e.longCount = e.longCount*math.Exp((e.updatedAt-now)/longSpan) + answers
	e.updatedAt = now
}

// perMillis returns the rate of answers per millisecond over the long span, plus the assumed answers. If the
// rate over the short span is certainly higher, it returns that one, as traffic may grow fast.
func (e *rateEstimator) perMillis(now, assumed float64) float64 {
	e.add(now, 0)
	shortSpan, longSpan := e.span, rateWindowTargets*e.span
	average := (e.longCount + assumed) / longSpan / max(-math.Expm1((e.startedAt-now)/longSpan), minElapsed)
	return max(average, (e.shortCount-burstDeviations*math.Sqrt(e.shortCount))/shortSpan)
}

// gain returns the gain of an average over answers, which covers gainWindowMillis but at least a few answers.
func (e *rateEstimator) gain(now float64) float64 {
	return clamp(1/(gainWindowMillis*e.perMillis(now, 1)), minGain, maxGain)
}

// latencyStats averages the latencies of answers, each as a multiple of the latency target of its class.
type latencyStats struct {
	meanRatio    float64 // recent mean
	count        float64 // answers in the mean, at most recentWindow
	bestRatio    float64 // lowest recent mean so far
	lateShare    float64 // recent share of attempts that ended after their latency target
	lastAnswerAt float64
}

// recordAnswer records the latency of an answer.
func (l *latencyStats) recordAnswer(now, latency, target, gain float64) {
	l.lastAnswerAt = now
	l.recordLate(latency > target, gain)
	l.count = min(l.count+1, recentWindow)
	l.meanRatio += (min(latency/target, maxLatencyRatio) - l.meanRatio) * gain
	if l.count == recentWindow {
		l.bestRatio = min(l.bestRatio, l.meanRatio)
	}
}

// recordRejected counts a rejected attempt as an answer of the greatest latency.
func (l *latencyStats) recordRejected(gain float64) {
	l.meanRatio += (maxLatencyRatio - l.meanRatio) * gain
}

// recordLate records whether an attempt ended after its latency target.
func (l *latencyStats) recordLate(late bool, gain float64) {
	l.lateShare -= l.lateShare * gain
	if late {
		l.lateShare += gain
	}
}
