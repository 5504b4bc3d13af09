package standin

// This file implements a server's HTTP connections.

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"time"
)

type serverConn struct {
	net.Conn
	link    int
	overCap bool // beyond ServerConfig.MaxConns
}

func (s *Server) accept(number int, ln net.Listener) {
	s.tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			sc := &serverConn{Conn: c, link: number}
			s.mu.Lock()
			if !s.running {
				s.mu.Unlock()
				resetConn(c)
				continue
			}
			s.model.AddWork(s.cfg.HandshakeWork)
			sc.overCap = s.cfg.MaxConns > 0 && len(s.conns) >= s.cfg.MaxConns
			s.conns[sc] = true
			s.mu.Unlock()
			s.tasks.Go(func() { s.serve(sc) })
		}
	})
}

// resetConn closes a connection with a reset, as when its process is killed.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails the connection is closed without a reset
	}
	_ = c.Close() // the connection is released even where this fails
}

// incoming is an HTTP request read from a connection.
type incoming struct {
	*http.Request
	firstByteAt time.Duration
}

// serve serves the requests of a connection one after the other.
func (s *Server) serve(c *serverConn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close() // the connection is released even where this fails
	}()
	if s.cfg.RPC {
		s.serveRPC(c)
		return
	}
	stop := make(chan struct{})
	defer close(stop)
	requests := s.readRequests(c, stop)
	// The connection is released even where this fails.
	idle := time.AfterFunc(cmp.Or(s.cfg.IdleTimeout, time.Hour), func() { _ = c.Close() })
	defer idle.Stop()
	for req := range requests {
		idle.Stop()
		if s.isSilent(c.link) { // the link is cut: the request counts as not received and gets no response
			continue
		}
		text := s.answer(c, req, requests)
		if text == nil || s.isSilent(c.link) || !s.write(c, text) {
			awaitPeerClose(requests)
			return
		}
		idle.Reset(cmp.Or(s.cfg.IdleTimeout, time.Hour))
	}
}

// readRequests reads requests from a connection until it ends or stop is closed.
func (s *Server) readRequests(c *serverConn, stop <-chan struct{}) <-chan incoming {
	requests := make(chan incoming)
	s.tasks.Go(func() {
		defer close(requests)
		for in := bufio.NewReader(c); ; {
			if _, err := in.Peek(1); err != nil {
				return
			}
			req := incoming{firstByteAt: s.cfg.Clock()}
			var err error
			if req.Request, err = http.ReadRequest(in); err != nil {
				return
			}
			// The body is read here, as the next Peek would otherwise return its bytes.
			if _, err = io.Copy(io.Discard, io.LimitReader(req.Body, 64<<10)); err != nil {
				return
			}
			select {
			case requests <- req:
			case <-stop:
				return
			}
		}
	})
	return requests
}

// awaitPeerClose keeps a connection open that is no longer served until the peer closes it, as some hosts do.
func awaitPeerClose(requests <-chan incoming) {
	for range requests {
	}
}

func (s *Server) isSilent(number int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[number].silent
}
