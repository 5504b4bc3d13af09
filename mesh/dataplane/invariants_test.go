package dataplane

import (
	"net"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	kitlog "github.com/go-kit/log"

	"firplank/internal/core"
	"firplank/internal/invariant"
	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/dataplane/lasthop"
)

// newRecordingReporter returns a reporter, and the names of the invariants that are reported to it.
func newRecordingReporter() (invariant.Reporter, *[]invariant.Name) {
	var got []invariant.Name
	return invariant.Func(func(name invariant.Name, _ ...any) { got = append(got, name) }), &got
}

// A non-idempotent request that starts twice is reported, also if the log of outcomes misses it, and so is a request that starts too long
// after the server began to close.
func TestLastHopReportsDuplicateAndLateStarts(t *testing.T) {
	begin := func(l *lastHop, now time.Duration, id string, idempotent bool) {
		c := &core.Call{Message: core.Message{Trace: id}}
		l.checkStartInvariants(now, c, &lastHopAttempt{request: lasthop.Request{ServerID: "i1", Idempotent: idempotent}})
	}
	for _, c := range []struct {
		name string
		run  func(l *lastHop)
		want []invariant.Name
	}{
		{"two requests", func(l *lastHop) { begin(l, 0, "x", false); begin(l, 0, "y", false) }, nil},
		{"one request twice", func(l *lastHop) { begin(l, 0, "x", false); begin(l, 0, "x", false) }, []invariant.Name{invariant.StartedOnce}},
		{"an idempotent request twice", func(l *lastHop) { begin(l, 0, "x", true); begin(l, 0, "x", true) }, nil},
		{"soon after the server began to close", func(l *lastHop) {
			l.guard.RecordClosing(0, "i1")
			begin(l, time.Second, "x", false)
		}, nil},
		{"late after the server began to close", func(l *lastHop) {
			l.guard.RecordClosing(0, "i1")
			begin(l, 3*time.Second, "x", true)
		}, []invariant.Name{invariant.ClosingServerNotSent}},
	} {
		l, _ := newTestLastHop(&stubPool{})
		var got *[]invariant.Name
		l.invariants, got = newRecordingReporter()
		l.guard = lasthop.NewInvariantChecker(2 * time.Second)
		c.run(l)
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, *got, c.want)
		}
	}
}

// A configuration whose version differs from the one it was sent with, or is older than the present one, is reported.
func TestAdoptedConfigurationFaultsAreReported(t *testing.T) {
	for _, c := range []struct {
		name                string
		sent, inForce, next configversion.Version
		want                []invariant.Name
	}{
		{"the first one", 7, 0, 7, nil},
		{"a newer one", 8, 7, 8, nil},
		{"an older one", 6, 7, 6, []invariant.Name{invariant.InForceMonotonic}},
		{"sent with another version", 8, 7, 9, []invariant.Name{invariant.AdoptedVersionMatches}},
	} {
		p := &Proxy{log: kitlog.NewNopLogger()}
		var got *[]invariant.Name
		p.invariants, got = newRecordingReporter()
		if c.inForce > 0 {
			p.cfg.Store(&config.Config{Version: c.inForce})
		}
		p.checkAdoptedConfig(c.sent, &config.Config{Version: c.next})
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, *got, c.want)
		}
	}
}

// cancelCountingPool is a pool that counts cancelled attempts.
type cancelCountingPool struct {
	stubPool
	cancelled int
}

func (c *cancelCountingPool) Cancel(*core.Attempt) { c.cancelled++ }

// A check that times out, as when the accept queue of a busy server is full, must not cancel its requests; a refused connection does.
func TestServerCheckCancelsOnlyOnRefusedConnection(t *testing.T) {
	full, closed := fullListener(t), closedPort(t)
	for _, c := range []struct {
		name, addr string
		cancelled  int
	}{{"the accept queue is full", full, 0}, {"the port is closed", closed, 1}} {
		l, _ := newTestLastHop(&stubPool{})
		pool := &cancelCountingPool{}
		l.pool, l.server = pool, core.NewEndpoint("server", c.addr)
		l.Submit(&core.Call{Client: &recordingClient{}, Received: time.Now(), Message: core.Message{Trace: "x", Object: "i1", Safe: true}})
		l.checkServer()
		if len(pool.begun) != 1 || pool.cancelled != c.cancelled {
			t.Errorf("%s: %d begun, %d cancelled, want %d", c.name, len(pool.begun), pool.cancelled, c.cancelled)
		}
	}
}

// fullListener returns an address at which the kernel accepts no further connections, as the accept queue is full.
func fullListener(t *testing.T) (addr string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	const extraConns = 4 // more connections than fit in the queue
	for range extraConns {
		if c, err := net.DialTimeout("tcp", addr, checkConnectTimeout); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return addr
}

// closedPort returns an address without a listener.
func closedPort(t *testing.T) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
