package balance

import "math"

// Parameters of the health of a class at a server.
const (
	classHealthDecayMillis = 15000 // ms; time constant: with little traffic a sidecar seldom returns to a server
	classHealthGain        = 0.6   // step of the average for each outcome
	minClassFactor         = 0.03  // a class is never kept from a server wholly, so that recovery is noticed
	failingTimeConstants   = 2     // time constants after its last failure for which a class counts as failing
)

// classHealth is the recent health of one class of requests at one server.
type classHealth struct {
	score         float64 // average of outcomes: 1 served, 0 failed
	recordedAt    float64 // when the last outcome was recorded
	currentWeight float64 // running value of the rotation, used while the class is failing
}

// decay is the weight that the outcomes have by now, 1 to 0.
func (h *classHealth) decay(now float64) float64 {
	return math.Exp((h.recordedAt - now) / classHealthDecayMillis)
}

// average is the score, decayed towards what is expected of the servers in general.
func (h *classHealth) average(now, expected float64) float64 {
	return expected + (h.score-expected)*h.decay(now)
}

// failing reports whether a server failed the class recently.
func (c *classStats) failing(now float64) bool {
	return now <= c.failedAt+failingTimeConstants*classHealthDecayMillis
}

// classFactor multiplies a server's weight by the health of the request's class there, while the class is
// failing: some servers fail one class and serve the others, whose successes keep the server's own health at
// 1. A server without recent outcomes counts as the mean of all, so that a sidecar with little traffic keeps
// to servers known to serve. It is effective against fast errors too, but may overload the few good servers
// where one sidecar is most of their load.
func (r *request) classFactor(s *server, now float64) float64 {
	if !r.stats.failing(now) {
		return 1
	}
	average := s.byClass[r.Class].average(now, r.stats.expected)
	return max(average*average, minClassFactor)
}

// updateExpected sets the mean health of the class, which has the given number, over the servers.
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

// recordOutcome updates the health of the request's class at a server. Outcomes that are no evidence about
// the class are ignored.
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

// startClassRotation gives a class that begins to fail running values of its own, equal to the servers'
// common ones.
func (r *request) startClassRotation(servers []*server, now float64) {
	if r.stats.failing(now) {
		return
	}
	for _, s := range servers {
		s.byClass[r.Class].currentWeight = s.currentWeight
	}
}
