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

// rollouts is how far this sidecar has followed the rollouts that it was notified of. It belongs to the loop.
type rollouts struct {
	durations timing.Rollouts
	bounds    *bootstrap.Bounds

	set      rollout.Set          // by which endpoints are set
	followed map[string]*followed // by service
	stale    bool                 // what is known is so old that a rollout may have ended
	counting bool                 // the last hop counts for a rollout
	reportAt time.Duration

	confirmed uint32 // the revision by which this sidecar sends, with nothing in flight that it forbids
	check     *rolloutCheck
}

// followed is how far a sidecar has followed the rollout of a service.
type followed struct {
	ordered time.Duration // when it learned of the order
	since   time.Duration // when it learned of the present stage
	retired bool          // the servers of the old version have had time to stop
}

func newRollouts(t timing.Rollouts, b *bootstrap.Bounds) rollouts {
	return rollouts{durations: t, bounds: b, followed: map[string]*followed{}}
}

// rolloutCheck asks the exchanges of services with a rollout whether they have anything in flight that it forbids.
type rolloutCheck struct {
	revision uint32
	awaited  int // exchanges that have not replied
	held     heldWork
}

// heldWork is what servers have that get no new requests.
type heldWork struct {
	requests int
	streams  int // answers that are still coming
}

func (w *heldWork) add(o heldWork) {
	w.requests += o.requests
	w.streams += o.streams
}

// exchangeChecked is the reply of an exchange.
type exchangeChecked struct {
	check *rolloutCheck
	held  heldWork
}

// handle implements event.
func (e exchangeChecked) handle(p *Proxy, now time.Duration) {
	e.check.awaited--
	e.check.held.add(e.held)
	if e.check.awaited == 0 {
		p.rolloutsChecked(now, e.check)
	}
}

// setEndpoints brings a service's exchange to a directory and to the service's rollout.
func (p *Proxy) setEndpoints(s *service, entries []directory.Entry, now time.Duration) {
	r, known := p.rollouts.set.Find(s.name)
	if known && r.Stage == rollout.Canary {
		senders, bounds := p.node.State().Directory.Len(), p.rollouts.bounds
		s.split.Begin(now, rollout.CanaryPlan(&r, bounds.ExposureShare, bounds.ExposureSlack, senders), rand.Float64())
	} else {
		s.split.Stop()
	}
	anyServes := known && p.rollouts.anyServes(entries, &r)
	s.setEndpoints(entries, func(version string) rollout.Eligibility {
		if !known {
			return rollout.Eligible
		}
		eligibility := p.rollouts.eligibility(&r, version)
		if eligibility == rollout.CanaryOnly && !anyServes {
			return rollout.Eligible // there is no other version to send to
		}
		return eligibility
	}, now)
}

// eligibility is what the servers of a version get. A sidecar that has received nothing for so long that a canary may have been delivered
// or recalled sends to both versions: servers of the old one may have stopped.
func (r *rollouts) eligibility(of *rollout.Rollout, version string) rollout.Eligibility {
	f := r.followed[of.Service]
	eligibility := of.Eligibility(version, f != nil && f.retired)
	if eligibility == rollout.CanaryOnly && r.stale {
		return rollout.Eligible
	}
	return eligibility
}

// anyServes reports whether a directory has a server that takes the requests which are not for the new version.
func (r *rollouts) anyServes(entries []directory.Entry, of *rollout.Rollout) bool {
	for i := range entries {
		e := &entries[i]
		takes := e.Service == of.Service && !e.Lost && e.State == directory.Accepting
		if takes && r.eligibility(of, e.Version) == rollout.Eligible {
			return true
		}
	}
	return false
}

// adoptRollouts takes over later rollouts than those that the exchanges have. The exchanges are reconciled with them next.
func (p *Proxy) adoptRollouts(now time.Duration) {
	next, present := p.node.State().Rollouts, p.rollouts.set
	if next.Revision <= present.Revision {
		return
	}
	p.rollouts.set, p.rollouts.check = next, nil
	for i := range next.Rollouts {
		r := &next.Rollouts[i]
		before, ok := present.Find(r.Service)
		if ok && before.Order == r.Order && before.Stage == r.Stage {
			continue
		}
		next := &followed{ordered: now, since: now}
		if ok && before.Order == r.Order {
			next.ordered = p.rollouts.followed[r.Service].ordered
		}
		p.rollouts.followed[r.Service] = next
		_ = level.Info(p.log).Log("msg", "rollout", "service", r.Service, "target", r.Target, "order", r.Order, "stage", r.Stage)
	}
	p.exchanges.Invalidate()
	p.countForRollout()
}

// countForRollout makes the last hop count for the rollout of the local server's service, if one is under way.
func (p *Proxy) countForRollout() {
	r, ok := p.rollouts.set.Find(*p.serviceName.Load())
	if !ok || !r.Stage.Active() {
		r.Order = 0
	}
	p.rollouts.counting = r.Order > 0
	p.lastHop.setTrial(r.Order)
}

