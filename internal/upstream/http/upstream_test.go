package http

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cedararch/balance"
	"cedararch/internal/core"
	"cedararch/internal/socket"
	"cedararch/internal/testbed"
)

func newUpstream(t *testing.T, sockets int) *upstream {
	t.Helper()
	p := newPool(testbed.Patience, testbed.Patience, 0, sockets)
	t.Cleanup(p.closeAll)
	return &upstream{pool: p, fields: []string{"busy", "rate"}, probe: "/metrics/load"}
}

func at(addr string) *core.Endpoint {
	return core.NewEndpoint(addr, addr)
}

func newAttempt(e *core.Endpoint, within time.Duration) *attempt {
	m := &core.Message{Target: "/api", Authority: "app.svc", Meta: http.Header{}, Body: []byte("order 7")}
	a := &attempt{Attempt: core.NewAttempt(e, m, time.Now().Add(within), func(core.Result) {})}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

func requestsOf(s *testbed.Script) []*http.Request {
	r, _, _ := s.Seen()
	return r
}

func (u *upstream) want(t *testing.T, a *attempt, want balance.Result) core.Result {
	t.Helper()
	r := u.try(a)
	a.cancel()
	if r.Outcome != want {
		t.Errorf("outcome %d, want %d", r.Outcome, want)
	}
	return r
}

// A connection may be there only after the news that the server drains, or after the request's final answer.
// Nothing may be sent then, and the attempt never ran.
func TestLooksAgainBeforeTheFirstByte(t *testing.T) {
	for name, late := range map[string]func(*attempt){
		"draining": func(a *attempt) { a.Endpoint.Close() },
		"answered": func(a *attempt) { a.SetAnswered() },
		"given up": func(a *attempt) { a.cancel() },
		"too late": func(a *attempt) { a.Cut = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			s, u := testbed.NewScript(t, testbed.Say(200, "")), newUpstream(t, 1024)
			e := at(s.Addr)
			u.want(t, newAttempt(e, testbed.Patience), balance.OK)
			a := newAttempt(e, testbed.Patience)
			late(a)
			u.want(t, a, balance.Moot)
			if got := len(requestsOf(s)); got != 1 {
				t.Errorf("the server saw %d requests", got)
			}
		})
	}
}

// A request written to a connection that the server has closed would end as a reset, which may have run.
func TestLeavesDeadConnections(t *testing.T) {
	ending := testbed.NewScript(t, func(c net.Conn) bool { testbed.Say(200, "")(c); return false })
	u, e := newUpstream(t, 1024), at(ending.Addr)
	u.want(t, newAttempt(e, testbed.Patience), balance.OK)
	c := u.pool.idle[e][0]
	testbed.Until(t, "the server closes", func() bool { return c.state() != socket.Silent })
	u.want(t, newAttempt(e, testbed.Patience), balance.OK)
	if _, _, conns := ending.Seen(); conns != 2 {
		t.Errorf("%d connections, want a second one", conns)
	}
	if u.pool.open != len(u.pool.idle[e]) {
		t.Errorf("%d connections counted, %d idle", u.pool.open, len(u.pool.idle[e]))
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln := testbed.Listen(t)
	ln.Close()
	newUpstream(t, 1024).want(t, newAttempt(at(ln.Addr().String()), testbed.Patience), balance.ConnectFailed)
}

// Giving an attempt up ends its connection: it must neither occupy a socket nor carry another request.
func TestGivenUpAttemptsFreeTheirConnection(t *testing.T) {
	ended := make(chan bool, 2)
	hang := func(c net.Conn) bool {
		var b [1]byte
		_, err := c.Read(b[:])
		ended <- err != nil
		return false
	}
	s, u := testbed.NewScript(t, hang), newUpstream(t, 1024)
	e := at(s.Addr)
	u.want(t, newAttempt(e, 2*time.Second), balance.TimedOut)
	testbed.Next(t, ended)
	a := newAttempt(e, testbed.Patience)
	go func() {
		for len(requestsOf(s)) < 2 {
			time.Sleep(time.Millisecond)
		}
		a.cancel()
	}()
	u.want(t, a, balance.Cancelled)
	testbed.Next(t, ended)
	if u.pool.open != 0 || len(u.pool.idle) != 0 {
		t.Errorf("%d connections open, %d endpoints with idle ones", u.pool.open, len(u.pool.idle))
	}
}

// The pool gives up idle connections before it refuses one, and a lack of sockets is no fault of the server.
func TestSocketBudget(t *testing.T) {
	first, second := testbed.NewScript(t, testbed.Say(200, "")), testbed.NewScript(t, testbed.Say(200, ""))
	u := newUpstream(t, 1) // one connection
	u.want(t, newAttempt(at(first.Addr), testbed.Patience), balance.OK)
	u.want(t, newAttempt(at(second.Addr), testbed.Patience), balance.OK)
	if u.pool.open != 1 {
		t.Errorf("%d connections open, want 1", u.pool.open)
	}
	c, err := u.pool.get(context.Background(), at(first.Addr), time.Now().Add(testbed.Patience))
	if err != nil {
		t.Fatal(err)
	}
	defer u.pool.drop(c)
	u.want(t, newAttempt(at(second.Addr), testbed.Patience), balance.Moot)
}

// Where the server's answer goes on beyond its end, the connection must not be used again.
func TestLeavesConnectionsOutOfStep(t *testing.T) {
	s := testbed.NewScript(t, func(c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		return err == nil
	})
	u, e := newUpstream(t, 1024), at(s.Addr)
	for range 2 {
		if r := u.want(t, newAttempt(e, testbed.Patience), balance.OK); r.Answer != nil && len(r.Answer.Body) != 0 {
			t.Errorf("got the body %q", r.Answer.Body)
		}
	}
}

func TestProbe(t *testing.T) {
	s := testbed.NewScript(t, testbed.Say(200, "TEXT util=0.5, qps=12"), testbed.Say(503, ""))
	u := newUpstream(t, 1024)
	r := u.ask(context.Background(), at(s.Addr))
	if r.Outcome != balance.OK || len(r.Report) != 2 || r.Report[0] != 0.5 || r.Report[1] != 12 {
		t.Errorf("probed: %+v", r)
	}
	if r := u.ask(context.Background(), at(s.Addr)); r.Outcome != balance.Failed {
		t.Errorf("probed a server that is not well: %+v", r)
	}
	if got := requestsOf(s)[0]; got.URL.Path != "/metrics/load" {
		t.Errorf("asked %s", got.URL.Path)
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
