// Package rollouts explores package mesh/rollout: sidecars that send by the updates that they have, control machines that decide on what
// sidecars have reported, and a register between them, under cuts, restarts, late updates, long requests and a version that turns bad. It
// checks that nobody in contact sends to the old version once a rollout is delivered, that nothing is held there then, that the canary
// never gets more than its share, and that a rollout has one outcome. The register is taken for linearizable (lab/explore/register).
//
// The decisions are the shipped ones (Set, Controller, Judge, Split, Eligibility); what a sidecar does between them is written here anew,
// as docs/design/rollout.md has it.
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
	// step is how much time passes at once, and term that of the rollout.
	step = 250 * time.Millisecond
	term = 8 * time.Second
	// requestsPerStep are those of each sidecar.
	requestsPerStep = 12
	// shortRequest and longRequest are how long requests take.
	shortRequest = step
	longRequest  = 3 * time.Second
	// lostAfter is the silence after which a control machine holds a sidecar for lost.
	lostTimeout = 3 * time.Second
	// exposureShare and exposureSlack are what a bad version may get.
	exposureShare = 0.1
	exposureSlack = 8
	// slots are those of each server.
	slots = 4
	// failing is the share of requests that the new version fails once it is bad, as one in so many.
	failureInterval = 2
)

// durations are those of a deployment in which a sidecar counts as lost well before it is out of touch.
var durations = timing.DefaultWith(func(b *bootstrap.Bounds) { b.SettleTime = 5 * time.Second }).Rollouts

// sidecar is a branch machine: it sends, and has a server of one version.
type sidecar struct {
	version       string
	set           rollout.Set // by which it sends
	ready         bool
	partitioned   bool // from all control machines
	contactAt     time.Duration
	split         rollout.Split
	splitOffset   float64 // of the split
	confirmed     uint32
	stale         bool            // it was out of contact for long as the rollout was delivered, and has had no update since
	requestsAtOld []time.Duration // ends of its requests at servers of the old version
	nextIsLong    bool            // its next request is a long one

	canaryRequests, requests int // in the canary
	statistics               rollout.Statistics
	order                    uint32
}

// control is a control machine.
type control struct {
	startedAt  time.Duration
	controller *rollout.Controller
	set        rollout.Set // the newest that it knows to be committed
	machines   map[int]rollout.Machine
}

// world is a mesh with its faults. It implements explore.System.
type world struct {
	bounds Bounds
	defect *Defect

	now                  time.Duration
	committed            rollout.Set
	sidecars             []*sidecar
	controls             []*control
	leader               int
	newVersionFails      bool // the new version fails
	updatesDelayed       bool // control machines learn of commits, and sidecars of those, only by choices
	faults               int
	requestsWhileFailing int // requests of the new version since it is bad

	deliveredAt time.Duration // 0: it is not
	outcome     rollout.Stage
	broken      error
	fingerprint explore.OrderFingerprint
	choices     []explore.Choice
}

// Start returns a function that makes a new system; a nil defect plants none. A rollout was ordered, and all sidecars know it.
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

// newControl returns a control machine whose process started at a time.
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

// State implements explore.System: no two orders are taken for the same.
func (w *world) State() uint64 { return uint64(w.fingerprint) }

// Do implements explore.System.
func (w *world) Do(choice int) {
	w.Choices()
	w.fingerprint = w.fingerprint.Add(choice)
	w.choices[choice].Do()
}

// pass lets a step pass: requests are made and end, sidecars report, control machines decide, and what was committed spreads.
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

// endRequests drops the requests that have ended.
func (s *sidecar) endRequests(now time.Duration) {
	remaining := s.requestsAtOld[:0]
	for _, end := range s.requestsAtOld {
		if end > now {
			remaining = append(remaining, end)
		}
	}
	s.requestsAtOld = remaining
}

// send makes the requests of a step.
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

// runAtOld runs a request of a sidecar at a server of the old version. Once a rollout is delivered there is none.
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

// report brings what sidecars report to the control machines.
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

// learnFromPeers has a control machine that does not know a sidecar learn of it by another one's hello.
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

// confirm has a sidecar confirm what it sends by, once nothing is in flight that it forbids.
func (w *world) confirm(s *sidecar) {
	r, known := s.set.Find(service)
	forbidsOld := known && r.Eligibility(oldVersion, false) == rollout.NotEligible
	if s.ready && (!forbidsOld || len(s.requestsAtOld) == 0 || w.defect.confirmsWithRequestsInFlight) {
		s.confirmed = s.set.Revision
	}
}

// clock is a control machine's own time, from the start of its process.
func (c *control) clock(now time.Duration) time.Duration { return now - c.startedAt }

// decide has a control machine decide, and commits what it proposes.
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

// commit makes a transition in the register.
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
			w.broken = fmt.Errorf("%d requests are held at the old version as the rollout is delivered", len(s.requestsAtOld))
		}
	}
}

// spread brings what is committed to all control machines, and what these know to the sidecars in contact.
func (w *world) propagate() {
	for i := range w.controls {
		w.controls[i].set = w.committed
	}
	for _, s := range w.sidecars {
		w.updateSidecar(s, w.committed)
	}
}

// tell brings a set to a sidecar, which is ready with it.
func (w *world) updateSidecar(s *sidecar, set rollout.Set) {
	if s.partitioned || set.Revision < s.set.Revision {
		return
	}
	s.set, s.ready, s.contactAt, s.stale = set, true, w.now, false
}

// plan is each sidecar's for the canary of a rollout.
func (w *world) canaryPlan(r *rollout.Rollout) rollout.Plan {
	return rollout.CanaryPlan(r, exposureShare, exposureSlack, len(w.sidecars))
}

// check looks at the canary's share: no sidecar gives it more than its plan and its start allow.
func (w *world) checkCanaryShare() {
	r, _ := w.committed.Find(service)
	plan := w.canaryPlan(&r)
	for i, s := range w.sidecars {
		if allowed := s.splitOffset + plan.Extra + plan.Share*float64(s.requests); float64(s.canaryRequests) > allowed && w.broken == nil {
			w.broken = fmt.Errorf("sidecar %d gave the canary %d of %d requests, %.2f allowed", i, s.canaryRequests, s.requests, allowed)
		}
	}
}
