package dataplane

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/bodypipe"
	"firplank/internal/core"
	httpback "firplank/internal/upstream/http"
	"firplank/mesh/attempts"
)

// longBody is the length of a body that exceeds what the kernel buffers.
const longBody = 16 << 20

// acceptingServer returns a server that passes each accepted connection to handle.
func acceptingServer(t *testing.T, handle func(net.Conn)) *core.Endpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // an error loses nothing
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return core.NewEndpoint("server", ln.Addr().String())
}

// upload is an attempt at a server with a long body. A streamed one breaks off, or stops coming, after sentBytes.
type upload struct {
	streamed, breaksOff bool
	sentBytes           int
	timeout             time.Duration
}

// begin begins the attempt and returns it with the channel of its result.
func (u upload) begin(t *testing.T, pool *httpback.PollBackend, server *core.Endpoint) (*core.Attempt, chan core.Result) {
	t.Helper()
	m := &core.Message{
		Trace:     "x",
		Verb:      http.MethodPost,
		Target:    "/a/",
		Authority: "h",
		Remaining: u.timeout,
		Meta:      header("Try-Id", "x", "Deliver-To", "i-1"),
	}
	if u.streamed {
		m.Stream = bodypipe.New(longBody)
		go func() {
			_ = m.Stream.WriteTimeout(make([]byte, u.sentBytes), time.Second) // fails if the attempt has ended
			if u.breaksOff {
				m.Stream.CloseWrite(io.ErrUnexpectedEOF)
			}
		}()
	} else {
		m.Body = make([]byte, longBody)
	}
	ended := make(chan core.Result, 1)
	a := core.NewAttempt(server, m, time.Now().Add(u.timeout), func(r core.Result) { ended <- r })
	pool.Begin(a)
	return a, ended
}

func newServerPool(t *testing.T) *httpback.PollBackend {
	t.Helper()
	pool, err := httpback.NewPoll(t.Context(), httpback.Config{
		ConnectTimeout: time.Second, IdleTimeout: time.Second, MaxConns: 4, Dialect: serverDialect{},
	})
	if err != nil {
		t.Fatal(err)
	}
	return pool
}

// A server may start a request by its head. However the attempt ends before the body's end, nothing proves that the server has not started
// it: neither the end of the connection, nor of the client's body, nor of the time, nor a cancellation.
func TestUnfinishedUploadProvesNothing(t *testing.T) {
	const part = 4 << 10 // bytes of a streamed body, before it stops coming
	streamed := upload{streamed: true, sentBytes: part, timeout: 5 * time.Second}
	broken := upload{streamed: true, breaksOff: true, sentBytes: part, timeout: 5 * time.Second}
	whole, hurried := upload{timeout: 5 * time.Second}, upload{timeout: 200 * time.Millisecond}
	readHead := func(c net.Conn) { _, _ = c.Read(make([]byte, 1<<10)) } // the rest of the test fails where this does
	closed := func(c net.Conn) { readHead(c); _ = c.Close() }
	reset := func(c net.Conn) { readHead(c); _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }
	open := func(c net.Conn) { readHead(c); t.Cleanup(func() { _ = c.Close() }) }
	for _, c := range []struct {
		name   string
		handle func(net.Conn)
		upload upload
		cancel bool
		want   balance.Result
	}{
		{"streamed, the server closes", closed, streamed, false, balance.Reset},
		{"streamed, the server resets", reset, streamed, false, balance.Reset},
		{"the server closes", closed, whole, false, balance.Reset},
		{"the server resets", reset, whole, false, balance.Reset},
		{"streamed, the client breaks off", open, broken, false, balance.Cancelled},
		{"streamed, cancelled", open, streamed, true, balance.Cancelled},
		{"cancelled", open, whole, true, balance.Cancelled},
		{"out of time", open, hurried, false, balance.TimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool, reached := newServerPool(t), make(chan struct{}, 1)
			server := acceptingServer(t, func(conn net.Conn) { c.handle(conn); reached <- struct{}{} })
			a, ended := c.upload.begin(t, pool, server)
			<-reached
			if c.cancel && a.TryCancel() {
				pool.Cancel(a)
			}
			r := <-ended
			if r.Outcome != c.want {
				t.Errorf("outcome %v, want %v", r.Outcome, c.want)
			}
			if neverStarted(r) || r.Outcome.ProvesNotExecuted() {
				t.Errorf("outcome %v counts as a proof that the server has not started the request", r.Outcome)
			}
			answer := lastHopAnswer(r)
			evidence := attempts.FromLastHop(attempts.Outcome(http.Header(answer.Meta).Get(outcomeHeader)), attempts.Response{})
			if evidence != attempts.Inconclusive && evidence != attempts.TimedOut {
				t.Errorf("the sending sidecar concludes %v", evidence)
			}
		})
	}
}

// A connection that is refused has carried nothing: the request can be sent elsewhere.
func TestRefusedConnectionProvesNothingSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := core.NewEndpoint("server", ln.Addr().String())
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	for _, streamed := range []bool{true, false} {
		_, ended := upload{streamed: streamed, timeout: time.Second}.begin(t, newServerPool(t), server)
		if r := <-ended; r.Outcome != balance.ConnectFailed || !neverStarted(r) {
			t.Errorf("streamed %v: outcome %v", streamed, r.Outcome)
		}
	}
}

// A body that stops coming after its request was submitted proves nothing to the sending sidecar, and its client gets no status that
// promises that the request has not run.
func TestStalledBodyProvesNothing(t *testing.T) {
	answer := incomingDialect{}.UploadErrorAnswer("the body does not come")
	outcome := attempts.Outcome(http.Header(answer.Meta).Get(outcomeHeader))
	if e := attempts.FromLastHop(outcome, attempts.Response{MatchesRequest: true}); e != attempts.Inconclusive {
		t.Errorf("the sending sidecar concludes %v", e)
	}
	switch status := (clientDialect{}).UploadErrorAnswer("the body does not come").Status; status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		t.Errorf("status %d", status)
	}
}
