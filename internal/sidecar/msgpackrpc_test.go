package sidecar

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"firplank/internal/options"
	"firplank/internal/roster"
	"firplank/internal/testbed"
	codec "firplank/msgpackrpc"
)

// rpcConfig returns the test configuration with MessagePack-RPC for clients and, if servers is set, for all servers.
func rpcConfig(t *testing.T, servers bool, known ...roster.Member) *Config {
	t.Helper()
	cfg := testConfig(t, known...)
	text := `
[msgpack_rpc]
listen = "127.0.0.1:0"
never_ran = ["busy"]
[[msgpack_rpc.method]]
name = "plate.lookup"
class = "read"
tenant = "acme"
path = "/api/lookup"
[[msgpack_rpc.method]]
name = "plate.reserve"
class = "reserve"
tenant = "acme"
idempotency_param = 0
trace_param = 1
`
	if servers {
		text = strings.Replace(text, "never_ran", "flavors = [\"small\"]\nnever_ran", 1)
	}
	opts, err := options.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Options = *opts
	if cfg.methods, err = rpcMethods(&opts.MsgpackRPC, cfg.catalog); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// rpcServer is a server that answers each request with the result of a function, on a separate goroutine.
type rpcServer struct {
	addr string

	mu       sync.Mutex
	arrivals []time.Time
}

func newRPCServer(t *testing.T, answer func(f codec.Frame) (failure, result []byte)) *rpcServer {
	t.Helper()
	ln := testbed.Listen(t)
	s := &rpcServer{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *rpcServer) serve(c net.Conn, answer func(codec.Frame) (failure, result []byte)) {
	var writeMu sync.Mutex
	for in := codec.NewReader(c, codec.Limits{}); ; {
		f, err := in.Next()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
		f.Method, f.Params = bytes.Clone(f.Method), bytes.Clone(f.Params)
		go func() {
			failure, result := answer(f)
			writeMu.Lock()
			defer writeMu.Unlock()
			_, _ = c.Write(codec.AppendResponse(nil, f.ID, failure, result))
		}()
	}
}

func (s *rpcServer) arrivalTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

func (n *testSidecar) dialRPC() (net.Conn, *codec.Reader) {
	n.t.Helper()
	c, err := net.Dial("tcp", n.rpcAddr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testbed.Timeout))
	return c, codec.NewReader(c, codec.Limits{})
}

// lookupRequests returns count encoded lookup requests, with ids from first on.
func lookupRequests(count, first uint32, params func(id uint32) []byte) []byte {
	var all []byte
	for id := first; id < first+count; id++ {
		all = codec.AppendRequest(all, id, "plate.lookup", params(id))
	}
	return all
}

// A client pipelines 500 requests on one connection while a server starts draining. After the grace period no new request
// reaches that server, its requests in flight are still answered, and each id is answered exactly once.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	release := make(chan struct{})
	draining := newRPCServer(t, func(codec.Frame) ([]byte, []byte) { <-release; return nil, []byte{1} })
	staying := newRPCServer(t, func(codec.Frame) ([]byte, []byte) { return nil, []byte{2} })
	a, b := readyMember("s-1", draining.addr), readyMember("s-2", staying.addr)
	n := startSidecar(t, rpcConfig(t, true, a, b))
	c, in := n.dialRPC()
	testbed.Next(t, n.roster.Queries)
	_, _ = c.Write(lookupRequests(250, 0, func(id uint32) []byte { return []byte{0x91, 0xcd, 1, byte(id)} }))
	testbed.Until(t, "the draining server has requests in flight", func() bool { return len(draining.arrivalTimes()) >= 10 })
	a.Phase = "draining"
	n.roster.Responses <- roster.List{Revision: 42, Members: []roster.Member{a}}
	drainTime := time.Now()
	testbed.Next(t, n.roster.Queries)
	_, _ = c.Write(lookupRequests(250, 250, func(uint32) []byte { return []byte{0x90} }))
	var responses [500]int
	var responsesByServer [3]int
	readResponses := func(count int) {
		for range count {
			f, err := in.Next()
			if err != nil {
				t.Fatal(err)
			}
			responses[f.ID]++
			if !f.Failed() {
				responsesByServer[f.Result[0]]++
			}
		}
	}
	time.Sleep(300 * time.Millisecond) // longer than the grace period, so that no further request is on its way to it
	receivedBefore := len(draining.arrivalTimes())
	close(release)
	readResponses(500)
	for id, times := range responses {
		if times != 1 {
			t.Errorf("id %d was answered %d times", id, times)
		}
	}
	for _, at := range draining.arrivalTimes() {
		if delay := at.Sub(drainTime); delay > 250*time.Millisecond {
			t.Errorf("a request reached the draining server %v after it was listed as draining", delay)
		}
	}
	if responsesByServer[1] == 0 || responsesByServer[2] < 250 || receivedBefore != len(draining.arrivalTimes()) {
		t.Errorf("%d responses of the draining server, which received %d requests, and %d of the other",
			responsesByServer[1], receivedBefore, responsesByServer[2])
	}
}

