// Package msgpackrpc is the upstream side of MessagePack-RPC. It makes attempts at servers: it pipelines requests over few
// connections, with ids of its own, and reports for each attempt whether it may have been executed. Which server, and whether to
// retry, is decided elsewhere. Clients are unknown to it. The codec is the package of the same name at the root.
//
// backend.go keeps the connections of each server, conn.go has one connection, result.go interprets responses. Start reading at
// Backend.
package msgpackrpc

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"firplank/balance"
	"firplank/internal/core"
	codec "firplank/msgpackrpc"
)

const (
	// writeTimeout bounds a write to a server that does not read. What was written counts as sent, so that a drain announced
	// meanwhile is still within its grace period.
	writeTimeout = 150 * time.Millisecond
	// openPerConnTarget is the number of open requests on each connection to a server beyond which another one is opened.
	openPerConnTarget = 64
	// maxAbandoned bounds the responses to abandoned attempts that a connection may still receive; beyond it the connection is
	// retired.
	maxAbandoned = 1024
	probeGrace   = 250 * time.Millisecond // beyond the time to connect
	idleChecks   = 20                     // per idle time-out
)

// Config configures a Backend.
type Config struct {
	ConnectTimeout    time.Duration
	IdleTimeout       time.Duration // after which an idle connection is closed
	MaxConnsPerServer int
	MaxConns          int
	MaxOpenPerConn    int
	Limits            codec.Limits
	NeverRan          []string // error codes that mean the request was not started
	ApplicationErrors []string // error codes that are passed to the client as responses; "*": all others
	Probe             string   // method that health checks call; empty: they only connect
	Log               *slog.Logger
}

// Backend makes attempts over MessagePack-RPC. It implements core.Backend and is safe for concurrent use.
type Backend struct {
	cfg               Config
	ctx               context.Context
	neverRan          map[string]bool
	applicationErrors map[string]bool
	logLimit          rate.Sometimes // of problems with servers
	unmatched         atomic.Int64
	running           sync.WaitGroup

	mu      sync.Mutex
	servers map[*core.Endpoint][]*conn
	sockets int
}

// New returns a backend whose connections close when ctx ends.
func New(ctx context.Context, cfg Config) *Backend {
	set := func(names []string) map[string]bool {
		m := make(map[string]bool, len(names))
		for _, n := range names {
			m[n] = true
		}
		return m
	}
	return &Backend{
		cfg:               cfg,
		ctx:               ctx,
		neverRan:          set(cfg.NeverRan),
		applicationErrors: set(cfg.ApplicationErrors),
		logLimit:          rate.Sometimes{First: 5, Interval: time.Second},
		servers:           map[*core.Endpoint][]*conn{},
	}
}

// Unmatched returns the number of responses whose id matched no attempt.
func (b *Backend) Unmatched() int64 { return b.unmatched.Load() }

// Begin implements core.Backend.
func (b *Backend) Begin(a *core.Attempt) {
	t := &attempt{Attempt: a}
	a.State = t
	if a.Message.Stream != nil || !b.assign(t) { // a frame has to be complete before it is written
		b.endAsync(t, balance.NotSent)
	}
}

// Cancel implements core.Backend: the id is abandoned, and a late response to it is no error.
func (b *Backend) Cancel(a *core.Attempt) {
	if t := a.State.(*attempt); t.conn != nil {
		t.conn.cancel(t)
	}
}

// endAsync ends an attempt on another goroutine, as the exchange's own must not wait for itself.
func (b *Backend) endAsync(t *attempt, outcome balance.Result) {
	b.running.Go(func() { t.End(core.Result{Outcome: outcome}) })
}

// assign assigns an attempt to the connection to its server with the fewest open attempts, or to a new connection. It reports false where
// all are full, or no socket is left.
func (b *Backend) assign(t *attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr := t.Endpoint.Addr()
	var best *conn
	least, fit := 0, 0
	for _, c := range b.servers[t.Endpoint] {
		load, ok := c.load(addr)
		if !ok {
			continue
		}
		fit++
		if best == nil || load < least {
			best, least = c, load
		}
	}
	if (best == nil || least >= openPerConnTarget) && fit < b.cfg.MaxConnsPerServer && b.sockets < b.cfg.MaxConns {
		best, least = b.open(t.Endpoint, addr), 0
	}
	return best != nil && least < b.cfg.MaxOpenPerConn && best.add(t)
}

// open starts a connection. The caller holds mu.
func (b *Backend) open(e *core.Endpoint, addr string) *conn {
	c := newConn(b, e, addr)
	b.servers[e] = append(b.servers[e], c)
	b.sockets++
	b.running.Go(c.run)
	return c
}

// remove removes a connection that has ended.
func (b *Backend) remove(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sockets--
	all := b.servers[c.endpoint]
	kept := make([]*conn, 0, len(all))
	for _, other := range all {
		if other != c {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(b.servers, c.endpoint)
	} else {
		b.servers[c.endpoint] = kept
	}
}

// CloseIdle implements core.Backend. Connections with open attempts close after the last of them, if the server is closed.
func (b *Backend) CloseIdle(e *core.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.servers[e] {
		c.closeIf(func(open int, _ time.Time) bool { return open == 0 }, e.Closed())
	}
}

// Evict closes an idle connection, and reports whether there was one.
func (b *Backend) Evict() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, all := range b.servers {
		for _, c := range all {
			if c.closeIf(func(open int, _ time.Time) bool { return open == 0 }, false) {
				return true
			}
		}
	}
	return false
}

// Run closes connections that have been idle for too long, until ctx ends.
func (b *Backend) Run(ctx context.Context) {
	tick := time.NewTicker(max(b.cfg.IdleTimeout/idleChecks, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			b.mu.Lock()
			for _, all := range b.servers {
				for _, c := range all {
					c.closeIf(func(open int, last time.Time) bool { return open == 0 && now.Sub(last) >= b.cfg.IdleTimeout }, false)
				}
			}
			b.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// Close waits for all connections and attempts, after the context of New has ended.
func (b *Backend) Close() { b.running.Wait() }

// Probe implements core.Backend: it calls Config.Probe, or only connects.
func (b *Backend) Probe(e *core.Endpoint, done func(core.Result)) {
	deadline := time.Now().Add(b.cfg.ConnectTimeout + probeGrace)
	if b.cfg.Probe != "" {
		m := &core.Message{Method: b.cfg.Probe, Safe: true}
		b.Begin(core.NewAttempt(e, m, deadline, done))
		return
	}
	b.running.Go(func() {
		c, err := b.dial(e.Addr())
		if err != nil {
			done(core.Result{Outcome: balance.ConnectFailed})
			return
		}
		_ = c.Close() // the connection is released even where this fails
		done(core.Result{Outcome: balance.OK})
	})
}

// dial connects to a server.
func (b *Backend) dial(addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: b.cfg.ConnectTimeout, KeepAlive: -1}
	return dialer.DialContext(b.ctx, "tcp", addr)
}
