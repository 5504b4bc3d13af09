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
	defaultIdleTimeout    = time.Minute // of connections to servers, if the settings specify none
	defaultConnectTimeout = time.Second // to a server, if the settings specify none
)

// components holds the parts of a running sidecar. It is owned by serve. Each goroutine that a component starts ends when the
// context passed to it ends; tasks waits for all of these goroutines.
type components struct {
	cfg       *Config
	listeners *listeners
	log       *slog.Logger
	started   time.Time
	tasks     sync.WaitGroup

	idleTimeout  time.Duration  // a connection without a request is closed after this time
	peersAtStart handover.Peers // the sidecar's other processes when this one started
	budget       connBudget
	usesPoller   bool              // connections are served by an event loop on epoll, not by a goroutine each
	shedder      *loadshed.Shedder // nil: no load shedding
	counts       *report.Counts

	backend         httpBackend
	rpcBackend      *rpcback.Backend        // nil if no server speaks MessagePack-RPC
	backendByFlavor map[string]core.Backend // flavors whose servers speak MessagePack-RPC
	evictIdle       func() bool             // closes an idle connection to a server, of any backend

	gate     *broker.Gate // nil: no contracts
	fleet    *fleetLink   // nil: no state is exchanged with other sidecars
	exchange *core.Loop
	follower *roster.Follower

	fronts   []front
	restart  *hotRestart
	calls    *operatorCalls
	reporter *reporting.Reporter // nil: no receivers of reports
}

// newComponents creates the components that depend only on the configuration. It scales cfg.Balance.ConnIdle down.
func newComponents(cfg *Config, lns *listeners, log *slog.Logger) *components {
	c := &components{cfg: cfg, listeners: lns, log: log}
	scaledIdleTimeout := millis(cfg.Balance.ConnIdle * idleTimeoutFraction)
	if scaledIdleTimeout > 0 {
		cfg.Balance.ConnIdle *= idleTimeoutFraction // the balancer must use the same time as the connection pool
	}
	c.idleTimeout = cmp.Or(scaledIdleTimeout, defaultIdleTimeout)
	c.shedder = newShedder(cfg)
	if lns.instance != nil {
		c.peersAtStart = lns.instance.Peers()
	}
	c.budget = cfg.connBudget(processCount(c.peersAtStart))
	c.usesPoller = !cfg.Options.HTTP.StandardServer
	if c.usesPoller {
		if err := cfg.checkPoller(); err != nil {
			log.Warn("poller unavailable: using a goroutine for each connection and attempt", "why", err)
			c.usesPoller = false
		}
	}
	c.started, c.counts = time.Now(), report.New(cfg.Shape())
	return c
}

// newShedder returns the load shedder, or nil if the options disable it.
func newShedder(cfg *Config) *loadshed.Shedder {
	if !cfg.Options.LoadShedding.Enabled {
		return nil
	}
	var classes []overload.Class
	for i := range cfg.Balance.Classes {
		class := &cfg.Balance.Classes[i]
		classes = append(classes, overload.Class{Value: class.Value, LatencyTarget: millis(class.LatencyTarget)})
	}
	return loadshed.NewShedder(cfg.Limits.Cores, classes)
}

// startBackends creates and starts the backends, one for each upstream protocol.
func (c *components) startBackends(ctx context.Context) {
	cfg := c.cfg
	c.backend = newHTTPBackend(ctx, c.usesPoller, httpback.Config{
		ConnectTimeout: cmp.Or(millis(cfg.Balance.ConnectTimeout), defaultConnectTimeout),
		IdleTimeout:    c.idleTimeout,
		ReuseDelay:     cfg.reuseDelay,
		MaxConns:       c.budget.servers,
		ReportFields:   cfg.loadReportFields,
		ProbeForReport: cfg.Balance.Reports != balance.ReportNone,
		OnLateData: func(e *core.Endpoint) {
			c.log.Warn("a server sent data after the end of its response", "server", e.Name())
		},
	}, c.log)
	c.tasks.Go(func() { c.backend.Run(ctx) })
	c.backendByFlavor, c.evictIdle = map[string]core.Backend{}, c.backend.Evict
	rpc := &cfg.Options.MsgpackRPC
	if len(rpc.Flavors) == 0 {
		return
	}
	c.rpcBackend = newRPCBackend(ctx, cfg, c.budget.rpcServers, c.idleTimeout, c.log)
	c.tasks.Go(func() { c.rpcBackend.Run(ctx) })
	for _, flavor := range rpc.Flavors {
		c.backendByFlavor[flavor] = c.rpcBackend
	}
	c.evictIdle = func() bool { return c.backend.Evict() || c.rpcBackend.Evict() }
}

