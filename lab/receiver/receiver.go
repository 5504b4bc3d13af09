// Package receiver has stand-ins for monitoring systems: Graphite's receiver of lines and pickled lists over TCP, and collectd's
// network plugin and Unix socket. They decode by the public descriptions of the formats and share no code with the encoders.
// They store what they receive, up to a bound, and can stop, restart at the same address, reset connections, and stall.
//
// carbon.go and pickle.go are for Graphite, collectd.go and unix.go for collectd. Begin with Carbon.
package receiver

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// ErrMalformed is wrapped by every error of a decoder.
var ErrMalformed = errors.New("malformed")

// service is a listener that can stop and restart at the same address.
type service struct {
	network, addr string
	serve         func(net.Conn)

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	stalled bool
	stopped chan struct{} // closed by Stop
	tasks   sync.WaitGroup
}

// Addr returns the address that it listens on, also while it is stopped.
func (s *service) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Start starts listening, also after Stop.
func (s *service) Start() error {
	ln, err := net.Listen(s.network, s.Addr())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln, s.addr = ln, ln.Addr().String()
	s.conns, s.stopped = map[net.Conn]bool{}, make(chan struct{})
	s.tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			gone := s.ln != ln
			if !gone {
				s.conns[c] = true
			}
			stalled := s.stalled
			s.mu.Unlock()
			switch {
			case gone:
				_ = c.Close() // the connection is released even where this fails
			case !stalled:
				s.tasks.Go(func() {
					defer s.closeConn(c)
					s.serve(c)
				})
			}
		}
	})
	return nil
}

func (s *service) closeConn(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close() // the connection is released even where this fails
}

// Stop stops listening, closes all connections and waits for their goroutines.
func (s *service) Stop() {
	s.mu.Lock()
	if s.ln != nil {
		_ = s.ln.Close() // accepting ends either way
		close(s.stopped)
	}
	s.ln = nil
	for c := range s.conns {
		_ = c.Close() // the connection is released even where this fails
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *service) awaitStop() {
	s.mu.Lock()
	stopped := s.stopped
	s.mu.Unlock()
	<-stopped
}

// Stall sets whether new connections are accepted but never read.
func (s *service) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = on
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection closes in the ordinary way
	}
	_ = c.Close() // the connection is released even where this fails
}

// decodeErrors keeps the first 100 decoding errors.
type decodeErrors struct {
	mu   sync.Mutex
	errs []error
}

func (f *decodeErrors) record(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errs) < 100 {
		f.errs = append(f.errs, err)
	}
}

// Malformed returns the decoding errors.
func (f *decodeErrors) Malformed() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.errs)
}

// maxPoints is the maximum number of points that a receiver stores.
const maxPoints = 4 << 20

// Point is a value at a time.
type Point struct {
	At    time.Time
	Value float64
}
