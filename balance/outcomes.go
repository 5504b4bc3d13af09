package balance

import "math"

// Parameters of a server's health, of ejection and of learned sizes.
const (
	errorHalfLifeMillis        = 5000 // half-life of the weight of errors: faults last seconds, not minutes
	errorPenalty               = 0.2  // reduction of the health factor for each consecutive error
	minHealth                  = 0.25 // above 0, so that recovery is detected
	ejectAfterErrors           = 3    // consecutive errors at which a server is ejected
	maxEjectionShift           = 3    // greatest number of times that the ejection time is doubled
	unreachableConnectFailures = 2    // consecutive connect failures of an unreachable server; one is chance
	restartGapMillis           = 1000 // after a connect failure, an answer this much later means a restart
	failureLatencyRatio        = 3    // latency that an error counts as for sizes, as a multiple of the mean
	minSizeStep                = -2   // greatest step down of the logarithm of a size, before the gain
	sizeLeak                   = 0.1  // return of sizes to 1, per gain; without it they ran to their bounds
	maxLogSize                 = 2.5  // bound of the logarithm of each learned size
	classLatencyGain           = 0.5  // gain of a class's mean latency, as a part of the other averages' gain
)

// health returns the server's health factor, from minHealth to 1. It falls with consecutive errors, whose
// weight decays with errorHalfLifeMillis.
func (s *server) health(now float64) float64 {
	if s.consecutiveErrors == 0 {
		return 1
	}
	effective := float64(s.consecutiveErrors) * math.Exp(-math.Ln2*(now-s.lastErrorAt)/errorHalfLifeMillis)
	return clamp(1-errorPenalty*effective, minHealth, 1)
}

// isEjected reports whether the server is ejected, after several consecutive errors or as unreachable.
func (s *server) isEjected(now float64) bool { return now < s.ejectedUntil }

// markOverdue counts attempts that take far longer than their class's latency as errors. Otherwise hung
// servers would be detected only when their attempts time out.
func (b *Balancer) markOverdue(r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.inFlight && !a.overdue && !a.uploading && b.now >= a.sentAt+r.overdueAfter() {
			a.overdue = true
			b.shedder.markLost(r, a, 1)
			b.recordError(a.server, false)
		}
	}
}

// recordError counts an error of the server and ejects it if it is unreachable or has had several consecutive
// errors.
func (b *Balancer) recordError(s *server, connectFailed bool) {
	s.consecutiveErrors++
	s.lastErrorAt = b.now
	if connectFailed {
		s.connectFailures++
	}
	b.learnSizes(s, failureLatencyRatio)
	unreachable := connectFailed && s.connectFailures >= unreachableConnectFailures
	if unreachable || s.consecutiveErrors >= ejectAfterErrors {
		b.eject(s)
	}
}

// eject ejects the server for a time that doubles with each consecutive ejection.
func (b *Balancer) eject(s *server) {
	s.ejectedUntil = b.now + b.maxLatencyTarget*float64(int(1)<<min(s.ejections, maxEjectionShift))
	s.ejections++
}

// recordOutcome updates the state of the server, of the class and of the traffic after an attempt.
func (b *Balancer) recordOutcome(r *request, a *attempt, ev *Outcome) {
	if ev.NotDelivered { // the proxy had no capacity or was unreachable, which is no error of the server
		return
	}
	r.recordOutcome(b.servers, a.server, ev.Result, b.now)
	switch ev.Result {
	case OK:
		b.recordSuccess(r, a, ev.Latency)
	case Cancelled, NotSent:
	default:
		b.recordFailure(a, ev.Result)
	}
}

// recordSuccess records an answer and its latency in ms.
func (b *Balancer) recordSuccess(r *request, a *attempt, latency float64) {
	s := a.server
	// A server that was unreachable and answers again has restarted; the server list will report it later.
	restarted := s.connectFailures >= unreachableConnectFailures ||
		s.connectFailures > 0 && b.now > s.lastErrorAt+restartGapMillis
	if restarted && !b.warmingUp(s) && !b.cfg.LastHop {
		b.startSlowStart(s, b.now)
	}
	s.clearErrors()
	b.traffic.rate.add(b.now, 1)
	gain := b.traffic.rate.gain(b.now)
	if a.pendingBefore >= 0 {
		perPending := latency / (a.pendingBefore + 1)
		b.probing.latencyPerPending += (perPending - b.probing.latencyPerPending) / recentWindow
	}
	b.traffic.latency.recordAnswer(b.now, latency, r.class.LatencyTarget, gain)
	if r.stats.count > 0 {
		b.learnSizes(s, latency/r.stats.mean)
	}
	r.stats.add(latency, gain*classLatencyGain)
}

// recordFailure records an attempt that failed.
func (b *Balancer) recordFailure(a *attempt, result Result) {
	gain := b.traffic.rate.gain(b.now)
	b.traffic.latency.recordLate(result == TimedOut || result == Rejected, gain)
	if result == Rejected {
		b.traffic.latency.recordRejected(gain)
	}
	connectFailed := result == ConnectFailed
	if connectFailed || !a.overdue { // an overdue attempt is already counted
		b.recordError(a.server, connectFailed)
	}
}

// learnSizes adjusts the sizes of a server, its kind and its zone by the latency of an answer, as a multiple
// of its class's mean. Servers in slow start are skipped, as they are slow for another reason.
func (b *Balancer) learnSizes(s *server, latencyRatio float64) {
	if !b.warmingUp(s) {
		b.sizes.learn(s, latencyRatio, b.traffic.rate.gain(b.now))
	}
}

// sizeLearner adjusts the sizes of servers, of kinds of servers and of zones until answers take equally long
// everywhere.
type sizeLearner struct {
	kinds, zones map[int]*size
	meanStep     float64 // recent mean step of the logarithms
}

// learn adjusts the sizes by one answer. The mean step is subtracted, because a latency that all servers have
// in common is due to load, not to size.
func (l *sizeLearner) learn(s *server, latencyRatio, gain float64) {
	step := max(minSizeStep, 1-latencyRatio)
	l.meanStep += gain * (step - l.meanStep) / 2
	step = gain * (step - l.meanStep)
	s.size.move(step/2, gain)
	s.kind.move(step, gain)
	s.zone.move(step/2, gain)
}

// size is a learned factor of capacity. The factor is stored beside its logarithm, because computing the
// exponential for each of hundreds of servers at each pick took more processor time than everything else.
type size struct{ log, factor float64 }

// move adds a step to the logarithm, which leaks towards 0.
func (z *size) move(step, gain float64) {
	z.log = clamp(z.log*(1-sizeLeak*gain)+step, -maxLogSize, maxLogSize)
	z.factor = math.Exp(z.log)
}
