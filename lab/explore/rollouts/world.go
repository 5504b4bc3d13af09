// Package rollouts is an explorer of package mesh/rollout: sidecars route by the updates that they have received, control machines decide
// by the sidecars' reports, and a register connects them, under partitions, restarts, late updates, long requests and a new version that
// starts to fail. It checks that no sidecar in contact sends to the old version after a rollout is delivered, that no requests are in
// flight there at the delivery, that the canary never gets more than its share, and that a rollout has one outcome. The register is
// assumed to be linearizable, which lab/explore/register checks.
//
// The decisions are the shipped ones (Set, Controller, Judge, Split, Eligibility). The rest of a sidecar is reimplemented here from
// docs/design/rollout.md.
//
// Start reading at Start.
package rollouts

import (
	"fmt"
	"time"

	"firplank/lab/explore"
	"firplank/mesh/bootstrap"
	"firplank/mesh/rollout"
	"firplank/mesh/timing"
)

const (
	service    = "one"
	oldVersion = "v1"
	newVersion = "v2"
	// step is the resolution of virtual time, and term the term of the rollout.
	step = 250 * time.Millisecond
	term = 8 * time.Second
	// requestsPerStep is the number of requests of each sidecar in a step.
	requestsPerStep = 12
	// shortRequest and longRequest are durations of requests.
	shortRequest = step
	longRequest  = 3 * time.Second
	// lostTimeout is the time without contact after which a control machine considers a sidecar lost.
	lostTimeout = 3 * time.Second
	// exposureShare and exposureSlack limit the requests that a faulty new version may get.
	exposureShare = 0.1
	exposureSlack = 8
	// slots is the number of slots of each server.
	slots = 4
	// failureInterval is the number of requests of which the new version fails one, once it is faulty.
	failureInterval = 2
)

// durations are the timings of a deployment in which a sidecar counts as lost well before it has been out of contact for too long.
var durations = timing.DefaultWith(func(b *bootstrap.Bounds) { b.SettleTime = 5 * time.Second }).Rollouts

// sidecar is the sidecar of a branch machine. It sends requests, and its machine has a server of one version.
type sidecar struct {
	version       string
	set           rollout.Set // rollouts that it routes by
	ready         bool
	partitioned   bool // from all control machines
	contactAt     time.Duration
	split         rollout.Split
	splitOffset   float64 // initial offset of the split
	confirmed     uint32
	stale         bool            // it had been out of contact for too long when the rollout was delivered, and has received no update since
	requestsAtOld []time.Duration // end times of its requests at servers of the old version
	nextIsLong    bool            // its next request is a long one

	canaryRequests, requests int // during the canary stage
	statistics               rollout.Statistics
	order                    uint32
}

// control is a control machine.
type control struct {
	startedAt  time.Duration
	controller *rollout.Controller
	set        rollout.Set // the newest committed rollouts that it has received
	machines   map[int]rollout.Machine
}

// world is a mesh with its faults. It implements explore.System.
type world struct {
	explore.Offers

	bounds Bounds
	defect *Defect

	now                  time.Duration
	committed            rollout.Set
	sidecars             []*sidecar
	controls             []*control
	leader               int
	newVersionFails      bool // the new version fails
	updatesDelayed       bool // commits reach control machines and sidecars only by explicit choices
	requestsWhileFailing int  // requests to the new version since it became faulty

	deliveredAt time.Duration // 0 until the rollout is delivered
	outcome     rollout.Stage
	broken      error
}

// Start returns a function that creates a new system, in which a rollout was ordered and has reached all sidecars. No defect is planted
// if d is nil.
func Start(b Bounds, d *Defect) func() explore.System {
	if d == nil {
		d = &Defect{}
	}
	return func() explore.System {
		w := &world{bounds: b, defect: d, now: time.Minute}
		w.committed = w.committed.Start(rollout.Order{Service: service, Target: newVersion, Term: term})
		for i := range b.Machines {
			s := &sidecar{version: oldVersion, set: w.committed, ready: true, contactAt: w.now, order: 1, statistics: rollout.Statistics{Class: 1}}
			s.splitOffset = float64(i) / float64(b.Machines)
			if i >= b.Machines/2 {
				s.version = newVersion
			}
			w.sidecars = append(w.sidecars, s)
		}
		for range b.Controls {
			w.controls = append(w.controls, w.newControl(0))
		}
		w.report()
		return w
	}
}

