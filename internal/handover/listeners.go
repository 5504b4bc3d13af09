package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// handoverTimeout bounds the time for sending or receiving listeners.
	handoverTimeout = 300 * time.Millisecond
	// maxListeners bounds the listeners of one process; maxNamesLength bounds the total length of their names in bytes.
	maxListeners   = 8
	maxNamesLength = 256
)

// ServeListeners starts sending duplicates of this process's listeners, by name, to each later process that connects to its
// Unix socket. Both processes then accept from the same kernel queue, so that no connection is lost when either closes its
// listener. Serving ends with Leave.
func (i *Instance) ServeListeners(listeners map[string]net.Listener) error {
	if len(listeners) > maxListeners {
		return fmt.Errorf("handover: %d listeners: want %d at most", len(listeners), maxListeners)
	}
	path := i.socketPath(i.number)
	_ = os.Remove(path) // it may have been removed already
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	i.listenerSocket = ln
	go func() {
		for {
			c, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			sendListeners(c, listeners)
			_ = c.Close() // the connection is released even where this fails
		}
	}()
	return nil
}

func (i *Instance) socketPath(number int) string {
	return filepath.Join(i.dir, "s-"+strconv.Itoa(number))
}

// sendListeners writes the names of listeners, one per line, with their descriptors as ancillary data (unix(7), SCM_RIGHTS).
func sendListeners(c *net.UnixConn, listeners map[string]net.Listener) {
	var names []string
	var fds []int
	for name, ln := range listeners {
		l, ok := ln.(*net.TCPListener)
		if !ok {
			continue
		}
		// TCPListener.File is not used: it would set the socket, which all processes share, to blocking mode, so that Accept
		// would block here.
		raw, err := l.SyscallConn()
		if err != nil {
			continue
		}
		fd := -1
		// Fails only on a closed listener, which leaves fd at -1.
		_ = raw.Control(func(listenerFD uintptr) { fd, err = unix.FcntlInt(listenerFD, unix.F_DUPFD_CLOEXEC, 0) })
		if err != nil || fd < 0 {
			continue
		}
		defer func() { _ = unix.Close(fd) }() // the descriptor is released even where this fails
		names, fds = append(names, name), append(fds, fd)
	}
	_ = c.SetDeadline(time.Now().Add(handoverTimeout)) // fails only on a closed connection, as the next call on it does
	// A process that receives no listeners opens new ones.
	_, _, _ = c.WriteMsgUnix([]byte(strings.Join(names, "\n")+"\n"), unix.UnixRights(fds...), nil)
}

// InheritListeners returns the listeners of the latest process before this one, by name, or ErrNoPredecessor. The caller
// closes them.
func (i *Instance) InheritListeners() (map[string]net.Listener, error) {
	files, err := i.instanceFiles()
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	predecessor := 0
	for _, o := range files {
		if o.alive && o.number < i.number {
			predecessor = max(predecessor, o.number)
		}
	}
	if predecessor == 0 {
		return nil, ErrNoPredecessor
	}
	conn, err := net.DialTimeout("unix", i.socketPath(predecessor), handoverTimeout)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer func() { _ = conn.Close() }()                   // the connection is released even where this fails
	_ = conn.SetDeadline(time.Now().Add(handoverTimeout)) // fails only on a closed connection, as the next call on it does
	text, rights := make([]byte, maxNamesLength), make([]byte, unix.CmsgSpace(4*maxListeners))
	textLen, rightsLen, _, _, err := conn.(*net.UnixConn).ReadMsgUnix(text, rights)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	fds, err := parseDescriptors(rights[:rightsLen])
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	names := strings.Fields(string(text[:textLen]))
	listeners := map[string]net.Listener{}
	for index, fd := range fds {
		f := os.NewFile(uintptr(fd), "listener")
		ln, err := net.FileListener(f)
		_ = f.Close() // net.FileListener duplicates the descriptor
		if err != nil || index >= len(names) {
			for _, got := range listeners {
				_ = got.Close() // accepting ends either way
			}
			for _, rest := range fds[index+1:] {
				_ = unix.Close(rest) // the descriptor is released even where this fails
			}
			return nil, errors.Join(errors.New("handover: received descriptor is not a listener"), err)
		}
		listeners[names[index]] = ln
	}
	return listeners, nil
}

// parseDescriptors returns the descriptors in a message's ancillary data.
func parseDescriptors(rights []byte) ([]int, error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	var fds []int
	for i := range messages {
		messageFDs, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			return nil, err
		}
		fds = slices.Concat(fds, messageFDs)
	}
	return fds, nil
}
