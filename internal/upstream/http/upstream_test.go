package http

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/socket"
	"firplank/internal/testbed"
)

// subject is a backend under test, with goroutines or polled.
type subject struct {
	*upstream
	poll *PollBackend // nil: with goroutines
}

// forEachBackend runs a test with both kinds of backends.
func forEachBackend(t *testing.T, test func(t *testing.T, newUpstream func(sockets int) *subject)) {
	cfg := Config{
		ConnectTimeout: testbed.Timeout, IdleTimeout: testbed.Timeout, ReportFields: []string{"busy", "rate"}, ProbeForReport: true,
	}
	t.Run("goroutines", func(t *testing.T) {
		test(t, func(sockets int) *subject {
			cfg.MaxConns = sockets
			b := New(t.Context(), cfg)
			t.Cleanup(b.Close)
			return &subject{b.up, nil}
		})
	})
	t.Run("readiness", func(t *testing.T) {
		test(t, func(sockets int) *subject {
			cfg.MaxConns = sockets
			b, err := NewPoll(t.Context(), cfg)
			if errors.Is(err, errors.ErrUnsupported) {
				t.Skip(err)
			}
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(b.Close)
			return &subject{b.up, b}
		})
	})
}

// runAttempt makes an attempt and waits for its result.
func (s *subject) runAttempt(t *testing.T, a *testAttempt) core.Result {
	t.Helper()
	if s.poll == nil {
		return s.perform(a.attempt)
	}
	s.poll.Begin(a.Attempt)
	defer context.AfterFunc(a.ctx, func() { s.poll.Cancel(a.Attempt) })()
	return testbed.Next(t, a.done)
}

func (s *subject) runProbe(t *testing.T, e *core.Endpoint) core.Result {
	t.Helper()
	if s.poll == nil {
		return s.upstream.sendProbe(context.Background(), e)
	}
	done := make(chan core.Result, 1)
	s.poll.Probe(e, func(r core.Result) { done <- r })
	return testbed.Next(t, done)
}

// openConns returns the number of connections.
func (s *subject) openConns() int {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.pool.open
}

func endpointAt(addr string) *core.Endpoint {
	return core.NewEndpoint(addr, addr)
}

// testAttempt is an attempt whose result is sent on done.
type testAttempt struct {
	*attempt
	done chan core.Result
}

func newAttempt(e *core.Endpoint, within time.Duration) *testAttempt {
	m := &core.Message{Target: "/api", Authority: "app.svc", Meta: http.Header{}, Body: []byte("order 7")}
	a := &testAttempt{&attempt{}, make(chan core.Result, 1)}
	a.Attempt = core.NewAttempt(e, m, time.Now().Add(within), func(r core.Result) { a.done <- r })
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

func requestsOf(s *testbed.ScriptedServer) []*http.Request {
	r, _, _ := s.Received()
	return r
}

func (s *subject) want(t *testing.T, a *testAttempt, want balance.Result) core.Result {
	t.Helper()
	r := s.runAttempt(t, a)
	a.cancel()
	if r.Outcome != want {
		t.Errorf("outcome %d, want %d", r.Outcome, want)
	}
	return r
}

// While it connects, the server may begin to drain, or the request may be answered, cancelled or time out. Nothing may
// be sent then, and the attempt never ran.
func TestObsoleteAttemptIsNotSent(t *testing.T) { forEachBackend(t, testObsoleteAttemptIsNotSent) }

func testObsoleteAttemptIsNotSent(t *testing.T, newUpstream func(int) *subject) {
	for name, change := range map[string]func(*testAttempt){
		"draining": func(a *testAttempt) { a.Endpoint.Close() },
		"answered": func(a *testAttempt) { a.SetAnswered() },
		"given up": func(a *testAttempt) { a.cancel() },
		"too late": func(a *testAttempt) { a.Deadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			s, u := testbed.NewScriptedServer(t, testbed.Respond(200, "")), newUpstream(1024)
			e := endpointAt(s.Addr)
			u.want(t, newAttempt(e, testbed.Timeout), balance.OK)
			a := newAttempt(e, testbed.Timeout)
			if change(a); a.ctx.Err() != nil && u.poll != nil {
				t.Skip("a cancelled attempt is never started")
			}
			u.want(t, a, balance.NotSent)
			if got := len(requestsOf(s)); got != 1 {
				t.Errorf("server received %d requests", got)
			}
		})
	}
}

// A request written to a connection that the server closed would end in a reset, after which it is unknown whether it
// ran.
func TestClosedConnectionsAreNotReused(t *testing.T) {
	forEachBackend(t, testClosedConnectionsAreNotReused)
}

func testClosedConnectionsAreNotReused(t *testing.T, newUpstream func(int) *subject) {
	ending := testbed.NewScriptedServer(t, func(c net.Conn) bool { testbed.Respond(200, "")(c); return false })
	u, e := newUpstream(1024), endpointAt(ending.Addr)
	u.want(t, newAttempt(e, testbed.Timeout), balance.OK)
	testbed.Until(t, "the server closes", func() bool {
		u.pool.mu.Lock()
		defer u.pool.mu.Unlock()
		return len(u.pool.idle[e]) == 0 || u.pool.idle[e][0].state() != socket.Idle
	})
	u.want(t, newAttempt(e, testbed.Timeout), balance.OK)
	if _, _, conns := ending.Received(); conns != 2 {
		t.Errorf("%d connections, want a second one", conns)
	}
	testbed.Until(t, "closed connections are not counted", func() bool { return u.openConns() <= 1 })
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	forEachBackend(t, testRefusedConnectionIsConnectFailed)
}

