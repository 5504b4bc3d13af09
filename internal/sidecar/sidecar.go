// Package sidecar assembles the sidecar: it reads the configuration, starts the exchange with its fronts, its backends and the
// follower of the server list in discovery, and shuts them down in order. Protocols and load-balancing decisions are
// implemented in other packages.
//
// main.go is the entry point for the command line, sidecar.go starts and shuts down, components.go creates the components,
// config.go reads the configuration and reload.go reads it again, listeners.go opens sockets, hotrestart.go coordinates two
// processes of one sidecar, operatorcalls.go implements operators' calls, connbudget.go divides descriptors. Start reading at
// Run.
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
	// defaultReuseDelay is the default of Config.reuseDelay. A server may send data after the end of its response, in a
	// separate packet. If that arrived after the next request was written, it would be read as the response to that request.
	defaultReuseDelay     = 3 * time.Millisecond
	defaultAcceptGrace    = 500 * time.Millisecond // Config.acceptGrace
	defaultMaxDrain       = 3 * time.Second        // Config.maxDrain
	defaultResponseMargin = 200 * time.Millisecond // Config.responseMargin
	// drainMargin is added to the longest deadline for the total time of a drain. All requests must have ended by then.
	drainMargin = 650 * time.Millisecond
)

// Run serves until ctx ends and then drains: it returns after all accepted requests are answered and all of its goroutines
// have ended. Each signal on reloads makes it read the contracts and the configuration file again.
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
	if lns.instance == nil || !lns.instance.Peers().Older { // a successor process listens only once it is ready
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
	// Serve starts accepting connections on a listener and returns immediately. The front closes the listener.
	Serve(net.Listener)
	// Failed delivers the error that ended accepting.
	Failed() <-chan error
	// Pause starts or ends a drain requested by an operator.
	Pause(on bool)
	// Resize changes the maximum number of connections from clients.
	Resize(connections int)
	// Open returns the number of open connections.
	Open() int
	// HandOver notifies the front that another process serves at the address. It is called before End.
	HandOver()
	// End answers all accepted requests within a time and closes all connections.
	End(timeout time.Duration) error
}

// serve assembles a sidecar, runs it until ctx ends or a front fails, and shuts it down in order.
func serve(ctx context.Context, cfg *Config, lns listeners, reloads <-chan os.Signal, log *slog.Logger) error {
	runCtx, stop := context.WithCancel(context.Background()) // ends only after the shutdown that follows the end of ctx
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

// httpBackend is the upstream side of HTTP: it sends attempts to servers and pools connections to them.
type httpBackend interface {
	core.Backend
	Run(context.Context)
	Evict() bool
	Open() int
	Resize(connections int)
	Close()
}

// newHTTPBackend returns the backend that uses a poller or, if usePoller is false or the poller fails to start, the one with a
// goroutine for each attempt.
func newHTTPBackend(ctx context.Context, usePoller bool, cfg httpback.Config, log *slog.Logger) httpBackend {
	if !usePoller {
		return httpback.New(ctx, cfg)
	}
	backend, err := httpback.NewPoll(ctx, cfg)
	if err != nil {
		log.Warn("poller for attempts failed to start: using a goroutine for each attempt", "why", err)
		return httpback.New(ctx, cfg)
	}
	return backend
}

// newHTTPFront returns the front that uses a poller or, if usePoller is false or the poller fails to start, the one on the
// standard library's server.
func newHTTPFront(usePoller bool, cfg httpfront.Config, exchange *core.Loop, tasks *sync.WaitGroup, log *slog.Logger) front {
	if !usePoller {
		return httpfront.New(cfg, exchange)
	}
	f, err := httpfront.NewPoll(cfg, exchange)
	if err != nil {
		log.Warn("poller for connections failed to start: serving with net/http", "why", err)
		return httpfront.New(cfg, exchange)
	}
	tasks.Go(func() {
		<-exchange.Done()
		f.Wait()
	})
	return f
}

// serveFronts serves until ctx ends or a front fails, and then drains all fronts concurrently within drainTimeout. It returns
// the time at which the drain started.
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

// waitForShutdown blocks until ctx ends or a front fails, and returns the failure if there is one.
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

// drainFronts ends all fronts concurrently within timeout and returns their errors.
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
