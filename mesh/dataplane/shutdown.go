package dataplane

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"firplank/mesh/timing"
)

// retryAfterShutdown is the Retry-After of requests that are rejected during a shutdown. The retry goes to another machine, or to the next
// process on this one.
const retryAfterShutdown = 100 * time.Millisecond

// shutdownSchedule has the points in time of a shutdown (see timing.Shutdown).
type shutdownSchedule struct {
	checkDeadlinesFrom time.Time // from then on, requests are accepted only if their deadline is before abortRequestsAt
	abortRequestsAt    time.Time // when requests in flight are failed
	frontsEndAt        time.Time // when the fronts have to have ended
}

func newShutdownSchedule(startedAt time.Time, t timing.Shutdown) *shutdownSchedule {
	return &shutdownSchedule{
		checkDeadlinesFrom: startedAt.Add(t.CheckDeadlines),
		abortRequestsAt:    startedAt.Add(t.AbortRequests),
		frontsEndAt:        startedAt.Add(t.FrontsEnded),
	}
}

// accepts reports whether a request that arrives at now with the given time remaining is accepted. s is nil without a shutdown.
func (s *shutdownSchedule) accepts(now time.Time, remaining time.Duration) bool {
	return s == nil || now.Before(s.checkDeadlinesFrom) || now.Add(remaining).Before(s.abortRequestsAt)
}

// shutDown drains the sidecar: it lets accepted requests finish within the time that the platform allows, and ends the fronts.
func (p *Proxy) shutDown(fronts ...front) error {
	startedAt := time.Now()
	schedule := newShutdownSchedule(startedAt, p.durations.Shutdown)
	_ = level.Info(p.log).Log("msg", "sidecar shutdown begins", "within", schedule.frontsEndAt.Sub(startedAt))
	p.shutdown.Store(schedule)
	p.shuttingDown.Store(true)
	p.post(shutdownStarted{})
	for _, svc := range *p.services.Load() {
		svc.exchange.Shutdown(schedule.abortRequestsAt)
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
