package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"firplank/internal/roster"
	"firplank/internal/testbed"
)

func noEnv(string) string { return "" }

func testConfig(t *testing.T, servers ...roster.Member) *Config {
	t.Helper()
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(text, noEnv)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Known.Members, cfg.acceptGrace, cfg.reuseDelay = servers, 0, 0
	cfg.readiness = func() error { return nil } // looked for by a test of its own; it costs a busy machine some of the start
	return cfg
}

func ready(id, addr string) roster.Member {
	return roster.Member{ID: id, HostPort: addr, Locality: "room-1", Flavor: "small", Cell: 1, Phase: "ready", Size: 1}
}

// node is a sidecar under test.
type node struct {
	t         *testing.T
	addr      string
	operators string // of the operators' pages, where there are contracts
	rpc       string // of MessagePack-RPC, where that is on
	roster    *testbed.DiscoveryServer
	end       context.CancelFunc // as SIGTERM does
	ended     chan error
	client    *http.Client

	reloads chan os.Signal // SIGHUP
}

func startNode(t *testing.T, cfg *Config) *node {
	t.Helper()
	n := &node{t: t, roster: testbed.NewDiscoveryServer(t), ended: make(chan error, 1), reloads: make(chan os.Signal, 1), client: &http.Client{
		Transport: &http.Transport{}, Timeout: testbed.Timeout,
	}}
	cfg.Discovery = n.roster.Addr
	ln := testbed.Listen(t)
	n.addr = ln.Addr().String()
	on := listeners{http: ln}
	if cfg.contracts != nil {
		on.operators = testbed.Listen(t)
		n.operators = on.operators.Addr().String()
	}
	if cfg.methods != nil {
		on.rpc = testbed.Listen(t)
		n.rpc = on.rpc.Addr().String()
	}
	ctx, end := context.WithCancel(context.Background())
	n.end = end
	go func() { n.ended <- serve(ctx, cfg, on, n.reloads, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		n.client.CloseIdleConnections()
		endsWell(t, end, n.ended)
	})
	return n
}

// endsWell ends a sidecar and waits for it.
func endsWell(t *testing.T, end context.CancelFunc, ended <-chan error) {
	t.Helper()
	end()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the sidecar ended with %v", err)
		}
	case <-time.After(testbed.Timeout):
		t.Error("the sidecar does not end")
	}
}

var traces atomic.Int64

// request makes a request of a class, with the headers that it wants.
func (n *node) request(class string) *http.Request {
	method := http.MethodPost
	var body io.Reader = strings.NewReader("order 7")
	if class == "read" {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequest(method, "http://"+n.addr+"/api?item=a%2Fb", body)
	if err != nil {
		n.t.Fatal(err)
	}
	req.Header = http.Header{
		"X-Trace-Id": {fmt.Sprintf("%016x", traces.Add(1))}, "X-Qos": {class}, "X-Customer": {"acme"}, "X-Expires-In": {"15000m"},
	}
	if class == "reserve" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	return req
}

func (n *node) do(req *http.Request) (*http.Response, string) {
	n.t.Helper()
	resp, err := n.client.Do(req)
	if err != nil {
		n.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatal(err)
	}
	return resp, string(body)
}

func requestsOf(s *testbed.ScriptedServer) []*http.Request {
	r, _, _ := s.Received()
	return r
}
