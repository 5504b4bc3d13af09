package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"firplank/internal/handover"
	"firplank/internal/roster"
	"firplank/internal/testbed"
)

// process is a sidecar as started by Run, with an operators' console and a directory that other processes may share.
type process struct {
	t           *testing.T
	addr        string
	consoleAddr string
	shutdown    context.CancelFunc
	done        chan error
}

// startProcess starts a process that listens on addr or, if that is empty, on a new address.
func startProcess(t *testing.T, cfg *Config, dir, addr string, discovery *testbed.DiscoveryServer) *process {
	t.Helper()
	cfg.Discovery = discovery.Addr
	cfg.Admin = "127.0.0.1:0"
	if addr == "" {
		ln := testbed.Listen(t)
		addr = ln.Addr().String()
		_ = ln.Close()
	}
	cfg.Listen = addr
	console := testbed.Listen(t)
	instance, err := handover.Join(dir)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	lns := listeners{console: console, instance: instance, openDeferred: cfg.openListeners, log: log}
	if !instance.Peers().Older {
		if err := lns.openDeferred(&lns); err != nil {
			t.Fatal(err)
		}
		lns.openDeferred = nil
	}
	ctx, shutdown := context.WithCancel(context.Background())
	p := &process{t: t, addr: addr, consoleAddr: console.Addr().String(), shutdown: shutdown, done: make(chan error, 1)}
	go func() {
		err := serve(ctx, cfg, lns, nil, log)
		instance.Leave()
		p.done <- err
	}()
	t.Cleanup(func() { shutdownAndWait(t, shutdown, p.done) })
	return p
}

func (p *process) call(line string) string {
	p.t.Helper()
	c, err := net.Dial("tcp", p.consoleAddr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testbed.Timeout))
	_, _ = io.WriteString(c, line+"\n")
	got, err := io.ReadAll(c)
	if err != nil {
		p.t.Fatal(err)
	}
	return strings.TrimSuffix(string(got), "\n")
}

func (p *process) metric(name string) int {
	p.t.Helper()
	for _, line := range strings.Split(p.call("METRICS"), "\n") {
		if v, ok := strings.CutPrefix(line, "sidecar."+name+"="); ok {
			n, err := strconv.Atoi(v)
			if err != nil {
				p.t.Fatal(err)
			}
			return n
		}
	}
	p.t.Fatalf("no metric %s", name)
	return 0
}

// get sends a request with client and returns the body or, unless the status is 200, the status.
func (p *process) get(client *http.Client) string {
	p.t.Helper()
	n := testSidecar{t: p.t, addr: p.addr, client: client}
	resp, body := n.do(n.request("read"))
	if resp.StatusCode != 200 {
		return resp.Status
	}
	return body
}

func newClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{}, Timeout: testbed.Timeout}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func twoServers(t *testing.T) (*Config, roster.List) {
	one, two := testbed.NewScriptedServer(t, testbed.Respond(200, "one")), testbed.NewScriptedServer(t, testbed.Respond(200, "two"))
	list := roster.List{Revision: 42, Complete: true, Members: []roster.Member{readyMember("s-1", one.Addr), readyMember("s-2", two.Addr)}}
	return testConfig(t, list.Members...), list
}

// A manually ejected server receives no requests until it is restored, even after discovery lists it again and after a hot
// restart.
func TestManuallyEjectedServersReceiveNothing(t *testing.T) {
	cfg, list := twoServers(t)
	dir := filepath.Join(t.TempDir(), "shared")
	discovery := testbed.NewDiscoveryServer(t)
	p, client := startProcess(t, cfg, dir, "", discovery), newClient(t)
	wantServedBy := func(p *process, what, want string) {
		t.Helper()
		for range 6 {
			if got := p.get(client); got != want {
				t.Fatalf("%s: served by %q", what, got)
			}
		}
	}
	if got := p.call("SUSPEND s-9"); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("a server that was never listed: %q", got)
	}
	for range 2 {
		if got := p.call("SUSPEND s-1"); got != "+OK" {
			t.Fatalf("answered %q", got)
		}
	}
	wantServedBy(p, "out", "two")
	if size, avoided := p.metric("cluster_size"), p.metric("cluster_unhealthy"); size != 2 || avoided != 1 {
		t.Errorf("%d servers, %d avoided", size, avoided)
	}
	testbed.Next(t, discovery.Queries)
	gone := list.Members[0]
	gone.Phase = "gone"
	discovery.Responses <- roster.List{Revision: 43, Members: []roster.Member{gone}}
	testbed.Next(t, discovery.Queries)
	discovery.Responses <- roster.List{Revision: 44, Members: list.Members[:1]}
	testbed.Next(t, discovery.Queries)
	wantServedBy(p, "listed again", "two")

	next, _ := twoServers(t)
	next.Known = cfg.Known
	q := startProcess(t, next, dir, p.addr, discovery)
	testbed.Next(t, discovery.Queries) // the second process requests a complete list first
	list.Revision = 45
	discovery.Responses <- list
	testbed.Until(t, "the second process serves", func() bool { return q.call("STATUS") == "+OK" })
	p.shutdown()
	p.done <- testbed.Next(t, p.done) // for the cleanup
	client.CloseIdleConnections()
	wantServedBy(q, "after a hot restart", "two")
	if got := q.call("RESTORE s-1"); got != "+OK" {
		t.Fatalf("answered %q", got)
	}
	testbed.Until(t, "the restored server serves again", func() bool { return q.get(client) == "one" })
}

