package standin

// This file implements misbehaving clients.

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Flood keeps a number of connections open that send nothing or malformed requests, until ctx ends.
func Flood(ctx context.Context, addr string, connections int) {
	flood(ctx, addr, connections, []string{
		"", // silent
		"\x16\x03\x01 no request\r\n\r\n",
		"GET /api HTTP/1.1\r\nX-Half: a req",
		"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	})
}

// flood keeps a number of connections open, each of which sends one of the texts. Closed ones are replaced after 20 ms.
func flood(ctx context.Context, addr string, connections int, texts []string) {
	var tasks sync.WaitGroup
	for i := range connections {
		tasks.Go(func() {
			for ctx.Err() == nil {
				floodOnce(ctx, addr, texts[i%len(texts)])
				select {
				case <-time.After(20 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
	tasks.Wait()
}

func floodOnce(ctx context.Context, addr, text string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()                                // the connection is released even where this fails
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()        // the connection is released even where this fails
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))             // fails only on a closed connection, as the next call on it does
	_, _ = io.WriteString(c, text)                                  // a closed connection is reported by the next read
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxResponseBytes)) // discarded
}

// FloodRPC is Flood for an address that serves MessagePack-RPC.
func FloodRPC(ctx context.Context, addr string, connections int) {
	flood(ctx, addr, connections, []string{
		"",                                  // silent
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n", // another protocol
		"\x94\x00\x07\xa4half",              // truncated request
		"\x94\x00\x07\xdb\xff\xff\xff\xff",  // announces a string of 4 GiB
		"\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa1m\x90", // an id of 2^32
		strings.Repeat("\x91", 100000),
	})
}
