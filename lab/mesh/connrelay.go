package mesh

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Between stands between sidecars and one of them, and breaks the connections that it carries on demand.
type ConnRelay struct {
	listener net.Listener
	target   string
	name     string   // of the machine behind it
	network  *Network // the links to it; nil: there are none
	requests bool     // connections carry requests, whose answers may be lost
	breaks   atomic.Pointer[BreakPattern]
	accepted atomic.Uint64 // of connections
	Broken   atomic.Int64  // connections that were reset

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// Breaks describes how connections break.
type BreakPattern struct {
	// Every how many connections one breaks, when so many bytes have come from the sender, or from the last hop, whose
	// counts rise by Step from one that breaks to the next, up to Most.
	Every               uint64
	StepBytes, MaxBytes int64
	// Late is how long after its sender has seen the connection break the last hop still gets what came of the request: it arrives late.
	LastHopDelay time.Duration
}

// newBetween listens at an address ahead of a machine's own one.
func newConnRelay(listenAddress, target, name string, network *Network, requests bool) (*ConnRelay, error) {
	ln, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, err
	}
	b := &ConnRelay{listener: ln, target: target, name: name, network: network, requests: requests, open: map[net.Conn]struct{}{}}
	go b.serve()
	return b, nil
}

// Break sets how connections break that are made from now on; nil: they do not.
func (b *ConnRelay) SetBreakPattern(pattern *BreakPattern) { b.breaks.Store(pattern) }

func (b *ConnRelay) close() {
	_ = b.listener.Close() // accepting ends either way
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.open {
		_ = c.Close() // the connection is released even where this fails
	}
}

func (b *ConnRelay) serve() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.forward(c.(*net.TCPConn))
	}
}

// hold keeps a connection to be closed in the end.
func (b *ConnRelay) track(c net.Conn) (release func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[c] = struct{}{}
	return func() {
		_ = c.Close() // the connection is released even where this fails
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.open, c)
	}
}

// carry carries one connection until it ends or breaks.
func (b *ConnRelay) forward(from *net.TCPConn) {
	defer b.track(from)()
	sender, ok := b.admit(from)
	if !ok {
		return
	}
	connection, err := net.DialTimeout("tcp", b.target, time.Second)
	if err != nil {
		return
	}
	to := connection.(*net.TCPConn)
	defer b.track(to)()
	up, down, delay := b.limits()
	var once sync.Once
	reset := func() {
		once.Do(func() {
			b.Broken.Add(1)
			_ = from.SetLinger(0) // without it the connection closes in the ordinary way
			_ = from.Close()      // the connection is released even where this fails
		})
	}
	maySend, mayAnswer, untrack := b.linkChecks(sender, func() { reset(); _ = to.Close() })
	defer untrack()
	var directions sync.WaitGroup
	directions.Go(func() {
		defer func() { _ = to.CloseWrite() }() // fails only where the connection is closed already
		b.copy(to, from, up, maySend, func() { reset(); time.Sleep(delay) })
	})
	b.copy(from, to, down, mayAnswer, reset)
	_ = from.CloseWrite() // fails only where the connection is closed already
	directions.Wait()
}

// limits is after how many bytes each way of the next connection breaks; below 0: it does not.
func (b *ConnRelay) limits() (up, down int64, lastHopDelay time.Duration) {
	n := b.accepted.Add(1)
	pattern := b.breaks.Load()
	if pattern == nil || n%pattern.Every != 0 {
		return -1, -1, 0
	}
	limit := int64(n/pattern.Every) * pattern.StepBytes % pattern.MaxBytes
	if n/pattern.Every%2 == 0 {
		return -1, limit, 0
	}
	return limit, -1, pattern.LastHopDelay
}

// arrive identifies the sender of a connection, which waits at a cut.
func (b *ConnRelay) admit(from *net.TCPConn) (sender string, ok bool) {
	if b.network == nil {
		return "", true
	}
	sender = b.network.identify(from.LocalAddr().(*net.TCPAddr), from.RemoteAddr().(*net.TCPAddr))
	return sender, b.network.awaitLink(sender, b.name)
}

// links returns what bytes of a connection wait for ahead and on their way back; false means that the connection breaks.
func (b *ConnRelay) linkChecks(sender string, reset func()) (maySend, mayAnswer func() bool, untrack func()) {
	free := func() bool { return true }
	if b.network == nil {
		return free, free, func() {}
	}
	maySend = func() bool { return b.network.awaitLink(sender, b.name) }
	mayAnswer = func() bool {
		if b.requests && b.network.losesAnswer(b.name, sender) {
			return false
		}
		return b.network.awaitLink(b.name, sender)
	}
	return maySend, mayAnswer, b.network.track(&relayedConn{from: sender, to: b.name, reset: reset})
}

// copy carries bytes one way, each part once may permits it. When limit bytes have come, or may does not, it calls broken; at the limit
// it then carries what came with the last of them all the same.
func (b *ConnRelay) copy(to, from *net.TCPConn, limit int64, mayPass func() bool, onBreak func()) {
	buf, left := make([]byte, 16<<10), limit
	for {
		n, err := from.Read(buf)
		if n > 0 && !mayPass() {
			onBreak()
			return
		}
		if limit >= 0 && n > 0 {
			if left -= int64(n); left <= 0 {
				onBreak()
				_, _ = to.Write(buf[:n]) // the peer may be gone, which the next read reports
				return
			}
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = mayPass() // the end of the connection waits at a cut, too
			return
		}
	}
}
