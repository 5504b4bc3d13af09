// Package sidecar is the program round the decision module: it takes an application's requests, sends them to
// servers as the module decides, and follows the list of servers. Each file has one job: config.go reads the
// configuration; front.go faces the application, over connections that clients.go budgets and framing.go tells apart
// into requests; loop.go owns the module; upstream.go makes attempts over the connections of pool.go and reads what
// comes back with answer.go; discovery.go follows the list, reload.go turns it to where a new configuration says; and
// this file starts and ends it all.
package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"cedararch/balance"
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
	return serve(ctx, cfg, ln, reloads, log)
}

func serve(
	ctx context.Context, cfg *Config, ln net.Listener, reloads <-chan os.Signal, log *slog.Logger,
) error {
	log.Info("listening", "address", ln.Addr().String())
	inner, stop := context.WithCancel(context.Background())
	idle := millis(cfg.Balance.ConnIdle * idleShare)
	if idle > 0 {
		cfg.Balance.ConnIdle *= idleShare // so long a connection stays open, as the module is to know
	}
	l := newLoop(inner, cfg, log)
	dialTime := cmp.Or(millis(cfg.Balance.ConnectTimeout), time.Second)
	pool := newPool(dialTime, cmp.Or(idle, time.Minute), cfg.restTime, cfg.Limits.Sockets)
	pool.noteLate = func(e *endpoint) {
		log.Warn("a server sends more than its answers, and late", "server", e.name)
	}
	probe := "/alive"
	if cfg.Balance.Reports != balance.ReportNone {
		probe = "/metrics/load"
	}
	l.upstream = &upstream{pool: pool, fields: cfg.fields, probe: probe}
	l.discovery = newDiscovery(cfg, l.post)
	clients := &clients{most: cfg.Limits.Sockets - spareSockets - pool.most}
	l.front = &front{cfg: cfg, post: l.post, done: inner.Done(), clients: clients}
	if cfg.Options.Door.Enabled {
		l.front.door = newDoorkeeper(cfg.Limits.Cores)
	}

	defer pool.closeAll() // after the last attempt has ended
	var tasks sync.WaitGroup
	tasks.Go(l.run)
	tasks.Go(func() { l.discovery.run(inner) })
	tasks.Go(func() { pool.run(inner) })
	if keeper := l.front.door; keeper != nil {
		tasks.Go(func() { keeper.run(inner) })
	}
	tasks.Go(func() { reload(inner, cfg, reloads, l.discovery, log) })
	defer tasks.Wait()
	defer stop()

	server := l.front.server(log)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener{ln, clients, pool}) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return l.front.end(server, longest(cfg.Balance.Classes)+lastSpare, failed)
}

// end takes new connections for a little while yet, and answers all that was taken.
func (f *front) end(server *http.Server, within time.Duration, failed <-chan error) error {
	limit, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	f.ending.Store(true)
	select {
	case <-time.After(f.cfg.lastCalls):
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
	err := server.Shutdown(limit)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close() // connections on which no request ever came
	}
	return err
}

func longest(classes []balance.Class) time.Duration {
	most := 0.0
	for i := range classes {
		most = max(most, classes[i].Deadline)
	}
	return millis(most)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
