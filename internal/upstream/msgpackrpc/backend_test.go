package msgpackrpc

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/testbed"
	codec "firplank/msgpackrpc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// receivedRequest is a request as the test server received it, with its connection.
type receivedRequest struct {
	id     uint32
	method string
	params []byte
	conn   net.Conn
}

func (s *receivedRequest) respond(failure, result []byte) {
	_, _ = s.conn.Write(codec.AppendResponse(nil, s.id, failure, result))
}

// server passes connections and requests to the test.
type server struct {
	addr     string
	requests chan *receivedRequest
	conns    chan net.Conn
}

func newServer(t *testing.T) *server {
	t.Helper()
	ln := testbed.Listen(t)
	s := &server{ln.Addr().String(), make(chan *receivedRequest, 5000), make(chan net.Conn, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			s.conns <- c
			go func() {
				for in := codec.NewReader(c, codec.Limits{}); ; {
					f, err := in.Next()
					if err != nil {
						return
					}
					s.requests <- &receivedRequest{f.ID, string(f.Method), bytes.Clone(f.Params), c}
				}
			}()
		}
	}()
	return s
}

type testBackend struct {
	*Backend
	t   *testing.T
	log *testbed.LogBuffer
}

func newTestBackend(t *testing.T, change func(*Config)) *testBackend {
	t.Helper()
	b := &testBackend{t: t, log: &testbed.LogBuffer{}}
	cfg := Config{
		ConnectTimeout: testbed.Timeout, IdleTimeout: testbed.Timeout, MaxConnsPerServer: 1, MaxConns: 10, MaxOpenPerConn: 1000,
		NeverRan: []string{"busy", "-7"}, ApplicationErrors: []string{"none"}, Log: slog.New(slog.NewTextHandler(b.log, nil)),
	}
	if change != nil {
		change(&cfg)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.Backend = New(ctx, cfg)
	t.Cleanup(func() { stop(); b.Close() })
	return b
}

var message = &core.Message{Method: "m", ContentType: core.MessagePack, Body: []byte{0x91, 7}}

// startAttempt begins an attempt and returns it with the channel of its result.
func (b *testBackend) startAttempt(e *core.Endpoint, within time.Duration) (*core.Attempt, chan core.Result) {
	ended := make(chan core.Result, 2)
	a := core.NewAttempt(e, message, time.Now().Add(within), func(r core.Result) { ended <- r })
	b.Begin(a)
	return a, ended
}

func want(t *testing.T, ended <-chan core.Result, outcome balance.Result) core.Result {
	t.Helper()
	r := testbed.Next(t, ended)
	if r.Outcome != outcome {
		t.Errorf("outcome %d, want %d", r.Outcome, outcome)
	}
	return r
}

// Requests are pipelined over one connection, and responses are matched by id in any order.
func TestPipelining(t *testing.T) {
	s, b := newServer(t), newTestBackend(t, nil)
	e := core.NewEndpoint("s-1", s.addr)
	const n = 50
	var ends [n]chan core.Result
	for i := range n {
		_, ends[i] = b.startAttempt(e, testbed.Timeout)
	}
	var got [n]*receivedRequest
	for i := range n {
		got[i] = testbed.Next(t, s.requests)
		if got[i].method != "m" || !bytes.Equal(got[i].params, message.Body) {
			t.Fatalf("server received %+v", got[i])
		}
	}
	for i := n - 1; i >= 0; i-- {
		got[i].respond(nil, []byte{0xcd, 0, byte(i)})
	}
	for i := range n {
		if r := want(t, ends[i], balance.OK); !bytes.Equal(r.Answer.Body, []byte{0xcd, 0, byte(i)}) {
			t.Errorf("attempt %d got % x", i, r.Answer.Body)
		}
	}
	if len(s.conns) != 1 {
		t.Errorf("%d connections", len(s.conns))
	}
}

// The error in a response determines whether the request ran.
func TestOutcomes(t *testing.T) {
	s, b := newServer(t), newTestBackend(t, nil)
	e := core.NewEndpoint("s-1", s.addr)
	pack := func(v any) []byte { p, _ := msgpack.Marshal(v); return p }
	for name, c := range map[string]struct {
		failure any
		want    balance.Result
	}{
		"never-ran code":         {map[string]any{"text": []int{1}, "code": "busy"}, balance.Rejected},
		"numeric never-ran code": {-7, balance.Rejected},
		"first element of array": {[]any{"busy", "queue full"}, balance.Rejected},
		"application error":      {"none", balance.OK},
		"other error":            {"oops", balance.Failed},
		"map without code":       {map[string]any{"text": "busy"}, balance.Failed},
		"code that is a map":     {map[string]any{"code": map[string]any{}}, balance.Failed},
		"true":                   {true, balance.Failed},
	} {
		_, ended := b.startAttempt(e, testbed.Timeout)
		testbed.Next(t, s.requests).respond(pack(c.failure), nil)
		r := want(t, ended, c.want)
		if c.want == balance.OK && (!r.Answer.ApplicationError || !bytes.Equal(r.Answer.Body, pack(c.failure))) {
			t.Errorf("%s: %+v", name, r.Answer)
		}
		if t.Failed() {
			t.Fatal(name)
		}
	}
}

// After a response with an unknown id, or a second response to an id, the connection is retired: its open attempts go
// on, new ones use another connection, and it closes after the last.
func TestUnmatchedResponseRetiresConnection(t *testing.T) {
	for name, stray := range map[string]func(s *receivedRequest){
		"no id":           func(s *receivedRequest) { _, _ = s.conn.Write(codec.AppendResponse(nil, s.id+1<<30, nil, []byte{1})) },
		"second response": func(s *receivedRequest) { s.respond(nil, []byte{1}); s.respond(nil, []byte{1}) },
	} {
		t.Run(name, func(t *testing.T) {
			s, b := newServer(t), newTestBackend(t, nil)
			e := core.NewEndpoint("s-1", s.addr)
			_, first := b.startAttempt(e, testbed.Timeout)
			_, second := b.startAttempt(e, testbed.Timeout)
			one, two := testbed.Next(t, s.requests), testbed.Next(t, s.requests)
			stray(one)
			testbed.Until(t, "the response is counted", func() bool { return b.Unmatched() == 1 })
			testbed.Until(t, "the response is logged", func() bool { return b.log.Contains("matches nothing") })
			_, third := b.startAttempt(e, testbed.Timeout)
			three := testbed.Next(t, s.requests)
			if three.conn == one.conn {
				t.Error("a new request uses the retired connection")
			}
			if name == "no id" {
				one.respond(nil, []byte{1})
			}
			want(t, first, balance.OK)
			two.respond(nil, []byte{2})
			want(t, second, balance.OK)
			three.respond(nil, []byte{3})
			want(t, third, balance.OK)
			_ = one.conn.SetReadDeadline(time.Now().Add(testbed.Timeout))
			testbed.Until(t, "the connection closes", func() bool {
				b.mu.Lock()
				defer b.mu.Unlock()
				return b.sockets == 1
			})
		})
	}
}

// A response on another connection than its request must not match: connections use different ids.
func TestResponseOnWrongConnectionIsUnmatched(t *testing.T) {
	one, two, b := newServer(t), newServer(t), newTestBackend(t, nil)
	_, first := b.startAttempt(core.NewEndpoint("s-1", one.addr), testbed.Timeout)
	_, second := b.startAttempt(core.NewEndpoint("s-2", two.addr), testbed.Timeout)
	a, c := testbed.Next(t, one.requests), testbed.Next(t, two.requests)
	_, _ = a.conn.Write(codec.AppendResponse(nil, c.id, nil, []byte{2}))
	testbed.Until(t, "the response is counted", func() bool { return b.Unmatched() == 1 })
	if len(first)+len(second) > 0 {
		t.Error("the response was matched")
	}
	a.respond(nil, []byte{1})
	c.respond(nil, []byte{2})
	if r := want(t, first, balance.OK); r.Answer.Body[0] != 1 {
		t.Errorf("first attempt got % x", r.Answer.Body)
	}
	want(t, second, balance.OK)
}

// If a connection fails with many requests in flight, each attempt ends once, as one that may have run.
func TestConnectionLossResetsOpenAttempts(t *testing.T) {
	s, b := newServer(t), newTestBackend(t, nil)
	e := core.NewEndpoint("s-1", s.addr)
	var ends []chan core.Result
	for range 20 {
		_, ended := b.startAttempt(e, testbed.Timeout)
		ends = append(ends, ended)
	}
	var last *receivedRequest
	for range 20 {
		last = testbed.Next(t, s.requests)
	}
	_ = last.conn.(*net.TCPConn).SetLinger(0)
	_ = last.conn.Close()
	for _, ended := range ends {
		want(t, ended, balance.Reset)
	}
	_, again := b.startAttempt(e, testbed.Timeout) // on a new connection
	testbed.Next(t, s.requests).respond(nil, nil)
	want(t, again, balance.OK)
	for _, ended := range ends {
		if len(ended) > 0 {
			t.Error("second outcome")
		}
	}
}

// If a server does not read, the write times out: requests that the kernel did not accept never ran, and the others may
// have. No more is written afterwards.
func TestServerThatDoesNotRead(t *testing.T) {
	ln := testbed.Listen(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := ln.Accept(); err == nil {
			_ = c.(*net.TCPConn).SetReadBuffer(4096)
			accepted <- c
		}
	}()
	b := newTestBackend(t, func(c *Config) { c.MaxOpenPerConn = 5000 })
	e := core.NewEndpoint("s-1", ln.Addr().String())
	big := &core.Message{Method: "m", ContentType: core.MessagePack, Body: append([]byte{0x91, 0xc5, 0xf0, 0}, make([]byte, 0xf000)...)}
	const n = 300
	ended := make(chan core.Result, n)
	for range n {
		b.Begin(core.NewAttempt(e, big, time.Now().Add(testbed.Timeout), func(r core.Result) { ended <- r }))
	}
	conn := testbed.Next(t, accepted)
	defer func() { _ = conn.Close() }()
	count := map[balance.Result]int{}
	for range n {
		count[testbed.Next(t, ended).Outcome]++
	}
	if count[balance.ConnectFailed] == 0 || count[balance.Reset] == 0 || count[balance.ConnectFailed]+count[balance.Reset] != n {
		t.Errorf("outcomes %v", count)
	}
}

// A request to a refused connection never ran.
func TestRefusedConnection(t *testing.T) {
	ln := testbed.Listen(t)
	_ = ln.Close()
	b := newTestBackend(t, nil)
	_, ended := b.startAttempt(core.NewEndpoint("s-1", ln.Addr().String()), testbed.Timeout)
	want(t, ended, balance.ConnectFailed)
}

// A cancelled or timed-out attempt abandons its id, and a late response to it is dropped without an error.
func TestLateResponsesToAbandonedAttempts(t *testing.T) {
	s, b := newServer(t), newTestBackend(t, nil)
	e := core.NewEndpoint("s-1", s.addr)
	cancelled, one := b.startAttempt(e, testbed.Timeout)
	_, two := b.startAttempt(e, 100*time.Millisecond)
	first, second := testbed.Next(t, s.requests), testbed.Next(t, s.requests)
	b.Cancel(cancelled)
	b.Cancel(cancelled)
	want(t, one, balance.Cancelled)
	want(t, two, balance.TimedOut)
	first.respond(nil, nil)
	second.respond(nil, nil)
	_, three := b.startAttempt(e, testbed.Timeout)
	third := testbed.Next(t, s.requests)
	third.respond(nil, nil)
	want(t, three, balance.OK)
	if b.Unmatched() != 0 || third.conn != first.conn {
		t.Errorf("%d unmatched, the same connection: %v", b.Unmatched(), third.conn == first.conn)
	}
	first.respond(nil, nil) // but a second late response is unmatched
	testbed.Until(t, "the response is counted", func() bool { return b.Unmatched() == 1 })
}

// While it connects, the server may begin to drain, or the request may be answered or cancelled. Nothing may be sent
// then, and the attempt never ran.
func TestObsoleteAttemptIsNotSent(t *testing.T) {
	for name, change := range map[string]func(*core.Attempt, *testBackend){
		"draining": func(a *core.Attempt, b *testBackend) { a.Endpoint.Close(); b.CloseIdle(a.Endpoint) },
		"answered": func(a *core.Attempt, _ *testBackend) { a.SetAnswered() },
		"given up": func(a *core.Attempt, b *testBackend) { b.Cancel(a) },
	} {
		t.Run(name, func(t *testing.T) {
			s, b := newServer(t), newTestBackend(t, nil)
			e := core.NewEndpoint("s-1", s.addr)
			b.mu.Lock() // so that it connects only after the change
			c := newConn(b.Backend, e, s.addr)
			b.servers[e] = append(b.servers[e], c)
			b.sockets++
			b.mu.Unlock()
			a, ended := b.startAttempt(e, testbed.Timeout)
			change(a, b)
			b.running.Go(c.run)
			want(t, ended, balance.NotSent)
			if len(s.requests) != 0 {
				t.Error("request was sent")
			}
		})
	}
}

// When a server drains, its connection closes after the last open attempt.
func TestDrainWaitsForOpenAttempts(t *testing.T) {
	s, b := newServer(t), newTestBackend(t, nil)
	e := core.NewEndpoint("s-1", s.addr)
	_, ended := b.startAttempt(e, testbed.Timeout)
	open := testbed.Next(t, s.requests)
	e.Close()
	b.CloseIdle(e)
	open.respond(nil, nil)
	want(t, ended, balance.OK)
	testbed.Until(t, "the connection closes", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.sockets == 0 && len(b.servers) == 0
	})
}

