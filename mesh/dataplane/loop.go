package dataplane

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"firplank/mesh/bootstrap"
	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/dataplane/liveness"
	"firplank/mesh/dataplane/subscription"
	"firplank/mesh/dataplane/updates"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/membership"
)

const (
	// settingsPollInterval is how often the settings file is checked for changes without a signal.
	settingsPollInterval = 2 * time.Second
	// settingsSettleTime is how long after a change of the settings file was seen the file is read again.
	settingsSettleTime = 100 * time.Millisecond
	// eventQueueSize bounds the events that are queued for the loop.
	eventQueueSize = 2048
)

// event is an input of the loop. handle runs on the loop's goroutine.
type event interface {
	handle(p *Proxy, now time.Duration)
}

type (
	// serverChanged reports a change of the local server.
	serverChanged struct{}
	// shutdownStarted reports that the sidecar has begun to shut down.
	shutdownStarted struct{}
	// probeReceived is a probe from another sidecar's failure detector, or its reply to a probe.
	probeReceived struct{ message membership.Message }
	// distributionEvent is an event for the distribution.Node.
	distributionEvent struct{ distribution.Event }
)

func (serverChanged) handle(p *Proxy, now time.Duration)   { p.node.Announce(now) }
func (shutdownStarted) handle(p *Proxy, now time.Duration) { p.node.Drain(now) }
func (e probeReceived) handle(p *Proxy, now time.Duration) {
	p.applyLivenessResult(now, p.liveness.Handle(now, e.message))
}
func (e distributionEvent) handle(p *Proxy, now time.Duration) { p.links.Handle(now, e.Event) }

// post queues an event for the loop, and blocks while the queue is full. It returns false if the context has ended.
func (p *Proxy) post(e event) bool {
	select {
	case p.events <- e:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// loop runs the control side until the context ends. It owns the desired state and the parts that reconcile this sidecar with it.
func (p *Proxy) loop(reloads <-chan os.Signal) {
	var nextTick, nextSettingsPoll time.Duration
	timer := time.NewTimer(p.durations.Subscription.TickInterval)
	defer timer.Stop()
	for {
		now := p.now()
		if now >= nextTick {
			nextTick = now + p.durations.Subscription.TickInterval
			p.tick(now)
			if now >= nextSettingsPoll {
				nextSettingsPoll = now + p.reload()
			}
		}
		wakeAt := min(nextTick, p.reconcile(now))
		timer.Reset(max(0, wakeAt-p.now()))
		select {
		case <-timer.C:
		case e := <-p.events:
			p.handle(e)
			for n := len(p.events); n > 0; n-- {
				p.handle(<-p.events)
			}
		case <-reloads:
			nextSettingsPoll = p.now() + p.reload()
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *Proxy) handle(e event) {
	e.handle(p, p.now())
	p.links.Perform()
}

// tick performs periodic work: changes that follow from time alone, and checks that are due.
func (p *Proxy) tick(now time.Duration) {
	changed, checkDue := p.lastHop.tick(now)
	if checkDue {
		p.background.Go(p.lastHop.checkServer)
	}
	if changed {
		p.lastHop.logServerState("heartbeats are missing")
		p.node.Announce(now)
	}
	p.node.CheckReady(now)
	p.node.Reparent(now)
	p.tombstones.expire(now)
	p.checkRollouts(now)
	p.updateMetrics(now)
	if p.ready.Load() && !p.shuttingDown.Load() {
		p.applyLivenessResult(now, p.liveness.Tick(now, p.node.State().Directory))
	}
	p.links.Perform()
}

// reconcile reconciles the sidecar with the desired state, and returns the time of the next call at the latest.
func (p *Proxy) reconcile(now time.Duration) (wakeAt time.Duration) {
	p.links.Maintain(now)
	p.node.Adopt()
	p.adoptRollouts(now)
	p.reconcileExchanges(now)
	wakeAt = min(p.node.Publish(now), p.sendDueRolloutReport(now))
	p.links.Perform()
	return wakeAt
}

// reconcileExchanges updates the endpoints of the exchanges if they have changed.
func (p *Proxy) reconcileExchanges(now time.Duration) {
	d := p.node.State().Directory
	p.exchanges.Reconcile(d.Revision(), func() []directory.Entry { return p.liveness.MarkLost(d.All()) }, now)
}

// applyLivenessResult acts on a result of the failure detector.
func (p *Proxy) applyLivenessResult(now time.Duration, r liveness.Result) {
	d := p.node.State().Directory
	p.sendProbes(r.Probes)
	if r.EvidenceChanged {
		p.exchanges.Invalidate()
	}
	if !r.ReportDue {
		return
	}
	if unreachable := p.liveness.Unreachable(now, d); len(unreachable) > 0 {
		_ = level.Info(p.log).Log("msg", "sidecars unreachable by own probes", "count", len(unreachable), "first", unreachable[0].Node)
		p.node.SendEntries(now, unreachable)
	}
}

// logAction logs those actions of the node that matter to an operator.
func (p *Proxy) logAction(a distribution.Action) {
	switch a := a.(type) {
	case distribution.Close:
		p.logParentLeft(a)
	case distribution.UpdateRejected:
		p.logUpdateRejected(a)
	case distribution.Dial, distribution.Send: // too frequent to log
	}
}

func (p *Proxy) logParentLeft(a distribution.Close) {
	p.metrics.parentLeftByReason[a.Reason].Inc()
	if a.Reason == subscription.Stale {
		_ = level.Info(p.log).Log("msg", "parent stale: switching to another", "parent", a.Addr, "age", ageText(p.now(), p.node.State().AsOf))
	}
}

// ageText formats, for the log, the age of state that was up to date at asOf.
func ageText(now, asOf time.Duration) string {
	if asOf == dissemination.TimeUnknown {
		return "unknown"
	}
	return (now - asOf).String()
}

func (p *Proxy) logUpdateRejected(a distribution.UpdateRejected) {
	if errors.Is(a.Err, updates.ErrCorrupt) {
		_ = level.Error(p.log).Log("msg", "decompress configuration failed: requesting it again", "edition", a.Version, "error", a.Err)
		return
	}
	_ = level.Info(p.log).Log("msg", "configuration deltas do not apply: requesting the full text", "edition", a.Version,
		"held", a.PresentVersion)
}

// reload reads the settings file again, and returns the time until it has to be read next. Invalid settings leave the present ones in
// force.
func (p *Proxy) reload() (next time.Duration) {
	settings, settled, err := p.settingsFile.ReadIfSettled()
	switch {
	case err != nil:
		_ = level.Warn(p.log).Log("msg", "settings invalid: the present ones stay in force", "error", err)
	case !settled:
		return settingsSettleTime
	case settings != nil:
		p.adoptSettings(settings)
	}
	return settingsPollInterval
}

// adoptSettings puts changed settings in force, as far as they can change while the process runs.
func (p *Proxy) adoptSettings(settings *bootstrap.Settings) {
	previous := p.settings.Load()
	p.settings.Store(settings)
	p.node.SetSeeds(settings.SeedPeerAddrs())
	if settings.Service != previous.Service {
		p.serviceName.Store(&settings.Service)
	}
}
