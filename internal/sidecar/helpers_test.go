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

func emptyEnv(string) string { return "" }

func testConfig(t *testing.T, servers ...roster.Member) *Config {
	t.Helper()
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(text, emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Known.Members, cfg.acceptGrace, cfg.reuseDelay = servers, 0, 0
	cfg.checkPoller = func() error { return nil } // tested by TestServesWithoutPoller; the real check delays the start on a busy machine
	return cfg
}

func readyMember(id, addr string) roster.Member {
	return roster.Member{ID: id, HostPort: addr, Locality: "room-1", Flavor: "small", Cell: 1, Phase: "ready", Size: 1}
}

// testSidecar is a running sidecar under test.
type testSidecar struct {
	t         *testing.T
	addr      string
	pagesAddr string // of the operators' pages, if there are contracts
	rpcAddr   string // of MessagePack-RPC, if that is enabled
	roster    *testbed.DiscoveryServer
	shutdown  context.CancelFunc // has the effect of SIGTERM
	done      chan error
	client    *http.Client

	reloads chan os.Signal // SIGHUP
}

func startSidecar(t *testing.T, cfg *Config) *testSidecar {
	t.Helper()
	n := &testSidecar{
		t: t, roster: testbed.NewDiscoveryServer(t), done: make(chan error, 1), reloads: make(chan os.Signal, 1),
		client: &http.Client{Transport: &http.Transport{}, Timeout: testbed.Timeout},
	}
	cfg.Discovery = n.roster.Addr
	ln := testbed.Listen(t)
	n.addr = ln.Addr().String()
	lns := listeners{http: ln}
	if cfg.contracts != nil {
		lns.pages = testbed.Listen(t)
		n.pagesAddr = lns.pages.Addr().String()
	}
	if cfg.methods != nil {
		lns.rpc = testbed.Listen(t)
		n.rpcAddr = lns.rpc.Addr().String()
	}
	ctx, shutdown := context.WithCancel(context.Background())
	n.shutdown = shutdown
	go func() { n.done <- serve(ctx, cfg, lns, n.reloads, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		n.client.CloseIdleConnections()
		shutdownAndWait(t, shutdown, n.done)
	})
	return n
}

// shutdownAndWait shuts a sidecar down and waits until it has ended without an error.
func shutdownAndWait(t *testing.T, shutdown context.CancelFunc, done <-chan error) {
	t.Helper()
	shutdown()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("the sidecar ended with %v", err)
		}
	case <-time.After(testbed.Timeout):
		t.Error("the sidecar has not ended")
	}
}

var lastTraceID atomic.Int64

// request returns a request of a class, with the headers that the class requires.
func (n *testSidecar) request(class string) *http.Request {
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
		"X-Trace-Id": {fmt.Sprintf("%016x", lastTraceID.Add(1))}, "X-Qos": {class}, "X-Customer": {"acme"}, "X-Expires-In": {"15000m"},
	}
	if class == "reserve" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	return req
}

func (n *testSidecar) do(req *http.Request) (*http.Response, string) {
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

func receivedRequests(s *testbed.ScriptedServer) []*http.Request {
	r, _, _ := s.Received()
	return r
}
