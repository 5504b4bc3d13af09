package controlplane

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"firplank/mesh/controlplane/reconcile"
	"firplank/mesh/lease"
	"firplank/mesh/replacement"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// newReconciler returns the reconciler of a server whose replica is set.
func newReconciler(s *Server) *reconcile.Reconciler {
	return reconcile.New(reconcile.Config{
		Self:      s.self,
		Zone:      s.settings.Zone,
		Timeouts:  s.durations.Replacement,
		Tolerance: s.settings.Tolerance.Members(),
		Seed:      uint64(s.startedAt.UnixNano()),
	}, s.pipeline, s.peers, reconcileSink{s}, s.nextOperationID)
}

// reconcileMembers closes silent connections to peers, and runs the reconciler on the members and the lease.
func (s *Server) reconcileMembers(now time.Duration) {
	for _, p := range s.peers.Silent(now, s.durations.Replacement.DetectionTimeout/2) {
		p.Conn.Close()
	}
	s.reconciler.Tick(now)
}

// beginShutdown begins the graceful shutdown. The server serves on until the reconciler calls Depart.
func (s *Server) beginShutdown(now time.Duration) {
	_ = level.Info(s.log).Log("msg", "shutdown begins", "within", s.durations.Replacement.DepartureTimeout)
	s.reconciler.BeginDeparture(now)
	s.broadcastHello(now)
	s.reconcileMembers(now)
}

// reconcileSink executes the reconciler's decisions on a server. It implements reconcile.Sink.
type reconcileSink struct{ s *Server }

// frameKinds maps the kinds of lease messages to those of the frames that carry them.
var frameKinds = map[lease.Kind]wire.Kind{
	lease.VoteRequest:  wire.VoteRequest,
	lease.VoteResponse: wire.VoteResponse,
	lease.Release:      wire.LeaseRelease,
}

// SendLease sends a lease message to a peer, or drops it if the peer is not connected.
func (k reconcileSink) SendLease(m lease.Message) {
	if p := k.s.peers.Get(m.To); p != nil && p.Connected() {
		p.Conn.Send(&wire.FrameT{Kind: frameKinds[m.Kind], Id: m.Number, From: m.From, Ok: m.Granted})
	}
}

// handleLease passes a lease message from a peer to the reconciler.
func (s *Server) handleLease(f *wire.FrameT, now time.Duration) {
	m := lease.Message{From: f.From, To: s.self, Number: f.Id, Granted: f.Ok}
	switch f.Kind {
	case wire.VoteRequest:
		m.Kind = lease.VoteRequest
	case wire.VoteResponse:
		m.Kind = lease.VoteResponse
	case wire.LeaseRelease:
		m.Kind = lease.Release
	}
	s.reconciler.HandleLease(now, m)
}

// ReplacementProposed logs that this machine, as the lease holder, is about to propose the replacement of lost members. The line says
// "replaced" although the change is not committed yet; RepairCompleted logs its completion.
func (k reconcileSink) ReplacementProposed(c replacement.Change) {
	_ = level.Info(k.s.log).Log("msg", "member replaced", "from", len(c.ExpectedMembers), "to", len(c.Members),
		"lost", strings.Join(c.Lost, " "), "successor", strings.Join(c.Successors, " "))
}

// HandoverProposed logs that this machine is about to propose to hand its membership over to another.
func (k reconcileSink) HandoverProposed(c replacement.Change) {
	_ = level.Info(k.s.log).Log("msg", "membership handover proposed", "successor", strings.Join(c.Successors, " "))
}

// RepairCompleted logs that the last change of members is complete: all members have the committed value on disk.
func (k reconcileSink) RepairCompleted(members int, after time.Duration) {
	_ = level.Info(k.s.log).Log("msg", "all members have the committed value", "members", members, "after", after)
}

// Depart notifies the peers and the subscribers, and stops the server once the calls in flight are answered.
func (k reconcileSink) Depart(reason error, replicated bool) {
	s := k.s
	if reason == nil {
		_ = level.Info(s.log).Log("msg", "shutdown completed in order")
	} else {
		_ = level.Warn(s.log).Log("msg", "shutdown did not complete in order", "reason", reason, "replicated", replicated)
	}
	s.broadcastHello(s.now())
	for _, c := range s.hub.Conns() {
		c.Send(&wire.FrameT{Kind: wire.GoAway})
	}
	s.background.Go(s.stopServing)
}

// stopServing waits up to timing.HTTPShutdownTimeout for operators' calls in flight, leaves timing.FlushDelay for frames that are queued
// on connections, and then stops the server.
func (s *Server) stopServing() {
	ctx, cancel := context.WithTimeout(s.ctx, timing.HTTPShutdownTimeout)
	defer cancel()
	if err := s.operatorServer.Shutdown(ctx); err != nil {
		_ = level.Warn(s.log).Log("msg", "shutdown cut off calls in flight", "error", err)
	}
	time.Sleep(timing.FlushDelay)
	s.stop()
}
