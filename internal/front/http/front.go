// Package http is the front for applications that speak HTTP/1.1. It owns their connections and what the protocol's
// headers and statuses mean, turns away what is no request, and gives each request the answer that the exchange has for
// it. It decides nothing about servers and knows none.
//
// Begin with Front or PollFront. Both use front.go (settings), parse.go (a call of a request, Config.fill) and write.go (an
// answer's status and headers). Front is served by the standard library: serve.go, over connections that clients.go budgets
// and framing.go tells apart into requests. PollFront is the front on the kernel's readiness: poll_linux.go and the files that
// begin with poll, one for each thing that a connection does; stream_linux.go has the bodies that pass through, head.go reads
// heads, and state.go says whether clients are wanted.
package http

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"firplank/internal/core"
	"firplank/internal/loadshed"
	"firplank/report"
)

const (
	// What a client that stalls is owed is an error or a close within 3 s of connecting. A request that is
	// written in one piece takes a moment; a connection may be silent for 2 s before its first.
	headTimeout = 2200 * time.Millisecond // for the head of a request
	readTimeout = 2500 * time.Millisecond // for all of it
	// writeTimeout is for an answer, from its writing on: a client that does not read holds its answer and a descriptor.
	writeTimeout = 2 * time.Second
	// keepAlive is how long a connection may be idle while there are few: clients that ask once and stay hold their
	// descriptors, of which the application has a number too.
	defaultIdleTimeout = 5 * time.Second
	// streamTimeout is how long a client may take nothing of an answer that passes through, and pumped how much of a body is
	// written at a time.
	streamTimeout   = 10 * time.Second
	copyBufferBytes = 16 << 10
	maxHeaderBytes  = 32 << 10
)

// Config is what the front is told at its start.
type Config struct {
	Catalog         *core.Catalog
	Shedder         *loadshed.Shedder // nil: all may come in
	Connections     int               // of clients, at most
	AcceptGrace     time.Duration     // how long new connections are taken after the signal to end
	IdleTimeout     time.Duration     // how long a connection may stand between two requests; 0: 5 s
	MaxIdleFraction float64           // part of Connections that may wait for a request before answers end theirs; 0: a quarter
	Evict           func() bool       // closes a connection of somebody else's where descriptors are short
	// Method names what a path is to servers that go by names. With it bodies in MessagePack are taken also with safe
	// requests, by POST; nil: neither.
	Method func(path string) string
	// Dialect is what requests and answers mean, where that is not what the platform of packages core and settings says; nil:
	// it is.
	Dialect Dialect
	Claims  bool           // the exchange wants to know who sends a request
	Counts  *report.Counts // nil: nobody counts what the door turns away
	Log     *slog.Logger
}

// waiting is how many of so many connections may wait for a request: a part of them, or where that is 0 the usual one.
func maxIdleConns(maxConns int, fraction float64) int {
	return int(float64(maxConns) * cmp.Or(fraction, 1./defaultIdleDivisor))
}

func (cf *Config) idleTimeout() time.Duration { return cmp.Or(cf.IdleTimeout, defaultIdleTimeout) }

// Front is the side that the application talks to, on the standard library's server. It runs wherever Go does; where the
// kernel has what it wants, PollFront does the same for less.
type Front struct {
	cfg      Config
	exchange core.Exchange
	conns    *connTracker
	server   *http.Server
	failed   chan error
	drainState
}

// New returns a front that hands requests to an exchange.
func New(cfg Config, exchange core.Exchange) *Front {
	f := &Front{cfg: cfg, exchange: exchange, conns: &connTracker{maxConns: cfg.Connections, maxIdleFraction: cfg.MaxIdleFraction}, failed: make(chan error, 1)}
	notes := rate.Sometimes{First: 3, Interval: time.Second}
	f.conns.onProtocolMismatch = func(peer net.Addr) {
		notes.Do(func() {
			cfg.Log.Warn("a client speaks no HTTP; MessagePack-RPC has an address of its own", "peer", peer.String())
		})
	}
	f.server = f.newServer()
	return f
}

// Serve takes connections until End, on a goroutine of its own. What goes wrong comes on Failed.
func (f *Front) Serve(ln net.Listener) {
	go func() { f.failed <- f.server.Serve(listener{ln, f.conns, f.cfg.Evict}) }()
}

// Pause sends clients away, or takes them in again.
func (f *Front) Pause(on bool) {
	f.drainState.Pause(on)
	f.server.SetKeepAlivesEnabled(!on)
}

// Open returns how many connections there are.
func (f *Front) Open() int {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.open
}

// Resize changes how many connections may be open.
func (f *Front) Resize(n int) {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	f.conns.maxConns = max(1, n)
}

// Failed tells why the front has stopped serving, before End.
func (f *Front) Failed() <-chan error { return f.failed }

// End takes new connections for a little while yet, and answers all that was taken, within a time.
func (f *Front) End(within time.Duration) error {
	limit, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	f.ending.Store(true)
	select {
	case <-time.After(f.acceptGrace(f.cfg.AcceptGrace)):
	case err := <-f.failed:
		return fmt.Errorf("serve: %w", err)
	}
	err := f.server.Shutdown(limit)
	if errors.Is(err, context.DeadlineExceeded) {
		err = f.server.Close() // connections on which no request ever came
	}
	return err
}