// newControl returns a control machine whose process started at the given time.
func (w *world) newControl(startedAt time.Duration) *control {
	return &control{
		startedAt:  startedAt,
		controller: rollout.NewController(durations, exposureSlack),
		set:        w.committed,
		machines:   map[int]rollout.Machine{},
	}
}

// Broken implements explore.System.
func (w *world) Broken() error { return w.broken }

// Do implements explore.System.
func (w *world) Do(choice int) {
	w.Choices()
	w.Perform(choice)
}

// advance runs one step: requests end and start, sidecars report, control machines decide, and commits are propagated.
func (w *world) advance() {
	w.now += step
	for _, s := range w.sidecars {
		s.endRequests(w.now)
		w.send(s)
	}
	w.report()
	for i := range w.controls {
		w.decide(i)
	}
	if !w.updatesDelayed {
		w.propagate()
	}
	w.checkCanaryShare()
}

// endRequests removes the requests that have ended.
func (s *sidecar) endRequests(now time.Duration) {
	remaining := s.requestsAtOld[:0]
	for _, end := range s.requestsAtOld {
		if end > now {
			remaining = append(remaining, end)
		}
	}
	s.requestsAtOld = remaining
}

// send sends a sidecar's requests of a step.
func (w *world) send(s *sidecar) {
	if !s.ready {
		return
	}
	r, known := s.set.Find(service)
	if known && r.Stage == rollout.Canary {
		plan := w.canaryPlan(&r)
		if w.defect.doublesShare {
			plan.Share *= 2
		}
		s.split.Begin(w.now, plan, s.splitOffset)
	} else {
		s.split.Stop()
	}
	for range requestsPerStep {
		w.sendOne(s, &r, known)
	}
}

func (w *world) sendOne(s *sidecar, r *rollout.Rollout, known bool) {
	chosen := s.split.Next(w.now)
	toOld, toTarget := rollout.Eligible, rollout.Eligible
	if known {
		toOld, toTarget = r.Eligibility(oldVersion, false), r.Eligibility(newVersion, false)
	}
	stale := w.now-s.contactAt > durations.LostSidecarWait
	if known && r.Stage == rollout.Canary {
		s.requests++
		if chosen {
			s.canaryRequests++
		}
		if stale {
			toTarget = rollout.Eligible
		}
	}
	if w.defect.sendsToOldAfterDelivery && toOld == rollout.NotEligible && r.Stage == rollout.Delivered {
		toOld = rollout.Eligible
	}
	switch {
	case toTarget == rollout.CanaryOnly && chosen || toTarget == rollout.Eligible && toOld != rollout.Eligible:
		w.runAtTarget()
	case toOld == rollout.Eligible:
		w.runAtOld(s)
	}
}

// runAtTarget runs a request at one of the servers of the new version.
func (w *world) runAtTarget() {
	failed := false
	if w.newVersionFails {
		w.requestsWhileFailing++
		failed = w.requestsWhileFailing%failureInterval == 0
	}
	first := w.bounds.Machines / 2
	w.sidecars[first+w.requestsWhileFailing%(w.bounds.Machines-first)].statistics.Record(failed, false, shortRequest)
}

// runAtOld runs a sidecar's request at a server of the old version. After the delivery such a request is a breach, unless the sidecar is
// stale.
func (w *world) runAtOld(s *sidecar) {
	if w.deliveredAt > 0 && !s.stale && w.broken == nil {
		w.broken = fmt.Errorf("%v after the delivery a sidecar in contact sends to the old version", w.now-w.deliveredAt)
	}
	duration := shortRequest
	if s.nextIsLong {
		duration, s.nextIsLong = longRequest, false
	}
	s.requestsAtOld = append(s.requestsAtOld, w.now+duration)
	w.sidecars[0].statistics.Record(false, false, shortRequest)
}

// report delivers the sidecars' reports to the control machines.
func (w *world) report() {
	for i, s := range w.sidecars {
		w.confirm(s)
		for _, c := range w.controls {
			m := c.machines[i]
			if !s.partitioned {
				s.contactAt = w.now
				m = rollout.Machine{
					Node: fmt.Sprint("branch-", i), Service: service, Version: s.version, Accepting: true, Slots: slots,
					LastSeen: c.clock(w.now), Confirmed: s.confirmed, Order: s.order, Classes: []rollout.Statistics{s.statistics},
				}
				if w.defect.confirmsUnreceived {
					m.Confirmed = c.set.Revision
				}
			} else if m.Service == "" && !w.learnFromPeers(c, i, &m) {
				continue // no control machine knows the sidecar
			}
			m.Lost = c.clock(w.now)-m.LastSeen > lostTimeout
			if m.Lost && w.defect.ignoresLostSidecars {
				m.LastSeen = -time.Hour
			}
			c.machines[i] = m
		}
	}
}

