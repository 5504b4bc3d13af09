package dataplane

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
)

// A shutdown takes as much of graceS as it can: the platform's clients may wait for what was taken until the last sixth of it, and what is
// cut off earlier is lost to them.
const (
	// cutShare is the part of graceS after which requests that are still open fail, and endShare that after which the fronts end. In
	// between the answers go out; what is left is for the process to end before it is killed.
	cutShare = 0.87
	endShare = 0.92
	// acceptAfterShutdown is how long new connections are accepted after SIGTERM: the platform routes clients here for
	// about two more seconds.
	acceptAfterShutdown = 2200 * time.Millisecond
	// lateAfterShutdown is how long after SIGTERM each request is taken. Later ones, on connections that are open, are taken only if their
	// time is over before they would be cut off, and are refused otherwise: nothing excuses cutting them off.
	lateAfterShutdown = 2900 * time.Millisecond
	// retryAfterShutdown is when a client that is refused by that is to try again: at another machine, or at this one's next process.
	retryAfterShutdown = 100 * time.Millisecond
)

// shutdownSchedule is the times of a shutdown.
type shutdownSchedule struct {
	late  time.Time // from when requests are taken only if they end in time
	cut   time.Time // when open requests fail
	ended time.Time // when the fronts have ended
}

func newShutdownSchedule(began time.Time, grace time.Duration) *shutdownSchedule {
	share := func(of float64) time.Time { return began.Add(time.Duration(of * float64(grace))) }
	return &shutdownSchedule{late: began.Add(lateAfterShutdown), cut: share(cutShare), ended: share(endShare)}
}

// takes reports whether a request that may last so long is taken at a time. Without a shutdown, s is nil.
func (s *shutdownSchedule) takes(now time.Time, left time.Duration) bool {
	return s == nil || now.Before(s.late) || now.Add(left).Before(s.cut)
}

// shutDown ends what was taken, in the time that the platform leaves.
func (p *Proxy) shutDown(grace time.Duration, fronts ...front) error {
	began := time.Now()
	schedule := newShutdownSchedule(began, grace)
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
