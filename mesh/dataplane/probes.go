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

// probeSocket carries the probes of the failure detector as datagrams. Where there is no socket (nil), nothing is
// sent, and failures are detected by the control machines alone.
type probeSocket struct{ conn *net.UDPConn }

// listenProbes opens the socket at an address.
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

// receive hands on the probes that come for a node until the socket is closed.
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

// send sends probes to the sidecars that the directory knows.
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
		_, _ = s.conn.WriteToUDPAddrPort(wire.EncodeDatagram(f), to) // a datagram that is lost is sent again, as the detector decides
	}
}

func (s *probeSocket) close() {
	if s != nil {
		_ = s.conn.Close() // a datagram socket holds nothing that could be lost
	}
}
