package sidecar

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"firplank/contract"
	"firplank/internal/options"
	"firplank/internal/testbed"
	codec "firplank/msgpackrpc"
)

const acmeContract = `
[[team]]
name = "acme"
tenants = ["acme"]
worth_per_s = 24
burst = 8
[[team.class]]
name = "reserve"
[[team.class]]
name = "read"
`

// withContracts puts contracts into a configuration, all of every budget, and returns what rewrites them.
func withContracts(t *testing.T, cfg *Config, text string) (rewrite func(text string)) {
	t.Helper()
	dir := t.TempDir()
	rewrite = func(text string) {
		t.Helper()
		path := filepath.Join(dir, "teams.toml")
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	rewrite(text)
	cfg.Options.Broker = options.Broker{ContractsDir: dir, BudgetShare: 1}
	var err error
	if cfg.contracts, err = cfg.loadContracts(); err != nil {
		t.Fatal(err)
	}
	cfg.reread = func() (*Config, error) { return cfg, nil }
	return rewrite
}

// Beyond its budget a team is told 429 and when to come back, at once; what is not in its contract is 403. Neither reaches
// a server. MessagePack-RPC says the same.
func TestContractsOnTheWire(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "ok"))
	cfg := rpcConfig(t, false, ready("s-1", s.Addr))
	withContracts(t, cfg, acmeContract)
	n := startNode(t, cfg)
	if resp, body := n.do(n.request("reserve")); resp.StatusCode != 200 {
		t.Fatalf("within: %d %q", resp.StatusCode, body)
	}
	req := n.request("reserve")
	req.Header.Set("Idempotency-Key", "other")
	resp, body := n.do(req)
	if resp.StatusCode != 429 || !strings.HasPrefix(resp.Header.Get("Retry-After"), "0.3") || !strings.Contains(body, "over_budget") {
		t.Errorf("beyond: %d, Retry-After %q, %q", resp.StatusCode, resp.Header.Get("Retry-After"), body)
	}
	if resp, body := n.do(n.request("pay")); resp.StatusCode != 403 || !strings.Contains(body, "no_class") {
		t.Errorf("not in the contract: %d %q", resp.StatusCode, body)
	}
	bolt := n.request("read")
	bolt.Header.Set("X-Customer", "bolt")
	if resp, body := n.do(bolt); resp.StatusCode != 403 || !strings.Contains(body, "no_team") {
		t.Errorf("nobody's: %d %q", resp.StatusCode, body)
	}
	token := n.request("read")
	token.Header.Set("Authorization", "Bearer guess")
	if resp, _ := n.do(token); resp.StatusCode != 403 {
		t.Errorf("a wrong token: %d", resp.StatusCode)
	}
	c, in := n.dialRPC()
	_, _ = c.Write(codec.AppendRequest(nil, 1, "plate.reserve", []byte("\x92\xa3k-9\xa3t-1")))
	f, err := in.Next()
	if err != nil || !strings.Contains(string(f.Error), "refused") || !strings.Contains(string(f.Error), "retry_after_ms") {
		t.Errorf("over MessagePack-RPC: %q, %v", f.Error, err)
	}
	if got := len(requestsOf(s)); got != 1 {
		t.Errorf("%d requests reached the server", got)
	}
}

// Contracts change ten times a second with requests in flight, and at last their team is gone: each gets its own answer,
// the new terms hold for the next request, and a bad file changes nothing.
func TestContractsChangeInFlight(t *testing.T) {
	started, release := make(chan bool, 100), make(chan bool)
	s := testbed.NewScriptedServer(t, hold(started, release))
	cfg := testConfig(t, ready("s-1", s.Addr))
	generous := strings.Replace(acmeContract, "burst = 8", "burst = 100", 1)
	rewrite := withContracts(t, cfg, generous)
	n := startNode(t, cfg)
	answers := make(chan int, 10)
	for range 5 {
		req := n.request("read")
		go func() {
			resp, err := n.client.Do(req)
			if err != nil {
				answers <- 0
				return
			}
			_ = resp.Body.Close()
			answers <- resp.StatusCode
		}()
		testbed.Next(t, started)
	}
	change := func(text string) {
		rewrite(text)
		n.reloads <- syscall.SIGHUP
		time.Sleep(100 * time.Millisecond)
	}
	for i := range 5 {
		if i%2 == 0 {
			change(strings.Replace(generous, "24", "1e-9", 1))
		} else {
			change(generous)
		}
	}
	change("[[team]]\nname = 7\n") // the old one stays
	change(strings.Replace(acmeContract, "acme", "bolt", 2))
	testbed.Until(t, "its team is gone", func() bool {
		resp, _ := n.do(n.request("read"))
		return resp.StatusCode == 403
	})
	close(release)
	for range 5 {
		if status := testbed.Next(t, answers); status != 200 {
			t.Errorf("one in flight was answered %d", status)
		}
	}
	change(acmeContract)
	testbed.Until(t, "it is back", func() bool {
		resp, _ := n.do(n.request("read"))
		return resp.StatusCode == 200
	})
}

// Operators see every team's account, on an address of their own.
func TestOperatorsPage(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "ok"))
	cfg := testConfig(t, ready("s-1", s.Addr))
	withContracts(t, cfg, acmeContract)
	n := startNode(t, cfg)
	n.do(n.request("reserve"))
	resp, err := http.Get("http://" + n.operators + "/broker")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var r contract.Report
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		t.Fatal(err)
	}
	if len(r.Teams) != 1 || r.Teams[0].Team != "acme" || r.Teams[0].Requests["within"] != 1 ||
		r.Teams[0].Worth["within"] != 8 || r.Teams[0].Open != 0 {
		t.Errorf("%+v", r)
	}
}
