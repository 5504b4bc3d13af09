package dataplane

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"firplank/mesh/timing"
)

// retryAfterShutdown is when a client that comes too late for a shutdown is to try again: at another machine, or at this one's next
// process.
const retryAfterShutdown = 100 * time.Millisecond

// shutdownSchedule is the times of a shutdown (timing.Shutdown).
type shutdownSchedule struct {
	late  time.Time // from when requests are taken only if they end in time
	cut   time.Time // when open requests fail
	ended time.Time // when the fronts have ended
}

func newShutdownSchedule(began time.Time, t timing.Shutdown) *shutdownSchedule {
	return &shutdownSchedule{late: began.Add(t.CheckDeadlines), cut: began.Add(t.AbortRequests), ended: began.Add(t.FrontsEnded)}
}

// takes reports whether a request that may last so long is taken at a time. Without a shutdown, s is nil.
func (s *shutdownSchedule) takes(now time.Time, left time.Duration) bool {
	return s == nil || now.Before(s.late) || now.Add(left).Before(s.cut)
}

// shutDown ends what was taken, in the time that the platform leaves.
func (p *Proxy) shutDown(fronts ...front) error {
	began := time.Now()
	schedule := newShutdownSchedule(began, p.durations.Shutdown)
	_ = level.Info(p.log).Log("msg", "sidecar shutdown begins", "within", schedule.ended.Sub(began))
	p.shutdown.Store(schedule)
	p.shuttingDown.Store(true)
	p.post(shutdownStarted{})
	for _, svc := range *p.services.Load() {
		svc.exchange.Shutdown(schedule.cut)
	}
	var ends sync.WaitGroup
	errs := make([]error, len(fronts))
	for i, f := range fronts {
		ends.Go(func() { errs[i] = f.End(time.Until(schedule.ended)) })
	}
	ends.Wait()
	_ = level.Info(p.log).Log("msg", "sidecar shutdown completed", "after", time.Since(began).Round(time.Millisecond))
	return errors.Join(errs...)
}
