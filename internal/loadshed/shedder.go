// Package loadshed rejects requests before they are parsed further, while this process or its servers are overloaded. Package
// overload decides which ones; this package owns the clock, the lock and the sampling goroutine, and computes the hold-off
// (Retry-After) of rejected clients.
//
// Start reading at Shedder.
package loadshed

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"firplank/overload"
)

const (
	// holdOffJitter is the part of a hold-off by which it varies at random, up or down, so that clients do not return at once.
	holdOffJitter = 0.4
	// minHoldOff and maxHoldOff bound the hold-off before jitter.
	minHoldOff, maxHoldOff = 150 * time.Millisecond, 2 * time.Second
	// admittedShareDecay is the time constant over which the admitted share of the requests is averaged.
	admittedShareDecay = 300 * time.Millisecond
)

// Shedder admits or rejects each request and records how each admitted one ended. It is safe for concurrent use. A nil
// Shedder admits everything.
type Shedder struct {
	start time.Time

	maxQueueDelay     atomic.Int64 // nanoseconds: the longest wait for the event loop since the last sample
	decayedQueueDelay atomic.Int64 // nanoseconds: the same, decaying by a tenth with each sample

	mu                sync.Mutex
	cpu               *overload.CPULimit
	limit             *overload.Limit
	offered, admitted float64 // requests, decaying
	decayedAt         time.Duration
}

// NewShedder returns a shedder that rejects nothing yet, for a sidecar limited to a number of cores (0: unknown) and for
// these request classes.
func NewShedder(cores float64, classes []overload.Class) *Shedder {
	return &Shedder{start: time.Now(), cpu: overload.NewCPULimit(cores, classes), limit: overload.NewLimit(classes)}
}

// Admit reports whether a request of a class is admitted, and otherwise for how long its client should hold off, with jitter
// against synchronized retries. RequestEnded must be called once for each admitted request.
func (s *Shedder) Admit(class int) (ok bool, holdOff time.Duration) {
	if s == nil {
		return true, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.start)
	ok = s.cpu.Offer(now, class)
	if ok && !s.limit.Offer(now, class) {
		s.cpu.Withdraw()
		ok = false
	}
	decay := math.Exp(-float64(now-s.decayedAt) / float64(admittedShareDecay))
	s.offered, s.admitted, s.decayedAt = s.offered*decay+1, s.admitted*decay, now
	if ok {
		s.admitted++
		return true, 0
	}
	hold := min(float64(maxHoldOff), float64(minHoldOff)*s.offered/max(s.admitted, 1))
	return false, time.Duration(hold * (1 - holdOffJitter + 2*holdOffJitter*rand.Float64()))
}

// RequestEnded records how an admitted request ended, and how long it took.
func (s *Shedder) RequestEnded(class int, latency time.Duration, outcome overload.Outcome) {
	if s == nil {
		return
	}
	s.mu.Lock()
	s.limit.End(time.Since(s.start), class, latency, outcome)
	s.mu.Unlock()
}

// RecordQueueDelay records how long a request waited for the event loop.
func (s *Shedder) RecordQueueDelay(d time.Duration) {
	if s == nil {
		return
	}
	for {
		longest := s.maxQueueDelay.Load()
		if int64(d) <= longest || s.maxQueueDelay.CompareAndSwap(longest, int64(d)) {
			return
		}
	}
}

// maxDeadlineMargin bounds the margin: a longer stall is an exception that no margin should cover.
const maxDeadlineMargin = 60 * time.Millisecond

// DeadlineMargin is how long before its deadline a request must be failed so that the response still arrives in time while
// the event loop lags.
func (s *Shedder) DeadlineMargin() time.Duration {
	if s == nil {
		return 0
	}
	return min(maxDeadlineMargin, time.Duration(s.decayedQueueDelay.Load()))
}

// Run samples the CPU use until ctx ends.
func (s *Shedder) Run(ctx context.Context) {
	tick := time.NewTicker(overload.SamplePeriod)
	defer tick.Stop()
	for {
		select {
		case due := <-tick.C:
			s.RecordQueueDelay(time.Since(due)) // this goroutine's own wait for the CPU
		case <-ctx.Done():
			return
		}
		used, ok := cpuTime()
		if !ok {
			continue
		}
		delay := s.maxQueueDelay.Swap(0)
		s.decayedQueueDelay.Store(max(delay, s.decayedQueueDelay.Load()*9/10))
		s.mu.Lock()
		now := time.Since(s.start)
		s.cpu.Sample(now, used, time.Duration(delay))
		s.limit.Tick(now)
		s.mu.Unlock()
	}
}

// cpuTime returns the CPU time that this process has used, user and system.
func cpuTime() (time.Duration, bool) {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0, false
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), true
}
