package dataplane

import (
	"context"
	"time"

	"firplank/mesh/membership"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

const (
	// streamPingTimeout bounds a ping of the failure detector over a connection. It is the time-out of a suspicion: an answer that comes
	// later would only mark a lost sidecar as reachable again, which the next probe does as well.
	streamPingTimeout = time.Second
	// maxStreamPings bounds the pings in flight.
	maxStreamPings = 8
)

// streamPings pings sidecars over connections on request of the failure detector. start is called by the loop.
type streamPings struct {
	ctx      context.Context
	node     string
	onAnswer func(node string) // called on any goroutine when a sidecar has answered
	slots    chan struct{}
}

func newStreamPings(ctx context.Context, node string, onAnswer func(node string)) *streamPings {
	return &streamPings{ctx: ctx, node: node, onAnswer: onAnswer, slots: make(chan struct{}, maxStreamPings)}
}

// start pings the sidecar at a peer address, on a goroutine that goFunc starts. It returns false if too many pings are in flight.
func (s *streamPings) start(node, addr string, goFunc func(func())) bool {
	select {
	case s.slots <- struct{}{}:
	default:
		return false
	}
	goFunc(func() {
		defer func() { <-s.slots }()
		if s.ping(addr) {
			s.onAnswer(node)
		}
	})
	return true
}

// ping reports whether the sidecar at addr answers.
func (s *streamPings) ping(addr string) bool {
	ctx, cancel := context.WithTimeout(s.ctx, streamPingTimeout)
	defer cancel()
	answered := make(streamPingAnswer, 1)
	conn, err := transport.Dial(ctx, addr, streamPingTimeout, answered)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.Send(&wire.FrameT{Kind: wire.Probe, Incarnation: uint32(membership.Ping), From: s.node})
	select {
	case <-answered:
		return true
	case <-conn.Done():
	case <-ctx.Done():
	}
	return false
}

// streamPingAnswer handles the frames of a ping's connection. Any frame counts as an answer.
type streamPingAnswer chan struct{}

// HandleFrame implements transport.Handler.
func (a streamPingAnswer) HandleFrame(*transport.Conn, *wire.FrameT) {
	select {
	case a <- struct{}{}:
	default:
	}
}

// HandleClose implements transport.Handler.
func (streamPingAnswer) HandleClose(*transport.Conn) {}

// peerHandler handles the connections of other sidecars: it answers pings, and passes other frames to the embedded handler.
type peerHandler struct {
	transport.Handler
	node string
}

// HandleFrame implements transport.Handler.
func (h peerHandler) HandleFrame(c *transport.Conn, f *wire.FrameT) {
	if f.Kind != wire.Probe {
		h.Handler.HandleFrame(c, f)
		return
	}
	if membership.Kind(f.Incarnation) == membership.Ping {
		c.Send(&wire.FrameT{Kind: wire.Probe, Incarnation: uint32(membership.Ack), From: h.node, Id: f.Id})
	}
}

// streamPingAnswered reports that a sidecar has answered a ping over a connection.
type streamPingAnswered struct{ node string }

func (e streamPingAnswered) handle(p *Proxy, now time.Duration) {
	p.applyLivenessResult(now, p.liveness.RecordContact(now, e.node))
}

// sendProbes sends the probes of the failure detector, as datagrams or over connections.
func (p *Proxy) sendProbes(probes []membership.Message) {
	d := p.node.State().Directory
	p.probes.send(probes, d)
	for _, m := range probes {
		if m.Kind != membership.StreamPing {
			continue
		}
		if e, ok := d.Get(m.To); ok {
			p.streamPings.start(m.To, e.PeerAddr, p.background.Go)
		}
	}
}
