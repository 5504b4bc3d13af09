package door

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// spread is by how much of itself a hold-off is longer or shorter.
const spread = 0.4

// Keeper tells a door what it needs to know and asks it for each request. A nil one lets all in. It is the part that has
// a clock and a goroutine.
type Keeper struct {
	start time.Time

	late   atomic.Int64 // nanoseconds: the longest that a request waited for the loop since the last sample
	recent atomic.Int64 // the same over some time: it fades by a tenth with each sample

	mu   sync.Mutex
	door *Door
}

// NewKeeper returns the keeper of an open door, for a sidecar that may use so many cores and classes of a worth each.
func NewKeeper(cores float64, worth []float64) *Keeper {
	return &Keeper{start: time.Now(), door: New(cores, worth)}
}

// Admit reports whether a request of a class may come in, and else how long its client should stay away: each for another
// time, so that they do not come back as one.
func (k *Keeper) Admit(class int) (ok bool, holdOff time.Duration) {
	if k == nil {
		return true, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.door.Admit(time.Since(k.start), class) {
		return true, 0
	}
	return false, time.Duration(float64(k.door.HoldOff()) * (1 - spread + 2*spread*rand.Float64()))
}

// Waited takes in how long a request waited for the loop.
func (k *Keeper) Waited(d time.Duration) {
	if k == nil {
		return
	}
	for {
		most := k.late.Load()
		if int64(d) <= most || k.late.CompareAndSwap(most, int64(d)) {
			return
		}
	}
}

// mostMargin bounds the margin: a stall that is longer is no usual one.
const mostMargin = 60 * time.Millisecond

// Margin is how much earlier than at its deadline a request has to be given up, so that its answer is in time although
// all runs late.
func (k *Keeper) Margin() time.Duration {
	if k == nil {
		return 0
	}
	return min(mostMargin, time.Duration(k.recent.Load()))
}

// Run samples until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	tick := time.NewTicker(Period)
	defer tick.Stop()
	for {
		select {
		case due := <-tick.C:
			k.Waited(time.Since(due)) // this goroutine had to wait for the processor too
		case <-ctx.Done():
			return
		}
		used, ok := processorTime()
		if !ok {
			continue
		}
		late := k.late.Swap(0)
		k.recent.Store(max(late, k.recent.Load()*9/10))
		k.mu.Lock()
		k.door.Sample(time.Since(k.start), used, time.Duration(late))
		k.mu.Unlock()
	}
}

// processorTime is what this process has used of the processor.
func processorTime() (time.Duration, bool) {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0, false
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), true
}
