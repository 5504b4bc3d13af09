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

// silentServer accepts connections and hands them to the test.
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
	c, err := p.get(t.Context(), e, time.Now().Add(testbed.Patience), 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A server that sends something when its answer is long over would, another time, do so while the next request is out,
// and that would be served with an answer made for the one before. Its connections carry one request from then on.
func TestLateDataEndsReuse(t *testing.T) {
	p, noted := newLatePool(t)
	e, conns := silentServer(t, "s-1")
	c := p.mustGet(t, e)
	p.put(c)
	p.checkPending(time.Now())
	if !c.verifiedQuiet {
		t.Fatal("a connection that rested in silence was not passed")
	}
	_, _ = io.WriteString(<-conns, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	testbed.Until(t, "the copy is there", func() bool { return c.state() == socket.Readable })
	if next := p.mustGet(t, e); next == c {
		t.Error("the connection with a copy on it is used again")
	} else {
		p.put(next)
	}
	if len(*noted) != 1 || len(p.idle[e]) != 0 {
		t.Errorf("noted %v, %d connections are kept", *noted, len(p.idle[e]))
	}
	if left := time.Until(p.lateSenders[e]); left < lateSenderTTL/2 || left > lateSenderTTL {
		t.Errorf("that holds for %v", left)
	}
}

// The sweep finds it too, where no request comes to find it.
func TestSweepDetectsLateData(t *testing.T) {
	p, noted := newLatePool(t)
	e, conns := silentServer(t, "s-1")
	c := p.mustGet(t, e)
	p.put(c)
	p.checkPending(time.Now())
	_, _ = io.WriteString(<-conns, "x")
	testbed.Until(t, "it is there", func() bool { return c.state() == socket.Readable })
	p.sweep(time.Now())
	if len(*noted) != 1 || p.open != 0 {
		t.Errorf("noted %v, %d open", *noted, p.open)
	}
}

// What comes right behind the answer is there when the rest is over: the connection ends, and nothing is held against
// the server.
func TestExtraDataWithinReuseDelayIsNotLate(t *testing.T) {
	p, noted := newLatePool(t)
	e, conns := silentServer(t, "s-1")
	c := p.mustGet(t, e)
	_, _ = io.WriteString(<-conns, "x")
	testbed.Until(t, "it is there", func() bool { return c.state() == socket.Readable })
	p.put(c)
	p.checkPending(time.Now())
	if len(*noted) != 0 || p.open != 0 || len(p.lateSenders) != 0 {
		t.Errorf("noted %v, %d open, until %v", *noted, p.open, p.lateSenders[e])
	}
}

// Where two servers were caught, it is no server's own: connections to all of them rest longer.
func TestTwoLateServersExtendReuseDelay(t *testing.T) {
	p, _ := newLatePool(t)
	for _, name := range []string{"s-1", "s-2"} {
		e, conns := silentServer(t, name)
		c := p.mustGet(t, e)
		p.put(c)
		p.checkPending(time.Now())
		_, _ = io.WriteString(<-conns, "x")
		testbed.Until(t, "it is there", func() bool { return c.state() == socket.Readable })
		p.sweep(time.Now())
	}
	e, _ := silentServer(t, "s-3")
	c := p.mustGet(t, e)
	p.put(c)
	p.checkPending(time.Now())
	if next := p.mustGet(t, e); next == c {
		t.Error("a connection is used again at once")
	} else {
		p.drop(next)
	}
	c.idleSince = c.idleSince.Add(-extendedReuseDelay)
	if next := p.mustGet(t, e); next != c {
		t.Error("a connection that has rested is not used again")
	} else {
		p.drop(next)
	}
}

// While servers are known to send copies, the very bytes of the answer before are no answer to the next request. At
// other times they are: a server may always say the same.
func TestRepeatedBodyFailsWhileLateSenderSuspected(t *testing.T) {
	for _, suspicious := range []bool{false, true} {
		same := testbed.Say(200, "made for the one before")
		s := testbed.NewScript(t, same)
		p, _ := newLatePool(t)
		u := &upstream{pool: p}
		e := core.NewEndpoint("s-1", s.Addr)
		try := func() core.Result {
			m := &core.Message{Safe: true, Target: "/api", Authority: "app.svc", Meta: http.Header{}}
			end := time.Now().Add(testbed.Patience)
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
		if _, _, conns := s.Seen(); conns != 1 {
			t.Errorf("%d connections", conns)
		}
		if again := try(); again.Outcome != balance.OK {
			t.Errorf("on a new connection: %v", again.Outcome)
		}
	}
}
