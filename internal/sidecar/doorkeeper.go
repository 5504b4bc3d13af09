package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cedararch/internal/door"
)

// doorkeeper tells the door what it needs to know and asks it for each request. A nil one lets all in.
type doorkeeper struct {
	start time.Time

	late   atomic.Int64 // nanoseconds: the longest that a request waited for the loop since the last sample
	recent atomic.Int64 // the same over some time: it fades by a tenth with each sample

	mu   sync.Mutex
	door *door.Door
}

func newDoorkeeper(cores float64) *doorkeeper {
	return &doorkeeper{start: time.Now(), door: door.New(cores)}
}

// admit reports whether a request may come in, and else how long its client should stay away.
func (k *doorkeeper) admit() (ok bool, holdOff time.Duration) {
	if k == nil {
		return true, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.door.Admit(time.Since(k.start)) {
		return true, 0
	}
	return false, k.door.HoldOff()
}

// waited takes in how long a request waited for the loop.
func (k *doorkeeper) waited(d time.Duration) {
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

// margin is how much earlier than at its deadline a request has to be given up, so that its answer is in time although
// all runs late.
func (k *doorkeeper) margin() time.Duration {
	if k == nil {
		return 0
	}
	return min(mostMargin, time.Duration(k.recent.Load()))
}

// run samples until ctx ends.
func (k *doorkeeper) run(ctx context.Context) {
	tick := time.NewTicker(door.Period)
	defer tick.Stop()
	for {
		select {
		case due := <-tick.C:
			k.waited(time.Since(due)) // this goroutine had to wait for the processor too
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