// Idle connections close after the time-out, or when they are evicted.
func TestIdleConnectionsClose(t *testing.T) {
	s, b := newServer(t), newTestBackend(t, func(c *Config) { c.IdleTimeout = 50 * time.Millisecond })
	e := core.NewEndpoint("s-1", s.addr)
	use := func() {
		_, ended := b.startAttempt(e, testbed.Timeout)
		testbed.Next(t, s.requests).respond(nil, nil)
		want(t, ended, balance.OK)
	}
	none := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.sockets == 0
	}
	use()
	if !b.Evict() {
		t.Error("nothing to evict")
	}
	testbed.Until(t, "the evicted connection closes", none)
	ctx, stop := context.WithCancel(context.Background())
	b.running.Go(func() { b.Run(ctx) })
	use()
	testbed.Until(t, "the idle connection closes", none)
	stop()
}

// A peer that speaks another protocol or sends malformed frames loses its connection. Open attempts may have run, and
// the reason is logged.
func TestMalformedResponseResetsAttempts(t *testing.T) {
	for name, c := range map[string]struct{ text, log string }{
		"HTTP":       {"HTTP/1.1 400 Bad Request\r\n\r\n", "speaks HTTP"},
		"4 GiB":      {"\x94\x01\x07\xc0\xdb\xff\xff\xff\xff", "beyond its limit"},
		"a request":  {"\x94\x00\x07\xa1m\x90", "no response"},
		"cut string": {"\x94\x01\x07\xc0\xa5ab", "unexpected EOF"},
		"reserved":   {"\x94\x01\x07\xc0\xc1", "never used"},
	} {
		t.Run(name, func(t *testing.T) {
			s, b := newServer(t), newTestBackend(t, nil)
			_, ended := b.startAttempt(core.NewEndpoint("s-1", s.addr), testbed.Timeout)
			conn := testbed.Next(t, s.requests).conn
			_, _ = io.WriteString(conn, c.text)
			if strings.HasPrefix(name, "cut") {
				_ = conn.Close()
			}
			want(t, ended, balance.Reset)
			testbed.Until(t, "the reason is logged", func() bool { return b.log.Contains(c.log) })
		})
	}
}

