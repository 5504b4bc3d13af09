// Package controlplane implements a control machine. A Server answers operators, runs this machine's replica of the register, exchanges
// hellos with its peers, the other control machines, and publishes the configuration and the directory to the sidecars that subscribe.
//
// Server does the I/O. Its event loop, one goroutine, owns all state. The state is divided among components without I/O, each in a
// package below this one:
//
//   - operations: client operations that wait for a quorum
//   - persistence: the replica, and the messages that wait for its state to be on disk
//   - peers: the other control machines and the connections to them
//   - reconcile: replacement of lost members, and the graceful shutdown of this machine
//   - publishing: subscribers, the published configuration and the directory
//   - tombstone: the replica of the records of servers that have begun to shut down, whose log this package writes
//
// The explorers in lab/explore run the same components in virtual time. docs/ARCHITECTURE.md describes the path of a request and of an
// update.
//
// Start reading at Run and Server.loop.
package controlplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"firplank/mesh/bootstrap"
	"firplank/mesh/config"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/controlplane/peers"
	"firplank/mesh/controlplane/persistence"
	"firplank/mesh/controlplane/publishing"
	"firplank/mesh/controlplane/reconcile"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/storage"
	"firplank/mesh/timing"
	"firplank/mesh/transport"
)

// Server is one control machine. Its state belongs to the event loop. Other goroutines reach it only through events, as do post, commit,
// the handlers of operators' calls and the methods of transport.Handler.
type Server struct {
	settings  *bootstrap.Settings
	durations timing.Durations
	log       kitlog.Logger
	self      string    // the address for peers and subscribers
	startedAt time.Time // 0 on this machine's clock

	ctx            context.Context // ends when the shutdown is complete
	stop           context.CancelFunc
	background     sync.WaitGroup // goroutines of listeners, of connections to peers and of the shutdown
	events         chan event
	operatorServer *http.Server
	store          *storage.Store     // used by writeStates only, once that runs
	writes         chan persist.Write // to writeStates, one at a time

	operations *operations.Table
	pipeline   *persistence.Pipeline
	peers      *peers.Table[*transport.Conn]
	reconciler *reconcile.Reconciler
	hub        *publishing.Hub[*transport.Conn]
	rollouts   *rolloutDriver
	tombstones tombstoneStore
	metrics    *controlMetrics
	// unknownCallLog limits the rate at which unknown calls are logged.
	unknownCallLog rate.Sometimes
	// toleranceReported is set once checkTolerance has reported a conflict.
	toleranceReported bool

	lastOperationID uint64
	nextHello       time.Duration // when the next hello is due
}

// newServer returns a server without a replica, a store and listeners.
func newServer(settings *bootstrap.Settings, self string, log kitlog.Logger) *Server {
	durations := timing.FromSettings(settings)
	return &Server{
		settings:  settings,
		log:       log,
		self:      self,
		startedAt: time.Now(),
		metrics:   newControlMetrics(),

		unknownCallLog: rate.Sometimes{First: 10, Interval: unknownCallLogInterval},
		events:         make(chan event, maxQueuedEvents),
		writes:         make(chan persist.Write, 1),
		hub:            publishing.New[*transport.Conn](config.Unpack, durations),
		peers:          peers.New[*transport.Conn](self, settings.Zone),
		durations:      durations,
	}
}

// setReplica creates the components that depend on the replica, whose state on disk is onDisk.
func (s *Server) setReplica(r *register.Replica, onDisk register.State) {
	s.pipeline = persistence.New(r, onDisk, pipelineSink{s})
	s.operations = operations.NewTable(s.pipeline, s.nextOperationID, s.durations)
	monitor := s.metrics.registry.NewMonitor(s.log)
	s.pipeline.SetInvariants(monitor)
	s.operations.SetInvariants(monitor)
	s.reconciler = newReconciler(s)
	s.rollouts = newRolloutDriver(s.durations.Rollouts, s.settings.Bounds.ExposureSlack)
}

// nextOperationID returns a number that no other operation of this replica has.
func (s *Server) nextOperationID() uint64 {
	s.lastOperationID++
	return s.lastOperationID
}

