package rollout

import (
	"fmt"
	"time"

	"firplank/mesh/timing"
)

const (
	// minEvidence is the number of requests of the new version before it is promoted.
	minEvidence = 24
	// Parts of a rollout's term: when it is promoted and when it is delivered at the earliest, and how long the new version has to serve all
	// requests before that. A version may turn bad late: until the delivery the old one can take over again.
	promoteAfter     = 0.6
	deliverAfter     = 0.8
	promotingAtLeast = 0.1
	// giveUpAfter times its term after its order a rollout is recalled that is not delivered.
	giveUpAfter = 2
	// minCapacityShare is the part of the old version's slots that the new one has to have to be promoted.
	minCapacityShare = 0.7
)

// Machine is what a control machine knows of a sidecar and the server beside it.
type Machine struct {
	Node             string
	Service, Version string
	Accepting        bool // the server takes requests
	Slots            int
	Lost             bool // there was no heartbeat for too long
	LastSeen         time.Duration
	// Confirmed is the revision of the Set up to which the sidecar sends by it, and has nothing in flight that it forbids.
	Confirmed uint32
	// Order is that of the rollout that Classes were counted in, and OrderAge for how long the sidecar has known of it.
	Order    uint32
	OrderAge time.Duration
	Classes  []Statistics
}

// View is what a control machine decides on.
type View struct {
	Self     string
	Leader   bool // this machine holds the lease: it alone promotes and delivers; any machine recalls
	Set      Set
	Machines []Machine
}

// Controller decides on the stages of rollouts. Times of stages count from when this process has first seen them: after a restart a stage
// takes longer, never shorter. Only the time since the order counts from when a sidecar has first seen it. Times are measured from the
// start of the process. It is not safe for concurrent use.
type Controller struct {
	durations     timing.Rollouts
	exposureSlack float64
	progress      map[string]*progress // by service
}

// progress is when this process has first seen a rollout, and its stage.
type progress struct {
	order        uint32
	stage        Stage
	orderedAt    time.Duration
	stageSeenAt  time.Duration
	judge        Judge
	lastJudgment Verdict
	waitsFor     string // what the rollout was waiting for at the last decision
}

// NewController returns a controller that has seen nothing. A bad version may get exposureSlack requests, however few its service has.
func NewController(t timing.Rollouts, exposureSlack float64) *Controller {
	return &Controller{durations: t, exposureSlack: exposureSlack, progress: map[string]*progress{}}
}

// Decide returns the transitions that are due. It is called several times a second.
func (c *Controller) Decide(now time.Duration, v View) (due []Transition) {
	for i := range v.Set.Rollouts {
		r := &v.Set.Rollouts[i]
		p := c.observe(now, r, v.Machines)
		if !r.Stage.Active() {
			continue
		}
		if to, reason := c.decide(now, r, p, &v); to != 0 {
			due = append(due, Transition{Service: r.Service, Order: r.Order, From: r.Stage, To: to, Reason: reason, DecidedBy: v.Self})
		}
	}
	return due
}

// observe records when a rollout and its stage were first seen.
func (c *Controller) observe(now time.Duration, r *Rollout, machines []Machine) *progress {
	p := c.progress[r.Service]
	if p == nil || p.order != r.Order {
		p = &progress{order: r.Order, stage: r.Stage, orderedAt: now, stageSeenAt: now}
		c.progress[r.Service] = p
	}
	if p.stage != r.Stage {
		p.stage, p.stageSeenAt = r.Stage, now
	}
	for i := range machines {
		if m := &machines[i]; m.Service == r.Service && m.Order == r.Order {
			p.orderedAt = min(p.orderedAt, now-m.OrderAge)
		}
	}
	return p
}

// EndedLately reports whether the rollout of a service was seen to end so short a time ago that copies of its order may still come.
func (c *Controller) EndedLately(now time.Duration, service string) bool {
	p := c.progress[service]
	return p != nil && !p.stage.Active() && now-p.stageSeenAt <= c.durations.DuplicateOrderWindow
}

// Judgment returns the last judgement on the rollout of a service.
func (c *Controller) Judgment(service string) Verdict {
	if p := c.progress[service]; p != nil {
		return p.lastJudgment
	}
	return Verdict{}
}

// WaitsFor returns what the rollout of a service was waiting for at the last decision.
func (c *Controller) WaitsFor(service string) string {
	if p := c.progress[service]; p != nil && p.stage.Active() {
		return p.waitsFor
	}
	return ""
}

