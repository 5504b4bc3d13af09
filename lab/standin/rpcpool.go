package standin

// This file implements the clients' pool of MessagePack-RPC connections to a sidecar.

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
	// sharedRPCConns is the number of connections that the clients of one sidecar share.
	sharedRPCConns = 2
	// closeRaceWindow is how long before the end of a connection a request may have been sent without the sidecar having
	// read it.
	closeRaceWindow = 100 * time.Millisecond
)

// rpcPool holds the connections to one sidecar on which tries are multiplexed.
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

// get returns the next of the shared connections, in rotation. One that has ended is replaced by a new one.
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

// rpcConn returns a shared connection, or a dedicated one for a client with a quirk.
func (c *Clients) rpcConn(p *rpcPool, a *scenario.Arrival, sidecar int) (*rpcClient, error) {
	shuttingDown := c.pools[sidecar].shuttingDown.Load()
	if a.Quirk == scenario.NoQuirk {
		return p.get(&c.cfg, shuttingDown)
	}
	if shuttingDown {
		return nil, errShuttingDown
	}
	return p.dial(&c.cfg, a.Quirk == scenario.ReadsSlowly)
}
