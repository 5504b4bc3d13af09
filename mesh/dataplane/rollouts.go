package dataplane

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"firplank/mesh/bootstrap"
	"firplank/mesh/config"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/rollout"
	"firplank/mesh/timing"
)

// rolloutTracker has this sidecar's progress in the rollouts that it was notified of. It is owned by the loop.
type rolloutTracker struct {
	durations timing.Rollouts
	bounds    *bootstrap.Bounds

	set           rollout.Set                 // according to which endpoints are set
	progress      map[string]*rolloutProgress // by service
	stale         bool                        // the state is so old that a rollout may have ended
	lastHopCounts bool                        // the last hop collects statistics for a rollout
	nextReport    time.Duration

	confirmedRevision uint32 // the latest revision that this sidecar complies with: nothing that it forbids is in flight
	check             *rolloutCheck
}

// rolloutProgress is a sidecar's progress in the rollout of a service.
type rolloutProgress struct {
	orderReceivedAt   time.Duration // when the order was received
	stageReceivedAt   time.Duration // when the present stage was received
	oldVersionRetired bool          // the servers of the old version have had time to stop
}

func newRolloutTracker(t timing.Rollouts, b *bootstrap.Bounds) rolloutTracker {
	return rolloutTracker{durations: t, bounds: b, progress: map[string]*rolloutProgress{}}
}

// rolloutCheck collects, from the exchanges of all services with a rollout, the work in flight that the rollouts forbid.
type rolloutCheck struct {
	revision       uint32
	pendingReplies int // exchanges that have not replied
	draining       drainingWork
}

// drainingWork is the work in flight at servers that get no new requests.
type drainingWork struct {
	requests int
	streams  int // responses that are still being received
}

func (w *drainingWork) add(other drainingWork) {
	w.requests += other.requests
	w.streams += other.streams
}

// exchangeChecked is the reply of an exchange to a rolloutCheck.
type exchangeChecked struct {
	check    *rolloutCheck
	draining drainingWork
}

// handle implements event.
func (e exchangeChecked) handle(p *Proxy, now time.Duration) {
	e.check.pendingReplies--
	e.check.draining.add(e.draining)
	if e.check.pendingReplies == 0 {
		p.finishRolloutCheck(now, e.check)
	}
}

// setEndpoints updates a service's exchange to the directory and to the service's rollout.
func (p *Proxy) setEndpoints(s *service, entries []directory.Entry, now time.Duration) {
	r, known := p.rollouts.set.Find(s.name)
	if known && r.Stage == rollout.Canary {
		senders, bounds := p.node.State().Directory.Len(), p.rollouts.bounds
		s.split.Begin(now, rollout.CanaryPlan(&r, bounds.ExposureShare, bounds.ExposureSlack, senders), rand.Float64())
	} else {
		s.split.Stop()
	}
	hasEligibleServer := known && p.rollouts.hasEligibleServer(entries, &r)
	s.setEndpoints(entries, func(version string) rollout.Eligibility {
		if !known {
			return rollout.Eligible
		}
		eligibility := p.rollouts.eligibility(&r, version)
		if eligibility == rollout.CanaryOnly && !hasEligibleServer {
			return rollout.Eligible // no server of another version accepts requests
		}
		return eligibility
	}, now)
}

// eligibility returns which requests the servers of a version get. A sidecar whose state is so old that a canary may have been delivered or
// recalled since sends to both versions, as the servers of the old one may have stopped.
func (r *rolloutTracker) eligibility(current *rollout.Rollout, version string) rollout.Eligibility {
	progress := r.progress[current.Service]
	eligibility := current.Eligibility(version, progress != nil && progress.oldVersionRetired)
	if eligibility == rollout.CanaryOnly && r.stale {
		return rollout.Eligible
	}
	return eligibility
}

// hasEligibleServer reports whether the directory has a server for the requests that are not part of the canary.
func (r *rolloutTracker) hasEligibleServer(entries []directory.Entry, current *rollout.Rollout) bool {
	for i := range entries {
		e := &entries[i]
		accepting := e.Service == current.Service && !e.Lost && e.State == directory.Accepting
		if accepting && r.eligibility(current, e.Version) == rollout.Eligible {
			return true
		}
	}
	return false
}

// adoptRollouts adopts the rollouts of the desired state if their revision is newer. The exchanges are reconciled with them afterwards.
func (p *Proxy) adoptRollouts(now time.Duration) {
	next, present := p.node.State().Rollouts, p.rollouts.set
	if next.Revision <= present.Revision {
		return
	}
	p.rollouts.set, p.rollouts.check = next, nil
	for i := range next.Rollouts {
		r := &next.Rollouts[i]
		previous, ok := present.Find(r.Service)
		if ok && previous.Order == r.Order && previous.Stage == r.Stage {
			continue
		}
		progress := &rolloutProgress{orderReceivedAt: now, stageReceivedAt: now}
		if ok && previous.Order == r.Order {
			progress.orderReceivedAt = p.rollouts.progress[r.Service].orderReceivedAt
		}
		p.rollouts.progress[r.Service] = progress
		_ = level.Info(p.log).Log("msg", "rollout stage received", "service", r.Service, "target", r.Target, "order", r.Order, "stage", r.Stage)
	}
	p.exchanges.Invalidate()
	p.updateRolloutCounting()
}

