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

// helloInterval is the interval between hellos to a control machine, the same as in mesh/controlplane.
const helloInterval = 300 * time.Millisecond

// Listener is a hollow control machine. It sends hellos to the real control machines and counts the frames that they send
// to it, which are those that they send each other about sidecars. It is not a replica of the register, has no entries of
// sidecars and accepts no subscribers.
type Listener struct {
	addr       string
	ln         net.Listener
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex
	traffic *TrafficCounter
}

// Listen starts a Listener at an address and announces it to the control machines at others.
func Listen(talk string, others []string) (*Listener, error) {
	ln, err := net.Listen("tcp", talk)
	if err != nil {
		return nil, fmt.Errorf("start hollow control machine: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Listener{addr: talk, ln: ln, stop: stop, traffic: NewTrafficCounter()}
	l.goroutines.Go(func() { _ = transport.Serve(ln, l) }) // until the listener is closed
	for _, addr := range others {
		l.goroutines.Go(func() { l.sendHellos(ctx, addr) })
	}
	return l, nil
}

// sendHellos sends hellos to one control machine until ctx is canceled.
func (l *Listener) sendHellos(ctx context.Context, addr string) {
	var conn *transport.Conn
	for ctx.Err() == nil {
		if conn == nil {
			conn, _ = transport.Dial(ctx, addr, timing.Default().Subscription.DialTimeout, l)
		}
		hello := &wire.FrameT{
			Kind: wire.Hello, From: l.addr, Text: "listener", LowestVersion: dissemination.Unconstrained.Optional(),
		}
		if conn != nil && !conn.Send(hello) {
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

// Tallies returns the traffic received from all control machines together.
func (l *Listener) Tallies() []Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.traffic.Tallies()
}

// Close stops the listener and waits for its goroutines.
func (l *Listener) Close() {
	l.stop()
	_ = l.ln.Close() // a listener has no buffered data
	l.goroutines.Wait()
}