// Run serves until ctx ends, and then shuts down gracefully: within a part of graceS it hands its membership to another machine, or at
// least ensures that no committed value is on its disk alone. It returns an error if a setting is missing, or if the store or a listener
// can't be opened.
func Run(ctx context.Context, settings *bootstrap.Settings, log kitlog.Logger) error {
	if settings.DataPath == nil || *settings.DataPath == "" {
		return errors.New("settings: dataPath: a control machine needs a disk")
	}
	if settings.Addresses.Control == "" {
		return errors.New("settings: addresses.control: is missing")
	}
	s := newServer(settings, settings.PeerAddr(), log)
	s.ctx, s.stop = context.WithCancel(context.WithoutCancel(ctx))
	defer s.background.Wait()
	defer s.stop()
	store, replica, err := openStore(ctx, *settings.DataPath, settings.FirstStart, log, s.newReplica)
	if err != nil {
		return err
	}
	s.store = store
	s.setReplica(replica, replica.State())
	tombstoneLog, tombstones, err := openTombstones(
		ctx, *settings.DataPath, s.self, replica.State(), s.durations.Tombstones.Retention, log)
	if err != nil {
		return errors.Join(err, store.Close())
	}
	s.setTombstones(tombstoneLog, tombstones)
	writesEnded, tombstonesEnded := make(chan struct{}), make(chan struct{})
	go s.writeStates(writesEnded)
	defer s.closeStore(writesEnded)
	go s.writeTombstones(tombstonesEnded)
	defer s.closeTombstones(tombstonesEnded)
	closeListeners, err := s.listen()
	if err != nil {
		return err
	}
	defer closeListeners()
	defer s.serveMetrics()()
	for _, addr := range append(settings.SeedPeerAddrs(), replica.Members()...) {
		s.recordPeer(addr, "", 0)
	}
	_ = level.Info(log).Log("msg", "control machine started", "address", s.self, "voter", replica.State().Voter,
		"members", len(replica.Members()))
	s.reportConflicts()
	s.loop(ctx.Done())
	return nil
}

// newReplica creates the replica of the register from the state that was recovered from disk. It is a newReplicaFunc.
func (s *Server) newReplica(voteAtOnce bool, onDisk *register.State) *register.Replica {
	r := register.New(s.self, s.settings.SeedPeerAddrs(), voteAtOnce, onDisk, uint64(s.startedAt.UnixNano()))
	r.SetTiming(s.durations.Register)
	return r
}

// listen starts to serve peers, subscribers and operators.
func (s *Server) listen() (closeListeners func(), err error) {
	peerListener, err := net.Listen("tcp", s.settings.PeerListenAddr())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers and subscribers")
	}
	operatorListener, err := net.Listen("tcp", s.settings.Addresses.Control)
	if err != nil {
		_ = peerListener.Close() // nothing was served on it
		return nil, errors.Wrap(err, "listen for operators")
	}
	s.operatorServer = &http.Server{Handler: s.operatorAPI(), ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	s.background.Go(func() { s.logServeEnd("operators", s.operatorServer.Serve(operatorListener)) })
	s.background.Go(func() { s.logServeEnd("peers", transport.Serve(peerListener, s)) })
	return func() {
		_ = s.operatorServer.Close() // calls still in flight have had timing.HTTPShutdownTimeout in stopServing
		_ = peerListener.Close()     // the process ends
	}, nil
}

// logServeEnd logs the error with which serving a listener has ended, unless the server has closed it.
func (s *Server) logServeEnd(clients string, err error) {
	if err != nil && s.ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(s.log).Log("msg", "listener failed", "clients", clients, "error", err)
	}
}

// now returns the time since the server was created.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// loop is the event loop: it runs tick and handles events until s.ctx ends. When shutdown is closed, it begins the graceful shutdown.
func (s *Server) loop(shutdown <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		next := s.tick()
		timer.Reset(max(0, next-s.now()))
		select {
		case e := <-s.events:
			s.handle(e)
			for n := len(s.events); n > 0; n-- {
				s.handle(<-s.events)
			}
		case <-timer.C:
		case <-shutdown:
			shutdown = nil
			s.beginShutdown(s.now())
		case <-s.ctx.Done():
			return
		}
	}
}

// tick runs the periodic work that is due, and returns when it is to be called again at the latest.
func (s *Server) tick() (next time.Duration) {
	now := s.now()
	if now >= s.nextHello {
		s.nextHello = now + s.durations.Replacement.HelloInterval
		s.broadcastHello(now)
		s.hub.Expire(now)
		s.expireTombstoneRequests(now)
	}
	if now >= s.reconciler.NextTick() {
		s.reconcileMembers(now)
		s.operations.FailPending(now)
		s.updateMetrics()
		s.checkTolerance(now)
	}
	s.advanceRollouts(now)
	s.pipeline.Tick(now)
	next = s.updateSubscribers(s.now())
	next = min(next, s.acknowledgeWrites(s.now()), s.tickTombstones(s.now()), s.reconciler.NextTick(), s.nextHello, s.rollouts.nextTick)
	if pipelineTick, ok := s.pipeline.NextTick(s.now()); ok {
		next = min(next, pipelineTick)
	}
	return next
}
