package dataplane

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"firplank/mesh/directory"
	"firplank/mesh/membership"
	"firplank/mesh/wire"
)

// maxProbeBytes bounds a datagram between sidecars.
const maxProbeBytes = 1 << 10

// probeSocket carries the probes of the failure detector as datagrams. A nil socket sends nothing; failures are then
// detected by the control machines alone.
type probeSocket struct{ conn *net.UDPConn }

// listenProbes opens the socket at addr.
func listenProbes(addr string) (*probeSocket, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for probes")
	}
	c, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Wrap(err, "listen for probes")
	}
	return &probeSocket{c}, nil
}

// receive calls handle for each received probe, with node as its receiver, until the socket is closed.
func (s *probeSocket) receive(node string, handle func(membership.Message)) {
	buf := make([]byte, maxProbeBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f, err := wire.Decode(append([]byte(nil), buf[:n]...))
		if err != nil || f.Kind != wire.Probe {
			continue
		}
		handle(membership.Message{Kind: membership.Kind(f.Incarnation), From: f.From, To: node, SeqNo: f.Id, Target: f.Text})
	}
}

// send sends those probes whose receivers are in the directory, except stream pings.
func (s *probeSocket) send(probes []membership.Message, d *directory.Directory) {
	if s == nil {
		return
	}
	for _, m := range probes {
		e, ok := d.Get(m.To)
		if !ok || m.Kind == membership.StreamPing {
			continue
		}
		to, err := netip.ParseAddrPort(e.PeerAddr)
		if err != nil {
			continue
		}
		f := &wire.FrameT{Kind: wire.Probe, Incarnation: uint32(m.Kind), From: m.From, Id: m.SeqNo, Text: m.Target}
		_, _ = s.conn.WriteToUDPAddrPort(wire.EncodeDatagram(f), to) // the failure detector handles lost datagrams
	}
}

func (s *probeSocket) close() {
	if s != nil {
		_ = s.conn.Close() // a datagram socket has nothing to flush
	}
}
