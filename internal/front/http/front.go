// Package http is the downstream side of HTTP/1.1. It owns clients' connections and the meaning of the protocol's headers and
// statuses: it rejects malformed requests, submits the others to the exchange, and writes the exchange's answers. It makes no
// decision about servers and knows none.
//
// Start reading at Front or PollFront. Both use front.go (configuration), parse.go (requests become calls, Config.fillCall) and
// write.go (status and headers of an answer). Front uses the standard library's server: serve.go, with connections that
// clients.go limits and framing.go scans for the boundaries of requests. PollFront uses epoll: poll_linux.go, the other files
// that begin with poll, and stream_linux.go for streamed bodies. head.go parses heads, and state.go holds the drain state.
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
	// A client that stalls must get an error or a close within 3 s of connecting. A connection may be silent for 2 s before its
	// first request.
	headTimeout = 2200 * time.Millisecond // for the head of a request
	readTimeout = 2500 * time.Millisecond // for the whole request
	// writeTimeout bounds the writing of an answer: a client that does not read occupies memory and a descriptor.
	writeTimeout = 2 * time.Second
	// defaultIdleTimeout bounds how long a connection may be idle. Clients that send one request and keep the connection open
	// use up descriptors, of which the application has a limited number too.
	defaultIdleTimeout = 5 * time.Second
	// streamTimeout is how long a client may read nothing of a streamed answer. copyBufferBytes is the size of one write of a
	// streamed body.
	streamTimeout   = 10 * time.Second
	copyBufferBytes = 16 << 10
	maxHeaderBytes  = 32 << 10
)

// Config configures a Front or PollFront.
type Config struct {
	Catalog         *core.Catalog
	Shedder         *loadshed.Shedder // nil: all requests are admitted
	Connections     int               // maximum of clients' connections
	AcceptGrace     time.Duration     // how long new connections are accepted after End
	IdleTimeout     time.Duration     // how long a connection may be idle between two requests; 0: 5 s
	MaxIdleFraction float64           // part of Connections that may be idle before connections close after their answer; 0: a quarter
	Evict           func() bool       // closes an idle connection to a server when descriptors run out
	// Method returns the method name of a path, for servers that need one. If it is set, safe requests may also be POST requests
	// with a MessagePack body.
	Method func(path string) string
	// Dialect defines the meaning of requests. nil: the X- headers of the platform, with classes and tenants of the Catalog.
	Dialect Dialect
	Claims  bool           // requests carry a contract.Claim
	Counts  *report.Counts // counts requests that the Shedder rejects; nil: not counted
	Log     *slog.Logger
}

// maxIdleConns returns how many of maxConns connections may be idle: a fraction of them, or the default where that is 0.
func maxIdleConns(maxConns int, fraction float64) int {
	return int(float64(maxConns) * cmp.Or(fraction, 1./defaultIdleDivisor))
}

func (cf *Config) idleTimeout() time.Duration { return cmp.Or(cf.IdleTimeout, defaultIdleTimeout) }

// Front serves clients with the standard library's server. It runs on every platform; PollFront does the same at a lower cost
// where epoll is available.
type Front struct {
	cfg      Config
	exchange core.Exchange
	conns    *connTracker
	server   *http.Server
	failed   chan error
	drainState
}

// New returns a front that submits requests to an exchange.
func New(cfg Config, exchange core.Exchange) *Front {
	f := &Front{
		cfg: cfg, exchange: exchange, conns: &connTracker{maxConns: cfg.Connections, maxIdleFraction: cfg.MaxIdleFraction},
		failed: make(chan error, 1),
	}
	notes := rate.Sometimes{First: 3, Interval: time.Second}
	f.conns.onProtocolMismatch = func(peer net.Addr) {
		notes.Do(func() {
			cfg.Log.Warn("client does not speak HTTP; MessagePack-RPC is served at another address", "peer", peer.String())
		})
	}
	f.server = f.newServer()
	return f
}

// Serve accepts connections until End, on its own goroutine, and returns at once. Failed delivers its error.
func (f *Front) Serve(ln net.Listener) {
	go func() { f.failed <- f.server.Serve(listener{ln, f.conns, f.cfg.Evict}) }()
}

// Pause starts a drain, in which connections close after their answer, or ends it.
func (f *Front) Pause(on bool) {
	f.drainState.Pause(on)
	f.server.SetKeepAlivesEnabled(!on)
}

// Open returns the number of connections.
func (f *Front) Open() int {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.open
}

// Resize changes the maximum of connections.
func (f *Front) Resize(n int) {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	f.conns.maxConns = max(1, n)
}

// Failed delivers the error that ended serving before End.
func (f *Front) Failed() <-chan error { return f.failed }

// End accepts connections for Config.AcceptGrace, then answers all accepted requests, within a time, and closes.
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
		err = f.server.Close() // connections on which no request arrived
	}
	return err
}
