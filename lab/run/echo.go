package run

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	codec "firplank/msgpackrpc"
)

// echoBody is the response body of the servers in a throughput run: about 60 bytes, the size of a plate lookup result.
var echoBody = []byte(`{"plate":"asahikawa 500 a 12-34","district":"kamikawa","ok":1}`)

// echoServer responds immediately, so that the measured cost is that of the sidecar or proxy in front of it.
type echoServer struct {
	ln   net.Listener
	http *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
	tasks sync.WaitGroup
}

func newEchoServer(rpc bool) (*echoServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("throughput: %w", err)
	}
	e := &echoServer{ln: ln, conns: map[net.Conn]bool{}}
	if !rpc {
		e.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(echoBody) // fails only where the client is gone
		})}
		e.tasks.Go(func() { _ = e.http.Serve(ln) }) // returns after Close, with no other error of interest
		return e, nil
	}
	e.tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			e.tasks.Go(func() { echoFrames(c) })
		}
	})
	return e, nil
}

// echoFrames responds to requests until the connection ends. Responses to requests that arrived together go out in one write.
func echoFrames(c net.Conn) {
	defer func() { _ = c.Close() }() // the connection is released even where this fails
	result := append([]byte{0xd9, byte(len(echoBody))}, echoBody...)
	in := codec.NewReader(c, codec.Limits{})
	var out []byte
	for {
		f, err := in.Next()
		if err != nil {
			return
		}
		out = codec.AppendResponse(out, f.ID, nil, result)
		if in.Buffered() == 0 || len(out) > 32<<10 {
			if _, err := c.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
	}
}

func (e *echoServer) close() {
	_ = e.ln.Close() // accepting ends either way
	if e.http != nil {
		_ = e.http.Close() // serving ends either way
	}
	e.mu.Lock()
	for c := range e.conns {
		_ = c.Close() // the connection is released even where this fails
	}
	e.mu.Unlock()
	e.tasks.Wait()
}

// loadCounts are the outcomes of a throughput run's requests so far.
type loadCounts struct{ served, refused, failed atomic.Int64 }

// generateLoad keeps inFlight requests in flight at an address until ctx ends.
func generateLoad(ctx context.Context, addr string, rpc bool, inFlight int, n *loadCounts) error {
	if rpc {
		return loadFrames(ctx, addr, inFlight, n)
	}
	var all sync.WaitGroup
	errs := make(chan error, inFlight)
	for i := range inFlight {
		all.Go(func() { errs <- loadHTTP(ctx, addr, i, n) })
	}
	all.Wait()
	for range inFlight {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// loadHTTP sends one request after the other on a connection, and reconnects when the server closes it.
func loadHTTP(ctx context.Context, addr string, number int, n *loadCounts) error {
	request := []byte("GET /api/lookup HTTP/1.1\r\nHost: lab.svc\r\nX-Trace-Id: 0000000000000000\r\nX-Qos: lookup\r\n" +
		"X-Customer: north\r\nX-Object: 7f3a9c21e0b4d655\r\nX-Expires-In: 4000m\r\n\r\n")
	idOffset := bytes.Index(request, []byte("0000000000000000"))
	var in *bufio.Reader
	var c net.Conn
	defer func() {
		if c != nil {
			_ = c.Close() // the connection is released even where this fails
		}
	}()
	for count := 0; ctx.Err() == nil; count++ {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", addr); err != nil {
				return fmt.Errorf("throughput: %w", err)
			}
			in = bufio.NewReader(c)
		}
		copy(request[idOffset:], fmt.Sprintf("%04x%012x", number, count))
		if _, err := c.Write(request); err != nil {
			return fmt.Errorf("throughput: %w", err)
		}
		status, last, err := skipResponse(in)
		if err != nil {
			return fmt.Errorf("throughput: %w", err)
		}
		n.count(status)
		if last {
			_ = c.Close() // the connection is released even where this fails
			c = nil
		}
	}
	return nil
}

func (n *loadCounts) count(status int) {
	switch status {
	case http.StatusOK:
		n.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		n.refused.Add(1)
	default:
		n.failed.Add(1)
	}
}

var errMalformedResponse = errors.New("malformed response or response without Content-Length")

// skipResponse reads a response with a Content-Length. last reports whether the connection ends with it.
func skipResponse(in *bufio.Reader) (status int, last bool, err error) {
	length := -1
	for first := true; ; first = false {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return 0, false, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch name, value, _ := bytes.Cut(line, []byte(": ")); {
		case first:
			if len(line) < 12 {
				return 0, false, errMalformedResponse
			}
			if status, err = strconv.Atoi(string(line[9:12])); err != nil {
				return 0, false, errMalformedResponse
			}
		case len(line) == 0:
			if length < 0 {
				return 0, false, errMalformedResponse
			}
			_, err = in.Discard(length)
			return status, last, err
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(value)); err != nil {
				return 0, false, errMalformedResponse
			}
		case bytes.EqualFold(name, []byte("Connection")):
			last = bytes.EqualFold(value, []byte("close"))
		}
	}
}

// loadFrames keeps inFlight requests in flight on one connection: each response is followed by the next request.
func loadFrames(ctx context.Context, addr string, inFlight int, n *loadCounts) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return fmt.Errorf("throughput: %w", err)
	}
	defer func() { _ = c.Close() }()                         // the connection is released even where this fails
	defer context.AfterFunc(ctx, func() { _ = c.Close() })() // the connection is released even where this fails
	params, err := msgpack.Marshal([]any{map[string]any{"tenant": "north", "object": "7f3a9c21e0b4d655", "left_ms": 4000}})
	if err != nil {
		return fmt.Errorf("throughput: %w", err)
	}
	var out []byte
	id := uint32(0)
	for range inFlight {
		out = codec.AppendRequest(out, id, "lookup", params)
		id++
	}
	in := codec.NewReader(c, codec.Limits{})
	for {
		if len(out) > 0 && in.Buffered() == 0 || len(out) > 32<<10 {
			if _, err := c.Write(out); err != nil {
				return ignoreAfterEnd(ctx, err)
			}
			out = out[:0]
		}
		f, err := in.Next()
		if err != nil {
			return ignoreAfterEnd(ctx, err)
		}
		switch {
		case !f.Failed():
			n.served.Add(1)
		case bytes.Contains(f.Error, []byte("refused")):
			n.refused.Add(1)
		default:
			n.failed.Add(1)
		}
		out = codec.AppendRequest(out, id, "lookup", params)
		id++
	}
}

// ignoreAfterEnd drops the error of a connection that was closed at the end of the run.
func ignoreAfterEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("throughput: %w", err)
}
