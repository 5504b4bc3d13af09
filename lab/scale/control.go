package scale

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

// helloInterval is how often control machines speak to one another, as in mesh/controlplane.
const helloInterval = 300 * time.Millisecond

// Listener is a hollow control machine: it announces itself to the real ones and counts what they send it, which is
// what they send each other about sidecars. It is no replica of the register, knows no sidecar and has no subscribers.
type Listener struct {
	addr       string
	ln         net.Listener
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex
	traffic *TrafficCounter
}

// Listen starts one at an address, known to the control machines at others.
func Listen(talk string, others []string) (*Listener, error) {
	ln, err := net.Listen("tcp", talk)
	if err != nil {
		return nil, fmt.Errorf("start a hollow control machine: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Listener{addr: talk, ln: ln, stop: stop, traffic: NewTrafficCounter()}
	l.goroutines.Go(func() { _ = transport.Serve(ln, l) }) // until the listener is closed
	for _, addr := range others {
		l.goroutines.Go(func() { l.sendHellos(ctx, addr) })
	}
	return l, nil
}

// sendHellos sends hellos to one control machine until ctx ends.
func (l *Listener) sendHellos(ctx context.Context, addr string) {
	var conn *transport.Conn
	for ctx.Err() == nil {
		if conn == nil {
			conn, _ = transport.Dial(ctx, addr, timing.Default().Subscription.DialTimeout, l)
		}
		if conn != nil && !conn.Send(&wire.FrameT{Kind: wire.Hello, From: l.addr, Text: "listener", LowestVersion: dissemination.Unconstrained}) {
			conn = nil
		}
		select {
		case <-time.After(helloInterval):
		case <-ctx.Done():
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// HandleFrame implements transport.Handler.
func (l *Listener) HandleFrame(c *transport.Conn, f *wire.FrameT) {
	if f.Kind == wire.Subscribe {
		c.Send(&wire.FrameT{Kind: wire.GoAway})
		return
	}
	sizes := Measure(f)
	l.mu.Lock()
	l.traffic.Add(ControlToControl, f.Kind, sizes)
	l.mu.Unlock()
}

// HandleClose implements transport.Handler.
func (l *Listener) HandleClose(*transport.Conn) {}

// Tallies returns what was received from all control machines together.
func (l *Listener) Tallies() []Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.traffic.Tallies()
}

// Close ends it.
func (l *Listener) Close() {
	l.stop()
	_ = l.ln.Close() // it has nothing to lose
	l.goroutines.Wait()
}