// checkRollouts looks, several times a second, at what time changes in rollouts, and asks whether the present ones can be confirmed.
func (p *Proxy) checkRollouts(now time.Duration) {
	r := &p.rollouts
	if r.set.Revision == 0 {
		return
	}
	p.countForRollout()
	asOf := p.node.State().AsOf
	stale := asOf != dissemination.TimeUnknown && now-asOf > r.durations.LostSidecarWait
	if retired := r.retire(now); retired || stale != r.stale {
		r.stale = stale
		p.exchanges.Invalidate()
	}
	if r.confirmed < r.set.Revision && r.check == nil && p.ready.Load() {
		p.beginRolloutCheck(now)
	}
}

// retire marks the old versions whose time to stop has passed. It reports whether there is one more.
func (r *rollouts) retire(now time.Duration) (changed bool) {
	for service, f := range r.followed {
		one, ok := r.set.Find(service)
		if ok && one.Stage == rollout.Delivered && !f.retired && now-f.since > r.durations.RetirementPeriod {
			f.retired, changed = true, true
		}
	}
	return changed
}

// beginRolloutCheck asks the exchanges, which have the present endpoints by now, as their events keep their order.
func (p *Proxy) beginRolloutCheck(now time.Duration) {
	check := &rolloutCheck{revision: p.rollouts.set.Revision}
	p.rollouts.check = check
	for i := range p.rollouts.set.Rollouts {
		s, ok := p.exchanges.Get(p.rollouts.set.Rollouts[i].Service)
		if !ok {
			continue
		}
		check.awaited++
		s.exchange.Inspect(func(time.Duration) {
			held := heldWork{requests: s.exchange.InFlightAtClosed(), streams: s.exchange.StreamsAtClosed()}
			// The exchange must not wait for the loop, which may wait for it.
			p.background.Go(func() { p.post(exchangeChecked{check, held}) })
		})
	}
	if check.awaited == 0 {
		p.rolloutsChecked(now, check)
	}
}

// rolloutsChecked confirms the rollouts where nothing is in flight that they forbid, here or at the local server.
func (p *Proxy) rolloutsChecked(now time.Duration, check *rolloutCheck) {
	r := &p.rollouts
	if check != r.check {
		return // there are later rollouts
	}
	r.check = nil
	if p.localServerRetires() {
		running, streams := p.lastHop.work()
		check.held.add(heldWork{requests: running, streams: streams})
	}
	if check.held.requests > 0 || check.held.streams > 0 && r.streamsHoldUp(now) {
		return
	}
	r.confirmed = check.revision
	p.sendEvidence(now)
}

// streamsHoldUp reports whether answers that still come from servers without new requests hold up a delivery: for as long after a promotion
// as the platform gives a process to end.
func (r *rollouts) streamsHoldUp(now time.Duration) bool {
	for i := range r.set.Rollouts {
		one := &r.set.Rollouts[i]
		f := r.followed[one.Service]
		if one.Stage == rollout.Promoting && f != nil && now-f.since <= r.durations.OpenStreamWait {
			return true
		}
	}
	return false
}

// localServerRetires reports whether the local server is of a version that gets no more requests.
func (p *Proxy) localServerRetires() bool {
	var e directory.Entry
	p.lastHop.fillEntry(&e)
	r, ok := p.rollouts.set.Find(e.Service)
	return ok && r.Stage == rollout.Promoting && r.Eligibility(e.Version, false) == rollout.NotEligible
}

// reportRollouts reports what the last hop has counted, when that is due. It returns when to be called again at the latest.
func (p *Proxy) reportRollouts(now time.Duration) (next time.Duration) {
	r := &p.rollouts
	if !r.counting {
		return now + r.durations.LostSidecarWait
	}
	if now >= r.reportAt {
		p.sendEvidence(now)
	}
	return r.reportAt
}

func (p *Proxy) sendEvidence(now time.Duration) {
	p.rollouts.reportAt = now + p.rollouts.durations.ReportInterval
	order, classes := p.lastHop.trialStatistics()
	evidence := directory.RolloutReport{ConfirmedRevision: p.rollouts.confirmed, Order: order, Classes: classes}
	if f := p.rollouts.followed[*p.serviceName.Load()]; f != nil && order > 0 {
		evidence.OrderAge = now - f.ordered
	}
	p.node.SetRolloutReport(now, evidence)
}

// classMultiplier is a large odd number by which routeClass spreads its parts.
const classMultiplier = 0x9e3779b97f4a7c15

// routeClass numbers the classes of routes that a version is judged by: those of the same kind and bounds.
func routeClass(r *config.Route) uint32 {
	class := uint64(len(r.Kind))
	for _, part := range [...]float64{r.LatencyTargetS, r.Action.TimeoutS, float64(r.Precedence)} {
		class = (class ^ math.Float64bits(part)) * classMultiplier
	}
	return uint32(class >> 32)
}
