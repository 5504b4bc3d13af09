package balance

import "math"

// Parameters of the health of a class at a server.
const (
	classHealthDecayMillis = 15000 // time constant; with little traffic a sidecar seldom returns to a server
	classHealthGain        = 0.6   // gain of the average for each outcome
	minClassFactor         = 0.03  // above 0, so that recovery is detected
	failingTimeConstants   = 2     // time constants for which a class counts as failing after a failure
)

// classHealth is the recent health of one class of requests at one server.
type classHealth struct {
	score         float64 // average of outcomes: 1 is served, 0 is failed
	recordedAt    float64 // when the last outcome was recorded
	currentWeight float64 // current weight in the rotation, used while the class is failing
}

// decay returns the present weight of the outcomes, which falls from 1 to 0.
func (h *classHealth) decay(now float64) float64 {
	return math.Exp((h.recordedAt - now) / classHealthDecayMillis)
}

// average returns the score, decayed towards the expected one, which is the mean of all servers.
func (h *classHealth) average(now, expected float64) float64 {
	return expected + (h.score-expected)*h.decay(now)
}

// failing reports whether a server failed the class recently.
func (c *classStats) failing(now float64) bool {
	return now <= c.failedAt+failingTimeConstants*classHealthDecayMillis
}

// classFactor returns the factor on a server's weight by the health of the request's class there, while the
// class is failing. Some servers fail one class and serve the others, whose successes keep the server's own
// health at 1. A server without recent outcomes counts as the mean of all, so that a sidecar with little
// traffic prefers servers known to serve the class. The factor also helps against fast errors, but the few
// good servers may be overloaded if most of their load comes from one sidecar.
func (r *request) classFactor(s *server, now float64) float64 {
	if !r.stats.failing(now) {
		return 1
	}
	average := s.byClass[r.Class].average(now, r.stats.expected)
	return max(average*average, minClassFactor)
}

// updateExpected sets the expected health of the class: the mean over all servers. class is its number.
func (c *classStats) updateExpected(servers []*server, class int, now float64) {
	good, known := 1.0, 1.0
	if c.failing(now) {
		for _, s := range servers {
			h := &s.byClass[class]
			weight := h.decay(now)
			good += weight * h.score
			known += weight
		}
	}
	c.expected = good / known
}

// recordOutcome updates the health of the request's class at a server. It ignores all results but OK and
// Failed, as they are not specific to the class.
func (r *request) recordOutcome(servers []*server, s *server, result Result, now float64) {
	score := 1.0
	switch result {
	case OK:
	case Failed:
		r.startClassRotation(servers, now)
		r.stats.failedAt, score = now, 0
	default:
		return
	}
	h := &s.byClass[r.Class]
	average := h.average(now, r.stats.expected)
	h.score, h.recordedAt = average+classHealthGain*(score-average), now
}

// startClassRotation gives a class that begins to fail its own current weights, which start as copies of the
// common ones.
func (r *request) startClassRotation(servers []*server, now float64) {
	if r.stats.failing(now) {
		return
	}
	for _, s := range servers {
		s.byClass[r.Class].currentWeight = s.currentWeight
	}
}
