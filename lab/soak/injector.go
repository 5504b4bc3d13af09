package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"firplank/lab/mesh"
)

const (
	// syncTime is how long a control machine still counts as lost after its return.
	syncTime = 4 * time.Second
	// restartDelay is the platform's delay before it restarts a process.
	restartDelay = 300 * time.Millisecond
	// slowLink is the delay of a slow link, one way.
	slowLink = 120 * time.Millisecond
	// lostAnswers is the share of responses that are lost under AnswerLost.
	lostAnswers = 0.3
	// stormSize is the number of configurations that a ConfigStorm sends.
	stormSize = 8
	// killTimeout is how long after its SIGTERM the platform kills a process that has not ended.
	killTimeout = grace
)

// injector carries out a plan of faults on a mesh.
type injector struct {
	run       *run
	tasks     sync.WaitGroup
	slowTasks sync.WaitGroup // goroutines of slowDown

	mu               sync.Mutex
	paused           map[string]bool   // machines whose process a fault has stopped
	busy             map[string]bool   // machines, and servers by serverKey, that a fault affects
	linkFaults       map[int]linkFault // link faults in force, by number
	lastLinkFault    int               // number of the last one
	wiping           bool
	lastCoreRecovery time.Time // when a core machine was last restored, or a fault of the core's links ended
	coreFaults       int       // core machines that are down or stopped, and faults of the core's links
}

// linkFault is a state of the links from some machines to others.
type linkFault struct {
	from, to []string
	link     mesh.Link
}

func newInjector(r *run) *injector {
	return &injector{run: r, busy: map[string]bool{}, paused: map[string]bool{}, linkFaults: map[int]linkFault{}, lastCoreRecovery: time.Now()}
}

// runPlan carries out a plan, and returns when all faults are over.
func (t *injector) runPlan(ctx context.Context, plan []Fault) {
	for _, x := range plan {
		sleep(ctx, x.At-t.run.now())
		if ctx.Err() != nil {
			break
		}
		t.run.log.Event(t.run.now(), "trouble", "%v", x)
		t.tasks.Go(func() { t.inject(ctx, x) })
	}
	t.tasks.Wait()
	t.run.mesh.Network.Heal()
}

// inject carries out one fault, and returns when it is over.
func (t *injector) inject(ctx context.Context, x Fault) {
	branch, core := t.run.mesh.Branch, t.run.mesh.Core
	proxy, control := branch[x.Target%len(branch)], core[x.Target%len(core)]
	switch x.Kind {
	case ProxyKill:
		t.kill(ctx, x.For, false, proxy)
	case ProxyHerd:
		t.kill(ctx, restartDelay, false, everyNth(branch, 2, x.Target)...)
	case ProxyPause:
		t.pause(ctx, x.For, proxy)
	case ProxyTerm:
		t.term(ctx, proxy)
	case ProxyReload:
		t.reload(proxy)
	case ControlKill:
		t.kill(ctx, x.For, false, control)
	case ControlPause:
		t.pause(ctx, x.For, control)
	case ControlTerm:
		t.term(ctx, control)
	case ControlWipe:
		t.wipe(ctx, x, restartDelay)
	case ControlAll:
		t.kill(ctx, restartDelay, false, core...)
	case AllKill:
		t.kill(ctx, restartDelay, false, t.run.mesh.All()...)
	case AckKill:
		t.killAfterAck(ctx, x, control)
	case CloseKill:
		t.killAfterClosing(ctx, x, proxy)
	case ShutdownKill:
		t.killAfterShutdown(ctx, x, proxy)
	case ConfigStorm, ConfigRace, ConfigInvalid, ClientLeave:
		t.injectMisuse(ctx, x)
	case ServerCrash, ServerClose, ServerLeave, ServerSlow, ServerDrop, ServerGarble, ServerRefuse:
		t.injectServerFault(ctx, x, proxy)
	default:
		t.injectLinkFault(ctx, x)
	}
}

// everyNth returns each nth machine, starting from one that offset selects.
func everyNth(all []*mesh.Machine, n, offset int) (some []*mesh.Machine) {
	for i, x := range all {
		if (i+offset)%n == 0 {
			some = append(some, x)
		}
	}
	return some
}

func names(machines []*mesh.Machine) (all []string) {
	for _, x := range machines {
		all = append(all, x.Name)
	}
	return all
}

// claim marks machines as busy, and returns those that were not busy before.
func (t *injector) claim(machines []*mesh.Machine) (taken []*mesh.Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range machines {
		if t.busy[x.Name] {
			continue
		}
		t.busy[x.Name] = true
		taken = append(taken, x)
		if x.IsCore() {
			t.coreFaults++
		}
	}
	if len(taken) == 0 {
		t.run.skipped.Add(1)
	}
	return taken
}

// release marks machines as no longer busy.
func (t *injector) release(machines []*mesh.Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range machines {
		delete(t.busy, x.Name)
		if x.IsCore() {
			t.coreFaults--
			t.lastCoreRecovery = time.Now()
		}
	}
}