// updateRolloutCounting lets the last hop collect statistics for the rollout of the local server's service, while one is active.
func (p *Proxy) updateRolloutCounting() {
	r, ok := p.rollouts.set.Find(*p.serviceName.Load())
	if !ok || !r.Stage.Active() {
		r.Order = 0
	}
	p.rollouts.lastHopCounts = r.Order > 0
	p.lastHop.countForRollout(r.Order)
}

// checkRollouts, called on each tick, applies the changes that follow from time alone, and begins a check that may confirm the present
// rollouts.
func (p *Proxy) checkRollouts(now time.Duration) {
	r := &p.rollouts
	if r.set.Revision == 0 {
		return
	}
	p.updateRolloutCounting()
	asOf := p.node.State().AsOf
	stale := asOf != dissemination.TimeUnknown && now-asOf > r.durations.LostSidecarWait
	if retired := r.markRetired(now); retired || stale != r.stale {
		r.stale = stale
		p.exchanges.Invalidate()
	}
	if r.confirmedRevision < r.set.Revision && r.check == nil && p.ready.Load() {
		p.beginRolloutCheck(now)
	}
}

// markRetired marks the old versions whose time to stop has passed. It reports whether it marked any.
func (r *rolloutTracker) markRetired(now time.Duration) (changed bool) {
	for service, progress := range r.progress {
		current, ok := r.set.Find(service)
		if ok && current.Stage == rollout.Delivered && !progress.oldVersionRetired &&
			now-progress.stageReceivedAt > r.durations.RetirementPeriod {
			progress.oldVersionRetired, changed = true, true
		}
	}
	return changed
}

// beginRolloutCheck inspects the exchanges of all services with a rollout. They have the present endpoints by then, as an exchange handles
// its events in order.
func (p *Proxy) beginRolloutCheck(now time.Duration) {
	check := &rolloutCheck{revision: p.rollouts.set.Revision}
	p.rollouts.check = check
	for i := range p.rollouts.set.Rollouts {
		s, ok := p.exchanges.Get(p.rollouts.set.Rollouts[i].Service)
		if !ok {
			continue
		}
		check.pendingReplies++
		s.exchange.Inspect(func(time.Duration) {
			draining := drainingWork{requests: s.exchange.InFlightAtClosed(), streams: s.exchange.StreamsAtClosed()}
			// The exchange must not block on the loop, which may be blocked on the exchange.
			p.background.Go(func() { p.post(exchangeChecked{check, draining}) })
		})
	}
	if check.pendingReplies == 0 {
		p.finishRolloutCheck(now, check)
	}
}

// finishRolloutCheck confirms the rollouts if no work that they forbid is in flight, either from here or at the local server.
func (p *Proxy) finishRolloutCheck(now time.Duration, check *rolloutCheck) {
	r := &p.rollouts
	if check != r.check {
		return // newer rollouts have replaced these
	}
	r.check = nil
	if p.localServerRetiring() {
		running, streams := p.lastHop.inFlightCounts()
		check.draining.add(drainingWork{requests: running, streams: streams})
	}
	if check.draining.requests > 0 || check.draining.streams > 0 && r.streamsBlockDelivery(now) {
		return
	}
	r.confirmedRevision = check.revision
	p.sendRolloutReport(now)
}

// streamsBlockDelivery reports whether responses that are still being received from draining servers delay a delivery. They do so after a
// promotion for as long as the platform gives a process to end.
func (r *rolloutTracker) streamsBlockDelivery(now time.Duration) bool {
	for i := range r.set.Rollouts {
		current := &r.set.Rollouts[i]
		progress := r.progress[current.Service]
		if current.Stage == rollout.Promoting && progress != nil && now-progress.stageReceivedAt <= r.durations.OpenStreamWait {
			return true
		}
	}
	return false
}

// localServerRetiring reports whether the version of the local server gets no more requests.
func (p *Proxy) localServerRetiring() bool {
	var e directory.Entry
	p.lastHop.fillEntry(&e)
	r, ok := p.rollouts.set.Find(e.Service)
	return ok && r.Stage == rollout.Promoting && r.Eligibility(e.Version, false) == rollout.NotEligible
}

// sendDueRolloutReport sends the statistics of the last hop when a report is due, and returns the time of the next call at the latest.
func (p *Proxy) sendDueRolloutReport(now time.Duration) (nextCall time.Duration) {
	r := &p.rollouts
	if !r.lastHopCounts {
		return now + r.durations.LostSidecarWait
	}
	if now >= r.nextReport {
		p.sendRolloutReport(now)
	}
	return r.nextReport
}

func (p *Proxy) sendRolloutReport(now time.Duration) {
	p.rollouts.nextReport = now + p.rollouts.durations.ReportInterval
	order, classes := p.lastHop.rolloutStatistics()
	report := directory.RolloutReport{ConfirmedRevision: p.rollouts.confirmedRevision, Order: order, Classes: classes}
	if progress := p.rollouts.progress[*p.serviceName.Load()]; progress != nil && order > 0 {
		report.OrderAge = now - progress.orderReceivedAt
	}
	p.node.SetRolloutReport(now, report)
}

// classMultiplier is the odd multiplier of the hash in routeClass.
const classMultiplier = 0x9e3779b97f4a7c15

// routeClass returns the class of a route by which the statistics of a rollout are grouped. Routes with the same kind, latency target,
// timeout and precedence share a class.
func routeClass(r *config.Route) uint32 {
	class := uint64(len(r.Kind))
	for _, part := range [...]float64{r.LatencyTargetS, r.Action.TimeoutS, float64(r.Precedence)} {
		class = (class ^ math.Float64bits(part)) * classMultiplier
	}
	return uint32(class >> 32)
}
