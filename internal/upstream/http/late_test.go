package http

import (
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

// silentServer accepts connections and passes them to the test.
func silentServer(t *testing.T, name string) (*core.Endpoint, <-chan net.Conn) {
	t.Helper()
	ln := testbed.Listen(t)
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return core.NewEndpoint(name, ln.Addr().String()), conns
}

func newLatePool(t *testing.T) (p *pool, noted *[]string) {
	t.Helper()
	p, noted = newPool(time.Second, time.Minute, 0, 256), new([]string)
	p.onLateData = func(e *core.Endpoint) { *noted = append(*noted, e.Name()) }
	t.Cleanup(p.closeAll)
	return p, noted
}

func (p *pool) mustGet(t *testing.T, e *core.Endpoint) *conn {
	t.Helper()
	c, err := p.get(t.Context(), e, time.Now().Add(testbed.Timeout), 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A server that sends bytes long after its response may do so again while the next request is in flight, which would
// then receive the wrong response. Its connections must carry only one request each.
func TestLateDataEndsReuse(t *testing.T) {
	p, noted := newLatePool(t)
	e, conns := silentServer(t, "s-1")
	c := p.mustGet(t, e)
	p.put(c)
	p.checkPending(time.Now())
	if !c.verifiedQuiet {
		t.Fatal("connection without input was not marked quiet")
	}
	_, _ = io.WriteString(<-conns, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	testbed.Until(t, "the duplicate arrives", func() bool { return c.state() == socket.Readable })
	if next := p.mustGet(t, e); next == c {
		t.Error("connection with a duplicate response was reused")
	} else {
		p.put(next)
	}
	if len(*noted) != 1 || len(p.idle[e]) != 0 {
		t.Errorf("reported %v, %d idle connections", *noted, len(p.idle[e]))
	}
	if left := time.Until(p.lateSenders[e]); left < lateSenderTTL/2 || left > lateSenderTTL {
		t.Errorf("late sender remembered for %v", left)
	}
}

// The sweep detects late data, even if no request checks the connection.
func TestSweepDetectsLateData(t *testing.T) {
	p, noted := newLatePool(t)
	e, conns := silentServer(t, "s-1")
	c := p.mustGet(t, e)
	p.put(c)
	p.checkPending(time.Now())
	_, _ = io.WriteString(<-conns, "x")
	testbed.Until(t, "the data arrives", func() bool { return c.state() == socket.Readable })
	p.sweep(time.Now())
	if len(*noted) != 1 || p.open != 0 {
		t.Errorf("reported %v, %d open", *noted, p.open)
	}
}

// Data directly after the response has arrived when the reuse delay ends. The connection is closed, but the server is
// not treated as a late sender.
func TestExtraDataWithinReuseDelayIsNotLate(t *testing.T) {
	p, noted := newLatePool(t)
	e, conns := silentServer(t, "s-1")
	c := p.mustGet(t, e)
	_, _ = io.WriteString(<-conns, "x")
	testbed.Until(t, "the data arrives", func() bool { return c.state() == socket.Readable })
	p.put(c)
	p.checkPending(time.Now())
	if len(*noted) != 0 || p.open != 0 || len(p.lateSenders) != 0 {
		t.Errorf("reported %v, %d open, until %v", *noted, p.open, p.lateSenders[e])
	}
}

// If two servers send late data, the cause may be the network: connections to all servers use the extended reuse delay.
func TestTwoLateServersExtendReuseDelay(t *testing.T) {
	p, _ := newLatePool(t)
	for _, name := range []string{"s-1", "s-2"} {
		e, conns := silentServer(t, name)
		c := p.mustGet(t, e)
		p.put(c)
		p.checkPending(time.Now())
		_, _ = io.WriteString(<-conns, "x")
		testbed.Until(t, "the data arrives", func() bool { return c.state() == socket.Readable })
		p.sweep(time.Now())
	}
	e, _ := silentServer(t, "s-3")
	c := p.mustGet(t, e)
	p.put(c)
	p.checkPending(time.Now())
	if next := p.mustGet(t, e); next == c {
		t.Error("connection reused at once")
	} else {
		p.drop(next)
	}
	c.idleSince = c.idleSince.Add(-extendedReuseDelay)
	if next := p.mustGet(t, e); next != c {
		t.Error("connection not reused after the extended delay")
	} else {
		p.drop(next)
	}
}

// While a late sender is suspected, a body equal to the previous one on the connection is not accepted as the response
// to the next request. At other times it is, because a server may always return the same body.
func TestRepeatedBodyFailsWhileLateSenderSuspected(t *testing.T) {
	for _, suspicious := range []bool{false, true} {
		same := testbed.Respond(200, "repeated body")
		s := testbed.NewScriptedServer(t, same)
		p, _ := newLatePool(t)
		u := &upstream{pool: p}
		e := core.NewEndpoint("s-1", s.Addr)
		try := func() core.Result {
			m := &core.Message{Safe: true, Target: "/api", Authority: "app.svc", Meta: http.Header{}}
			end := time.Now().Add(testbed.Timeout)
			a := &attempt{Attempt: core.NewAttempt(e, m, end, func(core.Result) {}), ctx: t.Context()}
			r := u.perform(a)
			p.checkPending(time.Now())
			return r
		}
		first := try()
		if suspicious {
			p.lastLate, p.lastLateAt = core.NewEndpoint("s-2", ""), time.Now()
		}
		second := try()
		want := balance.OK
		if suspicious {
			want = balance.Reset
		}
		if first.Outcome != balance.OK || second.Outcome != want {
			t.Errorf("suspicious: %v; outcomes %v and %v", suspicious, first.Outcome, second.Outcome)
		}
		if _, _, conns := s.Received(); conns != 1 {
			t.Errorf("%d connections", conns)
		}
		if again := try(); again.Outcome != balance.OK {
			t.Errorf("on a new connection: %v", again.Outcome)
		}
	}
}
