package transport

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"firplank/mesh/configversion"
	"firplank/mesh/wire"
)

const testTimeout = 5 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a handler that sends its arguments to channels.
type recorder struct {
	frames chan receivedFrame
	closed chan *Conn
}

type receivedFrame struct {
	conn  *Conn
	frame *wire.FrameT
}

func newRecorder() *recorder {
	return &recorder{frames: make(chan receivedFrame, 16), closed: make(chan *Conn, 16)}
}

func (r *recorder) HandleFrame(c *Conn, f *wire.FrameT) { r.frames <- receivedFrame{c, f} }
func (r *recorder) HandleClose(c *Conn)                 { r.closed <- c }

// receive returns the next value of a channel. It fails the test after testTimeout.
func receive[T any](t *testing.T, ch <-chan T, expected string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("no %s within %v", expected, testTimeout)
	}
	return v
}

// listen serves a recorder until the test ends.
func listen(t *testing.T) (addr string, r *recorder) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r = newRecorder()
	ended := make(chan error, 1)
	go func() { ended <- Serve(ln, r) }()
	t.Cleanup(func() {
		_ = ln.Close()
		if receive(t, ended, "end of Serve") == nil {
			t.Error("Serve returned no error")
		}
	})
	return ln.Addr().String(), r
}

func dial(t *testing.T, addr string) (*Conn, *recorder) {
	t.Helper()
	r := newRecorder()
	c, err := Dial(context.Background(), addr, testTimeout, r)
	if err != nil {
		t.Fatal(err)
	}
	return c, r
}

func TestFramesArriveInOrderBothWays(t *testing.T) {
	addr, server := listen(t)
	c, client := dial(t, addr)
	for id := range uint64(3) {
		if !c.Send(&wire.FrameT{Kind: wire.Hello, Id: id, From: "client"}) {
			t.Fatal("not queued")
		}
	}
	var accepted *Conn
	for id := range uint64(3) {
		got := receive(t, server.frames, "frame")
		if got.frame.Id != id || got.frame.From != "client" {
			t.Errorf("frame %d of %s, want %d", got.frame.Id, got.frame.From, id)
		}
		accepted = got.conn
	}
	accepted.Send(&wire.FrameT{Kind: wire.Hello, Id: 7})
	if got := receive(t, client.frames, "answer"); got.frame.Id != 7 || got.conn != c || c.PartialBytes() != 0 {
		t.Errorf("frame %d, %d bytes of a partial frame", got.frame.Id, c.PartialBytes())
	}
	c.Close()
	c.Close()
	if receive(t, client.closed, "HandleClose") != c || receive(t, server.closed, "HandleClose of the peer") != accepted {
		t.Error("HandleClose was called for a different connection")
	}
}

// A peer that does not read must not consume unbounded memory or block the sender: the queue is bounded, and a full queue closes the
// connection.
func TestFullQueueClosesTheConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, client := dial(t, ln.Addr().String()) // nobody accepts
	frame := &wire.FrameT{Kind: wire.Hello, Value: &wire.ValueT{Body: make([]byte, 64<<10)}}
	sent := 0
	for c.Send(frame) {
		if sent++; sent > 2*sendQueueFrames {
			t.Fatal("the send queue is not bounded")
		}
	}
	select {
	case <-c.Done():
	default:
		t.Error("the connection is open although a frame was refused")
	}
	receive(t, client.closed, "HandleClose")
	if sent < sendQueueFrames {
		t.Errorf("closed after %d frames, below the bound of %d", sent, sendQueueFrames)
	}
}

func TestListenerBoundsItsConnections(t *testing.T) {
	addr, server := listen(t)
	var peers []net.Conn
	defer func() {
		for _, p := range peers {
			_ = p.Close()
		}
		for range maxConns {
			receive(t, server.closed, "HandleClose")
		}
	}()
	for range maxConns + 1 {
		p, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, p)
	}
	last := peers[maxConns]
	if err := last.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := last.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection beyond the bound: %v", err)
	}
}

func TestPartialBytesCountAnIncompleteFrame(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, client := dial(t, ln.Addr().String())
	defer c.Close()
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	frame := wire.Encode(&wire.FrameT{Kind: wire.Hello, From: "peer"})
	if _, err := peer.Write(frame[:len(frame)-1]); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); c.PartialBytes() != int64(len(frame)-1); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of a frame, want %d", c.PartialBytes(), len(frame)-1)
		}
	}
	if _, err := peer.Write(frame[len(frame)-1:]); err != nil {
		t.Fatal(err)
	}
	if got := receive(t, client.frames, "frame"); got.frame.From != "peer" || c.PartialBytes() != 0 {
		t.Errorf("frame from %s, %d bytes of a partial frame", got.frame.From, c.PartialBytes())
	}
	c.Close()
	receive(t, client.closed, "HandleClose")
}

func TestMalformedFrameClosesTheConnection(t *testing.T) {
	addr, server := listen(t)
	peer, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	if _, err := peer.Write([]byte{0xff, 0xff, 0xff, 0xff, 0}); err != nil {
		t.Fatal(err)
	}
	receive(t, server.closed, "HandleClose")
}

func TestDialWithCanceledContextFails(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Dial(ctx, "127.0.0.1:1", testTimeout, newRecorder()); err == nil {
		t.Error("connected")
	}
}

// The time that an update waits in the send queue must be added to its age. Otherwise an update behind a frame that the peer reads late
// would be taken for fresher than it is.
func TestQueuedUpdatesAgeWhileTheConnectionStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe() // unbuffered: a write blocks until it is read
		c := newConn(near)
		defer func() { <-c.writeLoopDone }()
		defer c.Close()
		const stall, ageMs = 200 * time.Millisecond, 40
		large := &wire.FrameT{Kind: wire.Update, AgeMs: ageMs, Text: string(make([]byte, 2*bufferBytes))}
		if !c.Send(large) {
			t.Fatal("the large frame is not queued")
		}
		time.Sleep(stall / 4) // writeLoop blocks on the large frame, as the peer does not read
		if !c.Send(&wire.FrameT{Kind: wire.Update, AgeMs: ageMs, Version: new(uint32(7))}) {
			t.Fatal("the update is not queued")
		}
		time.Sleep(stall)
		for _, want := range []struct {
			version configversion.Version
			age     time.Duration
		}{{configversion.None, 0}, {configversion.Of(7), stall}} {
			f, err := wire.ReadFrame(far)
			if err != nil {
				t.Fatal(err)
			}
			version := configversion.FromOptional(f.Version)
			if version != want.version || time.Duration(f.AgeMs)*time.Millisecond < want.age {
				t.Errorf("version %v with an age of %d ms, want version %v with at least %v", version, f.AgeMs, want.version, want.age)
			}
		}
	})
}
