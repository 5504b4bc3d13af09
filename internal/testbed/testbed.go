// Package testbed holds what the tests of several packages play the program's surroundings with: scripted HTTP servers, a
// roster that answers what the test says, and waits that have an end. Only tests use it.
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

// Patience bounds every wait; no test takes that long unless it fails.
const Timeout = 30 * time.Second

// Next waits for what comes next.
func Next[T any](t *testing.T, events <-chan T) T {
	t.Helper()
	select {
	case ev := <-events:
		return ev
	case <-time.After(Timeout):
		t.Fatal("nothing came")
	}
	panic("unreachable")
}

// Until waits until something holds.
func Until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: ", what)
		}
	}
}

// ServeHTTP serves h on loopback until the test ends.
func ServeHTTP(t *testing.T, h http.Handler) string {
	t.Helper()
	ln := Listen(t)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()     // until Close, of which it says nothing else
	t.Cleanup(func() { _ = server.Close() }) // serving ends either way
	return ln.Addr().String()
}

// Listen listens on loopback until the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // accepting ends either way
	return ln
}

// Roster is a discovery service: it answers each call with what the test hands it, as JSON.
type DiscoveryServer struct {
	Addr      string
	Queries   chan string // the query of each call
	Responses chan any
	Cancelled chan bool // calls that were given up
}

// NewRoster starts one.
func NewDiscoveryServer(t *testing.T) *DiscoveryServer {
	r := &DiscoveryServer{Queries: make(chan string, 100), Responses: make(chan any), Cancelled: make(chan bool, 100)}
	r.Addr = ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.Queries <- req.URL.RawQuery
		select {
		case l := <-r.Responses:
			_ = json.NewEncoder(w).Encode(l) // fails only where the client is gone
		case <-req.Context().Done():
			r.Cancelled <- true
		}
	}))
	return r
}

// Script is a server that plays one step for each request that reaches it, on raw connections. A step gets the
// connection after the request is read, and whether it returns true decides if the connection goes on.
type ScriptedServer struct {
	Addr     string
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	conns    int
}

// Step is what a Script does with a request.
type Step func(net.Conn) bool

// NewScript starts one; after the last step it plays that again.
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

// Seen returns the requests and their bodies so far, and how many connections there were.
func (s *ScriptedServer) Received() (requests []*http.Request, bodies []string, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.requests...), append([]string(nil), s.bodies...), s.conns
}

// Say answers.
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

// BreakOff ends the connection after part of an answer.
func WriteAndClose(part string) Step {
	return func(c net.Conn) bool {
		_, _ = io.WriteString(c, part) // the peer may be gone, which the next read says
		return false
	}
}

// Stop writes part of an answer and then nothing, until the other side ends the connection.
func WriteAndStall(part string) Step {
	return func(c net.Conn) bool {
		_, _ = io.WriteString(c, part) // the peer may be gone, which the next read says
		_, _ = io.Copy(io.Discard, c)  // read only to be dropped
		return false
	}
}

// Cut resets the connection.
func ResetConn() Step {
	return func(c net.Conn) bool {
		_ = c.(*net.TCPConn).SetLinger(0) // without it the connection closes in the ordinary way
		return false
	}
}

// Log is a log that can be read while it is written.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write keeps what was logged; it may be called by several goroutines.
func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// Has reports whether a text stands in the log.
func (l *LogBuffer) Contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}
