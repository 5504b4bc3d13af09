package soak

import (
	"context"
	"syscall"
	"time"

	"firplank/lab/mesh"
)

// slowPeriod is the period of slowDown, in which a process is stopped for one part and runs for the rest.
const slowPeriod = 40 * time.Millisecond

// slowDown lets every process of the mesh run for only one part in factor of the time, until ctx ends: each is stopped and continued in
// turn, independently of the others. As it lasts for the whole run, it is not recorded as a fault, and all rules apply as usual.
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

// signalUnlessPaused sends a signal to a machine's process, unless a fault has stopped it.
func (t *injector) signalUnlessPaused(x *mesh.Machine, s syscall.Signal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if pid := x.PID(); pid > 0 && !t.paused[x.Name] {
		_ = syscall.Kill(pid, s) // fails only where the process has ended
	}
}

// setPaused stops a machine's process for a fault, or continues it.
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
