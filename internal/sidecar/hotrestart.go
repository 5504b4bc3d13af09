package sidecar

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"firplank/internal/core"
	"firplank/internal/handover"
)

const (
	// peerPollInterval is how often a process looks at the other processes of its sidecar.
	peerPollInterval = 100 * time.Millisecond
	// readyPollInterval is how often a process that takes over checks whether it is ready.
	readyPollInterval = 5 * time.Millisecond
	// freshListTimeout bounds the wait of a process that takes over for a list from discovery. After it the list of its
	// configuration has to do.
	freshListTimeout = 1500 * time.Millisecond
	// minConnections is how many connections of a kind a process may always hold, whatever its peers use.
	minConnections = 8
)

// sharedFolder is the folder in which processes of this sidecar find each other. Each sidecar of a machine has its own.
func (c *Config) sharedDir() string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%s", c.Name, c.Listen) // a hash's Write does not fail
	return filepath.Join(os.TempDir(), fmt.Sprintf("firplank-%016x", h.Sum64()))
}

// processCount is how many processes share the sidecar's limits.
func processCount(peers handover.Peers) int {
	if peers.Older || peers.Younger {
		return 2
	}
	return 1
}

// hotRestart coordinates this process with the other processes of its sidecar while one replaces the other: they share
// ejections by hand, memory and connections, and the younger takes over the address. Where there is no instance it only
// waits for readiness. Its methods are not safe for concurrent use: while watchPeers runs, only markReady and handOver may be
// called beside it.
type hotRestart struct {
	cfg         *Config
	exchange    *core.Loop
	fronts      []front
	httpBackend httpBackend
	instance    *handover.Instance // nil: no other process can take over
	log         *slog.Logger

	draining         atomic.Bool
	appliedProcesses int      // processes that share the limits, as last applied
	ejectedVersion   [2]int64 // of the ejections applied last
}

// loadEjected applies the ejections that operators have made so far, before the exchange runs.
func (r *hotRestart) loadEjected() {
	r.ejectedVersion = r.instance.EjectedVersion()
	ejected, err := r.instance.Ejected()
	if err != nil {
		r.log.Error("ejected servers cannot be read", "error", err)
		return
	}
	r.exchange.SetExcluded(ejected)
}

// watchPeers follows the other processes of the sidecar until ctx ends.
func (r *hotRestart) watchPeers(ctx context.Context, previous handover.Peers) {
	tick := time.NewTicker(peerPollInterval)
	defer tick.Stop()
	r.applyShare(previous)
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		r.refreshEjected()
		current := r.instance.Peers()
		if processCount(current) != processCount(previous) {
			r.log.Info("processes of this sidecar", "older", current.Older, "younger", current.Younger)
		}
		if processCount(current) == 2 || processCount(previous) == 2 {
			r.applyShare(current)
		}
		previous = current
	}
}

// refreshEjected applies the ejections that another process has changed.
func (r *hotRestart) refreshEjected() {
	version := r.instance.EjectedVersion()
	if version == r.ejectedVersion {
		return
	}
	r.ejectedVersion = version
	ejected, err := r.instance.Ejected()
	if err != nil {
		r.log.Error("ejected servers cannot be read: unchanged", "error", err)
		return
	}
	r.exchange.Inspect(func(time.Duration) { r.exchange.SetExcluded(ejected) })
}

// applyShare limits this process to its part of memory and connections.
func (r *hotRestart) applyShare(peers handover.Peers) {
	processes := processCount(peers)
	if processes != r.appliedProcesses {
		r.appliedProcesses = processes
		r.cfg.Limits.Apply(processes)
	}
	budget := r.cfg.connBudget(processes)
	if processes > 1 {
		own := r.usage()
		r.instance.PublishUsage(own)
		budget.clients = connectionShare(budget.clients, own.Clients, peers.Usage.Clients, own.Draining, peers.Usage.Draining)
		budget.servers = connectionShare(budget.servers, own.Servers, peers.Usage.Servers, own.Draining, peers.Usage.Draining)
	}
	r.fronts[0].Resize(budget.clients)
	if len(r.fronts) > 1 {
		r.fronts[1].Resize(budget.rpcClients / processes)
	}
	r.httpBackend.Resize(budget.servers)
}

func (r *hotRestart) usage() handover.Usage {
	return handover.Usage{Clients: r.fronts[0].Open(), Servers: r.httpBackend.Open(), Draining: r.draining.Load()}
}

// connectionShare is how many connections this process may hold of total: its own, and half of those that no process holds,
// or all of them where the others accept no more. A process that drains gets none beyond its own.
func connectionShare(total, own, others int, draining, othersDraining bool) int {
	free := max(0, total-own-others)
	switch {
	case draining:
		free = 0
	case !othersDraining:
		free /= 2
	}
	return max(own+free, minConnections)
}

// waitUntilReady returns when this process can take over, or ctx ends.
func (r *hotRestart) waitUntilReady(ctx context.Context) {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	timeout := time.After(freshListTimeout)
	for !r.exchange.Ready() {
		select {
		case <-tick.C:
		case <-timeout:
			r.log.Warn("no list from discovery in time: starting with the configured servers", "timeout", freshListTimeout)
			r.exchange.Inspect(func(time.Duration) { r.exchange.AcceptStaleList() })
		case <-ctx.Done():
			return
		}
	}
}

// markReady publishes to the other processes that this one serves.
func (r *hotRestart) markReady() {
	if r.instance == nil {
		return
	}
	if err := r.instance.MarkReady(); err != nil {
		r.log.Error("readiness not published to the previous process", "error", err)
	}
}

// handOver leaves the address to a younger process that serves, where there is one.
func (r *hotRestart) handOver() {
	if r.instance == nil || !r.instance.Peers().ReadyYounger {
		return
	}
	r.log.Info("another process has taken over")
	r.draining.Store(true)
	r.instance.PublishUsage(r.usage())
	for _, f := range r.fronts {
		f.HandOver()
	}
}
