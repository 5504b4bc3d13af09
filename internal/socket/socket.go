// Package socket does what package net does not offer: it listens at an address that another process may share, looks for unread bytes
// of a connection without its reader, detects dead peers, and tells errors apart that mean a lack of descriptors.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeekState is the state of a connection as Peek finds it.
type PeekState int

// The states of a connection.
const (
	Closed PeekState = iota
	Readable
	Idle
)

// Peek returns whether a connection is open and has bytes to read. It may run concurrently with a reader.
func Peek(c syscall.Conn) PeekState {
	raw, err := c.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	_ = raw.Control(func(fd uintptr) { state = PeekFD(int(fd)) }) // which fails on a closed one
	return state
}

// PeekFD is Peek for a bare descriptor, which must not be closed meanwhile.
func PeekFD(fd int) PeekState {
	var b [1]byte
	switch n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
	case err == syscall.EAGAIN:
		return Idle
	case err == nil && n > 0:
		return Readable
	}
	return Closed
}

// Exhausted reports whether err means that the process or the machine has no more descriptors, buffers or ports.
func Exhausted(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// SetPeerTimeout has the kernel reset a connection whose peer's machine has not responded for so long, as one without power or behind a
// network partition. With 0 it does nothing.
func SetPeerTimeout(fd int, silence time.Duration) {
	if silence <= 0 {
		return
	}
	every := max(1, int(silence/(2*time.Second)))
	// Three probes: on a congested link one may be queued for longer than the interval.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)       // the connection works without the option
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, every)  // the connection works without the option
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, every) // the connection works without the option
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 3)       // the connection works without the option
	// The connection works without the option.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/time.Millisecond))
}

// Listen listens at a TCP address. Where shared is set, another process of the same user may listen there too, and the kernel
// distributes connections between them (SO_REUSEPORT).
func Listen(addr string, shared bool) (net.Listener, error) {
	cfg := net.ListenConfig{}
	if shared {
		cfg.Control = func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			})
			return errors.Join(err, failed)
		}
	}
	return cfg.Listen(context.Background(), "tcp", addr)
}

// acceptPause is the pause while no descriptor is left for a connection.
const acceptPause = 2 * time.Millisecond

// Accept accepts a connection. While descriptors are exhausted it calls evict, which closes something and reports whether it did, and
// retries. Connections in the backlog count as accepted for their clients, so that the pause has to be short.
func Accept(ln net.Listener, evict func() bool) (net.Conn, error) {
	for {
		c, err := ln.Accept()
		if err == nil || !Exhausted(err) {
			return c, err
		}
		if !evict() {
			time.Sleep(acceptPause)
		}
	}
}
