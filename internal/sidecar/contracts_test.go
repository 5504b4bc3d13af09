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

// withContracts adds contracts to a configuration, with the full share of each budget. It returns a function that replaces
// their file.
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
	cfg.rereadFile = func() (*Config, error) { return cfg, nil }
	return rewrite
}

// A request beyond its team's budget is answered with 429 and Retry-After, and one that no contract covers with 403. Neither
// is forwarded to a server. MessagePack-RPC returns the equivalent error.
func TestContractRejections(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "ok"))
	cfg := rpcConfig(t, false, readyMember("s-1", s.Addr))
	withContracts(t, cfg, acmeContract)
	n := startSidecar(t, cfg)
	if resp, body := n.do(n.request("reserve")); resp.StatusCode != 200 {
		t.Fatalf("within the budget: %d %q", resp.StatusCode, body)
	}
	req := n.request("reserve")
	req.Header.Set("Idempotency-Key", "other")
	resp, body := n.do(req)
	if resp.StatusCode != 429 || !strings.HasPrefix(resp.Header.Get("Retry-After"), "0.3") || !strings.Contains(body, "over_budget") {
		t.Errorf("beyond the budget: %d, Retry-After %q, %q", resp.StatusCode, resp.Header.Get("Retry-After"), body)
	}
	if resp, body := n.do(n.request("pay")); resp.StatusCode != 403 || !strings.Contains(body, "no_class") {
		t.Errorf("class not in the contract: %d %q", resp.StatusCode, body)
	}
	bolt := n.request("read")
	bolt.Header.Set("X-Customer", "bolt")
	if resp, body := n.do(bolt); resp.StatusCode != 403 || !strings.Contains(body, "no_team") {
		t.Errorf("tenant without a team: %d %q", resp.StatusCode, body)
	}
	token := n.request("read")
	token.Header.Set("Authorization", "Bearer guess")
	if resp, _ := n.do(token); resp.StatusCode != 403 {
		t.Errorf("invalid token: %d", resp.StatusCode)
	}
	c, in := n.dialRPC()
	_, _ = c.Write(codec.AppendRequest(nil, 1, "plate.reserve", []byte("\x92\xa3k-9\xa3t-1")))
	f, err := in.Next()
	if err != nil || !strings.Contains(string(f.Error), "refused") || !strings.Contains(string(f.Error), "retry_after_ms") {
		t.Errorf("over MessagePack-RPC: %q, %v", f.Error, err)
	}
	if got := len(receivedRequests(s)); got != 1 {
		t.Errorf("%d requests reached the server", got)
	}
}

// Contracts are reloaded ten times a second with requests in flight, and finally without their team: each request in flight
// gets its own response, new contracts apply to the next request, and an invalid file changes nothing.
func TestContractReloadKeepsRequestsInFlight(t *testing.T) {
	started, release := make(chan bool, 100), make(chan bool)
	s := testbed.NewScriptedServer(t, holdResponse(started, release))
	cfg := testConfig(t, readyMember("s-1", s.Addr))
	generous := strings.Replace(acmeContract, "burst = 8", "burst = 100", 1)
	rewrite := withContracts(t, cfg, generous)
	n := startSidecar(t, cfg)
	statuses := make(chan int, 10)
	for range 5 {
		req := n.request("read")
		go func() {
			resp, err := n.client.Do(req)
			if err != nil {
				statuses <- 0
				return
			}
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}()
		testbed.Next(t, started)
	}
	reload := func(text string) {
		rewrite(text)
		n.reloads <- syscall.SIGHUP
		time.Sleep(100 * time.Millisecond)
	}
	for i := range 5 {
		if i%2 == 0 {
			reload(strings.Replace(generous, "24", "1e-9", 1))
		} else {
			reload(generous)
		}
	}
	reload("[[team]]\nname = 7\n") // invalid: the present contracts are kept
	reload(strings.Replace(acmeContract, "acme", "bolt", 2))
	testbed.Until(t, "the team is removed", func() bool {
		resp, _ := n.do(n.request("read"))
		return resp.StatusCode == 403
	})
	close(release)
	for range 5 {
		if status := testbed.Next(t, statuses); status != 200 {
			t.Errorf("a request in flight was answered %d", status)
		}
	}
	reload(acmeContract)
	testbed.Until(t, "the team is added again", func() bool {
		resp, _ := n.do(n.request("read"))
		return resp.StatusCode == 200
	})
}

// The operators' page /broker has the counts of each team, on the address of the operators' pages.
func TestBrokerPage(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "ok"))
	cfg := testConfig(t, readyMember("s-1", s.Addr))
	withContracts(t, cfg, acmeContract)
	n := startSidecar(t, cfg)
	n.do(n.request("reserve"))
	resp, err := http.Get("http://" + n.pagesAddr + "/broker")
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
