package dataplane

import (
	"context"
	"time"

	"firplank/mesh/membership"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

const (
	// streamPingTimeout bounds a ping of the failure detector over a connection. It is that of a suspicion: a later answer ends the loss,
	// which the next probe does as well.
	streamPingTimeout = time.Second
	// maxStreamPings bounds those that are under way.
	maxStreamPings = 8
)

// streamPings pings sidecars over connections, where the failure detector asks for that. Start belongs to the loop.
type streamPings struct {
	ctx      context.Context
	node     string
	onAnswer func(node string) // called from any goroutine: a sidecar has answered
	slots    chan struct{}
}

func newStreamPings(ctx context.Context, node string, onAnswer func(node string)) *streamPings {
	return &streamPings{ctx: ctx, node: node, onAnswer: onAnswer, slots: make(chan struct{}, maxStreamPings)}
}

// start pings a sidecar at its address for peers, on a goroutine of its own. It reports false where too many are under way.
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

// ping reports whether the sidecar at an address answers.
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

// streamPingAnswer handles the frames of a connection that a ping goes over: any frame is an answer.
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

// peerHandler handles the connections of other sidecars: it answers pings, and passes all else on.
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

// contactMade reports that a sidecar has answered over a connection.
type streamPingAnswered struct{ node string }

func (e streamPingAnswered) handle(p *Proxy, now time.Duration) {
	p.applyLivenessResult(now, p.liveness.RecordContact(now, e.node))
}

// sendProbes sends what the failure detector asks for.
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
