package operators

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/internal/testbed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeSidecar records the calls that it receives.
type fakeSidecar struct {
	mu    sync.Mutex
	calls []string
	ready bool
}

func (s *fakeSidecar) record(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, what)
}

func (s *fakeSidecar) Ready() bool { return s.ready }
func (s *fakeSidecar) Metrics(context.Context) ([]string, error) {
	return []string{"sidecar.current=1"}, nil
}
func (s *fakeSidecar) SetEjected(_ context.Context, id string, eject bool) error {
	if id == "none" {
		return errors.New("never\nlisted")
	}
	s.record(map[bool]string{true: "out ", false: "in "}[eject] + id)
	return nil
}
func (s *fakeSidecar) Pause(on bool) { s.record(map[bool]string{true: "pause", false: "resume"}[on]) }

func startConsole(t *testing.T, s *fakeSidecar) string {
	ln := testbed.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewConsole(SidecarCalls(s), slog.New(slog.DiscardHandler)).Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		if err := testbed.Next(t, done); err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testbed.Timeout))
	return c
}

func call(t *testing.T, addr, line string) string {
	t.Helper()
	c := dial(t, addr)
	_, _ = io.WriteString(c, line)
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	return string(got)
}

func TestCalls(t *testing.T) {
	s := &fakeSidecar{}
	addr := startConsole(t, s)
	for _, c := range []struct{ line, want string }{
		{"STATUS\n", "-ERR not ready\n"},
		{"METRICS\r\n", "+OK\nsidecar.current=1\n.\n"},
		{"SUSPEND s-1\n", "+OK\n"},
		{"restore s-1\n", "+OK\n"},
		{"SUSPEND none\n", "-ERR never listed\n"}, // newlines in the error are replaced
		{"SUSPEND\n", "-ERR want the id of one server\n"},
		{"SUSPEND s-1 s-2\n", "-ERR want the id of one server\n"},
		{"PAUSE now\n", "-ERR this call takes nothing more\n"},
		{"PAUSE\n", "+OK\n"},
		{"RESUME\n", "+OK\n"},
		{"REBOOT\n", "-ERR no such call\n"},
		{"\n", "-ERR no such call\n"},
		{strings.Repeat("x", 2*maxCallBytes) + "\n", "-ERR a line that does not end\n"},
	} {
		if got := call(t, addr, c.line); got != c.want {
			t.Errorf("%.20q: answered %q, want %q", c.line, got, c.want)
		}
	}
	if got := strings.Join(s.calls, ","); got != "out s-1,in s-1,pause,resume" {
		t.Errorf("executed calls: %s", got)
	}
}

// A call without its newline is not executed, even if the client half-closes the connection after it.
func TestIncompleteCallIsNotExecuted(t *testing.T) {
	s := &fakeSidecar{}
	addr := startConsole(t, s)
	c := dial(t, addr)
	_, _ = io.WriteString(c, "SUSPEND s-1")
	_ = c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); string(got) != "-ERR a line that does not end\n" {
		t.Errorf("answered %q", got)
	}
	if len(s.calls) > 0 {
		t.Errorf("executed calls: %v", s.calls)
	}
}

// Idle connections do not prevent new ones from being served.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	s := &fakeSidecar{ready: true}
	addr := startConsole(t, s)
	for range 3 * MaxConsoleConnections {
		dial(t, addr)
	}
	start := time.Now()
	if got := call(t, addr, "STATUS\n"); got != "+OK\n" {
		t.Errorf("answered %q", got)
	}
	if took := time.Since(start); took > responseTimeout {
		t.Errorf("answered after %v", took)
	}
}
