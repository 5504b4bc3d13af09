package controlplane

import (
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/controlplane/peers"
	"firplank/mesh/dissemination"
	"firplank/mesh/register"
	"firplank/mesh/tombstone"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

// recordPeer records that a control machine was seen at a time. If it is new, a connection to it is maintained from then on.
func (s *Server) recordPeer(addr, zone string, seen time.Duration) {
	if s.peers.Record(addr, zone, seen) {
		s.background.Go(func() { s.maintainConn(addr) })
	}
}

// maintainConn connects to a peer and reconnects when the connection is lost, until the server stops.
func (s *Server) maintainConn(addr string) {
	for s.ctx.Err() == nil {
		c, err := transport.Dial(s.ctx, addr, s.durations.Peers.DialTimeout, s)
		if err == nil {
			s.post(peerConnChanged{addr, c})
			select {
			case <-c.Done():
			case <-s.ctx.Done():
				c.Close()
				return
			}
			s.post(peerConnChanged{addr, nil})
		}
		select {
		case <-time.After(s.durations.Peers.RedialInterval):
		case <-s.ctx.Done():
			return
		}
	}
}

// handlePeerConn records that the connection to a peer was made or lost, and sends a hello over a new one.
func (s *Server) handlePeerConn(e peerConnChanged) {
	s.peers.SetConn(e.addr, e.conn, s.now())
	if e.conn != nil {
		s.sendHello(e.addr, s.now())
		s.pipeline.Apply(s.now(), register.PeerConnected{})
	}
}

// knownMachines returns the control machines that are listed in hellos and updates.
func (s *Server) knownMachines(now time.Duration) []dissemination.ControlMachine {
	return s.peers.Known(now, s.pipeline.Replica().Members())
}

// sendHello sends a connected peer this machine's status, the known control machines, the directory's changes since the last hello, and
// evidence of life for the sidecars that were seen directly.
func (s *Server) sendHello(addr string, now time.Duration) {
	p := s.peers.Get(addr)
	if !p.Connected() {
		return
	}
	f := &wire.FrameT{
		Kind:          wire.Hello,
		Id:            s.tombstones.replica.Digest(now),
		From:          s.self,
		Text:          s.settings.Zone,
		LowestVersion: s.hub.LowestInForce(now).Optional(),
		Machines:      codec.MachinesToWire(s.knownMachines(now), now),
	}
	codec.SetNodeStatus(f, s.reconciler.Status(now))
	report := s.hub.Report(p.Revision)
	for i := range report.Changed {
		f.Entries = append(f.Entries, codec.AddRolloutReport(codec.EntryToWire(&report.Changed[i], now), &report.Changed[i].RolloutReport))
	}
	for i := range report.Alive {
		f.Entries = append(f.Entries, codec.AddRolloutReport(codec.LivenessToWire(&report.Alive[i], now), &report.Alive[i].RolloutReport))
	}
	p.Revision = report.Revision
	p.Conn.Send(f)
}

// broadcastHello sends a hello to each connected peer, and passes the list of seen peers to the register.
func (s *Server) broadcastHello(now time.Duration) {
	for _, p := range s.peers.All() {
		s.sendHello(p.Addr, now)
	}
	s.hub.ReportSent()
	s.hub.Publisher.ControlMachines = s.knownMachines(now)
	if seen := s.peers.Seen(); len(seen) > 0 {
		s.pipeline.Apply(now, register.PeersUpdated{Peers: seen})
		s.updateTombstonePeers(now, seen)
	}
}

// handleHello merges a peer's hello into the tables of peers and the directory.
func (s *Server) handleHello(f *wire.FrameT, now time.Duration) {
	s.recordPeer(f.From, f.Text, now)
	if p := s.peers.Get(f.From); p != nil { // nil if the table is full
		if status, ok := codec.NodeStatusFromFrame(f); ok {
			p.Status = status
		}
	}
	for _, m := range codec.MachinesFromWire(f.Machines, now) {
		if now-m.LastSeen < peers.Retention {
			s.recordPeer(m.Addr, m.Zone, max(0, m.LastSeen))
		}
	}
	s.handleInForce(f, now)
	s.mergeEntries(f.Entries, now, false)
	if f.Id != 0 {
		s.applyTombstones(now, tombstone.DigestReceived{From: f.From, Digest: f.Id})
	}
}
