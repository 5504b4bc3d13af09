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
	"firplank/mesh/dataplane/lasthop"
)

// reported returns a reporter, and the invariants that it has been told of.
func reported() (invariant.Reporter, *[]invariant.Name) {
	var got []invariant.Name
	return invariant.Func(func(name invariant.Name, _ ...any) { got = append(got, name) }), &got
}

// A request that must not run twice is handed to the server once, also where the log of outcomes should miss it, and none after the
// server's closing.
func TestLastHopChecksWhatItHandsOver(t *testing.T) {
	begin := func(l *lastHop, now time.Duration, id string, idempotent bool) {
		c := &core.Call{Message: core.Message{Trace: id}}
		l.checkBegin(now, c, &lastHopAttempt{request: lasthop.Request{ServerID: "i1", Idempotent: idempotent}})
	}
	for _, c := range []struct {
		name string
		play func(l *lastHop)
		want []invariant.Name
	}{
		{"two requests", func(l *lastHop) { begin(l, 0, "x", false); begin(l, 0, "y", false) }, nil},
		{"one twice", func(l *lastHop) { begin(l, 0, "x", false); begin(l, 0, "x", false) }, []invariant.Name{invariant.StartedOnce}},
		{"an idempotent one twice", func(l *lastHop) { begin(l, 0, "x", true); begin(l, 0, "x", true) }, nil},
		{"soon after the closing", func(l *lastHop) {
			l.guard.RecordClosing(0, "i1")
			begin(l, time.Second, "x", false)
		}, nil},
		{"late after the closing", func(l *lastHop) {
			l.guard.RecordClosing(0, "i1")
			begin(l, 3*time.Second, "x", true)
		}, []invariant.Name{invariant.ClosingServerNotSent}},
	} {
		l, _ := lastHopWith(&held{})
		var got *[]invariant.Name
		l.invariants, got = reported()
		l.guard = lasthop.NewInvariantChecker(2 * time.Second)
		c.play(l)
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, *got, c.want)
		}
	}
}

// What comes in force has the version that it was sent under, and follows no newer one.
func TestAdoptedConfigurationsAreChecked(t *testing.T) {
	for _, c := range []struct {
		name           string
		sent, in, next uint32
		want           []invariant.Name
	}{
		{"the first", 7, 0, 7, nil},
		{"a newer one", 8, 7, 8, nil},
		{"an older one", 6, 7, 6, []invariant.Name{invariant.InForceMonotonic}},
		{"under another version", 8, 7, 9, []invariant.Name{invariant.AdoptedVersionMatches}},
	} {
		p := &Proxy{log: kitlog.NewNopLogger()}
		var got *[]invariant.Name
		p.invariants, got = reported()
		if c.in > 0 {
			p.cfg.Store(&config.Config{Version: c.in})
		}
		p.checkAdopted(c.sent, &config.Config{Version: c.next})
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, *got, c.want)
		}
	}
}

// cancelling is a pool that counts what it is to cancel.
type cancelling struct {
	held
	cancelled int
}

func (c *cancelling) Cancel(*core.Attempt) { c.cancelled++ }

// A check that times out, as with a queue of connections that is full, cancels nothing; one that is refused does.
func TestCheckOfABusyServerCancelsNothing(t *testing.T) {
	full, closed := fullListener(t), closedPort(t)
	for _, c := range []struct {
		name, addr string
		cancelled  int
	}{{"its queue is full", full, 0}, {"nobody listens", closed, 1}} {
		l, _ := lastHopWith(&held{})
		pool := &cancelling{}
		l.pool, l.server = pool, core.NewEndpoint("server", c.addr)
		l.Submit(&core.Call{Client: &asked{}, Received: time.Now(), Message: core.Message{Trace: "x", Object: "i1", Safe: true}})
		l.checkServer()
		if len(pool.begun) != 1 || pool.cancelled != c.cancelled {
			t.Errorf("%s: %d begun, %d cancelled, want %d", c.name, len(pool.begun), pool.cancelled, c.cancelled)
		}
	}
}

// fullListener returns an address at which the kernel takes no further connections: the queue of its socket is full.
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
	const more = 4 // connections than the queue holds
	for range more {
		if c, err := net.DialTimeout("tcp", addr, checkConnectTimeout); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return addr
}

// closedPort returns an address at which nobody listens.
func closedPort(t *testing.T) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
