package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"firplank/internal/testbed"
)

func (n *testSidecar) dial() net.Conn {
	n.t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testbed.Timeout))
	return c
}

func (n *testSidecar) send(c net.Conn, text string) {
	n.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		n.t.Fatal(err)
	}
}

// rawRequest returns the text of a request of a class as it is sent, with additional header lines.
func (n *testSidecar) rawRequest(class string, headers ...string) string {
	req := n.request(class)
	var text strings.Builder
	fmt.Fprintf(&text, "%s /api HTTP/1.1\r\nHost: app.svc\r\n", req.Method)
	_ = req.Header.Write(&text)
	for _, line := range headers {
		text.WriteString(line + "\r\n")
	}
	return text.String() + "\r\n"
}

// Idle connections, with no request yet or with one answered request, must not use up the limit of connections: they are
// evicted for new clients. A connection with an open request is never evicted.
func TestIdleClientsAreEvictedFirst(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	s := testbed.NewScriptedServer(t, holdResponse(started, release), testbed.Respond(200, "served"))
	cfg := testConfig(t, readyMember("s-1", s.Addr))
	cfg.Limits.Sockets = 64 // 20 of them for clients
	n := startSidecar(t, cfg)
	open := n.dial()
	n.send(open, n.rawRequest("read"))
	testbed.Next(t, started)
	for range 100 {
		n.dial()
		idle := n.dial()
		n.send(idle, n.rawRequest("read"))
		resp, err := http.ReadResponse(bufio.NewReader(idle), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("a client beside many idle connections: %v %v", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(open), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the open request: %v %v", resp, err)
	}
}

// Clients that send one request and keep their connections use up the application's descriptors long before those of the
// sidecar run short. Therefore only some connections stay open; others are closed after the response, as HTTP allows.
func TestLimitsIdleClientConnections(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "served"))
	cfg := testConfig(t, readyMember("s-1", s.Addr))
	cfg.Limits.Sockets = 224 // 100 of them for clients, 25 to be kept
	n := startSidecar(t, cfg)
	kept := 0
	for range 60 {
		c := n.dial()
		n.send(c, n.rawRequest("read"))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v %v", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if !resp.Close {
			kept++
		}
	}
	if kept < 20 || kept > 30 {
		t.Errorf("%d of 60 are kept, want about 25", kept)
	}
}

// Clients that send requests slowly must not use up the limit of connections: the slowest incomplete request is evicted.
func TestSlowestRequestsAreEvicted(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "served"))
	cfg := testConfig(t, readyMember("s-1", s.Addr))
	cfg.Limits.Sockets = 64 // 20 of them for clients
	n := startSidecar(t, cfg)
	for i := range 60 {
		half := n.rawRequest("pay", "Content-Length: 100") + "half"
		n.send(n.dial(), half[:len(half)-40*(i%2)]) // half a head, or half a body
		if resp, _ := n.do(n.request("read")); resp.StatusCode != 200 {
			t.Fatalf("after %d: answered %d", i, resp.StatusCode)
		}
		n.client.CloseIdleConnections()
	}
}

// A client that stops in the middle of a request, or sends nothing, gets an answer or a close within 3 s.
func TestStalledClientsTimeOut(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "served"))
	n := startSidecar(t, testConfig(t, readyMember("s-1", s.Addr)))
	for name, text := range map[string]string{
		"nothing": "", "half a head": "POST /api HTTP/1.1\r\nX-Qos: p",
		"half a body":  n.rawRequest("pay", "Content-Length: 100") + "half",
		"half a chunk": n.rawRequest("pay", "Transfer-Encoding: chunked") + "10\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := n.dial()
			n.send(c, text)
			start := time.Now()
			got, err := io.ReadAll(c)
			if err != nil || strings.HasPrefix(string(got), "HTTP/1.1 200") {
				t.Errorf("got %q, %v", got, err)
			}
			if took := time.Since(start); took < 2*time.Second || took > testbed.Timeout/2 {
				t.Errorf("closed after %v", took)
			}
		})
	}
	t.Cleanup(func() {
		if got := receivedRequests(s); len(got) != 0 {
			t.Errorf("%d of them were forwarded", len(got))
		}
	})
}

// Guards against request smuggling: a request with two lengths, with more data than its announced length, or inside the body
// of another request must not be forwarded to a server.
func TestRejectsRequestSmuggling(t *testing.T) {
	s := testbed.NewScriptedServer(t, testbed.Respond(200, "served"))
	n := startSidecar(t, testConfig(t, readyMember("s-1", s.Addr)))
	for name, text := range map[string]string{
		"two lengths":         n.rawRequest("pay", "Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n" + n.rawRequest("read"),
		"two lengths, turned": n.rawRequest("pay", "Transfer-Encoding: chunked", "Content-Length: 5") + "0\r\n\r\n" + n.rawRequest("read"),
		"behind the body":     n.rawRequest("pay", "Content-Length: 2") + "ab" + n.rawRequest("read"),
		"too short a length":  n.rawRequest("pay", "Content-Length: 2") + "abcdef",
		"body of a read":      n.rawRequest("read", "Content-Length: 2") + "ab",
		"behind a bad one":    n.rawRequest("none") + n.rawRequest("read"),
	} {
		c := n.dial()
		n.send(c, text)
		got, err := io.ReadAll(c)
		if !strings.HasPrefix(string(got), "HTTP/1.1 400") || strings.Contains(string(got), " 200 ") {
			t.Errorf("%s: got %q, %v", name, got, err)
		}
	}
	if got := receivedRequests(s); len(got) != 0 {
		t.Errorf("%d of them were forwarded", len(got))
	}
}

// A second request with the id of an open one is rejected, and the first gets its own response.
func TestRejectsIDOfOpenRequest(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	s := testbed.NewScriptedServer(t, holdResponse(started, release), testbed.Respond(200, "again"))
	n := startSidecar(t, testConfig(t, readyMember("s-1", s.Addr)))
	text := n.rawRequest("pay", "Content-Length: 2") + "ab"
	first, second := n.dial(), n.dial()
	n.send(first, text)
	testbed.Next(t, started)
	n.send(second, strings.Replace(text, "ab", "xy", 1))
	if got, _ := io.ReadAll(second); !strings.HasPrefix(string(got), "HTTP/1.1 409") {
		t.Errorf("the second got %q", got)
	}
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(first), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("the first got %v, %v", resp, err)
	}
	if body, _ := io.ReadAll(resp.Body); string(body) != "held" {
		t.Errorf("the first got the body %q", body)
	}
	n.send(first, text) // the first has ended, so its id can be used again
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("same id after the first ended: %v, %v", resp, err)
	}
}
