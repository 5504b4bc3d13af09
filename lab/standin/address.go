package standin

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// Reservation keeps a port bound while nothing listens on it, so that no other process gets it and connections to it are refused.
type Reservation struct{ fd int }

// Reserve binds a socket to an address whose listener was just closed. It returns nil if that fails: another process may then
// take the port, in which case a later restart on it fails.
func Reserve(addr string) *Reservation {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) // the connection works without the option
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}); err != nil {
		_ = syscall.Close(fd) // the descriptor is released even where this fails
		return nil
	}
	return &Reservation{fd}
}

// Release frees the address. A nil Reservation is a no-op.
func (r *Reservation) Release() {
	if r != nil {
		_ = syscall.Close(r.fd) // the descriptor is released even where this fails
	}
}

// relisten listens on an address that was reserved. It retries for up to 500 ms while earlier connections still hold the address.
func relisten(addr string) (ln net.Listener, err error) {
	for range 50 {
		if ln, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}
