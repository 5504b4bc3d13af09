package sidecar

// This file creates a sidecar's components and starts their goroutines, in the order of their dependencies.

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"firplank/balance"
	"firplank/internal/broker"
	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	"firplank/internal/handover"
	"firplank/internal/loadshed"
	"firplank/internal/operators"
	"firplank/internal/reporting"
	"firplank/internal/roster"
	httpback "firplank/internal/upstream/http"
	rpcback "firplank/internal/upstream/msgpackrpc"
	"firplank/overload"
	"firplank/report"
)

const (
	defaultIdleTimeout    = time.Minute // of connections to servers, where the settings have none
	defaultConnectTimeout = time.Second // to a server, where the settings have none
)

// components are what a sidecar is made of. serve owns them; each goroutine that they start ends with the context that it was
// given, and tasks waits for all of them.
type components struct {
	cfg       *Config
	listeners *listeners
	log       *slog.Logger
	started   time.Time
	tasks     sync.WaitGroup

	idleTimeout  time.Duration  // after which a connection without a request is closed
	peersAtStart handover.Peers // the sidecar's other processes
	budget       connBudget
	usesPoller   bool              // connections are served by the kernel's readiness, not by a goroutine each
	shedder      *loadshed.Shedder // nil: no load shedding
	counts       *report.Counts

	httpBackend     httpBackend
	rpcBackend      *rpcback.Backend        // nil without servers that speak MessagePack-RPC
	backendByFlavor map[string]core.Backend // of the flavors that do
	evictIdle       func() bool             // closes an idle connection to a server, of any back

	gate     *broker.Gate // nil without contracts
	fleet    *fleetLink   // nil: no datagrams between sidecars
	exchange *core.Loop
	follower *roster.Follower

	fronts   []front
	restart  *hotRestart
	calls    *operatorCalls
	reporter *reporting.Reporter // nil without receivers
}

// newComponents creates what depends on the configuration alone. It scales cfg.Balance.ConnIdle down.
func newComponents(cfg *Config, lns *listeners, log *slog.Logger) *components {
	c := &components{cfg: cfg, listeners: lns, log: log}
	idleTimeout := millis(cfg.Balance.ConnIdle * idleTimeoutFraction)
	if idleTimeout > 0 {
		cfg.Balance.ConnIdle *= idleTimeoutFraction // the balancer has to know how long connections stay open
	}
	c.idleTimeout = cmp.Or(idleTimeout, defaultIdleTimeout)
	c.shedder = newShedder(cfg)
	if lns.instance != nil {
		c.peersAtStart = lns.instance.Peers()
	}
	c.budget = cfg.connBudget(processCount(c.peersAtStart))
	c.usesPoller = !cfg.Options.HTTP.Standard
	if c.usesPoller {
		if err := cfg.checkPoller(); err != nil {
			log.Warn("a goroutine for each connection and attempt", "why", err)
			c.usesPoller = false
		}
	}
	c.started, c.counts = time.Now(), report.New(cfg.Shape())
	return c
}

// newShedder returns the load shedder; nil where the options have none.
func newShedder(cfg *Config) *loadshed.Shedder {
	if !cfg.Options.Door.Enabled {
		return nil
	}
	var classes []overload.Class
	for i := range cfg.Balance.Classes {
		class := &cfg.Balance.Classes[i]
		classes = append(classes, overload.Class{Value: class.Value, LatencyTarget: millis(class.LatencyTarget)})
	}
	return loadshed.NewShedder(cfg.Limits.Cores, classes)
}

// openBacks creates the upstream sides, one a protocol, and starts them.
func (c *components) startBackends(ctx context.Context) {
	cfg := c.cfg
	c.httpBackend = newHTTPBackend(ctx, c.usesPoller, httpback.Config{
		ConnectTimeout: cmp.Or(millis(cfg.Balance.ConnectTimeout), defaultConnectTimeout),
		IdleTimeout:    c.idleTimeout,
		ReuseDelay:     cfg.reuseDelay,
		MaxConns:       c.budget.servers,
		ReportFields:   cfg.loadReportFields,
		ProbeForReport: cfg.Balance.Reports != balance.ReportNone,
		OnLateData: func(e *core.Endpoint) {
			c.log.Warn("a server sends more than its answers, and late", "server", e.Name())
		},
	}, c.log)
	c.tasks.Go(func() { c.httpBackend.Run(ctx) })
	c.backendByFlavor, c.evictIdle = map[string]core.Backend{}, c.httpBackend.Evict
	rpc := &cfg.Options.MsgpackRPC
	if len(rpc.Flavors) == 0 {
		return
	}
	c.rpcBackend = newRPCBackend(ctx, cfg, c.budget.rpcServers, c.idleTimeout, c.log)
	c.tasks.Go(func() { c.rpcBackend.Run(ctx) })
	for _, flavor := range rpc.Flavors {
		c.backendByFlavor[flavor] = c.rpcBackend
	}
	c.evictIdle = func() bool { return c.httpBackend.Evict() || c.rpcBackend.Evict() }
}

// closeBacks closes all connections to servers, after the exchange has ended.
func (c *components) closeBackends() {
	c.httpBackend.Close()
	if c.rpcBackend != nil {
		c.rpcBackend.Close()
	}
}

