package http

// This file contains a connection of the pool.

import (
	"net"
	"syscall"
	"time"

	"firplank/internal/core"
	"firplank/internal/socket"
)

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	net.Conn      // nil while it is polled
	polled        polledSocket
	reader        responseReader // while it is not polled
	endpoint      *core.Endpoint
	addr          string
	idleSince     time.Time
	uses          int  // number of times it was returned to the pool
	verifiedQuiet bool // no bytes had arrived by the end of the reuse delay

	lastBodyHash uint64 // hash of the body of the previous response; 0 if there was none or it was empty
}

// polledSocket is a connection whose readiness is polled while no goroutine owns it.
type polledSocket interface {
	// peek returns the state of an idle connection. The caller has removed it from the pool or holds the pool's lock.
	peek() socket.PeekState
	Close() error
	// detach stops polling and passes the connection to the calling goroutine.
	detach() (net.Conn, error)
}

func (c *conn) Close() error {
	if c.polled != nil {
		return c.polled.Close()
	}
	return c.Conn.Close()
}

// state returns whether an idle connection is open and has no bytes to read, which reuse requires.
func (c *conn) state() socket.PeekState {
	if c.polled != nil {
		return c.polled.peek()
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return socket.Closed
	}
	return socket.Peek(sc)
}
