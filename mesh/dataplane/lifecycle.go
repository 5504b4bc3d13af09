package dataplane

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	httpback "firplank/internal/upstream/http"
	"firplank/mesh/bootstrap"
	"firplank/mesh/membership"
	"firplank/mesh/transport"
)

const (
	// controlReadTimeout bounds the reading of a request from the local server.
	controlReadTimeout = 10 * time.Second
	// maxIdleConnFraction is the fraction of a front's connections that may be idle; beyond it, connections are closed
	// after their response.
	maxIdleConnFraction = 0.9
	// reservedSockets is the number of file descriptors that fronts and upstreams leave for other uses, and minSockets
	// the least number that they share.
	reservedSockets = 400
	minSockets      = 200
)

// upstream sends attempts over a pool of connections.
type upstream interface {
	core.Backend
	Run(context.Context)
	Close()
}

// front accepts connections from clients or from other sidecars.
type front interface {
	Serve(net.Listener)
	Failed() <-chan error
	End(within time.Duration) error
}

// socketBudget returns how many file descriptors the fronts and upstreams may use together.
func socketBudget(settings *bootstrap.Settings) int {
	return max(minSockets, settings.Resources.FileHandles-reservedSockets)
}

// startUpstreams starts the connection pools to other sidecars and to the local server.
func (p *Proxy) startUpstreams(sockets int) {
	p.sidecarPool = p.newUpstream(httpback.Config{
		ConnectTimeout: hopConnectTimeout,
		IdleTimeout:    hopIdleTimeout,
		PeerTimeout:    hopUnackedTimeout,
		MaxConns:       sockets / 3,
		Dialect:        sidecarDialect{inFlight: p.inFlight, service: &p.serviceName, recordReachable: p.liveness.RecordReachable},
		OnEnd:          p.queries.attemptEnded,
	})
	p.queries.pool = p.sidecarPool
	p.lastHop.pool = p.newUpstream(httpback.Config{
		ConnectTimeout: serverConnectTimeout,
		IdleTimeout:    serverIdleTimeout,
		ReuseDelay:     serverReuseDelay,
		PeerTimeout:    serverUnackedTimeout,
		MaxUnsafeIdle:  serverNonIdempotentMaxIdle,
		MaxConns:       sockets / 8,
		Dialect:        serverDialect{},
	})
	for _, u := range []upstream{p.sidecarPool, p.lastHop.pool} {
		p.background.Go(func() {
			u.Run(p.ctx)
			u.Close()
		})
	}
}

func (p *Proxy) newUpstream(c httpback.Config) upstream {
	if p.epoll {
		if b, err := httpback.NewPoll(p.ctx, c); err == nil {
			return b
		}
	}
	return httpback.New(p.ctx, c)
}

func (p *Proxy) newFront(d httpfront.Dialect, x core.Exchange, connections int) (front, error) {
	cfg := httpfront.Config{
		Catalog:         &core.Catalog{},
		Connections:     connections,
		AcceptGrace:     p.durations.Shutdown.StopAccepting,
		IdleTimeout:     frontIdleTimeout,
		MaxIdleFraction: maxIdleConnFraction,
		Evict:           func() bool { return false },
		Dialect:         d,
		Log:             p.slog,
	}
	if p.epoll {
		return httpfront.NewPoll(cfg, x)
	}
	return httpfront.New(cfg, x), nil
}

// listeners are the listening sockets of a sidecar.
type listeners struct{ outgoing, incoming, readiness, control, sidecars net.Listener }

// listen opens all sockets, or none: after an error it closes those that it has opened.
func listen(settings *bootstrap.Settings) (l *listeners, err error) {
	l = &listeners{}
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	a := &settings.Addresses
	for _, s := range []struct {
		ln   *net.Listener
		addr string
	}{
		{&l.outgoing, a.Outgoing},
		{&l.incoming, a.Incoming},
		{&l.readiness, a.Readiness},
		{&l.control, a.Control},
	} {
		if *s.ln, err = net.Listen("tcp", s.addr); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	if l.sidecars, err = net.Listen("tcp", settings.PeerListenAddr()); err != nil {
		return nil, fmt.Errorf("listen for other sidecars: %w", err)
	}
	return l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.outgoing, l.incoming, l.readiness, l.control, l.sidecars} {
		if ln != nil {
			_ = ln.Close() // it may be closed already; an error loses nothing
		}
	}
}