// learnFromPeers copies the state of an unknown sidecar from another control machine, as its hello would. It reports whether any knows
// the sidecar.
func (w *world) learnFromPeers(c *control, i int, m *rollout.Machine) bool {
	for _, peer := range w.controls {
		if known, ok := peer.machines[i]; ok {
			*m = known
			m.LastSeen += peer.startedAt - c.startedAt
			return true
		}
	}
	return false
}

// confirm has a sidecar confirm the revision that it routes by, once no request that this forbids is in flight.
func (w *world) confirm(s *sidecar) {
	r, known := s.set.Find(service)
	forbidsOld := known && r.Eligibility(oldVersion, false) == rollout.NotEligible
	if s.ready && (!forbidsOld || len(s.requestsAtOld) == 0 || w.defect.confirmsWithRequestsInFlight) {
		s.confirmed = s.set.Revision
	}
}

// clock returns a control machine's local time, which starts with its process.
func (c *control) clock(now time.Duration) time.Duration { return now - c.startedAt }

// decide runs a control machine's decision and commits the proposed transitions.
func (w *world) decide(i int) {
	c := w.controls[i]
	view := rollout.View{Self: fmt.Sprint("control-", i), Leader: i == w.leader, Set: c.set}
	for j := range w.sidecars {
		if m, ok := c.machines[j]; ok {
			view.Machines = append(view.Machines, m)
		}
	}
	now := c.clock(w.now)
	if w.defect.decidesAtStart {
		now += time.Hour
		for j := range view.Machines {
			view.Machines[j].LastSeen += time.Hour
		}
	}
	for _, t := range c.controller.Decide(now, view) {
		w.commit(t)
	}
}

// commit applies a transition in the register.
func (w *world) commit(t rollout.Transition) {
	if w.defect.anyStage {
		r, _ := w.committed.Find(service)
		t.From = r.Stage
	}
	before := w.committed
	w.committed = before.Apply(t)
	if w.committed.Revision == before.Revision {
		return
	}
	r, _ := w.committed.Find(service)
	if w.outcome != 0 && r.Stage != w.outcome && w.broken == nil {
		w.broken = fmt.Errorf("the rollout is %v after it was %v", r.Stage, w.outcome)
	}
	if !r.Stage.Active() {
		w.outcome = r.Stage
	}
	if r.Stage != rollout.Delivered {
		return
	}
	w.deliveredAt = w.now
	for _, s := range w.sidecars {
		s.stale = s.partitioned && w.now-s.contactAt > durations.LostSidecarWait
		if len(s.requestsAtOld) > 0 && !s.stale && w.broken == nil {
			w.broken = fmt.Errorf("%d requests are in flight at the old version when the rollout is delivered", len(s.requestsAtOld))
		}
	}
}

// propagate sends the committed rollouts to all control machines and to the sidecars in contact.
func (w *world) propagate() {
	for i := range w.controls {
		w.controls[i].set = w.committed
	}
	for _, s := range w.sidecars {
		w.updateSidecar(s, w.committed)
	}
}

// updateSidecar delivers a set to a sidecar, which is then ready. A partitioned sidecar gets none, and older sets are ignored.
func (w *world) updateSidecar(s *sidecar, set rollout.Set) {
	if s.partitioned || set.Revision < s.set.Revision {
		return
	}
	s.set, s.ready, s.contactAt, s.stale = set, true, w.now, false
}

// canaryPlan returns each sidecar's plan for the canary of a rollout.
func (w *world) canaryPlan(r *rollout.Rollout) rollout.Plan {
	return rollout.CanaryPlan(r, exposureShare, exposureSlack, len(w.sidecars))
}

// checkCanaryShare checks that no sidecar sends more requests to the canary than its plan and its offset allow.
func (w *world) checkCanaryShare() {
	r, _ := w.committed.Find(service)
	plan := w.canaryPlan(&r)
	for i, s := range w.sidecars {
		if allowed := s.splitOffset + plan.Extra + plan.Share*float64(s.requests); float64(s.canaryRequests) > allowed && w.broken == nil {
			w.broken = fmt.Errorf("sidecar %d sent %d of %d requests to the canary, %.2f allowed", i, s.canaryRequests, s.requests, allowed)
		}
	}
}
