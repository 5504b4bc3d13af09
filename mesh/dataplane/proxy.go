// Package dataplane is the library of the data plane's program: the sidecar of each server. It accepts requests of
// its machine's clients and server, chooses a server for each, and forwards the request to the sidecar of that
// server, the last hop, which delivers it. The desired state (configuration and directory of sidecars) comes from a
// parent in the distribution tree; exchanges are reconciled with it.
//
// The request path: outgoing.go (requests of clients), service.go (a service's exchange), sidecardialect.go and
// headers.go (between two sidecars), incoming.go and lasthop.go (the last hop), queries.go (outcomes of attempts
// whose connection broke). The control side is owned by one goroutine, in loop.go: the parts that it drives are the
// packages distribution (with subscription, updates and subscribers), links, exchanges and liveness; host.go is what
// the program does for its distribution.Node, probes.go the socket of the failure detector. heartbeats.go and
// identify.go are about the local server, lifecycle.go about start, readiness and shutdown. The exchange itself, the
// fronts and the upstreams are internal/core, internal/front and internal/upstream. Start reading at Run.
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
	// hopConnectTimeout bounds the wait for a connection to another sidecar, hopIdleTimeout the time that an unused
	// one stays open; the front at the other side waits longer (frontIdleTimeout), so that this side closes first.
	hopConnectTimeout = 400 * time.Millisecond
	hopIdleTimeout    = 20 * time.Second
	frontIdleTimeout  = 45 * time.Second
	// hopSilenceTimeout is how long another machine's kernel may leave data unacknowledged: beyond it the machine is
	// down or partitioned, and idempotent requests are retried elsewhere.
	hopSilenceTimeout = 2500 * time.Millisecond
	// serverConnectTimeout and serverIdleTimeout are the same for the local server.
	serverConnectTimeout = 300 * time.Millisecond
	serverIdleTimeout    = 5 * time.Second
	// serverReuseLimit is how long a connection to the server may have been idle to carry a request that is not
	// idempotent: the server may be closing it.
	serverReuseLimit = 800 * time.Millisecond
	// serverSilenceTimeout is hopSilenceTimeout for the local server.
	serverSilenceTimeout = 2500 * time.Millisecond
	// serverPoolRest is the pause between two requests on a connection to the server.
	serverPoolRest = 2 * time.Millisecond
)

// Proxy is the sidecar of one machine. It puts the parts together; each has its own state and owner.
type Proxy struct {
	settingsFile bootstrap.File
	settings     atomic.Pointer[bootstrap.Settings]
	durations    timing.Durations // as derived from the settings at the start
	name         string           // of this machine's node
	log          kitlog.Logger
	slog         *slog.Logger
	start        time.Time
	ctx          context.Context
	events       chan event
	background   sync.WaitGroup // the goroutines of this sidecar
	epoll        bool           // fronts and upstreams use epoll

	// Written by the loop, read by any goroutine.
	cfg         atomic.Pointer[config.Config]       // in force; nil: none yet
	services    atomic.Pointer[map[string]*service] // of cfg, by name
	serviceName atomic.Pointer[string]              // of the local server; its heartbeats and the settings set it
	ready       atomic.Bool

	shuttingDown atomic.Bool
	identifying  atomic.Bool                      // the local server is being identified by its health check
	shutdown     atomic.Pointer[shutdownSchedule] // nil: it has not begun

	figures    *figures
	invariants invariant.Reporter
	failures   *rate.Sometimes // bounds what is logged of requests that were not served

	// The request path. Each part is safe for concurrent use.
	lastHop     *lastHop
	inFlight    *inflight.Tracker[*core.Attempt]
	queries     *outcomeQueries
	sidecarPool upstream

	// The control side, owned by the loop.
	node          *distribution.Node
	links         *links.Links // of node; also the handler of connections that are accepted
	exchanges     *exchanges.Set[*service]
	liveness      *liveness.Monitor // but RecordReachable is for any goroutine
	probes        *probeSocket      // nil: there is no socket
	streamPings   *streamPings
	announcements announcements
	rollouts      rollouts
}

// incarnationRandomBits is how many bits of an incarnation are random, so that no two processes share one, also where
// the time of day was set back.
const incarnationRandomBits = 16