// A notification from a server is ignored.
func TestNotificationFromServer(t *testing.T) {
	s, b := newServer(t), newTestBackend(t, nil)
	_, ended := b.startAttempt(core.NewEndpoint("s-1", s.addr), testbed.Timeout)
	got := testbed.Next(t, s.requests)
	_, _ = got.conn.Write(codec.AppendNotification(nil, "progress", []byte{0x90}))
	got.respond(nil, []byte{5})
	want(t, ended, balance.OK)
}

// Any body becomes valid params.
func TestBodiesBecomeParams(t *testing.T) {
	meta := map[string][]string{}
	for name, c := range map[string]struct {
		m    core.Message
		want string
	}{
		"none":             {core.Message{Meta: meta}, "\x90"},
		"params":           {core.Message{Meta: meta, ContentType: core.MessagePack, Body: []byte("\x92\x01\x02")}, "\x92\x01\x02"},
		"a value":          {core.Message{Meta: meta, ContentType: core.MessagePack, Body: []byte("\x07")}, "\x91\x07"},
		"broken":           {core.Message{Meta: meta, ContentType: core.MessagePack, Body: []byte("\x92\x01")}, "\x91\xc4\x02\x92\x01"},
		"text":             {core.Message{Meta: meta, ContentType: "text/plain", Body: []byte("ab")}, "\x91\xc4\x02ab"},
		"of the same kind": {core.Message{ContentType: core.MessagePack, Body: []byte("\x91\x05")}, "\x91\x05"},
	} {
		if got := paramsOf(&c.m, codec.Limits{}); string(got) != c.want {
			t.Errorf("%s: % x, want % x", name, got, c.want)
		}
	}
}

func TestProbe(t *testing.T) {
	s := newServer(t)
	ended := make(chan core.Result, 1)
	b := newTestBackend(t, func(c *Config) { c.Probe = "ping" })
	b.Probe(core.NewEndpoint("s-1", s.addr), func(r core.Result) { ended <- r })
	if got := testbed.Next(t, s.requests); got.method != "ping" || string(got.params) != "\x90" {
		t.Errorf("probe called %q % x", got.method, got.params)
	} else {
		got.respond([]byte{0xa3, 'b', 'a', 'd'}, nil)
	}
	want(t, ended, balance.Failed)
	plain := newTestBackend(t, nil)
	plain.Probe(core.NewEndpoint("s-1", s.addr), func(r core.Result) { ended <- r })
	want(t, ended, balance.OK)
}
