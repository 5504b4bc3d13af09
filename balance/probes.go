package balance

import "math"

// Parameters of load probes.
const (
	probeCostShare    = 0.03 // part of the result that the probes of a request may cost
	probeWaitShare    = 0.05 // part of the target for which an attempt waits, and a report is fresh
	probeLatencyBound = 0.75 // part of the latency target within which a probed server has to answer
	allBusyChance     = 0.01 // chance that all probed servers are busy at which no more are probed
	minBusyShare      = 0.01 // bounds of the share of busy servers, as its logarithm is taken
	maxBusyShare      = 0.99
	minProbePenalty   = 1e-3 // ... and of the price of a probe, which is divided by
)

// probing is the state of load probes across requests.
type probing struct {
	busyShare         float64    // recent share of reporting servers that had any request pending
	latencyPerPending float64    // ms of latency per request pending at the server, itself included
	waiting           []*request // requests that wait for probes
}

// startProbes probes the servers next in the rotation before a first attempt, where servers report their load
// only when probed: so many that they are hardly ever all busy, within what probes may cost.
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

// count is the number of servers to probe for a request, at a price for each.
func (p *probing) count(penalty float64) int {
	affordable := probeCostShare / max(penalty, minProbePenalty)
	busy := clamp(p.busyShare, minBusyShare, maxBusyShare)
	return int(min(affordable, math.Ceil(math.Log(allBusyChance)/math.Log(busy))))
}

// nextToProbe is the next eligible server in the rotation that was not probed for the request; nil if there
// is none.
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
// not answer is ejected: its process may run, but is unreachable from here.
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

// awaitingProbes reports whether a request still waits for its probes; it never waits beyond probesUntil.
func (b *Balancer) awaitingProbes(r *request) bool {
	for _, s := range r.probed {
		if s.probing && b.now < r.probesUntil {
			return true
		}
	}
	r.probesUntil = 0
	return false
}

// overloaded reports whether probes found no server that would answer in time; nothing has been sent yet.
func (b *Balancer) overloaded(r *request, s *server) bool {
	if len(r.attempts) > 0 || !b.reportFresh(s) {
		return false
	}
	latency := b.probing.latencyPerPending * (b.pendingAt(s) + 1)
	return b.now+latency > r.arrivedAt+probeLatencyBound*r.class.LatencyTarget
}

// stepWaitingForProbes steps the requests that wait for probes and keeps those that still do.
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

// recordReport records a load report.
func (b *Balancer) recordReport(s *server, report []float32) {
	for i, f := range b.cfg.Fields {
		if i < len(report) && f == FieldInFlight {
			s.reportedPending, s.reportedAt, s.sentSinceReport = float64(report[i]), b.now, 0
			b.probing.busyShare += (min(s.reportedPending, 1) - b.probing.busyShare) / recentWindow
		}
	}
}
