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
	rejectLongFrom time.Time // from when requests are taken only if they end in time
	failOpenAt     time.Time // when open requests fail
	frontsEndAt    time.Time // when the fronts have ended
}

func newShutdownSchedule(startedAt time.Time, t timing.Shutdown) *shutdownSchedule {
	return &shutdownSchedule{rejectLongFrom: startedAt.Add(t.CheckDeadlines), failOpenAt: startedAt.Add(t.AbortRequests), frontsEndAt: startedAt.Add(t.FrontsEnded)}
}

// takes reports whether a request that may last so long is taken at a time. Without a shutdown, s is nil.
func (s *shutdownSchedule) accepts(now time.Time, remaining time.Duration) bool {
	return s == nil || now.Before(s.rejectLongFrom) || now.Add(remaining).Before(s.failOpenAt)
}

// shutDown ends what was taken, in the time that the platform leaves.
func (p *Proxy) shutDown(fronts ...front) error {
	startedAt := time.Now()
	schedule := newShutdownSchedule(startedAt, p.durations.Shutdown)
	_ = level.Info(p.log).Log("msg", "sidecar shutdown begins", "within", schedule.frontsEndAt.Sub(startedAt))
	p.shutdown.Store(schedule)
	p.shuttingDown.Store(true)
	p.post(shutdownStarted{})
	for _, svc := range *p.services.Load() {
		svc.exchange.Shutdown(schedule.failOpenAt)
	}
	var frontsEnding sync.WaitGroup
	errs := make([]error, len(fronts))
	for i, f := range fronts {
		frontsEnding.Go(func() { errs[i] = f.End(time.Until(schedule.frontsEndAt)) })
	}
	frontsEnding.Wait()
	_ = level.Info(p.log).Log("msg", "sidecar shutdown completed", "after", time.Since(startedAt).Round(time.Millisecond))
	return errors.Join(errs...)
}
