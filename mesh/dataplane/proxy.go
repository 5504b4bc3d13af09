// Package dataplane implements the sidecar that runs beside each server. It accepts requests from the clients and the
// server on its machine, chooses a server for each, and forwards the request to the sidecar of that server, the last
// hop, which delivers it. The desired state (configuration and directory of sidecars) comes from a parent in the
// distribution tree; the exchanges are reconciled with it.
//
// The request path: outgoing.go (requests from clients), service.go (the exchange of a service), sidecardialect.go and
// headers.go (the protocol between two sidecars), incoming.go and lasthop.go (the last hop), queries.go (outcomes of
// attempts whose connection broke). One goroutine, in loop.go, owns the control side. It drives the packages
// distribution (with subscription, updates and subscribers), links, exchanges and liveness; host.go has the callbacks
// of distribution.Node, probes.go the socket of the failure detector. heartbeats.go and identify.go handle the local
// server; lifecycle.go and shutdown.go handle start, readiness and graceful shutdown. The exchange itself, the fronts
// and the upstreams are in internal/core, internal/front and internal/upstream. Start reading at Run.
package dataplane

import (
	"cmp"
	"context"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	kitlog "github.com/go-kit/log"
	"golang.org/x/time/rate"

	"firplank/internal/core"
	"firplank/internal/invariant"
	"firplank/internal/poller"
	"firplank/mesh/admission"
	"firplank/mesh/attempts"
	"firplank/mesh/bootstrap"
	"firplank/mesh/config"
	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/dataplane/exchanges"
	"firplank/mesh/dataplane/inflight"
	"firplank/mesh/dataplane/lasthop"
	"firplank/mesh/dataplane/links"
	"firplank/mesh/dataplane/liveness"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
)

const (
	// hopConnectTimeout bounds the wait for a connection to another sidecar. hopIdleTimeout is how long an idle one
	// stays open; the front at the other end waits longer (frontIdleTimeout), so that this end closes first.
	hopConnectTimeout = 400 * time.Millisecond
	hopIdleTimeout    = 20 * time.Second
	frontIdleTimeout  = 45 * time.Second
	// hopUnackedTimeout is how long another machine's kernel may leave data unacknowledged. After it the machine counts
	// as down or partitioned, and idempotent requests are retried elsewhere.
	hopUnackedTimeout = 2500 * time.Millisecond
	// serverConnectTimeout and serverIdleTimeout are hopConnectTimeout and hopIdleTimeout for the local server.
	serverConnectTimeout = 300 * time.Millisecond
	serverIdleTimeout    = 5 * time.Second
	// serverNonIdempotentMaxIdle is the longest idle time after which a connection to the server still carries a
	// non-idempotent request: a server may be closing a connection that was idle for longer.
	serverNonIdempotentMaxIdle = 800 * time.Millisecond
	// serverUnackedTimeout is hopUnackedTimeout for the local server.
	serverUnackedTimeout = 2500 * time.Millisecond
	// serverReuseDelay is the pause between two requests on a connection to the server.
	serverReuseDelay = 2 * time.Millisecond
)

// Proxy is the sidecar of one machine. It connects the parts; each part owns its state.
type Proxy struct {
	settingsFile bootstrap.File
	settings     atomic.Pointer[bootstrap.Settings]
	durations    timing.Durations // derived from the settings at the start
	name         string           // of this sidecar's node
	log          kitlog.Logger
	slog         *slog.Logger
	start        time.Time
	ctx          context.Context
	events       chan event
	background   sync.WaitGroup // the goroutines of this sidecar
	epoll        bool           // the fronts and upstreams use epoll

	// Written by the loop, read by any goroutine.
	cfg         atomic.Pointer[config.Config]       // in force; nil until the first one
	services    atomic.Pointer[map[string]*service] // of cfg, by name
	serviceName atomic.Pointer[string]              // of the local server, from its heartbeats or the settings
	ready       atomic.Bool

	shuttingDown atomic.Bool
	identifying  atomic.Bool                      // a health check of the local server is under way to identify it
	shutdown     atomic.Pointer[shutdownSchedule] // nil until the shutdown begins

	metrics         *proxyMetrics
	invariants      invariant.Reporter
	failureLogLimit *rate.Sometimes // limits the log of requests that were not served

	// The request path. Each part is safe for concurrent use.
	lastHop     *lastHop
	inFlight    *inflight.Tracker[*core.Attempt]
	queries     *outcomeQueries
	sidecarPool upstream

	// The control side, owned by the loop.
	node        *distribution.Node
	links       *links.Links // of node; also handles accepted connections
	exchanges   *exchanges.Set[*service]
	liveness    *liveness.Monitor // except RecordReachable, which any goroutine may call
	probes      *probeSocket      // nil without a socket
	streamPings *streamPings
	tombstones  tombstoneWaiters
	rollouts    rolloutTracker
}

// incarnationRandomBits is the number of random low bits of an incarnation. They keep two processes from sharing one
// when the clock was set back.
const incarnationRandomBits = 16

