package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"firplank/internal/roster"
	"firplank/internal/testbed"
)

func TestForwardsRequests(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "plate 7", "Endpoint-Load-Metrics: TEXT util=0.5, qps=3"))
	n := startSidecar(t, testConfig(t, readyMember("s-1", s.Addr)))
	var ids []string
	for _, class := range []string{"read", "reserve", "pay"} {
		req := n.request(class)
		ids = append(ids, req.Header.Get("X-Trace-Id"))
		resp, body := n.do(req)
		if resp.StatusCode != 200 || body != "plate 7" {
			t.Fatalf("%s: %d %q", class, resp.StatusCode, body)
		}
		if resp.Header.Get("Endpoint-Load-Metrics") != "" {
			t.Errorf("the load report reached the application")
		}
	}
	requests, bodies, conns := s.Received()
	if len(requests) != 3 || conns != 1 {
		t.Fatalf("%d requests on %d connections: want 3 on one", len(requests), conns)
	}
	for i, r := range requests {
		if r.RequestURI != "/api?item=a%2Fb" || r.Header.Get("X-Trace-Id") != ids[i] {
			t.Errorf("forwarded as %s with id %q", r.RequestURI, r.Header.Get("X-Trace-Id"))
		}
		remaining, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Expires-In"), "u"))
		if err != nil || remaining <= 0 || remaining > 15_000_000 {
			t.Errorf("X-Expires-In forwarded as %q: %v", r.Header.Get("X-Expires-In"), err)
		}
		if want := map[bool]string{true: "", false: "order 7"}[r.Method == "GET"]; bodies[i] != want {
			t.Errorf("body forwarded as %q", bodies[i])
		}
	}
	if key := requests[1].Header.Get("Idempotency-Key"); key != "5c0f6e1a" {
		t.Errorf("Idempotency-Key forwarded as %q", key)
	}
}

// If the runtime is not notified of events in a nested epoll set, nothing would be served through the poller. The sidecar then
// uses goroutines.
func TestServesWithoutPoller(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "plate 7"))
	cfg := testConfig(t, readyMember("s-1", s.Addr))
	checks := 0
	cfg.checkPoller = func() error { checks++; return errors.New("untold") }
	n := startSidecar(t, cfg)
	if resp, body := n.do(n.request("pay")); resp.StatusCode != 200 || body != "plate 7" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	if checks != 1 {
		t.Errorf("poller checked %d times, want 1", checks)
	}
}

