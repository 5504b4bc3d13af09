package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"firplank/lab/scenario"
)

// HeldConns are connections that clients keep open for the whole run and rarely use, such as those of counter terminals.
type HeldConns struct {
	mu    sync.Mutex
	conns [][]*clientConn // by sidecar; nil: taken or closed
}

// OpenHeldConns opens a number of connections (each) to every sidecar. It sends GET /up once on each, so that the sidecar
// recognizes it as HTTP.
func OpenHeldConns(ctx context.Context, addrs []string, each int) (*HeldConns, error) {
	h := &HeldConns{conns: make([][]*clientConn, len(addrs))}
	for sidecar, addr := range addrs {
		for i := range each {
			c, err := openHeldConn(ctx, addr)
			if err != nil {
				h.Close()
				return nil, fmt.Errorf("held connection %d to sidecar %d: %w", i, sidecar, err)
			}
			h.conns[sidecar] = append(h.conns[sidecar], c)
		}
	}
	return h, nil
}

func openHeldConn(ctx context.Context, addr string) (*clientConn, error) {
	nc, err := (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: nc, in: bufio.NewReaderSize(nc, 512), used: true}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection, as the next call on it does
	if _, err = io.WriteString(c, "GET /up HTTP/1.1\r\nHost: lab.svc\r\n\r\n"); err == nil {
		_, err = readHTTPResponse(c.in)
	}
	if err != nil {
		_ = c.Close() // the connection is released even where this fails
		return nil, err
	}
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, as the next call on it does
	return c, nil
}

// take returns the held connection that an arrival's first try uses, or nil if it uses none.
func (h *HeldConns) take(a *scenario.Arrival, try, sidecar int) *clientConn {
	if h == nil || a.Held == 0 || try > 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.conns[sidecar][a.Held-1]
	h.conns[sidecar][a.Held-1] = nil
	return c
}

// Close closes the connections that were not taken. Taken ones are in the clients' pools.
func (h *HeldConns) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conns := range h.conns {
		for i, c := range conns {
			if c != nil {
				_ = c.Close() // the connection is released even where this fails
				conns[i] = nil
			}
		}
	}
}