// No request fails while one process replaces the other, whether clients reuse connections or open new ones.
func TestHotRestartLosesNoRequests(t *testing.T) {
	cfg, list := twoServers(t)
	dir := t.TempDir()
	discovery := testbed.NewDiscoveryServer(t)
	p := startProcess(t, cfg, dir, "", discovery)
	stop, addr := make(chan bool), p.addr
	var clients sync.WaitGroup
	failures := make(chan error, 100)
	for i := range 4 {
		clients.Go(func() {
			client := newClient(t)
			client.Transport.(*http.Transport).DisableKeepAlives = i%2 == 0
			for {
				select {
				case <-stop:
					return
				default:
				}
				n := testSidecar{t: t, addr: addr}
				resp, err := client.Do(n.request("read"))
				if err == nil {
					_, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if resp.StatusCode != 200 {
						err = fmt.Errorf("answered %s", resp.Status)
					}
				}
				if err != nil {
					failures <- err
					return
				}
			}
		})
	}
	for i := range 3 {
		next, _ := twoServers(t)
		next.Known = cfg.Known
		q := startProcess(t, next, dir, addr, discovery)
		list.Revision += int64(i) + 1
		discovery.Responses <- list // for either process: the first has this list already
		testbed.Until(t, "the next process serves", func() bool { return q.call("STATUS") == "+OK" })
		p.shutdown()
		p.done <- testbed.Next(t, p.done)
		p = q
	}
	close(stop)
	clients.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
}

// PAUSE drains the sidecar: the health check fails, requests are still served, idle connections are closed and each response
// closes its connection. RESUME ends the drain.
func TestPauseAndResume(t *testing.T) {
	bothFronts(t, func(t *testing.T, config func(...*testbed.ScriptedServer) *Config) {
		s := testbed.NewScriptedServer(t, testbed.Respond(200, "one"))
		p := startProcess(t, config(s), t.TempDir(), "", testbed.NewDiscoveryServer(t))
		client := newClient(t)
		up := func() int {
			resp, err := client.Get("http://" + p.addr + "/up")
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		if up() != 200 || p.get(client) != "one" {
			t.Fatal("does not serve")
		}
		idle, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = idle.Close() }()
		_, _ = io.WriteString(idle, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
		in := bufio.NewReader(idle)
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.Close {
			t.Fatalf("%v, %v", resp, err)
		} else {
			_, _ = io.ReadAll(resp.Body)
		}
		if got := p.call("PAUSE"); got != "+OK" {
			t.Fatalf("answered %q", got)
		}
		if got := up(); got != 503 {
			t.Errorf("/up: %d", got)
		}
		n := testSidecar{t: t, addr: p.addr, client: client}
		if resp, body := n.do(n.request("read")); body != "one" || !resp.Close {
			t.Errorf("request while paused: %q, closing: %v", body, resp.Close)
		}
		_ = idle.SetReadDeadline(time.Now().Add(testbed.Timeout))
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("the idle connection: %v", err)
		}
		if got := p.call("RESUME"); got != "+OK" || up() != 200 {
			t.Errorf("after RESUME: %q, /up %d", got, up())
		}
	})
}

// The metrics match the responses that clients received exactly.
func TestMetricsMatchResponses(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "one"), testbed.Respond(500, ""), testbed.Respond(503, "", "X-Never-Ran: 1"))
	p := startProcess(t, testConfig(t, readyMember("s-1", s.Addr)), t.TempDir(), "", testbed.NewDiscoveryServer(t))
	n := testSidecar{t: t, addr: p.addr, client: newClient(t)}
	for _, want := range []int{200, 502, 503} {
		req := n.request("pay")
		req.Header.Set("X-Expires-In", "300m")
		if resp, _ := n.do(req); resp.StatusCode != want {
			t.Fatalf("answered %d, want %d", resp.StatusCode, want)
		}
	}
	for name, want := range map[string]int{
		"answered.pay": 1, "errored.pay": 1, "deferred.pay": 1, "answered.read": 0, "current": 0, "conf_loaded": 0,
	} {
		if got := p.metric(name); got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
	if got, _, _ := s.Received(); p.metric("sends") != len(got) {
		t.Errorf("%d sends, the server received %d", p.metric("sends"), len(got))
	}
}
