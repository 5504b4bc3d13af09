package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"

	"firplank/internal/options"
	codec "firplank/msgpackrpc"
)

// BenchmarkRequests sends requests through a sidecar in this process, with a fixed number in flight. Client and server loops
// allocate nothing per request, so that all counted allocations are the sidecar's.
func BenchmarkRequests(b *testing.B) {
	for _, n := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("http/inflight=%d", n), func(b *testing.B) { benchmarkRequests(b, n, false) })
		b.Run(fmt.Sprintf("rpc/inflight=%d", n), func(b *testing.B) { benchmarkRequests(b, n, true) })
	}
}

func benchmarkRequests(b *testing.B, inFlight int, rpc bool) {
	server := benchListen(b)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			if rpc {
				go benchRPCServer(c)
			} else {
				go benchHTTPServer(c)
			}
		}
	}()
	cfg := benchConfig(b, server.Addr().String(), rpc)
	lns := listeners{http: benchListen(b)}
	if rpc {
		lns.rpc = benchListen(b)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, cfg, lns, nil, slog.New(slog.DiscardHandler)) }()
	b.ReportAllocs()
	b.ResetTimer()
	if rpc {
		benchRPCClient(b, lns.rpc.Addr().String(), inFlight)
	} else {
		var clients sync.WaitGroup
		for i := range inFlight {
			clients.Go(func() { benchHTTPClient(b, lns.http.Addr().String(), i, b.N/inFlight+1) })
		}
		clients.Wait()
	}
	b.StopTimer()
	stop()
	if err := <-done; err != nil {
		b.Error(err)
	}
}

func benchListen(b *testing.B) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	return ln
}

func benchConfig(b *testing.B, addr string, rpc bool) *Config {
	cfg, err := Load(configPathEnv("testdata/config.json"))
	if err == nil {
		cfg.Listen, cfg.Discovery, cfg.acceptGrace = "127.0.0.1:0", "127.0.0.1:9", 0
		cfg.Known.Members = cfg.Known.Members[:1]
		cfg.Known.Members[0].HostPort = addr
		text := "[msgpack_rpc]\n"
		if rpc {
			text += "listen = \"127.0.0.1:0\"\nflavors = [\"small\"]\n[[msgpack_rpc.method]]\nname = \"m\"\nclass = \"read\"\ntenant = \"acme\"\n"
		}
		var opts *options.File
		if opts, err = options.Parse("bench.toml", []byte(text)); err == nil {
			cfg.Options = *opts
			cfg.methods, err = rpcMethods(&opts.MsgpackRPC, cfg.catalog)
		}
	}
	if err != nil {
		b.Fatal(err)
	}
	return cfg
}

func benchRPCServer(c net.Conn) {
	in := codec.NewReader(c, codec.Limits{})
	var out []byte
	for {
		f, err := in.Next()
		if err != nil {
			return
		}
		if out = codec.AppendResponse(out, f.ID, nil, []byte{7}); in.Buffered() == 0 {
			_, _ = c.Write(out)
			out = out[:0]
		}
	}
}

func benchRPCClient(b *testing.B, addr string, inFlight int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := codec.NewReader(c, codec.Limits{})
	var out []byte
	id := uint32(0)
	appendRequest := func() {
		out = codec.AppendRequest(out, id, "m", []byte{0x90})
		id++
	}
	for range inFlight {
		appendRequest()
	}
	for range b.N {
		if len(out) > 0 && in.Buffered() == 0 {
			_, _ = c.Write(out)
			out = out[:0]
		}
		f, err := in.Next()
		if err != nil || f.Failed() {
			b.Errorf("answered %s, %v", f.Error, err)
			return
		}
		appendRequest()
	}
}

func benchHTTPServer(c net.Conn) {
	response := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	for in := bufio.NewReader(c); ; {
		for {
			line, err := in.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) == 2 {
				break
			}
		}
		_, _ = c.Write(response)
	}
}

func benchHTTPClient(b *testing.B, addr string, client, times int) {
	request := []byte("GET /api HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 0000000000000000\r\nX-Qos: read\r\nX-Customer: acme\r\n\r\n")
	traceIDOffset := bytes.Index(request, []byte("0000000000000000"))
	for count := 0; count < times; {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Error(err)
			return
		}
		for in := bufio.NewReader(c); count < times; count++ {
			for i := range 8 { // in hexadecimal, without allocating
				request[traceIDOffset+i] = "0123456789abcdef"[client>>(4*i)&15]
				request[traceIDOffset+8+i] = "0123456789abcdef"[count>>(4*i)&15]
			}
			_, _ = c.Write(request)
			closing := false
			for {
				line, err := in.ReadSlice('\n')
				if err != nil {
					b.Error(err)
					return
				}
				closing = closing || bytes.HasPrefix(line, []byte("Connection: close"))
				if len(line) == 2 {
					break
				}
			}
			if body, err := in.Peek(2); err != nil || string(body) != "ok" {
				b.Errorf("answered %q, %v", body, err)
				return
			}
			_, _ = in.Discard(2)
			if closing {
				count++
				break
			}
		}
		_ = c.Close()
	}
}