func testRefusedConnectionIsConnectFailed(t *testing.T, newUpstream func(int) *subject) {
	ln := testbed.Listen(t)
	_ = ln.Close()
	newUpstream(1024).want(t, newAttempt(endpointAt(ln.Addr().String()), testbed.Timeout), balance.ConnectFailed)
}

// Cancelling an attempt must close its connection, so that it neither occupies a socket nor carries another request.
func TestCancelledAttemptsCloseConnection(t *testing.T) {
	forEachBackend(t, testCancelledAttemptsCloseConnection)
}

func testCancelledAttemptsCloseConnection(t *testing.T, newUpstream func(int) *subject) {
	ended := make(chan bool, 2)
	hang := func(c net.Conn) bool {
		var b [1]byte
		_, err := c.Read(b[:])
		ended <- err != nil
		return false
	}
	s, u := testbed.NewScriptedServer(t, hang), newUpstream(1024)
	e := endpointAt(s.Addr)
	u.want(t, newAttempt(e, 2*time.Second), balance.TimedOut)
	testbed.Next(t, ended)
	a := newAttempt(e, testbed.Timeout)
	go func() {
		for len(requestsOf(s)) < 2 {
			time.Sleep(time.Millisecond)
		}
		a.cancel()
	}()
	u.want(t, a, balance.Cancelled)
	testbed.Next(t, ended)
	if u.openConns() != 0 {
		t.Errorf("%d connections open", u.openConns())
	}
}

// At its limit the pool evicts idle connections before it fails an attempt, and the limit is not a failure of the
// server.
func TestConnectionLimit(t *testing.T) { forEachBackend(t, testConnectionLimit) }

func testConnectionLimit(t *testing.T, newUpstream func(int) *subject) {
	first, second := testbed.NewScriptedServer(t, testbed.Respond(200, "")), testbed.NewScriptedServer(t, testbed.Respond(200, ""))
	u := newUpstream(1) // at most one connection
	u.want(t, newAttempt(endpointAt(first.Addr), testbed.Timeout), balance.OK)
	u.want(t, newAttempt(endpointAt(second.Addr), testbed.Timeout), balance.OK)
	if n := u.openConns(); n != 1 {
		t.Errorf("%d connections open, want 1", n)
	}
	c, err := u.pool.get(context.Background(), endpointAt(first.Addr), time.Now().Add(testbed.Timeout), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer u.pool.drop(c)
	u.want(t, newAttempt(endpointAt(second.Addr), testbed.Timeout), balance.NotSent)
}

// A connection with surplus bytes after the response must not be reused.
func TestConnectionWithExtraDataIsNotReused(t *testing.T) {
	forEachBackend(t, testConnectionWithExtraDataIsNotReused)
}

func testConnectionWithExtraDataIsNotReused(t *testing.T, newUpstream func(int) *subject) {
	s := testbed.NewScriptedServer(t, func(c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		return err == nil
	})
	u, e := newUpstream(1024), endpointAt(s.Addr)
	for range 2 {
		if r := u.want(t, newAttempt(e, testbed.Timeout), balance.OK); r.Answer != nil && len(r.Answer.Body) != 0 {
			t.Errorf("got the body %q", r.Answer.Body)
		}
	}
}

func TestProbe(t *testing.T) { forEachBackend(t, testProbe) }

func testProbe(t *testing.T, newUpstream func(int) *subject) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "TEXT util=0.5, qps=12"), testbed.Respond(503, ""))
	u := newUpstream(1024)
	r := u.runProbe(t, endpointAt(s.Addr))
	if r.Outcome != balance.OK || len(r.Report) != 2 || r.Report[0] != 0.5 || r.Report[1] != 12 {
		t.Errorf("probe: %+v", r)
	}
	if r := u.runProbe(t, endpointAt(s.Addr)); r.Outcome != balance.Failed {
		t.Errorf("probe of an unhealthy server: %+v", r)
	}
	if got := requestsOf(s)[0]; got.URL.Path != "/metrics/load" {
		t.Errorf("probe requested %s", got.URL.Path)
	}
}

func TestParseReport(t *testing.T) {
	fields := []string{"busy", "rate"}
	for text, want := range map[string]int{
		"TEXT busy=0.5, rate=3": 2, "TEXT rate=3,busy=0.5,q=1": 2, "TEXT qps=3, util=0.5": 2,
		"": 0, "TEXT": 0, "TEXT busy=0.5": 0, "TEXT busy=x, rate=3": 0, "TEXT busy=NaN, rate=3": 0, "JSON {}": 0,
	} {
		if got := parseReport(text, fields); len(got) != want || want > 0 && (got[0] != 0.5 || got[1] != 3) {
			t.Errorf("%q: %v", text, got)
		}
	}
}
