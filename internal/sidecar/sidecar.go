// Package sidecar puts the program together: it reads the configuration, starts the exchange with its fronts and backs
// and the follower of the roster, and ends them in order. It owns no protocol and no decision. This file starts and ends
// it all, config.go reads the configuration, reload.go turns to where a new one says.
package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"cedararch/balance"
	"cedararch/internal/core"
	"cedararch/internal/door"
	httpfront "cedararch/internal/front/http"
	"cedararch/internal/operators"
	"cedararch/internal/roster"
	httpback "cedararch/internal/upstream/http"
	rpcback "cedararch/internal/upstream/msgpackrpc"
)

const (
	// restTime is Config.restTime. A server may send more than the answer, in a packet of its own; what comes after
	// the next request was written would be taken for the answer to that.
	restTime  = 3 * time.Millisecond
	lastCalls = 500 * time.Millisecond // Config.lastCalls
	lastSpare = 650 * time.Millisecond // beyond the longest deadline, by when all must have ended
)

// Run serves until ctx ends, and then until all that was taken is answered. With each signal of reloads it reads
// the configuration's file again.
func Run(ctx context.Context, cfg *Config, reloads <-chan os.Signal, log *slog.Logger) error {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	on := listeners{http: ln}
	if addr := cfg.Options.MsgpackRPC.Listen; addr != "" {
		if on.rpc, err = net.Listen("tcp", addr); err != nil {
			ln.Close()
			return fmt.Errorf("listen for MessagePack-RPC: %w", err)
		}
	}
	if addr := cfg.Options.Operators.Listen; addr != "" {
		if on.operators, err = net.Listen("tcp", addr); err != nil {
			ln.Close()
			if on.rpc != nil {
				on.rpc.Close()
			}
			return fmt.Errorf("listen for operators: %w", err)
		}
	}
	return serve(ctx, cfg, on, reloads, log)
}

// listeners are the sockets that a sidecar serves on.
type listeners struct {
	http net.Listener
	rpc  net.Listener // nil: no MessagePack-RPC for clients

	operators net.Listener // nil: no pages
}

// front is the side towards clients, of one protocol.
type front interface {
	Serve(net.Listener)
	Failed() <-chan error
	// End answers all that was taken, within a time.
	End(within time.Duration) error
}

// sockets says how many connections each part may hold.
type sockets struct{ servers, clients, rpcServers, rpcClients int }

func (c *Config) sockets() sockets {
	all := c.Limits.Sockets - spareSockets
	n := sockets{servers: all / 2}
	n.clients = all - n.servers
	if c.Options.MsgpackRPC.Listen != "" {
		n.rpcClients = min(c.Options.MsgpackRPC.Connections, n.clients/2)
		n.clients -= n.rpcClients
	}
	if len(c.Options.MsgpackRPC.Flavors) > 0 {
		n.rpcServers = max(1, n.servers/rpcShare)
		n.servers -= n.rpcServers
	}
	return n
}