// kill kills machines at once, removes their disks if wipe is set, and starts them again after a delay.
func (t *injector) kill(ctx context.Context, after time.Duration, wipe bool, machines ...*mesh.Machine) {
	machines = t.claim(machines)
	if len(machines) == 0 {
		return
	}
	defer t.release(machines)
	end := t.run.judge.BeginFault(t.run.now(), withCore(machines)...)
	for _, x := range machines {
		t.run.expectEnd(x, true)
		x.Signal(syscall.SIGKILL)
	}
	for _, x := range machines {
		<-x.Done()
		if wipe {
			if err := x.Wipe(); err != nil {
				t.run.log.Event(t.run.now(), "laboratory", "wipe: %v", err)
			}
		}
	}
	sleep(ctx, after)
	for _, x := range machines {
		t.start(x)
	}
	end(t.run.now())
}

// start starts a machine's process again.
func (t *injector) start(x *mesh.Machine) {
	if err := x.Start(false); err != nil {
		t.run.log.Event(t.run.now(), "laboratory", "start %s: %v", x.Name, err)
	}
	t.run.expectEnd(x, false)
	t.run.log.Event(t.run.now(), "started", "%s", x.Name)
}

// withCore returns the names of machines, followed by core if one of them is a control machine.
func withCore(machines []*mesh.Machine) []string {
	all := names(machines)
	if slices.ContainsFunc(machines, func(x *mesh.Machine) bool { return x.IsCore() }) {
		all = append(all, core)
	}
	return all
}

// pause stops a machine's process for a time and continues it.
func (t *injector) pause(ctx context.Context, length time.Duration, x *mesh.Machine) {
	machines := t.claim([]*mesh.Machine{x})
	if len(machines) == 0 {
		return
	}
	defer t.release(machines)
	end := t.run.judge.BeginFault(t.run.now(), withCore(machines)...)
	t.setPaused(x, true)
	sleep(ctx, length)
	t.setPaused(x, false)
	end(t.run.now())
}

// term shuts a machine's process down gracefully, and starts it again.
func (t *injector) term(ctx context.Context, x *mesh.Machine) {
	machines := t.claim([]*mesh.Machine{x})
	if len(machines) == 0 {
		return
	}
	defer t.release(machines)
	began := t.run.now()
	t.run.expectEnd(x, true)
	var end func(time.Duration)
	if x.IsCore() {
		end = t.run.judge.BeginFault(began, withCore(machines)...)
	} else {
		end = t.run.judge.BeginShutdown(began, x.Name)
	}
	x.Signal(syscall.SIGTERM)
	select {
	case <-x.Done():
	case <-time.After(killTimeout):
		t.run.judge.Report(t.run.now(), "FAULT", "%s has not ended %v after its SIGTERM", x.Name, killTimeout)
		x.Kill()
	}
	end(t.run.now())
	t.run.log.Event(t.run.now(), "ended", "%s after %v", x.Name, t.run.now()-began)
	sleep(ctx, restartDelay)
	started := t.run.now()
	t.start(x)
	t.run.judge.AddFault(started, t.run.now(), withCore(machines)...)
}

// reload changes a machine's settings.
func (t *injector) reload(x *mesh.Machine) {
	if machines := t.claim([]*mesh.Machine{x}); len(machines) > 0 {
		defer t.release(machines)
		if err := x.Reload(); err != nil {
			t.run.log.Event(t.run.now(), "laboratory", "reload: %v", err)
		}
	}
}

// wipe kills as many control machines as the tolerance and removes their disks. It skips the fault while others are lost, or were within
// syncTime: more machines than the tolerance may be down at a time, but no more disks may be lost. With an odd variant all other processes
// are killed at the same time and keep their disks.
func (t *injector) wipe(ctx context.Context, x Fault, after time.Duration) {
	if !t.beginWipe() {
		t.run.skipped.Add(1)
		t.run.log.Event(t.run.now(), "skipped", "%v: the core has not recovered", x)
		return
	}
	defer t.endWipe()
	all := t.run.mesh.Core
	var lost []*mesh.Machine
	for i := range t.run.cfg.Tolerance {
		lost = append(lost, all[(x.Target+i)%len(all)])
	}
	var tasks sync.WaitGroup
	if x.Other%2 == 1 {
		others := slices.DeleteFunc(t.run.mesh.All(), func(m *mesh.Machine) bool { return slices.Contains(lost, m) })
		tasks.Go(func() { t.kill(ctx, after, false, others...) })
	}
	t.kill(ctx, after, true, lost...)
	tasks.Wait()
}

// beginWipe reports whether disks may be removed now. If so, no other wipe begins until endWipe.
func (t *injector) beginWipe() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wiping || t.coreFaults > 0 || time.Since(t.lastCoreRecovery) < syncTime {
		return false
	}
	t.wiping = true
	return true
}

func (t *injector) endWipe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wiping = false
}