// newIncarnation returns an incarnation for this process, which is higher than that of earlier processes unless the
// clock was set back.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// Run runs a sidecar with the settings file at path until ctx ends, and then shuts it down gracefully: accepted requests
// are answered first. The settings file is polled, and also read again after each signal on reloads. The error is that
// of the settings, of a listener, or of a front that failed.
func Run(ctx context.Context, path string, reloads <-chan os.Signal, log kitlog.Logger, slogger *slog.Logger) error {
	file := bootstrap.File{Path: path}
	settings, err := file.ReadIfChanged()
	if err != nil {
		return err
	}
	if err := checkAddresses(path, settings); err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	p := newProxy(runCtx, file, settings, log, slogger)
	defer p.wait()
	defer stop()
	return p.serve(ctx, reloads)
}

// wait waits for all goroutines to end. The context of p has to be cancelled first.
func (p *Proxy) wait() {
	p.queries.wait()
	p.background.Wait()
}

// ErrAddressMissing is wrapped by the error that Run returns if the settings lack an address of the sidecar.
var ErrAddressMissing = errors.New("is missing")

func checkAddresses(path string, settings *bootstrap.Settings) error {
	a := &settings.Addresses
	for _, required := range []struct{ name, addr string }{
		{"outgoing", a.Outgoing},
		{"incoming", a.Incoming},
		{"readiness", a.Readiness},
		{"control", a.Control},
		{"appAddr", settings.AppAddr},
	} {
		if required.addr == "" {
			return errors.Wrapf(ErrAddressMissing, "%s: addresses: %s", path, required.name)
		}
	}
	return nil
}

// newProxy returns a sidecar that is not running yet.
func newProxy(ctx context.Context, file bootstrap.File, settings *bootstrap.Settings, log kitlog.Logger, slogger *slog.Logger) *Proxy {
	durations := timing.FromSettings(settings)
	p := &Proxy{
		durations:    durations,
		settingsFile: file,
		name:         settings.NodeName,
		log:          log,
		slog:         slogger,
		start:        time.Now(),
		ctx:          ctx,
		events:       make(chan event, eventQueueSize),
		epoll:        poller.Check() == nil,
	}
	p.metrics = newProxyMetrics()
	p.invariants = p.metrics.registry.NewMonitor(log)
	p.failureLogLimit = &rate.Sometimes{First: failureLogFirst, Interval: failureLogInterval}
	p.settings.Store(settings)
	p.serviceName.Store(&settings.Service)
	p.services.Store(&map[string]*service{})
	own := ownEntry(settings)
	p.lastHop = newLastHop(ctx, log, p.now, settings.AppAddr, lasthop.Gate[*core.Call, *core.Answer]{
		Admission: admission.New(durations.Server),
		Link:      admission.NewLink(settings.Resources.LinkMbps),
		Outcomes:  attempts.New[*core.Call, *core.Answer](own.Incarnation),
	})
	p.lastHop.metrics, p.lastHop.invariants = p.metrics, p.invariants
	p.lastHop.guard = lasthop.NewInvariantChecker(settings.Bounds.DrainTime)
	p.lastHop.onServerChange = func() { p.post(serverChanged{}) }
	p.lastHop.onUnconfirmedServer = p.beginIdentifyingServer
	if !settings.FirstStart {
		p.lastHop.gate.Admission.MarkRestarted()
	}
	p.inFlight = inflight.New[*core.Attempt](settings.NodeName + "." + strconv.FormatUint(rand.Uint64(), 16))
	p.queries = newOutcomeQueries(ctx, log, p.inFlight)
	policy := dissemination.NewSubscriber(settings.NodeName, settings.Zone, durations.Dissemination, p.now())
	policy.Seeds = settings.SeedPeerAddrs()
	p.node = distribution.New(own, policy, &host{p: p}, durations)
	p.tombstones = newTombstoneWaiters(durations.Tombstones.CallTimeout, durations.Tombstones.RefreshAge)
	if !settings.FirstStart {
		p.node.FetchTombstones(p.now())
	}
	post := func(e distribution.Event) bool { return p.post(distributionEvent{e}) }
	p.links = links.New(ctx, p.node, post, p.logAction)
	p.exchanges = exchanges.New(p.newService, p.setEndpoints)
	p.rollouts = newRolloutTracker(durations.Rollouts, &settings.Bounds)
	p.streamPings = newStreamPings(ctx, settings.NodeName, func(node string) { p.post(streamPingAnswered{node}) })
	p.liveness = liveness.New(settings.NodeName, hashSeed(settings.NodeName)^uint64(p.start.UnixNano()))
	return p
}

// ownEntry returns the initial directory entry of a sidecar.
func ownEntry(settings *bootstrap.Settings) directory.Entry {
	return directory.Entry{
		Node:        settings.NodeName,
		Incarnation: newIncarnation(),
		Sequence:    1,
		Addr:        cmp.Or(settings.Addresses.Advertised, settings.Addresses.Incoming),
		PeerAddr:    settings.PeerAddr(),
		Zone:        settings.Zone,
		Service:     settings.Service,
	}
}

func (p *Proxy) now() time.Duration { return time.Since(p.start) }

func hashSeed(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}
