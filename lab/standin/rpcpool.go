package standin

// This file keeps the clients' MessagePack-RPC connections to a sidecar.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"firplank/lab/scenario"
)

const (
	// rpcShared is how many connections the clients of one sidecar share.
	sharedRPCConns = 2
	// crossing is how long before the end of a connection a frame may have been sent that the sidecar had not read.
	closeRaceWindow = 100 * time.Millisecond
)

// rpcPool keeps the connections to one sidecar over which tries are pipelined.
type rpcPool struct {
	addr string

	mu     sync.Mutex
	next   int
	shared [sharedRPCConns]*rpcClient
}

func (p *rpcPool) dial(cfg *ClientsConfig, slow bool) (*rpcClient, error) {
	conn, err := net.DialTimeout("tcp", p.addr, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	c := &rpcClient{
		Conn: conn, clock: cfg.Clock, observer: cfg.Observer, open: map[uint32]chan rpcResponse{}, givenUp: map[uint32]bool{},
	}
	from := io.Reader(conn)
	if slow {
		from = &slowReader{conn}
	}
	c.done.Go(func() { c.read(bufio.NewReaderSize(from, 16)) })
	return c, nil
}

// get returns one of the shared connections, a new one in place of one that has ended.
func (p *rpcPool) get(cfg *ClientsConfig, shuttingDown bool) (*rpcClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = (p.next + 1) % sharedRPCConns
	if c := p.shared[p.next]; c != nil && !c.isEnded() {
		return c, nil
	}
	if shuttingDown {
		return nil, errShuttingDown
	}
	c, err := p.dial(cfg, false)
	if err != nil {
		return nil, err
	}
	if old := p.shared[p.next]; old != nil {
		old.close()
	}
	p.shared[p.next] = c
	return c, nil
}

func (p *rpcPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.shared {
		if c != nil {
			c.close()
		}
	}
}

// rpcConn returns a shared connection, or one of its own for a client that is odd.
func (c *Clients) rpcConn(p *rpcPool, a *scenario.Arrival, sidecar int) (*rpcClient, error) {
	shuttingDown := c.pools[sidecar].shuttingDown.Load()
	if a.Quirk == scenario.Usual {
		return p.get(&c.cfg, shuttingDown)
	}
	if shuttingDown {
		return nil, errShuttingDown
	}
	return p.dial(&c.cfg, a.Quirk == scenario.ReadsSlowly)
}
