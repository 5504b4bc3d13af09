package soak

import (
	"context"
	"syscall"
	"time"

	"firplank/lab/mesh"
)

// slowPeriod is the period in which a process that is slowed is stopped for a while and runs for the rest.
const slowPeriod = 40 * time.Millisecond

// slowDown has all processes of the mesh run for one part in factor of the time, until ctx ends: they are stopped and continued, by their
// machines' own periods. Nothing else of the rules changes by that, as it lasts for the whole run.
func (t *injector) slowDown(ctx context.Context, factor int) {
	if factor <= 1 {
		return
	}
	runs := slowPeriod / time.Duration(factor)
	for _, x := range t.run.mesh.All() {
		t.slowTasks.Go(func() {
			for ctx.Err() == nil {
				t.signalUnlessPaused(x, syscall.SIGSTOP)
				sleep(ctx, slowPeriod-runs)
				t.signalUnlessPaused(x, syscall.SIGCONT)
				sleep(ctx, runs)
			}
			t.signalUnlessPaused(x, syscall.SIGCONT)
		})
	}
}

// toggle stops or continues a machine's process, unless a trouble has it stopped.
func (t *injector) signalUnlessPaused(x *mesh.Machine, s syscall.Signal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if pid := x.PID(); pid > 0 && !t.paused[x.Name] {
		_ = syscall.Kill(pid, s) // fails where the process has ended
	}
}

// setPaused stops a machine's process for a trouble, or continues it.
func (t *injector) setPaused(x *mesh.Machine, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paused[x.Name] = paused
	if paused {
		x.Signal(syscall.SIGSTOP)
	} else {
		x.Signal(syscall.SIGCONT)
	}
}
