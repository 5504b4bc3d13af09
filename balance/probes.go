package balance

import "math"

// Parameters of load probes.
const (
	probeCostShare    = 0.03 // part of the result that the probes of a request may cost
	probeWaitShare    = 0.05 // part of the target for which an attempt waits, and for which a report is fresh
	probeLatencyBound = 0.75 // part of the latency target within which a probed server has to answer
	allBusyChance     = 0.01 // sufficiently low probability that all probed servers are busy
	minBusyShare      = 0.01 // bounds of the share of busy servers, whose logarithm is taken
	maxBusyShare      = 0.99
	minProbePenalty   = 1e-3 // lower bound of the penalty for a probe, which is a divisor
)

// probing is the state of load probes that all requests have in common.
type probing struct {
	busyShare         float64    // recent share of reports with any request pending
	latencyPerPending float64    // ms of latency per request pending at the server, itself included
	waiting           []*request // requests that wait for probes
}

// startProbes probes the next servers in the rotation before a first attempt, if servers report their load in
// answers to probes only. It probes so many that all of them are rarely busy, within the allowed cost.
func (b *Balancer) startProbes(r *request) {
	if !b.cfg.Probes || b.cfg.Reports != ReportProbe {
		return
	}
	for count := b.probing.count(b.cfg.Penalties.Probe); len(r.probed) < count; {
		s := b.nextToProbe(r)
		if s == nil {
			break
		}
		r.probed = append(r.probed, s)
		if !s.probing {
			s.probing = true
			b.emit(Action{Kind: Probe, Server: s.ID})
		}
	}
	if len(r.probed) > 0 {
		r.probesUntil = b.now + probeWaitShare*r.class.LatencyTarget
		b.probing.waiting = append(b.probing.waiting, r)
	}
}

// count returns the number of servers to probe for a request, given the penalty for each probe.
func (p *probing) count(penalty float64) int {
	affordable := probeCostShare / max(penalty, minProbePenalty)
	busy := clamp(p.busyShare, minBusyShare, maxBusyShare)
	return int(min(affordable, math.Ceil(math.Log(allBusyChance)/math.Log(busy))))
}

// nextToProbe returns the next eligible server in the rotation that was not probed for the request; nil if
// there is none.
func (b *Balancer) nextToProbe(r *request) *server {
	var next *server
	for _, s := range b.servers {
		free := r.eligibleAt(s, b.now) && !s.isEjected(b.now) && !r.hasProbed(s)
		if free && (next == nil || s.currentWeight > next.currentWeight) {
			next = s
		}
	}
	return next
}

// onProbeResult records a server's report and continues the requests that wait for probes. A server that does
// not answer is ejected, as it is unreachable from this sidecar even if its process runs.
func (b *Balancer) onProbeResult(ev ProbeResult) {
	s := b.byID[ev.Server]
	if s == nil {
		return
	}
	s.probing = false
	if ev.Result != OK {
		b.eject(s)
		s.probeUnanswered = true
	} else {
		b.recordReport(s, ev.Report)
		if s.probeUnanswered {
			s.clearErrors()
		}
	}
	b.stepWaitingForProbes()
}

// awaitingProbes reports whether a request still waits for its probes. It waits no longer than probesUntil.
func (b *Balancer) awaitingProbes(r *request) bool {
	for _, s := range r.probed {
		if s.probing && b.now < r.probesUntil {
			return true
		}
	}
	r.probesUntil = 0
	return false
}

// overloaded reports whether a request without attempts can't be answered in time by s, the best server that
// probes found.
func (b *Balancer) overloaded(r *request, s *server) bool {
	if len(r.attempts) > 0 || !b.reportFresh(s) {
		return false
	}
	latency := b.probing.latencyPerPending * (b.pendingAt(s) + 1)
	return b.now+latency > r.arrivedAt+probeLatencyBound*r.class.LatencyTarget
}

// stepWaitingForProbes calls step for the requests that wait for probes and removes those that do not wait
// any longer.
func (b *Balancer) stepWaitingForProbes() {
	waiting := b.probing.waiting
	b.probing.waiting = waiting[:0]
	for _, r := range waiting {
		b.step(r)
		if !r.answered && r.probesUntil > b.now {
			b.probing.waiting = append(b.probing.waiting, r)
		}
	}
}

// recordReport records the requests in flight of a load report.
func (b *Balancer) recordReport(s *server, report []float32) {
	for i, f := range b.cfg.Fields {
		if i < len(report) && f == FieldInFlight {
			s.reportedPending, s.reportedAt, s.sentSinceReport = float64(report[i]), b.now, 0
			b.probing.busyShare += (min(s.reportedPending, 1) - b.probing.busyShare) / recentWindow
		}
	}
}