// serve runs the sidecar until ctx ends, and then drains it; it returns early if a front fails.
func (p *Proxy) serve(ctx context.Context, reloads <-chan os.Signal) error {
	settings := p.settings.Load()
	p.startUpstreams(socketBudget(settings))
	clients := clientDialect{
		config: &p.cfg, services: &p.services, shutdown: &p.shutdown, refusedAtShutdown: p.metrics.refusedAtShutdown, start: p.start,
		splitFraction: hashUnit,
	}
	outgoingFront, err := p.newFront(clients, noExchange{p.ctx}, socketBudget(settings)/4)
	if err != nil {
		return err
	}
	incomingFront, err := p.newFront(incomingDialect{config: &p.cfg, service: &p.serviceName}, p.lastHop, socketBudget(settings)/4)
	if err != nil {
		return err
	}
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	defer listeners.close()
	defer p.serveControl(listeners)()
	defer p.serveMetrics(settings.IP)()
	outgoingFront.Serve(listeners.outgoing)
	incomingFront.Serve(listeners.incoming)
	p.startLoop(settings, reloads)
	for _, c := range p.durations.Conflicts {
		p.metrics.registry.SetFlag("settings_conflict", "name", c.Name)
		_ = level.Warn(p.log).Log(c.LogLine()...)
	}
	_ = level.Info(p.log).Log("msg", "sidecar started", "node", settings.NodeName, "polled", p.epoll)
	select {
	case <-ctx.Done():
		return p.shutDown(outgoingFront, incomingFront)
	case err := <-outgoingFront.Failed():
		return fmt.Errorf("serve clients: %w", err)
	case err := <-incomingFront.Failed():
		return fmt.Errorf("serve sidecars: %w", err)
	}
}

// serveControl serves connections of other sidecars, readiness checks and calls of the local server until close is called.
func (p *Proxy) serveControl(l *listeners) (close func()) {
	ready := &http.Server{Handler: http.HandlerFunc(p.serveReadiness)}
	control := &http.Server{Handler: p.serverAPI().router(), ReadTimeout: controlReadTimeout}
	p.background.Go(func() { p.logServeError("sidecars", transport.Serve(l.sidecars, peerHandler{p.links, p.name})) })
	p.background.Go(func() { p.logServeError("readiness", ready.Serve(l.readiness)) })
	p.background.Go(func() { p.logServeError("control", control.Serve(l.control)) })
	return func() {
		_ = ready.Close() // calls in flight get no response
		_ = control.Close()
	}
}

// serverAPI returns the handlers for calls of the local server.
func (p *Proxy) serverAPI() *serverAPI {
	return &serverAPI{
		record: p.lastHop, service: &p.serviceName, onChange: func() { p.post(serverChanged{}) }, recordShutdown: p.recordTombstone,
	}
}

// logServeError logs why serving a listener failed. It ignores the errors of a normal shutdown.
func (p *Proxy) logServeError(listener string, err error) {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return
	}
	_ = level.Error(p.log).Log("msg", "listener failed", "listener", listener, "error", err)
}

// startLoop starts the failure detector's socket and the loop.
func (p *Proxy) startLoop(settings *bootstrap.Settings, reloads <-chan os.Signal) {
	probes, err := listenProbes(settings.PeerListenAddr())
	if err != nil { // the control machines detect failures too
		_ = level.Warn(p.log).Log("msg", "failure detector sends no probes", "error", err)
	} else {
		p.probes = probes
		p.background.Go(func() { probes.receive(p.name, p.postProbe) })
	}
	p.background.Go(func() {
		defer p.closeConns()
		p.loop(reloads)
	})
}

// postProbe queues a probe for the loop and drops it if the queue is full, as a datagram may be lost anyway.
func (p *Proxy) postProbe(m membership.Message) {
	select {
	case p.events <- probeReceived{m}:
	default:
	}
}

// closeConns closes the connections and the probe socket of the loop after it has ended.
func (p *Proxy) closeConns() {
	p.probes.close()
	p.links.Close()
}

// serveReadiness answers the platform's readiness check: 200 if the sidecar is ready and not shutting down, else 503.
func (p *Proxy) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if p.shuttingDown.Load() || !p.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// noExchange is the default exchange of the front for clients. It rejects calls; clientDialect.Fill sets the exchange of each routed call.
type noExchange struct{ ctx context.Context }

// Submit implements core.Exchange.
func (noExchange) Submit(c *core.Call) {
	c.Client.Answer(c, &core.Answer{Kind: core.Refused, Status: http.StatusServiceUnavailable})
}

// Disconnect implements core.Exchange.
func (noExchange) Disconnect(*core.Call) {}

// Ready implements core.Exchange.
func (noExchange) Ready() bool { return true }

// Done implements core.Exchange.
func (x noExchange) Done() <-chan struct{} { return x.ctx.Done() }
