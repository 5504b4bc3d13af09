package rollout

import (
	"fmt"
	"time"

	"firplank/mesh/timing"
)

const (
	// minCandidateRequests is the least number of requests that the new version has to have answered to be promoted.
	minCandidateRequests = 24
	// Shares of a rollout's term: the earliest promotion, the earliest delivery, and the least time between the two, in which the new version
	// serves all requests. A version may turn bad late, and until the delivery the old version can take over again.
	promoteAfterShare = 0.6
	deliverAfterShare = 0.8
	minPromotingShare = 0.1
	// recallAfterTerms is the number of terms after its order when a rollout that is not delivered is recalled.
	recallAfterTerms = 2
	// minCapacityShare is the new version's least number of slots for a promotion, as a share of the old version's.
	minCapacityShare = 0.7
)

// Machine is what a control machine knows of a machine's sidecar and server.
type Machine struct {
	Node             string
	Service, Version string
	Accepting        bool // the server accepts requests
	Slots            int
	Lost             bool // the sidecar's heartbeats have timed out
	LastSeen         time.Duration
	// Confirmed is the highest revision of the Set that the sidecar applies to new requests and that forbids none of its requests in flight.
	Confirmed uint32
	// Order is the number of the order that Classes were counted in, and OrderAge is for how long the sidecar has known of that order.
	Order    uint32
	OrderAge time.Duration
	Classes  []Statistics
}

// View is the state that a control machine decides on.
type View struct {
	Self     string
	Leader   bool // this machine holds the lease: only the holder promotes and delivers, but any control machine may recall
	Set      Set
	Machines []Machine
}

// Controller decides when rollouts change their stage. The time in a stage counts from when this process first saw the stage, so a restart
// can only prolong a stage. The time since the order counts from when any sidecar first saw the order. All times are measured from the
// start of the process. A Controller is not safe for concurrent use.
type Controller struct {
	durations     timing.Rollouts
	exposureSlack float64
	progress      map[string]*progress // by service
}

// progress is what this process has observed of a service's newest rollout.
type progress struct {
	order       uint32
	stage       Stage
	orderedAt   time.Duration
	stageSeenAt time.Duration
	judge       Judge
	lastVerdict Verdict
	waitsFor    string // what the rollout was waiting for at the last decision
}

// NewController returns a controller that has observed no rollout. A bad version may get exposureSlack requests, however few requests its
// service has.
func NewController(t timing.Rollouts, exposureSlack float64) *Controller {
	return &Controller{durations: t, exposureSlack: exposureSlack, progress: map[string]*progress{}}
}

// Decide returns the transitions that are due. The control machine calls it several times a second.
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

// observe records when a rollout and its present stage were first seen.
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

// EndedRecently reports whether the rollout of a service ended so recently that copies of its order may still arrive.
func (c *Controller) EndedRecently(now time.Duration, service string) bool {
	p := c.progress[service]
	return p != nil && !p.stage.Active() && now-p.stageSeenAt <= c.durations.DuplicateOrderWindow
}

// LastVerdict returns the last verdict on the rollout of a service.
func (c *Controller) LastVerdict(service string) Verdict {
	if p := c.progress[service]; p != nil {
		return p.lastVerdict
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

// decide returns the stage that a rollout is to move to, and the reason. Stage 0 means that the rollout stays where it is.
func (c *Controller) decide(now time.Duration, r *Rollout, p *progress, v *View) (to Stage, reason string) {
	verdict := p.judge.Evaluate(r.Stage, samplesOf(r, v.Machines))
	p.lastVerdict = verdict
	elapsed := now - p.orderedAt
	switch {
	case verdict.Bad:
		return Recalled, verdict.Reason
	case !v.Leader:
		p.waitsFor = "the holder of the lease"
		return 0, ""
	case now <= c.durations.LostSidecarWait: // this process may not have received the reports of all sidecars yet
		p.waitsFor = "reports of all sidecars to this machine, which has just started"
		return 0, ""
	case elapsed > recallAfterTerms*r.Term:
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

// decideCanary decides whether a canary is promoted. Otherwise it returns stage 0 and what the rollout waits for.
func (c *Controller) decideCanary(elapsed time.Duration, r *Rollout, verdict *Verdict, v *View) (to Stage, waitsFor string) {
	old, candidate := slotsOf(r, v.Machines)
	// With so few requests a bad version can't get more of them than the exposure rule allows.
	idle := float64(verdict.Requests+verdict.BaseRequests) <= c.exposureSlack
	switch {
	case elapsed < fractionOf(r.Term, promoteAfterShare):
		return 0, "its time"
	case candidate == 0 || float64(candidate) < minCapacityShare*float64(old):
		return 0, fmt.Sprintf("servers of the new version: they have %d slots, those of the old one %d", candidate, old)
	case verdict.Requests < minCandidateRequests && !idle && old > 0:
		return 0, fmt.Sprintf("requests of the new version: %d of %d", verdict.Requests, minCandidateRequests)
	}
	return Promoting, ""
}

// decidePromoting decides whether a promoted rollout is delivered, or recalled because the new version has no server. Otherwise it returns
// stage 0 and what the rollout waits for.
func (c *Controller) decidePromoting(now time.Duration, r *Rollout, p *progress, v *View) (to Stage, waitsFor string) {
	_, candidate := slotsOf(r, v.Machines)
	unconfirmed := c.Unconfirmed(now, v.Set.Revision, v.Machines)
	switch {
	case candidate == 0:
		return Recalled, "no server of the new version takes requests"
	case now-p.orderedAt < fractionOf(r.Term, deliverAfterShare) || now-p.stageSeenAt < fractionOf(r.Term, minPromotingShare):
		return 0, "its time"
	case unconfirmed > 0:
		return 0, fmt.Sprintf("confirmations of %d sidecars", unconfirmed)
	}
	return Delivered, ""
}

func fractionOf(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// Unconfirmed returns the number of sidecars that have not confirmed a revision. A lost sidecar counts until
// timing.Rollouts.LostSidecarWait has passed since it was last seen.
func (c *Controller) Unconfirmed(now time.Duration, revision uint32, machines []Machine) (count int) {
	for i := range machines {
		m := &machines[i]
		ignored := m.Lost && now-m.LastSeen > c.durations.LostSidecarWait
		if m.Confirmed < revision && !ignored {
			count++
		}
	}
	return count
}

// samplesOf returns the counts of a rollout, for each server of its service.
func samplesOf(r *Rollout, machines []Machine) (samples []Sample) {
	for i := range machines {
		if m := &machines[i]; m.Service == r.Service && m.Order == r.Order && m.Version != "" {
			samples = append(samples, Sample{Node: m.Node, Candidate: m.Version == r.Target, Classes: m.Classes})
		}
	}
	return samples
}

// slotsOf returns the number of slots of the accepting servers of the old and of the new version.
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
