package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"cedararch/balance"
)

func newUpstream(t *testing.T, sockets int) *upstream {
	t.Helper()
	p := newPool(patience, patience, 0, sockets)
	t.Cleanup(p.closeAll)
	return &upstream{pool: p, fields: []string{"busy", "rate"}, probe: "/metrics/load"}
}

func at(addr string) *endpoint {
	e := &endpoint{name: addr}
	e.addr.Store(&addr)
	return e
}

func newAttempt(e *endpoint, within time.Duration) *attempt {
	a := &attempt{
		endpoint: e, cut: time.Now().Add(within),
		message: &message{method: "POST", uri: "/api", host: "app.svc", header: http.Header{}, body: []byte("order 7")},
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

func (u *upstream) want(t *testing.T, a *attempt, want balance.Result) result {
	t.Helper()
	r := u.try(a)
	a.cancel()
	if r.outcome != want {
		t.Errorf("outcome %d, want %d", r.outcome, want)
	}
	return r
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: ", what)
		}
	}
}

// A connection may be there only after the news that the server drains, or after the request's final answer.
// Nothing may be sent then, and the attempt never ran.
func TestLooksAgainBeforeTheFirstByte(t *testing.T) {
	for name, late := range map[string]func(*attempt){
		"draining": func(a *attempt) { a.endpoint.closed.Store(true) },
		"answered": func(a *attempt) { a.answered.Store(true) },
		"given up": func(a *attempt) { a.cancel() },
		"too late": func(a *attempt) { a.cut = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			s, u := newScript(t, say(200, "")), newUpstream(t, 1024)
			e := at(s.addr)
			u.want(t, newAttempt(e, patience), balance.OK)
			a := newAttempt(e, patience)
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
	ending := newScript(t, func(c net.Conn) bool { say(200, "")(c); return false })
	u, e := newUpstream(t, 1024), at(ending.addr)
	u.want(t, newAttempt(e, patience), balance.OK)
	c := u.pool.idle[e][0]
	until(t, "the server closes", func() bool { return c.state() != silent })
	u.want(t, newAttempt(e, patience), balance.OK)
	if _, _, conns := ending.seen(); conns != 2 {
		t.Errorf("%d connections, want a second one", conns)
	}
	if u.pool.open != len(u.pool.idle[e]) {
		t.Errorf("%d connections counted, %d idle", u.pool.open, len(u.pool.idle[e]))
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln := listen(t)
	ln.Close()
	newUpstream(t, 1024).want(t, newAttempt(at(ln.Addr().String()), patience), balance.ConnectFailed)
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
	s, u := newScript(t, hang), newUpstream(t, 1024)
	e := at(s.addr)
	u.want(t, newAttempt(e, 2*time.Second), balance.TimedOut)
	next(t, ended)
	a := newAttempt(e, patience)
	go func() {
		for len(requestsOf(s)) < 2 {
			time.Sleep(time.Millisecond)
		}
		a.cancel()
	}()
	u.want(t, a, balance.Cancelled)
	next(t, ended)
	if u.pool.open != 0 || len(u.pool.idle) != 0 {
		t.Errorf("%d connections open, %d endpoints with idle ones", u.pool.open, len(u.pool.idle))
	}
}

// The pool gives up idle connections before it refuses one, and a lack of sockets is no fault of the server.
func TestSocketBudget(t *testing.T) {
	first, second := newScript(t, say(200, "")), newScript(t, say(200, ""))
	u := newUpstream(t, spareSockets+2) // one connection
	u.want(t, newAttempt(at(first.addr), patience), balance.OK)
	u.want(t, newAttempt(at(second.addr), patience), balance.OK)
	if u.pool.open != 1 {
		t.Errorf("%d connections open, want 1", u.pool.open)
	}
	c, err := u.pool.get(context.Background(), at(first.addr), time.Now().Add(patience))
	if err != nil {
		t.Fatal(err)
	}
	defer u.pool.drop(c)
	u.want(t, newAttempt(at(second.addr), patience), balance.Moot)
}

// Where the server's answer goes on beyond its end, the connection must not be used again.
func TestLeavesConnectionsOutOfStep(t *testing.T) {
	s := newScript(t, func(c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		return err == nil
	})
	u, e := newUpstream(t, 1024), at(s.addr)
	for range 2 {
		if r := u.want(t, newAttempt(e, patience), balance.OK); r.answer != nil && len(r.answer.body) != 0 {
			t.Errorf("got the body %q", r.answer.body)
		}
	}
}

func TestProbe(t *testing.T) {
	s := newScript(t, say(200, "TEXT util=0.5, qps=12"), say(503, ""))
	u := newUpstream(t, 1024)
	r := u.ask(context.Background(), at(s.addr))
	if r.outcome != balance.OK || len(r.report) != 2 || r.report[0] != 0.5 || r.report[1] != 12 {
		t.Errorf("probed: %+v", r)
	}
	if r := u.ask(context.Background(), at(s.addr)); r.outcome != balance.Failed {
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

// short is a listener that has no descriptor at first.
type short struct {
	net.Listener
	failures int
}

func (s *short) Accept() (net.Conn, error) {
	if s.failures--; s.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// A lack of descriptors must neither end the server nor make it pause for long, as net/http does.
func TestAcceptOutlivesLackOfDescriptors(t *testing.T) {
	s, u := newScript(t, say(200, "")), newUpstream(t, 1024)
	u.want(t, newAttempt(at(s.addr), patience), balance.OK)
	inner := &short{failures: 3}
	if _, err := (listener{inner, &clients{most: 1}, u.pool}).Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v", err)
	}
	if u.pool.open != 0 {
		t.Error("kept an idle connection while descriptors were short")
	}
}
