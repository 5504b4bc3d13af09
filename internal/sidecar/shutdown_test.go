package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"firplank/internal/testbed"
	codec "firplank/msgpackrpc"
)

// withShortDrain sets a short maximum drain time.
func withShortDrain(cfg *Config) *Config {
	cfg.maxDrain = 300 * time.Millisecond
	return cfg
}

// sendPart sends a request without its last omittedBytes bytes on a new connection. It returns the connection and the bytes
// that were not sent.
func (n *testSidecar) sendPart(req *http.Request, omittedBytes int) (net.Conn, *bytes.Buffer) {
	n.t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testbed.Timeout))
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		n.t.Fatal(err)
	}
	_, _ = c.Write(text.Next(text.Len() - omittedBytes))
	return c, &text
}

func readResponse(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatalf("read response body: %v", err)
	}
	return resp
}

// Requests whose deadlines are later than the end of the drain get their final answers before it: 502, or 503 if a retry is
// safe.
func TestShutdownAnswersLongDeadlines(t *testing.T) {
	bothFronts(t, func(t *testing.T, config func(...*testbed.ScriptedServer) *Config) {
		started, release := make(chan bool, 8), make(chan bool)
		defer close(release)
		s := testbed.NewScriptedServer(t, holdResponse(started, release))
		n := startSidecar(t, withShortDrain(config(s)))
		want := map[string]int{"read": 503, "reserve": 502, "pay": 502}
		conns := map[string]net.Conn{}
		for class := range want {
			conns[class], _ = n.sendPart(n.request(class), 0)
			testbed.Next(t, started)
		}
		n.shutdown()
		for class, status := range want {
			resp := readResponse(t, conns[class])
			after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.StatusCode != status || !resp.Close || (after > 0) != (status == 503) {
				t.Errorf("%s: %d, Retry-After %v, closing: %v", class, resp.StatusCode, after, resp.Close)
			}
		}
		if requests, _, _ := s.Received(); len(requests) != 3 {
			t.Errorf("%d attempts", len(requests))
		}
	})
}

