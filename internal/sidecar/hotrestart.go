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
	// peerPollInterval is the interval at which a process reads the state of the sidecar's other processes.
	peerPollInterval = 100 * time.Millisecond
	// readyPollInterval is the interval at which a successor process checks whether it is ready.
	readyPollInterval = 5 * time.Millisecond
	// freshListTimeout bounds how long a successor process waits for a list from discovery. After that it uses the list in
	// its configuration.
	freshListTimeout = 1500 * time.Millisecond
	// minConnections is the number of connections to clients and to servers that a process may always hold, however many
	// the other process uses.
	minConnections = 8
)

// sharedDir returns the directory that is shared by the processes of this sidecar. Each sidecar on a machine has its own.
func (c *Config) sharedDir() string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%s", c.Name, c.Listen) // a hash's Write does not fail
	return filepath.Join(os.TempDir(), fmt.Sprintf("firplank-%016x", h.Sum64()))
}

// processCount returns the number of processes that share the sidecar's limits.
func processCount(peers handover.Peers) int {
	if peers.Older || peers.Younger {
		return 2
	}
	return 1
}

// hotRestart coordinates this process with the other processes of its sidecar while one replaces the other: they share
// manual ejections, memory and connection limits, and the younger process takes over the address. Without an instance, only
// waitUntilReady has an effect. The methods are not safe for concurrent use, except that markReady and handOver may be called
// while watchPeers runs.
type hotRestart struct {
	cfg      *Config
	exchange *core.Loop
	fronts   []front
	backend  httpBackend
	instance *handover.Instance // nil: no other process can take over
	log      *slog.Logger

	draining         atomic.Bool
	appliedProcesses int      // number of processes for which the limits were last applied
	ejectedVersion   [2]int64 // version of the ejections that were last applied
}

// loadEjected applies the manual ejections made so far. It must be called before the exchange runs.
func (r *hotRestart) loadEjected() {
	r.ejectedVersion = r.instance.EjectedVersion()
	ejected, err := r.instance.Ejected()
	if err != nil {
		r.log.Error("reading the ejected servers failed", "error", err)
		return
	}
	r.exchange.SetExcluded(ejected)
}

// watchPeers polls the state of the sidecar's other processes until ctx ends, and applies changes of ejections and limits.
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

// refreshEjected applies the manual ejections if they have changed.
func (r *hotRestart) refreshEjected() {
	version := r.instance.EjectedVersion()
	if version == r.ejectedVersion {
		return
	}
	r.ejectedVersion = version
	ejected, err := r.instance.Ejected()
	if err != nil {
		r.log.Error("reading the ejected servers failed: the present ones are kept", "error", err)
		return
	}
	r.exchange.Inspect(func(time.Duration) { r.exchange.SetExcluded(ejected) })
}

// applyShare limits this process to its share of memory and connections.
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
	r.backend.Resize(budget.servers)
}

func (r *hotRestart) usage() handover.Usage {
	return handover.Usage{Clients: r.fronts[0].Open(), Servers: r.backend.Open(), Draining: r.draining.Load()}
}

// connectionShare returns how many of total connections this process may hold: those that it has open and half of the free
// ones, or all free ones if the other process is draining. A draining process gets no free ones.
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

// waitUntilReady blocks until this process is ready to take over or ctx ends.
func (r *hotRestart) waitUntilReady(ctx context.Context) {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	timeout := time.After(freshListTimeout)
	for !r.exchange.Ready() {
		select {
		case <-tick.C:
		case <-timeout:
			r.log.Warn("no list from discovery before the timeout: starting with the configured servers", "timeout", freshListTimeout)
			r.exchange.Inspect(func(time.Duration) { r.exchange.AcceptStaleList() })
		case <-ctx.Done():
			return
		}
	}
}

// markReady notifies the other processes that this one serves requests.
func (r *hotRestart) markReady() {
	if r.instance == nil {
		return
	}
	if err := r.instance.MarkReady(); err != nil {
		r.log.Error("notifying the previous process of readiness failed", "error", err)
	}
}

// handOver leaves the address to a younger process, if there is one that serves requests.
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
