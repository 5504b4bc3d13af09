package http

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"firplank/internal/testbed"
)

// If all connections have open requests, a new connection is closed; an idle one is evicted for it.
func TestNewConnectionIsClosedWhenAllHaveRequests(t *testing.T) {
	ln := testbed.Listen(t)
	tracker := &connTracker{maxConns: 1}
	add := func() *clientConn {
		if _, err := net.Dial("tcp", ln.Addr().String()); err != nil {
			t.Fatal(err)
		}
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return tracker.add(c.(*net.TCPConn))
	}
	first := add()
	tracker.onConnState(first, http.StateActive)
	if add() != nil || tracker.open != 1 {
		t.Errorf("a second connection was accepted; %d open", tracker.open)
	}
	tracker.onConnState(first, http.StateIdle)
	second := add()
	if second == nil || !first.closed || tracker.open != 1 {
		t.Errorf("the idle connection was not evicted; %d open", tracker.open)
	}
	_ = second.Close()
	_ = second.Close()
	if tracker.open != 0 || tracker.unused.Len()+tracker.idle.Len()+tracker.active.Len() != 0 {
		t.Errorf("%d connections are open after all were closed", tracker.open)
	}
}

// A request that was read completely counts as accepted even if its handler has not started yet: its connection must not be evicted
// for a new one.
func TestConnectionWithUnhandledRequestIsNotEvicted(t *testing.T) {
	ln := testbed.Listen(t)
	tracker := &connTracker{maxConns: 1}
	accept := func() (*clientConn, net.Conn) {
		clientSide, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = clientSide.Close() })
		serverSide, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return tracker.add(serverSide.(*net.TCPConn)), clientSide
	}
	first, clientSide := accept()
	_, _ = io.WriteString(clientSide, "GET /api HTTP/1.1\r\nHost: a\r\n\r\n")
	buf := make([]byte, 100)
	if _, err := first.Read(buf); err != nil {
		t.Fatal(err)
	}
	if second, _ := accept(); second != nil {
		t.Error("the connection of an unhandled request was evicted for a new one")
	}
	first.countRequest() // its handler has started and ended: it may be evicted now
	if third, _ := accept(); third == nil {
		t.Error("an idle connection was not evicted for a new one")
	}
}

// exhaustedListener is a listener whose first calls of Accept fail for lack of descriptors.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if s.failures--; s.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// A client that speaks MessagePack-RPC is reported once; one that speaks HTTP is not.
func TestProtocolMismatchIsReported(t *testing.T) {
	ln, reported := testbed.Listen(t), 0
	tracker := &connTracker{maxConns: 2, onProtocolMismatch: func(net.Addr) { reported++ }}
	for i, text := range []string{"\x94\x00\x01\xa1m\x90", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		clientSide, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = clientSide.Close() }()
		serverSide, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(clientSide, text)
		_, _ = tracker.add(serverSide.(*net.TCPConn)).Read(make([]byte, 100))
		if reported != 1 {
			t.Errorf("after connection %d: %d were reported", i+1, reported)
		}
	}
}

// A lack of descriptors must neither end the server nor make it pause for long, as net/http does: each failure evicts a connection.
func TestAcceptRetriesWithoutDescriptors(t *testing.T) {
	inner, evicted := &exhaustedListener{failures: 3}, 0
	evict := func() bool { evicted++; return true }
	if _, err := (listener{inner, &connTracker{maxConns: 1}, evict}).Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v", err)
	}
	if evicted != 3 {
		t.Errorf("%d connections were evicted, want one for each of three failures", evicted)
	}
}