// decide returns the stage that a rollout is to move to and why; 0: it stays.
func (c *Controller) decide(now time.Duration, r *Rollout, p *progress, v *View) (to Stage, reason string) {
	verdict := p.judge.Judge(r.Stage, samplesOf(r, v.Machines))
	p.lastJudgment = verdict
	elapsed := now - p.orderedAt
	switch {
	case verdict.Bad:
		return Recalled, verdict.Reason
	case !v.Leader:
		p.waitsFor = "the holder of the lease"
		return 0, ""
	case now <= c.durations.LostSidecarWait: // until then this process may not know all machines yet
		p.waitsFor = "reports of all sidecars to this machine, which has just started"
		return 0, ""
	case elapsed > giveUpAfter*r.Term:
		return Recalled, fmt.Sprintf("not delivered in %v: it waited for %s; %s", elapsed.Round(time.Second), p.waitsFor, verdict.Reason)
	case r.Stage == Promoting:
		to, p.waitsFor = c.decidePromoting(now, r, p, v)
	default:
		to, p.waitsFor = c.decideCanary(elapsed, r, &verdict, v)
	}
	if to == Recalled {
		return to, p.waitsFor
	}
	return to, verdict.Reason
}

// decideCanary returns whether a canary is promoted, or what it waits for.
func (c *Controller) decideCanary(elapsed time.Duration, r *Rollout, verdict *Verdict, v *View) (to Stage, waitsFor string) {
	old, candidate := slotsOf(r, v.Machines)
	// A service with so few requests can't give a bad version more than the rules allow.
	idle := float64(verdict.Requests+verdict.BaseRequests) <= c.exposureSlack
	switch {
	case elapsed < part(r.Term, promoteAfter):
		return 0, "its time"
	case candidate == 0 || float64(candidate) < minCapacityShare*float64(old):
		return 0, fmt.Sprintf("servers of the new version: they have %d slots, those of the old one %d", candidate, old)
	case verdict.Requests < minEvidence && !idle && old > 0:
		return 0, fmt.Sprintf("requests of the new version: %d of %d", verdict.Requests, minEvidence)
	}
	return Promoting, ""
}

// decidePromoting returns whether a promoted rollout is delivered or recalled for want of servers, or what it waits for.
func (c *Controller) decidePromoting(now time.Duration, r *Rollout, p *progress, v *View) (to Stage, waitsFor string) {
	_, candidate := slotsOf(r, v.Machines)
	unconfirmed := c.Unconfirmed(now, v.Set.Revision, v.Machines)
	switch {
	case candidate == 0:
		return Recalled, "no server of the new version takes requests"
	case now-p.orderedAt < part(r.Term, deliverAfter) || now-p.stageSeenAt < part(r.Term, promotingAtLeast):
		return 0, "its time"
	case unconfirmed > 0:
		return 0, fmt.Sprintf("confirmations of %d sidecars", unconfirmed)
	}
	return Delivered, ""
}

// part is a part of a duration.
func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// Unconfirmed returns the number of sidecars that have not confirmed a revision. One that is lost counts for
// timing.Rollouts.LostSidecarWait since it was last seen.
func (c *Controller) Unconfirmed(now time.Duration, revision uint32, machines []Machine) (count int) {
	for i := range machines {
		m := &machines[i]
		gone := m.Lost && now-m.LastSeen > c.durations.LostSidecarWait
		if m.Confirmed < revision && !gone {
			count++
		}
	}
	return count
}

// samplesOf returns what the servers of a rollout's service have counted in it.
func samplesOf(r *Rollout, machines []Machine) (samples []Sample) {
	for i := range machines {
		if m := &machines[i]; m.Service == r.Service && m.Order == r.Order && m.Version != "" {
			samples = append(samples, Sample{Node: m.Node, Candidate: m.Version == r.Target, Classes: m.Classes})
		}
	}
	return samples
}

// slotsOf returns how many requests the accepting servers of the old and of the new version work on at once.
func slotsOf(r *Rollout, machines []Machine) (old, candidate int) {
	for i := range machines {
		m := &machines[i]
		switch {
		case m.Service != r.Service || m.Lost || !m.Accepting:
		case m.Version == r.Target:
			candidate += max(1, m.Slots)
		default:
			old += max(1, m.Slots)
		}
	}
	return old, candidate
}
