package transport

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxConns bounds the connections that a listener has open; more are closed as they come.
	maxConns = 1024
	// acceptBackoff is the pause before the next connection is accepted while the process has no file descriptors left.
	acceptBackoff = 10 * time.Millisecond
)

// Dial connects to an address (host and port) within a timeout. Its frames go to h, whose HandleClose is called if there is no error.
func Dial(ctx context.Context, addr string, timeout time.Duration, h Handler) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	c := newConn(conn)
	go c.readLoop(h) // ends with the connection, which the caller closes; then calls HandleClose
	return c, nil
}

// Serve accepts connections until the listener is closed, and returns the listener's error. Connections outlive it: each ends by its peer,
// or when the handler closes it.
func Serve(ln net.Listener, h Handler) error {
	var open atomic.Int64
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) {
				time.Sleep(acceptBackoff)
				continue
			}
			return errors.Wrap(err, "accept peer")
		}
		if open.Load() >= maxConns {
			_ = conn.Close()
			continue
		}
		open.Add(1)
		c := newConn(conn)
		go func() { // ends with the connection, then calls HandleClose
			defer open.Add(-1)
			c.readLoop(h)
		}()
	}
}
