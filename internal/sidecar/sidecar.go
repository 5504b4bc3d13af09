// Package sidecar assembles the program: it reads the configuration, starts the exchange with its fronts, its backs and the
// follower of discovery's list, and shuts them down in order. It owns no protocol and no decision.
//
// main.go is the entry of the command line, sidecar.go starts and shuts down, components.go creates the components, config.go
// reads the configuration and reload.go reads it again, listeners.go opens sockets, hotrestart.go coordinates two processes of
// one sidecar, operatorcalls.go answers operators, connbudget.go divides descriptors. Start reading at Run.
package sidecar

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	"firplank/internal/handover"
	httpback "firplank/internal/upstream/http"
)

const (
	// defaultReuseDelay is Config.reuseDelay. A server may send more than the response, in a packet of its own; what arrives
	// after the next request was written would be taken for the response to that.
	defaultReuseDelay     = 3 * time.Millisecond
	defaultAcceptGrace    = 500 * time.Millisecond // Config.acceptGrace
	defaultMaxDrain       = 3 * time.Second        // Config.maxDrain
	defaultResponseMargin = 200 * time.Millisecond // Config.responseMargin
	// drainMargin is the time beyond the longest deadline by which all requests must have ended.
	drainMargin = 650 * time.Millisecond
)

// Run serves until ctx ends, and then until all accepted requests are answered. With each signal of reloads it reads the
// configuration's file again. It returns when all of its goroutines have ended.
func Run(ctx context.Context, cfg *Config, reloads <-chan os.Signal, log *slog.Logger) error {
	lns := listeners{openDeferred: cfg.openListeners, log: log}
	if cfg.Admin != "" {
		var err error
		if lns.console, err = net.Listen("tcp", cfg.Admin); err != nil {
			return errors.Wrap(err, "listen for operators' calls")
		}
		if lns.instance, err = handover.Join(cfg.sharedDir()); err != nil {
			log.Warn("hot restart is not available", "error", err)
		} else {
			defer lns.instance.Leave()
		}
	}
	if lns.instance == nil || !lns.instance.Peers().Older { // a successor listens only once it is ready
		if err := lns.openDeferred(&lns); err != nil {
			lns.close()
			return err
		}
		lns.openDeferred = nil
	}
	return serve(ctx, cfg, lns, reloads, log)
}

// front is the downstream side of one protocol. Its methods are safe for concurrent use.
type front interface {
	// Serve accepts connections on a listener, which it closes in the end, without waiting.
	Serve(net.Listener)
	// Failed delivers the error that ended accepting.
	Failed() <-chan error
	// Pause starts or ends a drain by an operator.
	Pause(on bool)
	// Resize changes how many connections clients may have.
	Resize(connections int)
	// Open is the number of open connections.
	Open() int
	// HandOver notifies, before End, that another process serves at the address.
	HandOver()
	// End answers all accepted requests, within a time, and closes.
	End(within time.Duration) error
}

// serve assembles a sidecar, runs it until ctx ends or a front fails, and shuts it down in order.
func serve(ctx context.Context, cfg *Config, lns listeners, reloads <-chan os.Signal, log *slog.Logger) error {
	runCtx, stop := context.WithCancel(context.Background()) // outlives ctx by the shutdown
	c := newComponents(cfg, &lns, log)
	c.startBackends(runCtx)
	defer c.closeBackends()
	defer c.tasks.Wait()
	defer stop()
	if err := c.createExchange(runCtx); err != nil {
		return err
	}
	c.createFronts()
	c.run(runCtx, reloads)
	if lns.openDeferred != nil {
		if c.restart.waitUntilReady(ctx); ctx.Err() != nil {
			return nil
		}
		if err := lns.openDeferred(&lns); err != nil {
			lns.close()
			return err
		}
	}
	frontListeners := c.announce(runCtx)
	drainTimeout := min(millis(cfg.catalog.MaxDeadline()), cfg.maxDrain) + drainMargin
	drainStart, err := c.serveFronts(ctx, frontListeners, drainTimeout)
	if c.reporter != nil { // all requests have ended by now
		c.reporter.Flush(max(minFinalReportTimeout, min(maxFinalReportTimeout, time.Until(drainStart.Add(drainTimeout)))))
	}
	return err
}

// httpBack is the upstream side of HTTP: it makes attempts at servers and pools connections to them.
type httpBackend interface {
	core.Backend
	Run(context.Context)
	Evict() bool
	Open() int
	Resize(connections int)
	Close()
}

// newHTTPBack returns the back on the kernel's readiness or, where that is off or not available, the one with a goroutine for
// each attempt.
func newHTTPBackend(ctx context.Context, usePoller bool, cfg httpback.Config, log *slog.Logger) httpBackend {
	if !usePoller {
		return httpback.New(ctx, cfg)
	}
	backend, err := httpback.NewPoll(ctx, cfg)
	if err != nil {
		log.Warn("no readiness for attempts: a goroutine for each", "why", err)
		return httpback.New(ctx, cfg)
	}
	return backend
}

// newHTTPFront returns the front on the kernel's readiness or, where that is off or not available, the one on the standard
// library's server.
func newHTTPFront(usePoller bool, cfg httpfront.Config, exchange *core.Loop, tasks *sync.WaitGroup, log *slog.Logger) front {
	if !usePoller {
		return httpfront.New(cfg, exchange)
	}
	f, err := httpfront.NewPoll(cfg, exchange)
	if err != nil {
		log.Warn("no readiness for connections: serving with net/http", "why", err)
		return httpfront.New(cfg, exchange)
	}
	tasks.Go(func() {
		<-exchange.Done()
		f.Wait()
	})
	return f
}

// serveFronts serves until ctx ends or a front fails, and then drains all fronts together, within a time. It returns when the
// drain began.
func (c *components) serveFronts(ctx context.Context, lns []net.Listener, drainTimeout time.Duration) (drainStart time.Time, err error) {
	for i, f := range c.fronts {
		f.Serve(lns[i])
	}
	c.calls.serving.Store(true)
	c.restart.markReady()
	failure := waitForShutdown(ctx, c.fronts)
	drainStart = time.Now()
	c.exchange.Shutdown(drainStart.Add(drainTimeout - c.cfg.responseMargin))
	c.restart.handOver()
	return drainStart, errors.Join(append(c.drainFronts(drainTimeout), failure)...)
}

// waitForEnd returns when ctx ends or a front fails, with the failure if there is one.
func waitForShutdown(ctx context.Context, fronts []front) error {
	failures := make(chan error, len(fronts))
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	var watchers sync.WaitGroup
	for _, f := range fronts {
		watchers.Go(func() {
			select {
			case err := <-f.Failed():
				failures <- errors.Wrap(err, "serve")
				stop()
			case <-watchCtx.Done():
			}
		})
	}
	watchers.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

// drainFronts ends all fronts together, within a time, and returns their errors.
func (c *components) drainFronts(timeout time.Duration) []error {
	var wg sync.WaitGroup
	errs := make([]error, len(c.fronts))
	for i, f := range c.fronts {
		wg.Go(func() { errs[i] = f.End(timeout) })
	}
	wg.Wait()
	return errs
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
