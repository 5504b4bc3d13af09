package mesh

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ConnRelay relays TCP connections to one address of a machine. It applies the faults of the network's links to them, and breaks them by a
// BreakPattern.
type ConnRelay struct {
	listener net.Listener
	target   string
	name     string   // of the target machine
	network  *Network // holds the links' faults; nil: no link faults
	requests bool     // connections carry requests, whose responses may be lost
	breaks   atomic.Pointer[BreakPattern]
	accepted atomic.Uint64 // connections
	Broken   atomic.Int64  // connections that were reset

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// BreakPattern describes which connections break, and after how many bytes.
type BreakPattern struct {
	// One in Every connections breaks, in turn by the bytes from the sender and by those from the last hop. The number of bytes after which
	// it breaks rises by StepBytes from one such connection to the next, modulo MaxBytes.
	Every               uint64
	StepBytes, MaxBytes int64
	// LastHopDelay is how long after the reset of the sender's connection the last hop still receives the bytes of the request that had
	// arrived, so that a request runs after its sender has seen it fail.
	LastHopDelay time.Duration
}

// newConnRelay starts a relay that listens at an address and forwards connections to target, an address of the machine with that name.
func newConnRelay(listenAddress, target, name string, network *Network, requests bool) (*ConnRelay, error) {
	ln, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, err
	}
	b := &ConnRelay{listener: ln, target: target, name: name, network: network, requests: requests, open: map[net.Conn]struct{}{}}
	go b.serve()
	return b, nil
}

// SetBreakPattern sets the pattern by which new connections break; nil: they do not break.
func (b *ConnRelay) SetBreakPattern(pattern *BreakPattern) { b.breaks.Store(pattern) }

func (b *ConnRelay) close() {
	_ = b.listener.Close() // accepting ends even where this fails
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

// track registers a connection, so that close closes it. release closes and removes it.
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

// forward relays one connection until it ends or breaks.
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
			_ = from.SetLinger(0) // closes with a reset; if this fails the connection closes normally
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

// limits returns after how many bytes each direction of the next connection breaks; below 0: it does not break.
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

// admit identifies the sender of a connection, and waits while the link from it is cut. ok is false if the connection has to be closed.
func (b *ConnRelay) admit(from *net.TCPConn) (sender string, ok bool) {
	if b.network == nil {
		return "", true
	}
	sender = b.network.identify(from.LocalAddr().(*net.TCPAddr), from.RemoteAddr().(*net.TCPAddr))
	return sender, b.network.awaitLink(sender, b.name)
}

// linkChecks returns functions that wait until bytes may pass to the machine and back to the sender. They return false if the connection
// breaks instead. untrack ends the registration of the connection for Network.Reset, which calls reset.
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

// copy relays bytes in one direction, each part once mayPass returns true. When limit bytes have been read, or mayPass returns false, it
// calls onBreak and ends. At the limit it still writes the last part that was read, after onBreak.
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
				_, _ = to.Write(buf[:n]) // an error has no consequence: the relay of this direction ends
				return
			}
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = mayPass() // the end of the connection, too, waits while the link is cut
			return
		}
	}
}