// closeBackends closes all connections to servers. It is called after the exchange has ended.
func (c *components) closeBackends() {
	c.backend.Close()
	if c.rpcBackend != nil {
		c.rpcBackend.Close()
	}
}

// createExchange creates the exchange, the link to other sidecars, and the follower of the server list in discovery.
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
	if c.peersAtStart.Older { // an empty list makes the follower request a complete one immediately
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

// backendFor returns the backend for servers of a flavor.
func (c *components) backendFor(flavor string) core.Backend {
	if flavorBackend := c.backendByFlavor[flavor]; flavorBackend != nil {
		return flavorBackend
	}
	return c.backend
}

// createFronts creates the fronts, one for each downstream protocol, and the components that depend on them: hot restart,
// operators' calls and the reporter.
func (c *components) createFronts() {
	cfg, lns := c.cfg, c.listeners
	httpCfg := httpfront.Config{
		Catalog:         cfg.catalog,
		Shedder:         c.shedder,
		Connections:     c.budget.clients,
		AcceptGrace:     cfg.acceptGrace,
		Evict:           c.evictIdle,
		IdleTimeout:     millis(cfg.Options.HTTP.IdleTimeoutSeconds * 1000),
		MaxIdleFraction: cfg.Options.HTTP.MaxIdleFraction,
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
		cfg:      cfg,
		exchange: c.exchange,
		fronts:   c.fronts,
		backend:  c.backend,
		instance: lns.instance,
		log:      c.log,
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

// run starts the goroutines of all components except the fronts.
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
			cfg:            c.cfg,
			follower:       c.follower,
			applyContracts: func() { c.cfg.reloadContracts(c.exchange, c.gate, c.log) },
			counts:         &c.calls.reloads,
			log:            c.log,
		}
		r.run(ctx, reloads)
	})
	if console := c.listeners.console; console != nil {
		c.log.Info("listening for operators' calls", "admin_address", console.Addr().String())
		c.tasks.Go(func() {
			if err := operators.NewConsole(operators.SidecarCalls(c.calls), c.log).Serve(ctx, console); err != nil {
				c.log.Error("serving operators' calls failed", "error", err)
			}
		})
	}
	if c.listeners.instance != nil {
		c.tasks.Go(func() { c.restart.watchPeers(ctx, c.peersAtStart) })
	}
}

// announce logs the listeners, offers them to a successor process and starts serving the operators' pages. It returns the
// listeners of the fronts, in the order of the fronts.
func (c *components) announce(ctx context.Context) []net.Listener {
	lns := c.listeners
	c.log.Info("listening", "address", lns.http.Addr().String())
	if lns.instance != nil {
		if err := lns.instance.ServeListeners(lns.byName()); err != nil {
			c.log.Warn("offering the listeners to a successor process failed", "error", err)
		}
	}
	frontListeners := []net.Listener{lns.http}
	if lns.rpc != nil {
		c.log.Info("listening for MessagePack-RPC", "rpc_address", lns.rpc.Addr().String())
		frontListeners = append(frontListeners, lns.rpc)
	}
	if pagesLn := lns.pages; pagesLn != nil {
		c.log.Info("listening for operators' pages", "operators_address", pagesLn.Addr().String())
		c.tasks.Go(func() {
			if err := operators.Serve(ctx, pagesLn, statusPages(c.exchange, c.gate, c.fleet), c.log); err != nil {
				c.log.Error("serving operators' pages failed", "error", err)
			}
		})
	}
	return frontListeners
}
