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
	// syncTime is how long a machine that has returned still counts as lost.
	syncTime = 4 * time.Second
	// restartDelay is the platform's pause before it starts a process again.
	restartDelay = 300 * time.Millisecond
	// slowLink is the delay of a slow link, one way.
	slowLink = 120 * time.Millisecond
	// lostAnswers is the share of answers that are lost on a link that loses them.
	lostAnswers = 0.3
	// storm is the number of configurations of a storm.
	stormSize = 8
	// killTimeout is after how long beyond graceS the platform kills a process that was to end.
	killTimeout = grace
)

// troubles carries out a plan on a mesh.
type injector struct {
	run       *run
	tasks     sync.WaitGroup
	slowTasks sync.WaitGroup // goroutines of slowDown

	mu               sync.Mutex
	paused           map[string]bool   // machines whose process a trouble has stopped
	busy             map[string]bool   // machines whose process is stopped, or about to be
	linkFaults       map[int]linkFault // links that are not whole, by a number
	lastLinkFault    int               // the number of the last one
	wiping           bool
	lastCoreRecovery time.Time // when the last core machine was back, or the core was whole again
	coreFaults       int       // core machines that are down or stopped, and cuts of the core
}

// cut is links that are not whole.
type linkFault struct {
	from, to []string
	link     mesh.Link
}

func newInjector(r *run) *injector {
	return &injector{run: r, busy: map[string]bool{}, paused: map[string]bool{}, linkFaults: map[int]linkFault{}, lastCoreRecovery: time.Now()}
}

// play carries out a plan, and returns when all is whole again.
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

// carryOut carries out one trouble, and returns when it is over.
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
	case ConfigStorm, ConfigRace, ConfigInvalid, ClientLeave:
		t.injectMisuse(ctx, x)
	case ServerCrash, ServerClose, ServerLeave, ServerSlow, ServerDrop, ServerGarble, ServerRefuse:
		t.injectServerFault(ctx, x, proxy)
	default:
		t.injectLinkFault(ctx, x)
	}
}

// every returns each nth machine.
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

// take marks machines as busy, and returns those that were not.
func (t *injector) claim(machines []*mesh.Machine) (taken []*mesh.Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range machines {
		if t.busy[x.Name] {
			continue
		}
		t.busy[x.Name] = true
		taken = append(taken, x)
		if x.Server == nil {
			t.coreFaults++
		}
	}
	if len(taken) == 0 {
		t.run.skipped.Add(1)
	}
	return taken
}

// release marks machines as whole again.
func (t *injector) release(machines []*mesh.Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range machines {
		delete(t.busy, x.Name)
		if x.Server == nil {
			t.coreFaults--
			t.lastCoreRecovery = time.Now()
		}
	}
}

// kill kills machines at once, and starts them again after a while.
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

// withCore returns the names of machines, with the core's where one is a control machine.
func withCore(machines []*mesh.Machine) []string {
	all := names(machines)
	if slices.ContainsFunc(machines, func(x *mesh.Machine) bool { return x.Server == nil }) {
		all = append(all, core)
	}
	return all
}

// pause stops a machine's process for a while.
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

// term has a machine's process end in order, and starts it again.
func (t *injector) term(ctx context.Context, x *mesh.Machine) {
	machines := t.claim([]*mesh.Machine{x})
	if len(machines) == 0 {
		return
	}
	defer t.release(machines)
	began := t.run.now()
	t.run.expectEnd(x, true)
	var end func(time.Duration)
	if x.Server == nil {
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

// wipe kills as many control machines as the tolerance and takes their disks, unless others are lost, or were too
// shortly before: more may be lost at a time than the mesh is to bear, but no more disks. With an odd variant all other
// processes are killed at the same moment, whose disks remain.
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

// mayWipe reports whether disks may be lost now, and if so notes it.
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