// Requests and responses are translated between HTTP and MessagePack-RPC, in both directions.
func TestTranslatesBetweenProtocols(t *testing.T) {
	t.Run("RPC to HTTP", func(t *testing.T) {
		s := testbed.NewScriptedServer(t, testbed.Respond(200, "\x91\x07", "Content-Type: application/msgpack"), testbed.Respond(200, "plate 7"))
		n := startSidecar(t, rpcConfig(t, false, readyMember("s-1", s.Addr)))
		c, in := n.dialRPC()
		for id, want := range []string{"\x91\x07", "\xa7plate 7"} {
			_, _ = c.Write(codec.AppendRequest(nil, uint32(id), "plate.reserve", []byte("\x92\xa3k-1\xa3t-1")))
			f, err := in.Next()
			if err != nil || f.Failed() || string(f.Result) != want {
				t.Errorf("answered %+v, %v", f, err)
			}
		}
		requests, bodies, _ := s.Received()
		h := requests[0].Header
		if h.Get("X-Trace-Id") != "t-1" || h.Get("Idempotency-Key") != "k-1" || h.Get("X-Qos") != "reserve" || h.Get("X-Expires-In") == "" ||
			h.Get("Content-Type") != "application/msgpack" || requests[0].Method != "POST" || requests[0].RequestURI != "/api/plate.reserve" {
			t.Errorf("the server received %s %s %v", requests[0].Method, requests[0].RequestURI, h)
		}
		if bodies[0] != "\x92\xa3k-1\xa3t-1" {
			t.Errorf("body %q", bodies[0])
		}
	})
	t.Run("HTTP to RPC", func(t *testing.T) {
		got := make(chan codec.Frame, 10)
		s := newRPCServer(t, func(f codec.Frame) ([]byte, []byte) { got <- f; return nil, []byte("\xa2ok") })
		n := startSidecar(t, rpcConfig(t, true, readyMember("s-1", s.addr)))
		req := n.request("read")
		req.Method, req.URL.Path, req.URL.RawQuery = "POST", "/api/lookup", ""
		req.Header.Set("Content-Type", "application/msgpack")
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader("\x91\x05")), 2
		resp, body := n.do(req)
		if resp.StatusCode != 200 || body != "\xa2ok" || resp.Header.Get("Content-Type") != "application/msgpack" {
			t.Errorf("answered %d %q %v", resp.StatusCode, body, resp.Header)
		}
		if f := testbed.Next(t, got); string(f.Method) != "plate.lookup" || string(f.Params) != "\x91\x05" {
			t.Errorf("the server received %q % x", f.Method, f.Params)
		}
		plain := n.request("pay")
		if resp, _ := n.do(plain); resp.StatusCode != 200 {
			t.Errorf("body of another content type: %d", resp.StatusCode)
		}
		if f := testbed.Next(t, got); string(f.Params) != "\x91\xc4\x07order 7" {
			t.Errorf("the server received % x", f.Params)
		}
	})
}

// If a server reports that a request never ran, the request is retried at another server even if it is not idempotent. Other
// errors do not permit that.
func TestRetriesRequestThatNeverRan(t *testing.T) {
	busy := newRPCServer(t, func(codec.Frame) ([]byte, []byte) { return []byte("\x81\xa4code\xa4busy"), nil })
	healthy := newRPCServer(t, func(codec.Frame) ([]byte, []byte) { return nil, []byte{7} })
	n := startSidecar(t, rpcConfig(t, true, readyMember("s-1", busy.addr), readyMember("s-2", healthy.addr)))
	for range 50 {
		if resp, body := n.do(n.request("pay")); resp.StatusCode != 200 || body != "\x07" {
			t.Fatalf("answered %d %q", resp.StatusCode, body)
		}
		if len(busy.arrivalTimes()) > 0 {
			return
		}
	}
	t.Error("no request was sent to the busy server")
}

// A MessagePack-RPC client on the HTTP port gets an HTTP error immediately.
func TestRPCOnHTTPPort(t *testing.T) {
	n := startSidecar(t, rpcConfig(t, false, readyMember("s-1", "127.0.0.1:9")))
	c := n.dial()
	_, _ = c.Write(codec.AppendRequest(nil, 1, "plate.lookup", []byte{0x90}))
	_ = c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); !bytes.HasPrefix(got, []byte("HTTP/1.1 400")) {
		t.Errorf("got %q", got)
	}
}

// The method table is validated against the settings when it is loaded, and the error names the option.
func TestRejectsInvalidRPCOptions(t *testing.T) {
	cfg := testConfig(t)
	for text, want := range map[string]string{
		"name = \"a\"\nclass = \"none\"":                                      "class: the settings have no class",
		"name = \"a\"\nclass = \"read\"\ntenant = \"acme\"\nkey_param = -1":   "key_param: -1 is neither",
		"name = \"a\"\nclass = \"read\"\ntenant = \"acme\"\nkey_param = true": "key_param: true is neither",
		"name = \"a\"\nclass = \"pay\"\ntenant = \"acme\"\nnotify = true":     "notify: class",
	} {
		opts, err := options.Parse("o.toml", []byte("[msgpack_rpc]\nlisten = \"127.0.0.1:0\"\n[[msgpack_rpc.method]]\n"+text))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := rpcMethods(&opts.MsgpackRPC, cfg.catalog); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
