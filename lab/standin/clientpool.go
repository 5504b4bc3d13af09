package standin

// This file implements the clients' pool of HTTP connections to a sidecar.

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clientPool holds the clients' connections to one sidecar.
type clientPool struct {
	addr         string
	openSlots    chan struct{}
	shuttingDown atomic.Bool // the sidecar is terminating and gets no new connections

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in        *bufio.Reader
	lastTrace string // trace of the request whose response came last
	used      bool
}

var errShuttingDown = errors.New("client: the sidecar is shutting down")

// get returns an idle connection without unread data, or a new one.
func (p *clientPool) get(o ClientObserver, clock Clock) (*clientConn, error) {
	p.mu.Lock()
	var c *clientConn
	if n := len(p.idle); n > 0 {
		c, p.idle = p.idle[n-1], p.idle[:n-1]
	}
	p.mu.Unlock()
	if c != nil {
		switch checkConn(c.Conn) {
		case connQuiet:
			return c, nil
		case connDataPending: // data that belongs to no request: a surplus response
			o.ExtraData(c.lastTrace, clock())
		}
		_ = c.Close() // the connection is released even where this fails
	}
	if p.shuttingDown.Load() {
		return nil, errShuttingDown
	}
	conn, err := net.DialTimeout("tcp", p.addr, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func (p *clientPool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close() // the connection is released even where this fails
	}
	p.idle = nil
}

// connState is the state of an idle connection, as found by checkConn.
type connState int

const (
	connQuiet connState = iota
	connDataPending
	connEnded
)

func checkConn(c net.Conn) (state connState) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return connEnded
	}
	state = connEnded
	_ = raw.Control(func(fd uintptr) { // Control fails if the connection is closed: the state remains connEnded
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case err == syscall.EAGAIN:
			state = connQuiet
		case err == nil && n > 0:
			state = connDataPending
		}
	})
	return state
}
