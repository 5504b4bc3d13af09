package controlplane

import (
	"time"

	"github.com/go-kit/log/level"

	"firplank/mesh/codec"
	"firplank/mesh/configversion"
	"firplank/mesh/persist"
	"firplank/mesh/wire"
)

// publish publishes the newest committed value. A new version is sent to the subscribers at once.
func (s *Server) publish(committed persist.Committed) {
	newer, err := s.hub.Publish(committed)
	if err != nil { // unexpected: the configuration was validated before it was proposed
		_ = level.Error(s.log).Log("msg", "publishing the committed configuration failed", "error", err)
		return
	}
	if newer {
		_ = level.Info(s.log).Log("msg", "configuration committed", "edition", committed.Value.Version, "members", len(committed.Value.Members))
		s.updateSubscribers(s.now())
	}
}

// updateSubscribers sends the updates that are due, and returns when it is to be called again.
func (s *Server) updateSubscribers(now time.Duration) (next time.Duration) {
	updates, next := s.hub.Updates(now)
	for i := range updates {
		updates[i].Conn.Send(codec.UpdateToFrame(&updates[i].Update, s.hub.Packed(), now))
	}
	return next
}

// mergeEntries merges entries of the directory that came from sidecars (direct) or from peers.
func (s *Server) mergeEntries(entries []*wire.EntryT, now time.Duration, direct bool) {
	for _, wireEntry := range entries {
		e, complete := codec.EntryFromWire(wireEntry, now)
		if s.hub.HandleEntry(e, complete, direct, now) {
			s.metrics.sidecarsLost.Inc()
			_ = level.Info(s.log).Log("msg", "sidecar lost", "node", e.Node)
		}
	}
}

// acknowledgeWrites answers the writes that the sidecars have acknowledged, announces this machine's lowest version in force to the peers
// if it has changed, and returns when it is to be called again.
func (s *Server) acknowledgeWrites(now time.Duration) (next time.Duration) {
	lowest, changed := s.hub.Announce(now)
	if changed {
		s.broadcastInForce(lowest)
	}
	return s.operations.Acknowledge(now, lowest)
}

// broadcastInForce sends the peers the lowest version in force among this machine's subscribers.
func (s *Server) broadcastInForce(lowest configversion.Version) {
	for _, p := range s.peers.All() {
		if p.Connected() {
			p.Conn.Send(&wire.FrameT{Kind: wire.InForce, From: s.self, LowestVersion: lowest.Optional()})
		}
	}
}

// handleInForce records the lowest version in force among a peer's subscribers.
func (s *Server) handleInForce(f *wire.FrameT, now time.Duration) {
	if s.peers.Get(f.From) != nil {
		s.operations.PeerAcknowledged(f.From, configversion.FromOptional(f.LowestVersion), now)
	}
}
