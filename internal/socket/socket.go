// Package socket tells what the kernel knows of a socket that no Go interface shows: whether anything waits to be read
// on a connection beside its reader, and whether an error means that the machine has no socket to spare.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// State is what Peek finds on a connection.
type State int

// The states.
const (
	Closed State = iota
	Waiting
	Silent
)

// Peek tells whether a connection is open and whether anything waits to be read on it, beside a reader.
func Peek(c syscall.Conn) State {
	raw, err := c.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	raw.Control(func(fd uintptr) { // which fails on a closed one
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case err == syscall.EAGAIN:
			state = Silent
		case err == nil && n > 0:
			state = Waiting
		}
	})
	return state
}

// Exhausted reports whether err says that this machine has no socket to spare.
func Exhausted(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// acceptPause is the wait while there is no descriptor for a connection.
const acceptPause = 2 * time.Millisecond

// Accept accepts a connection and outlives a lack of descriptors, for which evict is asked to close something. What
// waits in the backlog counts as taken, so that the pause must be short.
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
