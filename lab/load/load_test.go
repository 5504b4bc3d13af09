package load

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const requestText = "GET /x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: {n}\r\n\r\n"

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func run(t *testing.T, cfg Config) *Result {
	t.Helper()
	cfg.Request = requestText
	r, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Every response is counted by its status, and each request has a unique number.
func TestResponsesCountedByStatus(t *testing.T) {
	var n atomic.Int64
	seen := make(chan string, 1000)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("X-Trace-Id")
		w.WriteHeader([]int{200, 503, 500, 429}[n.Add(1)%4])
	})
	r := run(t, Config{Addr: addr, Connections: 40, Active: 10, Rate: 400, Length: time.Second / 2})
	if r.Held != 40 || r.HeldAtEnd != 40 || r.Lost != 0 || int64(r.Sent) != n.Load() {
		t.Errorf("%+v for %d requests", r, n.Load())
	}
	if r.Served.Count+r.Refused.Count+r.Failed.Count != int64(r.Sent) || r.Refused.Count < r.Served.Count {
		t.Errorf("%+v", r)
	}
	close(seen)
	var all []string
	for id := range seen {
		all = append(all, id)
	}
	slices.Sort(all)
	if len(slices.Compact(all)) != r.Sent {
		t.Error("a number was sent twice")
	}
	var out bytes.Buffer
	if err := r.Table(&out); err != nil || !strings.Contains(out.String(), "40 connections held") {
		t.Errorf("%v: %s", err, &out)
	}
}

// Guards against coordinated omission: a stall of the server counts in the latency of all requests planned during it, not only
// of the one that was in flight.
func TestLatencyCountsFromPlannedStart(t *testing.T) {
	var first atomic.Bool
	addr := serve(t, func(http.ResponseWriter, *http.Request) {
		if first.CompareAndSwap(false, true) {
			time.Sleep(300 * time.Millisecond)
		}
	})
	r := run(t, Config{Addr: addr, Connections: 1, Rate: 200, Length: 300 * time.Millisecond})
	if r.Lost != 0 || r.Served.P50 < 50 {
		t.Errorf("%+v", r)
	}
}

// With Rush each connection sends one request. Connections that the server has closed before are reopened.
func TestRushReopensClosedConnections(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/up" && r.RemoteAddr[len(r.RemoteAddr)-1]%2 == 0 {
			w.Header().Set("Connection", "close")
		}
	})
	r := run(t, Config{
		Addr: addr, Connections: 200, Rush: true, Length: 200 * time.Millisecond, Sources: 3, Greeting: "GET /up HTTP/1.1\r\nHost: a\r\n\r\n",
	})
	if r.Sent != 200 || r.Served.Count != 200 || r.Lost != 0 || r.Reopened == 0 || r.Held+r.Reopened != 200 {
		t.Errorf("%+v", r)
	}
}

// A request is lost if its connection ends during the response or if no response comes in time. A request on an idle connection
// that the server has closed is sent again and is not lost.
func TestLostRequestsCounted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tasks sync.WaitGroup
	over := make(chan struct{})
	defer tasks.Wait()
	defer close(over)
	defer func() { _ = ln.Close() }()
	tasks.Go(func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() {
				defer func() { _ = c.Close() }()
				var b [200]byte
				_, _ = c.Read(b[:])
				switch {
				case i == 0: // a part of a response
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
				case i == 1: // no response
					<-over
				case i == 2: // closed on the request, which gets a response on the next connection
				default:
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
		}
	})
	r := run(t, Config{
		Addr: ln.Addr().String(), Connections: 3, Rush: true, Length: 50 * time.Millisecond, ResponseTimeout: 300 * time.Millisecond,
	})
	if r.Lost != 2 || r.Served.Count != 1 || r.Reopened != 1 {
		t.Errorf("%+v", r)
	}
}

func TestConfigOutOfRangeRejected(t *testing.T) {
	for name, cfg := range map[string]Config{
		"another machine": {Addr: "192.0.2.1:80", Connections: 1, Length: 1},
		"a name":          {Addr: "localhost:80", Connections: 1, Length: 1},
		"too many":        {Addr: "127.0.0.1:80", Connections: maxConnections + 1, Length: 1},
		"too long":        {Addr: "127.0.0.1:80", Connections: 1, Length: time.Hour},
		"too fast":        {Addr: "127.0.0.1:80", Connections: 1, Length: time.Minute, Rate: 1e9},
		"more than all":   {Addr: "127.0.0.1:80", Connections: 1, Active: 2, Length: 1},
	} {
		cfg.Request = requestText
		if _, err := Run(t.Context(), cfg); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
