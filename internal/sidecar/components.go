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
	polled       bool              // connections are served by the kernel's readiness, not by a goroutine each
	shedder      *loadshed.Shedder // nil: no load shedding
	counts       *report.Counts

	back          httpBack
	rpcBack       *rpcback.Backend        // nil without servers that speak MessagePack-RPC
	backsByFlavor map[string]core.Backend // of the flavors that do
	evictIdle     func() bool             // closes an idle connection to a server, of any back

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
func newComponents(cfg *Config, on *listeners, log *slog.Logger) *components {
	c := &components{cfg: cfg, listeners: on, log: log}
	idle := millis(cfg.Balance.ConnIdle * idleTimeoutShare)
	if idle > 0 {
		cfg.Balance.ConnIdle *= idleTimeoutShare // the balancer has to know how long connections stay open
	}
	c.idleTimeout = cmp.Or(idle, defaultIdleTimeout)
	c.shedder = newShedder(cfg)
	if on.instance != nil {
		c.peersAtStart = on.instance.Peers()
	}
	c.budget = cfg.connBudget(processCount(c.peersAtStart))
	c.polled = !cfg.Options.HTTP.StandardServer
	if c.polled {
		if err := cfg.readiness(); err != nil {
			log.Warn("a goroutine for each connection and attempt", "why", err)
			c.polled = false
		}
	}
	c.started, c.counts = time.Now(), report.New(cfg.Shape())
	return c
}

// newShedder returns the load shedder; nil where the options have none.
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

// openBacks creates the upstream sides, one a protocol, and starts them.
func (c *components) openBacks(ctx context.Context) {
	cfg := c.cfg
	c.back = newHTTPBack(ctx, c.polled, httpback.Config{
		ConnectTimeout: cmp.Or(millis(cfg.Balance.ConnectTimeout), defaultConnectTimeout),
		IdleTimeout:    c.idleTimeout,
		ReuseDelay:     cfg.reuseDelay,
		MaxConns:       c.budget.servers,
		ReportFields:   cfg.fields,
		ProbeForReport: cfg.Balance.Reports != balance.ReportNone,
		OnLateData: func(e *core.Endpoint) {
			c.log.Warn("a server sends more than its answers, and late", "server", e.Name())
		},
	}, c.log)
	c.tasks.Go(func() { c.back.Run(ctx) })
	c.backsByFlavor, c.evictIdle = map[string]core.Backend{}, c.back.Evict
	rpc := &cfg.Options.MsgpackRPC
	if len(rpc.Flavors) == 0 {
		return
	}
	c.rpcBack = newRPCBack(ctx, cfg, c.budget.rpcServers, c.idleTimeout, c.log)
	c.tasks.Go(func() { c.rpcBack.Run(ctx) })
	for _, flavor := range rpc.Flavors {
		c.backsByFlavor[flavor] = c.rpcBack
	}
	c.evictIdle = func() bool { return c.back.Evict() || c.rpcBack.Evict() }
}

// closeBacks closes all connections to servers, after the exchange has ended.
func (c *components) closeBacks() {
	c.back.Close()
	if c.rpcBack != nil {
		c.rpcBack.Close()
	}
}

// openExchange creates the exchange, its part in the fleet, and the follower of discovery's list.
func (c *components) openExchange(ctx context.Context) error {
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
		Backend:          c.backOf,
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
func (c *components) backOf(flavor string) core.Backend {
	if special := c.backsByFlavor[flavor]; special != nil {
		return special
	}
	return c.back
}

// openFronts creates the downstream sides, one a protocol, and what depends on them: hot restart, operators' calls and reports.
func (c *components) openFronts() {
	cfg, on := c.cfg, c.listeners
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
	c.fronts = []front{newHTTPFront(c.polled, httpCfg, c.exchange, &c.tasks, c.log)}
	if on.rpc != nil || on.openDeferred != nil && cfg.Options.MsgpackRPC.Listen != "" {
		c.fronts = append(c.fronts, newRPCFront(cfg, c.budget.rpcClients, c.shedder, c.evictIdle, c.exchange, c.log))
	}
	c.restart = &hotRestart{
		cfg:      cfg,
		exchange: c.exchange,
		fronts:   c.fronts,
		back:     c.back,
		instance: on.instance,
		log:      c.log,
	}
	c.calls = &operatorCalls{
		catalog:  cfg.catalog,
		exchange: c.exchange,
		fronts:   c.fronts,
		instance: on.instance,
		counts:   c.counts,
	}
	if on.instance != nil {
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
			cfg:       c.cfg,
			follower:  c.follower,
			contracts: func() { c.cfg.reloadContracts(c.exchange, c.gate, c.log) },
			counts:    &c.calls.reloads,
			log:       c.log,
		}
		r.run(ctx, reloads)
	})
	if admin := c.listeners.admin; admin != nil {
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
	on := c.listeners
	c.log.Info("listening", "address", on.http.Addr().String())
	if on.instance != nil {
		if err := on.instance.ServeListeners(on.byName()); err != nil {
			c.log.Warn("listeners cannot be offered to a later process", "error", err)
		}
	}
	serveOn := []net.Listener{on.http}
	if on.rpc != nil {
		c.log.Info("listening for MessagePack-RPC", "rpc_address", on.rpc.Addr().String())
		serveOn = append(serveOn, on.rpc)
	}
	if pagesOn := on.operators; pagesOn != nil {
		c.log.Info("listening for operators' pages", "operators_address", pagesOn.Addr().String())
		c.tasks.Go(func() {
			if err := operators.Serve(ctx, pagesOn, statusPages(c.exchange, c.gate, c.fleet), c.log); err != nil {
				c.log.Error("serving operators' pages failed", "error", err)
			}
		})
	}
	return serveOn
}