// An unsafe request is retried only if the first attempt's outcome shows that it has not run.
func TestRetriesUnsafeRequestsByOutcome(t *testing.T) {
	neverRan := "X-Never-Ran: 1"
	for name, c := range map[string]struct {
		first  testbed.Step
		status int
	}{
		"rejected, never ran":   {testbed.Respond(503, "", neverRan), 200},
		"expired, never ran":    {testbed.Respond(504, "", neverRan), 200},
		"503 that may have run": {testbed.Respond(503, ""), 502},
		"error":                 {testbed.Respond(500, ""), 502},
		"reset":                 {testbed.WriteAndClose(""), 502},
		"short body":            {testbed.WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nplate"), 502},
	} {
		t.Run(name, func(t *testing.T) {
			failing, serving := testbed.NewScriptedServer(t, c.first), testbed.NewScriptedServer(t, testbed.Respond(200, "done"))
			n := startSidecar(t, testConfig(t, readyMember("s-1", failing.Addr), readyMember("s-2", serving.Addr)))
			resp, _ := n.do(n.request("pay"))
			for len(receivedRequests(failing)) == 0 { // the other server got the first request
				resp, _ = n.do(n.request("pay"))
			}
			if resp.StatusCode != c.status {
				t.Errorf("answered %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
}

func TestRejectsInvalidRequests(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "served"))
	n := startSidecar(t, testConfig(t, readyMember("s-1", s.Addr)))
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for name, c := range map[string]struct {
		class  string
		change func(*http.Request)
		status int
	}{
		"unknown class":  {"read", set("X-Qos", "x"), 400},
		"unknown tenant": {"read", set("X-Customer", "x"), 400},
		"no tenant":      {"read", func(r *http.Request) { r.Header.Del("X-Customer") }, 400},
		"no id":          {"read", func(r *http.Request) { r.Header.Del("X-Trace-Id") }, 400},
		"no key":         {"reserve", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"expiry text":    {"read", set("X-Expires-In", "soon"), 400},
		"expiry unit":    {"read", set("X-Expires-In", "12"), 400},
		"expiry below 0": {"read", set("X-Expires-In", "-5m"), 400},
		"expiry NaN":     {"read", set("X-Expires-In", "NaNm"), 400},
		"expiry no end":  {"read", set("X-Expires-In", "infm"), 400},
		"expiry alone":   {"read", set("X-Expires-In", "m"), 400},
		"id with spaces": {"read", set("X-Trace-Id", "a b"), 400},
		"two ids":        {"read", func(r *http.Request) { r.Header.Add("X-Trace-Id", "1") }, 400},
		"two classes":    {"read", func(r *http.Request) { r.Header.Add("X-Qos", "pay") }, 400},
		"method":         {"pay", func(r *http.Request) { r.Method = "PUT" }, 405},
		"path":           {"read", func(r *http.Request) { r.URL.Path = "/other" }, 404},
	} {
		req := n.request(c.class)
		c.change(req)
		if resp, _ := n.do(req); resp.StatusCode != c.status || !resp.Close {
			t.Errorf("%s: answered %d, closing: %v; want %d and a close", name, resp.StatusCode, resp.Close, c.status)
		}
	}
	var text bytes.Buffer
	_ = n.request("pay").Write(&text)
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, strings.Replace(text.String(), "Content-Length: 7", "Content-Length: 33554433", 1))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 413 {
		t.Errorf("long body: answered %v, %v", resp, err)
	}
	if got := len(receivedRequests(s)); got != 0 {
		t.Errorf("%d of the invalid requests were forwarded", got)
	}
}

// holdResponse returns a step that signals started and responds when release is closed or receives a value.
func holdResponse(started chan<- bool, release <-chan bool) testbed.Step {
	return func(c net.Conn) bool {
		started <- true
		<-release
		return testbed.Respond(200, "held")(c)
	}
}

// After SIGTERM new connections are still accepted for acceptGrace, and all accepted requests are answered.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	s := testbed.NewScriptedServer(t, holdResponse(started, release), testbed.Respond(200, "late"))
	cfg := testConfig(t, readyMember("s-1", s.Addr))
	cfg.acceptGrace = 3 * time.Second
	n := startSidecar(t, cfg)
	held := make(chan *http.Response, 1)
	go func() {
		resp, err := n.client.Do(n.request("pay"))
		if err != nil {
			t.Error(err)
		}
		held <- resp
	}()
	testbed.Next(t, started)
	n.shutdown()
	up, err := http.NewRequest("GET", "http://"+n.addr+"/up", nil)
	if err != nil {
		t.Fatal(err)
	}
	testbed.Until(t, "the sidecar starts its shutdown", func() bool {
		resp, _ := n.do(up)
		return resp.StatusCode == 503
	})
	resp, body := n.do(n.request("pay"))
	if resp.StatusCode != 200 || body != "late" || !resp.Close {
		t.Errorf("request on a new connection: %d %q, closing: %v", resp.StatusCode, body, resp.Close)
	}
	close(release)
	if resp := testbed.Next(t, held); resp != nil && (resp.StatusCode != 200 || !resp.Close) {
		t.Errorf("held request: %d, closing: %v", resp.StatusCode, resp.Close)
	}
}

// A client that half-closes its connection cannot be distinguished from one that has gone, but may still read: it gets one
// final error response. net/http would end the handler with an empty 200 although no server has sent a response.
func TestClientHalfCloseFailsRequest(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	s := testbed.NewScriptedServer(t, holdResponse(started, release))
	defer close(release)
	n := startSidecar(t, testConfig(t, readyMember("s-1", s.Addr)))
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := n.request("pay").Write(c); err != nil {
		t.Fatal(err)
	}
	testbed.Next(t, started)
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(testbed.Timeout))
	got, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 502 ") || strings.Count(string(got), "HTTP/1.1") != 1 {
		t.Errorf("answered %q, %v", got, err)
	}
}

// If the client has closed its connection by the time its request is read, the request is not sent to a server. This occurs
// for all queued requests when a stopped sidecar process is resumed.
func TestRequestOfClosedClientIsNotSent(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "one"))
	n := startSidecar(t, testConfig(t, readyMember("s-1", s.Addr)))
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	var request bytes.Buffer
	if err := n.request("pay").Write(&request); err != nil {
		t.Fatal(err)
	}
	// The last byte and the FIN arrive together, as if read from the kernel's buffer after a pause.
	whole := request.Bytes()
	_, _ = c.Write(whole[:len(whole)-1])
	tcp := c.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { // corked until the half-close flushes it
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1)
	})
	_, _ = c.Write(whole[len(whole)-1:])
	_ = tcp.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(testbed.Timeout))
	if got, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 503 ") {
		t.Errorf("answered %q, %v", got, err)
	}
	if requests, _, _ := s.Received(); len(requests) > 0 {
		t.Error("the request was sent to a server")
	}
}

// A received update of the server list applies to the next request.
func TestAppliesDiscoveryUpdates(t *testing.T) {
	one, two := testbed.NewScriptedServer(t, testbed.Respond(200, "one")), testbed.NewScriptedServer(t, testbed.Respond(200, "two"))
	n := startSidecar(t, testConfig(t))
	if resp, err := n.client.Get("http://" + n.addr + "/up"); err != nil || resp.StatusCode != 503 {
		t.Fatalf("/up without servers: %v %v", resp, err)
	}
	sendList := func(l roster.List) {
		t.Helper()
		testbed.Next(t, n.roster.Queries)
		n.roster.Responses <- l
	}
	sendList(roster.List{Revision: 42, Complete: true, Members: []roster.Member{readyMember("s-1", one.Addr)}})
	testbed.Next(t, n.roster.Queries) // the exchange has received the previous list
	if _, body := n.do(n.request("read")); body != "one" {
		t.Errorf("served by %q", body)
	}
	draining := readyMember("s-1", one.Addr)
	draining.Phase = "draining"
	n.roster.Responses <- roster.List{Revision: 43, Members: []roster.Member{draining, readyMember("s-2", two.Addr)}}
	testbed.Next(t, n.roster.Queries)
	for range 3 {
		if _, body := n.do(n.request("read")); body != "two" {
			t.Errorf("served by %q", body)
		}
	}
}

// A rejected request, which is safe to retry, is answered with Retry-After.
func TestRejectionsSetRetryAfter(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(503, "", "X-Never-Ran: 1"))
	n := startSidecar(t, testConfig(t, readyMember("s-1", s.Addr)))
	req := n.request("pay")
	req.Header.Set("X-Expires-In", "300m")
	resp, _ := n.do(req)
	if resp.StatusCode != 503 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || after <= 0 || after > 2 {
		t.Errorf("Retry-After: %q", resp.Header.Get("Retry-After"))
	}
}
