// Package receiver stands in for monitoring: Graphite's receiver of lines and pickled lists over TCP, and collectd's network
// plugin and Unix socket. Each decodes by the public descriptions of the formats, with no code of the encoders', keeps what
// it was told, and can stop, come back, reset, stall and take half a line. What each keeps is bounded.
//
// carbon.go and pickle.go are Graphite's, collectd.go and unix.go collectd's. Begin with Carbon.
package receiver

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// ErrMalformed is what every decoder's error is.
var ErrMalformed = errors.New("malformed")

// service is a listener that can stop and come back at its address.
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

// Addr is where it listens, also while it is stopped.
func (s *service) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Start listens, again after Stop.
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

// Stop listens no more and ends all connections.
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

// Stall has connections taken from now on and never read.
func (s *service) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = on
}

// reset ends a connection so that its peer hears of it at once.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection closes in the ordinary way
	}
	_ = c.Close() // the connection is released even where this fails
}

// faults keeps the first of what could not be read.
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

// Malformed returns what could not be read.
func (f *decodeErrors) Malformed() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.errs)
}

// mostPoints bounds what a receiver keeps.
const maxPoints = 4 << 20

// Point is a value at a time.
type Point struct {
	At    time.Time
	Value float64
}