// openExchange creates the exchange, its part in the fleet, and the follower of discovery's list.
func (c *components) createExchange(ctx context.Context) error {
	cfg := c.cfg
	c.gate = cfg.newGate()
	coreCfg := core.Config{
		Balance:          cfg.Balance,
		Zones:            cfg.zones,
		Kinds:            cfg.kinds,
		InitialList:      &cfg.Known,
		Shedder:          c.shedder,
		Log:              c.log,
		Counts:           c.counts,
		RequireFreshList: c.peersAtStart.Older,
		Backend:          c.backendFor,
		UpdatesPending:   func() bool { return c.follower.Behind() },
	}
	if c.gate != nil {
		coreCfg.Admission = c.gate
	}
	var err error
	if c.fleet, err = cfg.openFleet(c.log); err != nil {
		return err
	}
	if c.fleet != nil {
		coreCfg.FleetQuota = c.fleet.tally
	}
	c.exchange = core.New(ctx, coreCfg)
	known := &cfg.Known
	if c.peersAtStart.Older { // an empty list makes the follower ask for a complete one at once
		known = &roster.List{}
	}
	c.follower = roster.New(roster.Config{
		Addr:         cfg.Discovery,
		Pushed:       !cfg.Balance.Subscribe,
		Known:        known,
		Number:       cfg.Balance.Index,
		Sidecars:     cfg.Balance.Peers,
		RefreshLimit: millis(cfg.Balance.ListRefreshLimit),
	}, c.exchange)
	return nil
}

// backOf returns the back for servers of a flavor.
func (c *components) backendFor(flavor string) core.Backend {
	if backend := c.backendByFlavor[flavor]; backend != nil {
		return backend
	}
	return c.httpBackend
}

// openFronts creates the downstream sides, one a protocol, and what depends on them: hot restart, operators' calls and reports.
func (c *components) createFronts() {
	cfg, lns := c.cfg, c.listeners
	httpCfg := httpfront.Config{
		Catalog:         cfg.catalog,
		Shedder:         c.shedder,
		Connections:     c.budget.clients,
		AcceptGrace:     cfg.acceptGrace,
		Evict:           c.evictIdle,
		IdleTimeout:     millis(cfg.Options.HTTP.Idle * 1000),
		MaxIdleFraction: cfg.Options.HTTP.Waiting,
		Claims:          c.gate != nil,
		Counts:          c.counts,
		Log:             c.log,
	}
	if cfg.methods != nil {
		cfg.methods.Claims = c.gate != nil
		httpCfg.Method = cfg.methods.ByPath
	}
	c.fronts = []front{newHTTPFront(c.usesPoller, httpCfg, c.exchange, &c.tasks, c.log)}
	if lns.rpc != nil || lns.openDeferred != nil && cfg.Options.MsgpackRPC.Listen != "" {
		c.fronts = append(c.fronts, newRPCFront(cfg, c.budget.rpcClients, c.shedder, c.evictIdle, c.exchange, c.log))
	}
	c.restart = &hotRestart{
		cfg:         cfg,
		exchange:    c.exchange,
		fronts:      c.fronts,
		httpBackend: c.httpBackend,
		instance:    lns.instance,
		log:         c.log,
	}
	c.calls = &operatorCalls{
		catalog:  cfg.catalog,
		exchange: c.exchange,
		fronts:   c.fronts,
		instance: lns.instance,
		counts:   c.counts,
	}
	if lns.instance != nil {
		c.restart.loadEjected()
	}
	c.reporter = newReporter(cfg, c.counts, c.exchange, c.gate, c.started, c.log)
}

// run starts the goroutines of all components but the fronts.
func (c *components) run(ctx context.Context, reloads <-chan os.Signal) {
	if c.reporter != nil {
		c.tasks.Go(func() { c.reporter.Run(ctx) })
	}
	if c.fleet != nil {
		c.tasks.Go(func() { c.fleet.peers.Run(ctx) })
	}
	c.tasks.Go(c.exchange.Run)
	c.tasks.Go(func() { c.follower.Run(ctx) })
	if c.shedder != nil {
		c.tasks.Go(func() { c.shedder.Run(ctx) })
	}
	c.tasks.Go(func() {
		r := reloader{
			cfg:             c.cfg,
			follower:        c.follower,
			reloadContracts: func() { c.cfg.reloadContracts(c.exchange, c.gate, c.log) },
			counts:          &c.calls.reloads,
			log:             c.log,
		}
		r.run(ctx, reloads)
	})
	if admin := c.listeners.console; admin != nil {
		c.log.Info("listening for operators' calls", "admin_address", admin.Addr().String())
		c.tasks.Go(func() {
			if err := operators.NewConsole(operators.SidecarCalls(c.calls), c.log).Serve(ctx, admin); err != nil {
				c.log.Error("serving operators' calls failed", "error", err)
			}
		})
	}
	if c.listeners.instance != nil {
		c.tasks.Go(func() { c.restart.watchPeers(ctx, c.peersAtStart) })
	}
}

// announce logs the listeners, offers them to a later process, starts the operators' pages and returns the listeners of the
// fronts, in the fronts' order.
func (c *components) announce(ctx context.Context) []net.Listener {
	lns := c.listeners
	c.log.Info("listening", "address", lns.http.Addr().String())
	if lns.instance != nil {
		if err := lns.instance.ServeListeners(lns.byName()); err != nil {
			c.log.Warn("listeners cannot be offered to a later process", "error", err)
		}
	}
	frontListeners := []net.Listener{lns.http}
	if lns.rpc != nil {
		c.log.Info("listening for MessagePack-RPC", "rpc_address", lns.rpc.Addr().String())
		frontListeners = append(frontListeners, lns.rpc)
	}
	if pages := lns.pages; pages != nil {
		c.log.Info("listening for operators' pages", "operators_address", pages.Addr().String())
		c.tasks.Go(func() {
			if err := operators.Serve(ctx, pages, statusPages(c.exchange, c.gate, c.fleet), c.log); err != nil {
				c.log.Error("serving operators' pages failed", "error", err)
			}
		})
	}
	return frontListeners
}
