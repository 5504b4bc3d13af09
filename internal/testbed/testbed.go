// Package testbed has test doubles and helpers that several test packages share: scripted HTTP servers, a discovery
// server, and bounded waits. Only tests import it.
package testbed

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Timeout bounds every wait. A test only takes that long if it fails.
const Timeout = 30 * time.Second

// Next returns the next value of a channel. It fails the test after Timeout.
func Next[T any](t *testing.T, events <-chan T) T {
	t.Helper()
	select {
	case ev := <-events:
		return ev
	case <-time.After(Timeout):
		t.Fatal("timed out waiting for the next value")
	}
	panic("unreachable")
}

// Until waits until condition returns true. It fails the test after Timeout; what describes the condition.
func Until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until: ", what)
		}
	}
}

// ServeHTTP serves h on loopback until the test ends, and returns the address.
func ServeHTTP(t *testing.T, h http.Handler) string {
	t.Helper()
	ln := Listen(t)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()     // returns at Close, with no other information
	t.Cleanup(func() { _ = server.Close() }) // serving ends even where this fails
	return ln.Addr().String()
}

// Listen listens on loopback until the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // accepting ends even where this fails
	return ln
}

// DiscoveryServer is a discovery service that responds to each call with a value of the test, as JSON.
type DiscoveryServer struct {
	Addr      string
	Queries   chan string // query of each call
	Responses chan any
	Cancelled chan bool // calls that the client cancelled
}

// NewDiscoveryServer starts a DiscoveryServer that runs until the test ends.
func NewDiscoveryServer(t *testing.T) *DiscoveryServer {
	r := &DiscoveryServer{Queries: make(chan string, 100), Responses: make(chan any), Cancelled: make(chan bool, 100)}
	r.Addr = ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.Queries <- req.URL.RawQuery
		select {
		case l := <-r.Responses:
			_ = json.NewEncoder(w).Encode(l) // fails only if the client has disconnected
		case <-req.Context().Done():
			r.Cancelled <- true
		}
	}))
	return r
}

// ScriptedServer is a server that performs one step for each request on raw connections. A step is called with the
// connection after the request was read, and returns whether the connection stays open.
type ScriptedServer struct {
	Addr     string
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	conns    int
}

// Step is what a ScriptedServer does with a request.
type Step func(net.Conn) bool

// NewScriptedServer starts a ScriptedServer. It repeats the last step.
func NewScriptedServer(t *testing.T, steps ...Step) *ScriptedServer {
	s := &ScriptedServer{}
	ln := Listen(t)
	s.Addr = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() }) // the connection is released even where this fails
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c, steps)
		}
	}()
	return s
}

func (s *ScriptedServer) serve(c net.Conn, steps []Step) {
	defer func() { _ = c.Close() }() // the connection is released even where this fails
	for in := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		next := steps[min(len(s.requests), len(steps)-1)]
		s.requests, s.bodies = append(s.requests, req), append(s.bodies, string(body))
		s.mu.Unlock()
		if !next(c) {
			return
		}
	}
}

// Received returns the requests and their bodies so far, and the number of connections.
func (s *ScriptedServer) Received() (requests []*http.Request, bodies []string, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.requests...), append([]string(nil), s.bodies...), s.conns
}

// Respond sends a response.
func Respond(status int, body string, headers ...string) Step {
	return func(c net.Conn) bool {
		head := "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
		for _, h := range headers {
			head += h + "\r\n"
		}
		_, err := io.WriteString(c, head+"\r\n"+body)
		return err == nil
	}
}

// WriteAndClose writes part of a response and closes the connection.
func WriteAndClose(part string) Step {
	return func(c net.Conn) bool {
		_, _ = io.WriteString(c, part) // the peer may have closed the connection, which the next read reports
		return false
	}
}

// WriteAndStall writes part of a response and then nothing, until the peer closes the connection.
func WriteAndStall(part string) Step {
	return func(c net.Conn) bool {
		_, _ = io.WriteString(c, part) // the peer may have closed the connection, which the next read reports
		_, _ = io.Copy(io.Discard, c)  // read only to wait for the close
		return false
	}
}

// ResetConn resets the connection.
func ResetConn() Step {
	return func(c net.Conn) bool {
		_ = c.(*net.TCPConn).SetLinger(0) // without it the connection closes normally
		return false
	}
}

// LogBuffer is a log that can be searched while it is written.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the log. It is safe for concurrent use.
func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// Contains reports whether the log contains text.
func (l *LogBuffer) Contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}