// newIncarnation returns the incarnation of this process: higher than that of earlier ones unless the time of day was
// set back.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// Run runs a sidecar with the settings file at path until ctx ends, and then shuts it down in order: requests that were
// accepted are answered first. Each signal on reloads has the settings read again, which are also polled. The error is
// that of the settings, of a listener, or of a front that failed.
func Run(ctx context.Context, path string, reloads <-chan os.Signal, log kitlog.Logger, shared *slog.Logger) error {
	file := bootstrap.File{Path: path}
	settings, err := file.ReadIfChanged()
	if err != nil {
		return err
	}
	if err := checkAddresses(path, settings); err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.Background())
	p := newProxy(inner, file, settings, log, shared)
	defer p.wait()
	defer stop()
	return p.serve(ctx, reloads)
}

// wait waits for the goroutines, after the context has ended.
func (p *Proxy) wait() {
	p.queries.wait()
	p.background.Wait()
}

// ErrAddressMissing is wrapped by the error of Run for settings that lack an address of the sidecar.
var ErrAddressMissing = errors.New("is missing")

func checkAddresses(path string, settings *bootstrap.Settings) error {
	a := &settings.Addresses
	for _, needed := range []struct{ name, addr string }{
		{"outgoing", a.Outgoing},
		{"incoming", a.Incoming},
		{"readiness", a.Readiness},
		{"control", a.Control},
		{"appAddr", settings.AppAddr},
	} {
		if needed.addr == "" {
			return errors.Wrapf(ErrAddressMissing, "%s: addresses: %s", path, needed.name)
		}
	}
	return nil
}

// newProxy returns a sidecar that is not running yet.
func newProxy(ctx context.Context, file bootstrap.File, settings *bootstrap.Settings, log kitlog.Logger, shared *slog.Logger) *Proxy {
	durations := timing.FromSettings(settings)
	p := &Proxy{
		durations:    durations,
		settingsFile: file,
		name:         settings.NodeName,
		log:          log,
		slog:         shared,
		start:        time.Now(),
		ctx:          ctx,
		events:       make(chan event, eventQueueSize),
		epoll:        poller.Check() == nil,
	}
	p.figures = newFigures()
	p.invariants = p.figures.registry.NewMonitor(log)
	p.failures = &rate.Sometimes{First: failuresLoggedAtOnce, Interval: failureLogInterval}
	p.settings.Store(settings)
	p.serviceName.Store(&settings.Service)
	p.services.Store(&map[string]*service{})
	own := ownEntry(settings)
	p.lastHop = newLastHop(ctx, log, p.now, settings.AppAddr, lasthop.Gate[*core.Call, *core.Answer]{
		Admission: admission.New(durations.Server),
		Link:      admission.NewLink(settings.Resources.LinkMbps),
		Outcomes:  attempts.New[*core.Call, *core.Answer](own.Incarnation),
	})
	p.lastHop.figures, p.lastHop.invariants = p.figures, p.invariants
	p.lastHop.guard = lasthop.NewInvariantChecker(settings.Bounds.DrainTime)
	p.lastHop.changed = func() { p.post(serverChanged{}) }
	p.lastHop.doubted = p.beginIdentifyingServer
	if !settings.FirstStart {
		p.lastHop.gate.Admission.MarkRestarted()
	}
	p.inFlight = inflight.New[*core.Attempt](settings.NodeName + "." + strconv.FormatUint(rand.Uint64(), 16))
	p.queries = newOutcomeQueries(ctx, log, p.inFlight)
	policy := dissemination.NewSubscriber(settings.NodeName, settings.Zone, durations.Dissemination, p.now())
	policy.Seeds = settings.SeedPeerAddrs()
	p.node = distribution.New(own, policy, &host{p: p}, durations)
	post := func(e distribution.Event) bool { return p.post(distributionEvent{e}) }
	p.links = links.New(ctx, p.node, post, p.observe)
	p.exchanges = exchanges.New(p.newService, p.setEndpoints)
	p.rollouts = newRollouts(durations.Rollouts, &settings.Bounds)
	p.streamPings = newStreamPings(ctx, settings.NodeName, func(node string) { p.post(contactMade{node}) })
	p.liveness = liveness.New(settings.NodeName, hashSeed(settings.NodeName)^uint64(p.start.UnixNano()))
	return p
}

// ownEntry returns the directory entry that a sidecar starts with.
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
