package http

// This file is one connection of the pool.

import (
	"net"
	"syscall"
	"time"

	"firplank/internal/core"
	"firplank/internal/socket"
)

// conn is a connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn      // nil while it is polled
	polled        polledSocket
	reader        responseReader // of what is not polled
	endpoint      *core.Endpoint
	addr          string
	idleSince     time.Time
	uses          int  // how often it was given back
	verifiedQuiet bool // it was silent when its rest was over

	lastBodyHash uint64 // hash of the answer before; 0 if there was none, or it was empty
}

// polled is a connection that waits for the kernel's readiness, as long as no goroutine has it.
type polledSocket interface {
	// peek is asked of a connection that is idle, by whoever took it out of the pool or holds the pool's lock.
	peek() socket.PeekState
	Close() error
	// detach gives it to a goroutine.
	detach() (net.Conn, error)
}

// Close ends the connection.
func (c *conn) Close() error {
	if c.polled != nil {
		return c.polled.Close()
	}
	return c.Conn.Close()
}

// state returns whether an idle connection is open and silent, as it has to be.
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
