package balance

import "math"

// Parameters of a server's health, of ejection and of learned sizes.
const (
	errorHalfLifeMillis        = 5000 // ms in which errors lose half their weight: faults last seconds, not minutes
	errorPenalty               = 0.2  // health lost for each consecutive error
	minHealth                  = 0.25 // health never falls below this, so that recovery is noticed
	ejectAfterErrors           = 3    // consecutive errors before a server is ejected
	maxEjectionShift           = 3    // the ejection time doubles with each ejection, at most so often
	unreachableConnectFailures = 2    // consecutive connect failures that mean a server is unreachable: one is chance
	restartGapMillis           = 1000 // ms without an answer after a connect failure that mean a restart
	failureLatencyRatio        = 3    // multiple of the mean latency that a failure counts as, for sizes
	minSizeStep                = -2   // greatest step down of a logarithm of size, before the gain
	sizeLeak                   = 0.1  // sizes return to 1 at this part of the gain: without, they ran to their bounds
	maxLogSize                 = 2.5  // bound of each learned logarithm of size
	classLatencyGain           = 0.5  // gain of a class's mean latency, as a part of that of the other averages
)

// health is the server's health factor, from minHealth to 1. It falls with consecutive errors, which lose
// their weight by errorHalfLife.
func (s *server) health(now float64) float64 {
	if s.consecutiveErrors == 0 {
		return 1
	}
	effective := float64(s.consecutiveErrors) * math.Exp(-math.Ln2*(now-s.lastErrorAt)/errorHalfLifeMillis)
	return clamp(1-errorPenalty*effective, minHealth, 1)
}

// isEjected reports whether the server is ejected: it left several attempts unanswered or is unreachable.
func (s *server) isEjected(now float64) bool { return now < s.ejectedUntil }

// markOverdue counts an attempt far beyond its class's latency as an error: hung servers would show late
// otherwise.
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

// recordError counts an error against the server's health and ejects it when it is unreachable or has failed
// several times in a row.
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

// eject keeps attempts from the server for a time that doubles with each ejection in a row.
func (b *Balancer) eject(s *server) {
	s.ejectedUntil = b.now + b.maxLatencyTarget*float64(int(1)<<min(s.ejections, maxEjectionShift))
	s.ejections++
}

// recordOutcome updates the state of the server, the class and the load by an outcome.
func (b *Balancer) recordOutcome(r *request, a *attempt, ev *Outcome) {
	if ev.NotDelivered { // a proxy without capacity, or an unreachable one: no error of the server
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

// recordSuccess records an answer with its latency in ms.
func (b *Balancer) recordSuccess(r *request, a *attempt, latency float64) {
	s := a.server
	// A server that was unreachable and answers has restarted, which the server list has yet to report.
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
	if connectFailed || !a.overdue { // an overdue attempt has been counted
		b.recordError(a.server, connectFailed)
	}
}

// learnSizes moves the sizes of a server, its kind and its zone by an answer's latency, a multiple of its
// class's mean. A server in slow start is slow for another reason.
func (b *Balancer) learnSizes(s *server, latencyRatio float64) {
	if !b.warmingUp(s) {
		b.sizes.learn(s, latencyRatio, b.traffic.rate.gain(b.now))
	}
}

// sizeLearner learns the sizes of servers, of kinds of servers and of zones until answers take equally long
// everywhere.
type sizeLearner struct {
	kinds, zones map[int]*size
	meanStep     float64 // recent mean step of the logarithms
}

// learn moves the sizes by one answer. The mean step is subtracted: what all servers have in common is load,
// not size.
func (l *sizeLearner) learn(s *server, latencyRatio, gain float64) {
	step := max(minSizeStep, 1-latencyRatio)
	l.meanStep += gain * (step - l.meanStep) / 2
	step = gain * (step - l.meanStep)
	s.size.move(step/2, gain)
	s.kind.move(step, gain)
	s.zone.move(step/2, gain)
}

// size is a learned factor of capacity. Its exponential is kept, as taking it for each of hundreds of servers
// at each pick cost more processor time than all else.
type size struct{ log, factor float64 }

// move adds a step to the logarithm, which leaks towards 0.
func (z *size) move(step, gain float64) {
	z.log = clamp(z.log*(1-sizeLeak*gain)+step, -maxLogSize, maxLogSize)
	z.factor = math.Exp(z.log)
}