// A client that reads nothing until the sidecar has ended still receives its complete response.
func TestShutdownAnswersSlowReaders(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	defer close(release)
	s := testbed.NewScriptedServer(t, holdResponse(started, release))
	n := startSidecar(t, withShortDrain(testConfig(t, readyMember("s-1", s.Addr))))
	c, _ := n.sendPart(n.request("pay"), 0)
	testbed.Next(t, started)
	n.shutdown()
	n.done <- testbed.Next(t, n.done) // for the cleanup
	if resp := readResponse(t, c); resp.StatusCode != 502 {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

// A request on an existing connection that becomes complete while the last responses are written is rejected and not sent to a
// server. So is a request that never becomes complete.
func TestShutdownRejectsLateRequest(t *testing.T) {
	bothFronts(t, func(t *testing.T, config func(...*testbed.ScriptedServer) *Config) {
		started, release := make(chan bool, 8), make(chan bool)
		defer close(release)
		s := testbed.NewScriptedServer(t, holdResponse(started, release))
		cfg := config(s)
		cfg.maxDrain, cfg.responseMargin = testbed.Timeout, testbed.Timeout
		n := startSidecar(t, cfg)
		heldConn, _ := n.sendPart(n.request("pay"), 0)
		testbed.Next(t, started)
		expecting := n.request("pay")
		expecting.Header.Set("Expect", "100-continue")
		lateConn, rest := n.sendPart(expecting, len("order 7"))
		const continueHead = "HTTP/1.1 100 Continue\r\n\r\n" // received once the front has read the head
		if _, err := io.ReadFull(lateConn, make([]byte, len(continueHead))); err != nil {
			t.Fatal(err)
		}
		n.shutdown()
		readResponse(t, heldConn)
		_, _ = lateConn.Write(rest.Bytes())
		if resp := readResponse(t, lateConn); resp.StatusCode != 503 {
			t.Errorf("answered %d", resp.StatusCode)
		}
		if requests, _, _ := s.Received(); len(requests) != 1 {
			t.Errorf("%d attempts", len(requests))
		}
	})
}

// A request that is still incomplete at the end is rejected with 503: it cannot have run.
func TestShutdownRejectsIncompleteRequest(t *testing.T) {
	n := startSidecar(t, withShortDrain(testConfig(t, readyMember("s-1", testbed.NewScriptedServer(t, testbed.Respond(200, "one")).Addr))))
	c, _ := n.sendPart(n.request("pay"), 3)
	n.shutdown()
	if resp := readResponse(t, c); resp.StatusCode != 503 {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

// A request whose body is still being uploaded at the end of the drain gets an answer during the upload.
func TestShutdownAnswersUploads(t *testing.T) {
	bothFronts(t, func(t *testing.T, config func(...*testbed.ScriptedServer) *Config) {
		started := make(chan bool, 1)
		addr := testbed.ServeHTTP(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			started <- true
			_, _ = io.Copy(io.Discard, r.Body)
		}))
		cfg := withShortDrain(config())
		cfg.Known.Members = append(cfg.Known.Members, readyMember("s-1", addr))
		n := startSidecar(t, cfg)
		req := n.request("pay")
		stop := make(chan bool)
		defer close(stop)
		body := &slowBody{chunk: randomBody(20000), stop: stop}
		req.Body, req.ContentLength = io.NopCloser(body), 8<<20
		answered := make(chan string, 1)
		go func() {
			resp, err := n.client.Do(req)
			if err != nil {
				answered <- err.Error()
				return
			}
			_ = resp.Body.Close()
			answered <- resp.Status
		}()
		testbed.Next(t, started)
		n.shutdown()
		if got := testbed.Next(t, answered); !strings.HasPrefix(got, "502") {
			t.Errorf("answered %s", got)
		}
	})
}

// slowBody is a body that is sent slowly and ends only when stop is closed.
type slowBody struct {
	chunk []byte
	stop  chan bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(20 * time.Millisecond):
		return copy(p, b.chunk), nil
	case <-b.stop:
		return 0, io.ErrUnexpectedEOF
	}
}

// Over MessagePack-RPC every id is answered before the end of the drain.
func TestShutdownAnswersRPC(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	server := newRPCServer(t, func(codec.Frame) ([]byte, []byte) { <-release; return nil, []byte{1} })
	n := startSidecar(t, withShortDrain(rpcConfig(t, true, readyMember("s-1", server.addr))))
	c, in := n.dialRPC()
	const calls = 20
	for id := range uint32(calls) {
		params := []byte(fmt.Sprintf("\x92\xa4k-%02d\xa4t-%02d", id, id))
		_, _ = c.Write(codec.AppendRequest(nil, id, "plate.reserve", params))
	}
	testbed.Until(t, "all calls have reached the server", func() bool { return len(server.arrivalTimes()) == calls })
	n.shutdown()
	for range calls {
		f, err := in.Next()
		if err != nil {
			t.Fatalf("read response: %v", err)
		}
		if !f.Failed() {
			t.Errorf("id %d is answered %x", f.ID, f.Result)
		}
	}
}

// A process that is replaced in a hot restart answers the requests that it has accepted.
func TestHotRestartAnswersAcceptedRequests(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	defer close(release)
	s := testbed.NewScriptedServer(t, holdResponse(started, release))
	cfg, dir, discovery := withShortDrain(testConfig(t, readyMember("s-1", s.Addr))), t.TempDir(), testbed.NewDiscoveryServer(t)
	p := startProcess(t, cfg, dir, "", discovery)
	n := &testSidecar{t: t, addr: p.addr}
	c, _ := n.sendPart(n.request("pay"), 0)
	testbed.Next(t, started)
	next := testConfig(t, cfg.Known.Members...)
	q := startProcess(t, next, dir, p.addr, discovery)
	list := cfg.Known
	list.Revision, list.Complete = 42, true
	discovery.Responses <- list
	testbed.Until(t, "the next process serves", func() bool { return q.call("STATUS") == "+OK" })
	p.shutdown()
	if resp := readResponse(t, c); resp.StatusCode != 502 {
		t.Errorf("answered %d", resp.StatusCode)
	}
}
