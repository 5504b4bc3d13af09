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
	// maxConns bounds the open connections of a listener. Further ones are closed when they are accepted.
	maxConns = 1024
	// acceptBackoff is the pause before the next accept when the process has run out of file descriptors.
	acceptBackoff = 10 * time.Millisecond
)

// Dial connects to an address (host and port) within a timeout. The frames received are passed to h. If Dial returns no error, HandleClose
// will be called.
func Dial(ctx context.Context, addr string, timeout time.Duration, h Handler) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	c := newConn(conn)
	go c.readLoop(h) // ends when the connection ends, which the caller closes
	return c, nil
}

// Serve accepts connections until the listener is closed, and returns the listener's error. Connections remain open after it returns, until
// the peer or the handler closes them.
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
		go func() { // ends when the connection ends
			defer open.Add(-1)
			c.readLoop(h)
		}()
	}
}