func serve(
	ctx context.Context, cfg *Config, ln listeners, reloads <-chan os.Signal, log *slog.Logger,
) error {
	log.Info("listening", "address", ln.http.Addr().String())
	inner, stop := context.WithCancel(context.Background())
	idle := millis(cfg.Balance.ConnIdle * idleShare)
	if idle > 0 {
		cfg.Balance.ConnIdle *= idleShare // so long a connection stays open, as the module is to know
	}
	idle = cmp.Or(idle, time.Minute)
	var keeper *door.Keeper
	if cfg.Options.Door.Enabled {
		var worth []float64
		for i := range cfg.Balance.Classes {
			worth = append(worth, cfg.Balance.Classes[i].Worth)
		}
		keeper = door.NewKeeper(cfg.Limits.Cores, worth)
	}
	budget := cfg.sockets()
	back := httpback.New(inner, httpback.Config{
		ConnectTimeout: cmp.Or(millis(cfg.Balance.ConnectTimeout), time.Second), Idle: idle,
		Rest: cfg.restTime, Sockets: budget.servers, Fields: cfg.fields, Reports: cfg.Balance.Reports != balance.ReportNone,
		NoteLate: func(e *core.Endpoint) {
			log.Warn("a server sends more than its answers, and late", "server", e.Name())
		},
	})
	var rpcBack *rpcback.Back // nil without such servers
	defer func() {            // after the exchange has ended
		back.Close()
		if rpcBack != nil {
			rpcBack.Close()
		}
	}()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	tasks.Go(func() { back.Run(inner) })

	backs, evict := map[string]core.Back{}, back.Evict
	if rpc := &cfg.Options.MsgpackRPC; len(rpc.Flavors) > 0 {
		rpcBack = newRPCBack(inner, cfg, budget.rpcServers, idle, log)
		tasks.Go(func() { rpcBack.Run(inner) })
		for _, flavor := range rpc.Flavors {
			backs[flavor] = rpcBack
		}
		evict = func() bool { return back.Evict() || rpcBack.Evict() }
	}
	var follower *roster.Follower
	gate := cfg.newGate()
	coreCfg := core.Config{
		Balance: cfg.Balance, Zones: cfg.zones, Kinds: cfg.kinds, Known: &cfg.Known, Door: keeper, Log: log,
		Back: func(flavor string) core.Back {
			if special := backs[flavor]; special != nil {
				return special
			}
			return back
		},
		Watch: func() { follower.Watch() },
	}
	if gate != nil {
		coreCfg.Gate = gate
	}
	exchange := core.New(inner, coreCfg)
	follower = roster.New(roster.Config{
		Addr: cfg.Discovery, Pushed: !cfg.Balance.Subscribe, Known: &cfg.Known,
	}, exchange)
	httpCfg := httpfront.Config{
		Catalog: cfg.catalog, Door: keeper, Connections: budget.clients, LastCalls: cfg.lastCalls, Evict: evict,
		Idle:   millis(cfg.Options.HTTP.Idle * 1000),
		Claims: gate != nil, Log: log,
	}
	if cfg.methods != nil {
		cfg.methods.Claims = gate != nil
		httpCfg.Method = cfg.methods.ByPath
	}
	fronts := []front{newHTTPFront(cfg, httpCfg, exchange, &tasks, log)}
	serveOn := []net.Listener{ln.http}
	if ln.rpc != nil {
		log.Info("listening for MessagePack-RPC", "rpc_address", ln.rpc.Addr().String())
		fronts = append(fronts, newRPCFront(cfg, budget.rpcClients, keeper, evict, exchange, log))
		serveOn = append(serveOn, ln.rpc)
	}
	tasks.Go(exchange.Run)
	tasks.Go(func() { follower.Run(inner) })
	if keeper != nil {
		tasks.Go(func() { keeper.Run(inner) })
	}
	tasks.Go(func() {
		reload(inner, cfg, reloads, follower, func() { cfg.swapContracts(exchange, gate, log) }, log)
	})
	if ln.operators != nil {
		log.Info("pages for operators", "operators_address", ln.operators.Addr().String())
		tasks.Go(func() {
			if err := operators.Serve(inner, ln.operators, pages(exchange, gate), log); err != nil {
				log.Error("pages for operators", "error", err)
			}
		})
	}
	return serveFronts(ctx, fronts, serveOn, millis(cfg.catalog.Longest())+lastSpare)
}

// newHTTPFront returns the front on the kernel's readiness, or where there is none, or the options say so, the one on the
// standard library's server.
func newHTTPFront(cfg *Config, c httpfront.Config, exchange *core.Loop, tasks *sync.WaitGroup, log *slog.Logger) front {
	if cfg.Options.HTTP.Standard {
		return httpfront.New(c, exchange)
	}
	f, err := httpfront.NewPoll(c, exchange)
	if err != nil {
		log.Warn("the front on the standard library's server serves", "why", err)
		return httpfront.New(c, exchange)
	}
	tasks.Go(func() {
		<-exchange.Done()
		f.Wait()
	})
	return f
}

// serveFronts serves until ctx ends or a front fails, and then ends them together, within a time.
func serveFronts(ctx context.Context, fronts []front, on []net.Listener, within time.Duration) error {
	broken := make(chan error, len(fronts))
	for i, f := range fronts {
		f.Serve(on[i])
	}
	over, stop := context.WithCancel(ctx)
	defer stop()
	var watching sync.WaitGroup
	for _, f := range fronts {
		watching.Go(func() {
			select {
			case err := <-f.Failed():
				broken <- fmt.Errorf("serve: %w", err)
				stop()
			case <-over.Done():
			}
		})
	}
	<-over.Done()
	watching.Wait()
	var ends sync.WaitGroup
	errs := make([]error, len(fronts)+1)
	for i, f := range fronts {
		ends.Go(func() { errs[i] = f.End(within) })
	}
	ends.Wait()
	select {
	case errs[len(fronts)] = <-broken:
	default:
	}
	return errors.Join(errs...)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
