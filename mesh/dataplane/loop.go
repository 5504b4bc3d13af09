package dataplane

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/dataplane/liveness"
	"firplank/mesh/dataplane/subscription"
	"firplank/mesh/dataplane/updates"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/membership"
)

const (
	// settingsPollInterval is how often the settings file is checked for changes that come without a signal.
	settingsPollInterval = 2 * time.Second
	// eventQueueSize bounds the events that wait for the loop.
	eventQueueSize = 2048
)

// event is an input of the loop. Its method runs on the loop's goroutine.
type event interface {
	handle(p *Proxy, now time.Duration)
}

type (
	// serverChanged reports a change of the local server.
	serverChanged struct{}
	// shutdownStarted reports that the sidecar has begun to shut down.
	shutdownStarted struct{}
	// probeReceived is a probe of another sidecar's failure detector, or its answer to one.
	probeReceived struct{ message membership.Message }
	// distributionEvent is for the node.
	distributionEvent struct{ distribution.Event }
)

func (serverChanged) handle(p *Proxy, now time.Duration)   { p.node.Announce(now) }
func (shutdownStarted) handle(p *Proxy, now time.Duration) { p.node.Drain(now) }
func (e probeReceived) handle(p *Proxy, now time.Duration) {
	p.applyLiveness(now, p.liveness.Handle(now, e.message))
}
func (e distributionEvent) handle(p *Proxy, now time.Duration) { p.links.Handle(now, e.Event) }

// post hands an event to the loop, and waits where that is behind. It reports false where the loop has ended.
func (p *Proxy) post(e event) bool {
	select {
	case p.events <- e:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// loop owns the desired state, and the parts that reconcile this sidecar with it, until the context ends.
func (p *Proxy) loop(reloads <-chan os.Signal) {
	var tickAt, settingsAt time.Duration
	timer := time.NewTimer(p.durations.Subscription.TickInterval)
	defer timer.Stop()
	for {
		now := p.now()
		if now >= tickAt {
			tickAt = now + p.durations.Subscription.TickInterval
			p.tick(now)
			if now >= settingsAt {
				settingsAt = now + settingsPollInterval
				p.reload()
			}
		}
		next := min(tickAt, p.advance(now))
		timer.Reset(max(0, next-p.now()))
		select {
		case <-timer.C:
		case e := <-p.events:
			p.handle(e)
			for n := len(p.events); n > 0; n-- {
				p.handle(<-p.events)
			}
		case <-reloads:
			p.reload()
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *Proxy) handle(e event) {
	e.handle(p, p.now())
	p.links.Perform()
	p.announcements.confirm(p.now(), p.node)
}

// tick checks for what time alone changes.
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
	p.announcements.confirm(now, p.node)
	p.checkRollouts(now)
	p.updateFigures(now)
	if p.ready.Load() && !p.shuttingDown.Load() {
		p.applyLiveness(now, p.liveness.Tick(now, p.node.State().Directory))
	}
	p.links.Perform()
}

// advance reconciles the sidecar with the desired state. It returns when to be called again at the latest.
func (p *Proxy) advance(now time.Duration) (next time.Duration) {
	p.links.Maintain(now)
	p.node.Adopt()
	p.adoptRollouts(now)
	p.reconcileExchanges(now)
	next = min(p.node.Publish(now), p.reportRollouts(now))
	p.links.Perform()
	return next
}

// reconcileExchanges updates the endpoints of the exchanges, if they have changed.
func (p *Proxy) reconcileExchanges(now time.Duration) {
	d := p.node.State().Directory
	p.exchanges.Reconcile(d.Revision(), func() []directory.Entry { return p.liveness.MarkLost(d.All()) }, now)
}

// applyLiveness performs a result of the failure detector.
func (p *Proxy) applyLiveness(now time.Duration, r liveness.Result) {
	d := p.node.State().Directory
	p.sendProbes(r.Probes)
	if r.EvidenceChanged {
		p.exchanges.Invalidate()
	}
	if !r.ReportDue {
		return
	}
	if lost := p.liveness.Unreachable(now, d); len(lost) > 0 {
		_ = level.Info(p.log).Log("msg", "sidecars unreachable by own probes", "count", len(lost), "first", lost[0].Node)
		p.node.SendEntries(now, lost)
	}
}

// observe logs the actions of the node that an operator should know of.
func (p *Proxy) observe(a distribution.Action) {
	switch a := a.(type) {
	case distribution.Close:
		p.logParentLeft(a)
	case distribution.UpdateRejected:
		p.logUpdateRejected(a)
	case distribution.Dial, distribution.Send: // too many
	}
}

func (p *Proxy) logParentLeft(a distribution.Close) {
	p.figures.reasons[a.Reason].Inc()
	if a.Reason == subscription.Stale {
		_ = level.Info(p.log).Log("msg", "parent stale: switching to another", "parent", a.Addr, "age", ageText(p.now(), p.node.State().AsOf))
	}
}

// ageText is how old knowledge is that was the newest at a time, for logs.
func ageText(now, asOf time.Duration) string {
	if asOf == dissemination.TimeUnknown {
		return "unknown"
	}
	return (now - asOf).String()
}

func (p *Proxy) logUpdateRejected(a distribution.UpdateRejected) {
	if errors.Is(a.Err, updates.ErrCorrupt) {
		_ = level.Error(p.log).Log("msg", "decompression of a configuration failed: requesting it again", "edition", a.Version, "error", a.Err)
		return
	}
	_ = level.Info(p.log).Log("msg", "configuration deltas do not apply: requesting the full text", "edition", a.Version,
		"held", a.PresentVersion)
}

// reload reads the settings again, if they have changed. Invalid ones leave the present ones in force.
func (p *Proxy) reload() {
	next, err := p.settingsFile.ReadIfChanged()
	if err != nil {
		_ = level.Warn(p.log).Log("msg", "settings invalid: the present ones stay in force", "error", err)
		return
	}
	if next == nil {
		return
	}
	before := p.settings.Load()
	p.settings.Store(next)
	p.node.SetSeeds(next.SeedPeerAddrs())
	if next.Service != before.Service {
		p.serviceName.Store(&next.Service)
	}
}
