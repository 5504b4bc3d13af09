package mesh

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Between stands between sidecars and one of them, and breaks the connections that it carries on demand.
type Between struct {
	listener net.Listener
	to       string
	name     string   // of the machine behind it
	network  *Network // the links to it; nil: there are none
	requests bool     // connections carry requests, whose answers may be lost
	breaks   atomic.Pointer[Breaks]
	number   atomic.Uint64 // of connections
	Broken   atomic.Int64  // connections that were reset

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// Breaks describes how connections break.
type Breaks struct {
	// Every how many connections one breaks, when so many bytes have come from the sender, or from the last hop, whose
	// counts rise by Step from one that breaks to the next, up to Most.
	Every      uint64
	Step, Most int64
	// Late is how long after its sender has seen the connection break the last hop still gets what came of the request: it arrives late.
	Late time.Duration
}

// newBetween listens at an address ahead of a machine's own one.
func newBetween(at, to, name string, network *Network, requests bool) (*Between, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	b := &Between{listener: ln, to: to, name: name, network: network, requests: requests, open: map[net.Conn]struct{}{}}
	go b.serve()
	return b, nil
}

// Break sets how connections break that are made from now on; nil: they do not.
func (b *Between) Break(how *Breaks) { b.breaks.Store(how) }

func (b *Between) close() {
	_ = b.listener.Close() // accepting ends either way
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.open {
		_ = c.Close() // the connection is released even where this fails
	}
}

func (b *Between) serve() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.carry(c.(*net.TCPConn))
	}
}

// hold keeps a connection to be closed in the end.
func (b *Between) hold(c net.Conn) (release func()) {
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
func (b *Between) carry(from *net.TCPConn) {
	defer b.hold(from)()
	sender, ok := b.arrive(from)
	if !ok {
		return
	}
	there, err := net.DialTimeout("tcp", b.to, time.Second)
	if err != nil {
		return
	}
	to := there.(*net.TCPConn)
	defer b.hold(to)()
	up, down, late := b.limits()
	var once sync.Once
	broken := func() {
		once.Do(func() {
			b.Broken.Add(1)
			_ = from.SetLinger(0) // without it the connection closes in the ordinary way
			_ = from.Close()      // the connection is released even where this fails
		})
	}
	ahead, back, leave := b.links(sender, func() { broken(); _ = to.Close() })
	defer leave()
	var ways sync.WaitGroup
	ways.Go(func() {
		defer func() { _ = to.CloseWrite() }() // fails only where the connection is closed already
		b.copy(to, from, up, ahead, func() { broken(); time.Sleep(late) })
	})
	b.copy(from, to, down, back, broken)
	_ = from.CloseWrite() // fails only where the connection is closed already
	ways.Wait()
}

// limits is after how many bytes each way of the next connection breaks; below 0: it does not.
func (b *Between) limits() (up, down int64, late time.Duration) {
	n := b.number.Add(1)
	how := b.breaks.Load()
	if how == nil || n%how.Every != 0 {
		return -1, -1, 0
	}
	at := int64(n/how.Every) * how.Step % how.Most
	if n/how.Every%2 == 0 {
		return -1, at, 0
	}
	return at, -1, how.Late
}

// arrive identifies the sender of a connection, which waits at a cut.
func (b *Between) arrive(from *net.TCPConn) (sender string, ok bool) {
	if b.network == nil {
		return "", true
	}
	sender = b.network.identify(from.LocalAddr().(*net.TCPAddr), from.RemoteAddr().(*net.TCPAddr))
	return sender, b.network.pass(sender, b.name)
}

// links returns what bytes of a connection wait for ahead and on their way back; false means that the connection breaks.
func (b *Between) links(sender string, reset func()) (ahead, back func() bool, leave func()) {
	free := func() bool { return true }
	if b.network == nil {
		return free, free, func() {}
	}
	ahead = func() bool { return b.network.pass(sender, b.name) }
	back = func() bool {
		if b.requests && b.network.losesAnswer(b.name, sender) {
			return false
		}
		return b.network.pass(b.name, sender)
	}
	return ahead, back, b.network.add(&relayedConn{from: sender, to: b.name, reset: reset})
}

// copy carries bytes one way, each part once may permits it. When limit bytes have come, or may does not, it calls broken; at the limit
// it then carries what came with the last of them all the same.
func (b *Between) copy(to, from *net.TCPConn, limit int64, may func() bool, broken func()) {
	buf, left := make([]byte, 16<<10), limit
	for {
		n, err := from.Read(buf)
		if n > 0 && !may() {
			broken()
			return
		}
		if limit >= 0 && n > 0 {
			if left -= int64(n); left <= 0 {
				broken()
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
			_ = may() // the end of the connection waits at a cut, too
			return
		}
	}
}
