// Package relay relays datagrams between sidecars on loopback and injects faults into single links. Each ordered pair of sidecars has a
// socket of its own, so that a datagram comes from the address by which its receiver knows the sender. Each direction of a link can be cut,
// and can delay, lose, duplicate and reorder datagrams independently of all others. The datagrams' content is not read.
package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is the state of one direction between two sidecars. The zero value relays everything without delay.
type Link struct {
	Cut              bool          // nothing is relayed
	Delay            time.Duration // mean; each datagram is delayed by up to twice as much, which reorders them
	Loss, Duplicated float64       // shares of the datagrams
}

// maxDelayed bounds the number of delayed datagrams that are held at a time. Beyond it datagrams are lost.
const maxDelayed = 4096

// Relay holds the sockets between a number of sidecars. It is safe for concurrent use.
type Relay struct {
	addresses []netip.AddrPort // at which the sidecars listen
	sockets   [][]*net.UDPConn // [i][j]: the address by which i knows j

	mu       sync.Mutex
	links    [][]Link // [i][j]: from i to j
	rng      *rand.Rand
	delayed  int // datagrams that are held
	isClosed bool

	forwarded, lost int
	tasks           sync.WaitGroup
}

// New opens the sockets between n sidecars, and picks a free address for each sidecar itself, which the caller has to bind soon. Random
// choices come from the seed.
func New(n int, seed uint64) (*Relay, error) {
	r := &Relay{addresses: make([]netip.AddrPort, n), rng: rand.New(rand.NewPCG(seed, 0))}
	var kept []*net.UDPConn
	for i := range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
		kept = append(kept, c)
		r.addresses[i] = c.LocalAddr().(*net.UDPAddr).AddrPort()
		r.links = append(r.links, make([]Link, n))
		r.sockets = append(r.sockets, make([]*net.UDPConn, n))
		for j := range n {
			if i == j {
				continue
			}
			if r.sockets[i][j], err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				r.Close()
				return nil, fmt.Errorf("relay: %w", err)
			}
		}
	}
	for _, c := range kept {
		_ = c.Close() // the socket is released even where this fails
	}
	for i := range n {
		for j := range n {
			if i != j {
				r.tasks.Go(func() { r.forward(i, j) })
			}
		}
	}
	return r, nil
}

// Address returns the address at which a sidecar has to listen.
func (r *Relay) Address(i int) string { return r.addresses[i].String() }

// Peers returns the addresses by which a sidecar knows all sidecars. Its own is the one at which it listens.
func (r *Relay) Peers(i int) (all []string) {
	for j := range r.addresses {
		if i == j {
			all = append(all, r.Address(i))
		} else {
			all = append(all, r.sockets[i][j].LocalAddr().String())
		}
	}
	return all
}

// Change applies change to the links from some sidecars to others, in that direction only.
func (r *Relay) Change(from, to []int, change func(*Link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range from {
		for _, j := range to {
			if i != j {
				change(&r.links[i][j])
			}
		}
	}
}

// Counts returns how many datagrams were forwarded, and how many lost.
func (r *Relay) Counts() (carried, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwarded, r.lost
}

// Flood sends random datagrams to sidecars, perSecond to each, until ctx ends. They come partly from an address that no sidecar knows, and
// partly from the addresses of peers. A third of them starts with the bytes "fl\x01".
func (r *Relay) Flood(ctx context.Context, to []int, perSecond float64) error {
	foreign, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	defer func() { _ = foreign.Close() }() // the socket is released even where this fails
	const every = 10 * time.Millisecond
	tick := time.NewTicker(every)
	defer tick.Stop()
	rng, b, due := rand.New(rand.NewPCG(1, 1)), make([]byte, 300), 0.0
	for n := 0; ; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		for due += perSecond * every.Seconds(); due >= 1; due-- {
			for k := range b {
				b[k] = byte(rng.Uint32())
			}
			if n++; n%3 == 0 {
				copy(b, "fl\x01")
			}
			size := 1 + rng.IntN(len(b))
			for _, i := range to {
				c := foreign
				if j := rng.IntN(len(r.addresses)); n%2 == 0 && j != i {
					c = r.sockets[i][j]
				}
				_, _ = c.WriteToUDPAddrPort(b[:size], r.addresses[i]) // a datagram may be lost
			}
		}
	}
}

// forward relays the datagrams that i sends to j, until the relay is closed.
func (r *Relay) forward(i, j int) {
	b := make([]byte, 1<<16)
	for {
		n, from, err := r.sockets[i][j].ReadFromUDPAddrPort(b)
		if err != nil {
			if r.closed() {
				return
			}
			continue // a datagram that was sent from here found no listener
		}
		if from != r.addresses[i] {
			continue
		}
		for _, delay := range r.copyDelays(i, j) {
			if delay == 0 {
				_, _ = r.sockets[j][i].WriteToUDPAddrPort(b[:n], r.addresses[j]) // a datagram may be lost
				continue
			}
			data := append([]byte(nil), b[:n]...)
			r.tasks.Add(1)
			time.AfterFunc(delay, func() {
				defer r.tasks.Done()
				_, _ = r.sockets[j][i].WriteToUDPAddrPort(data, r.addresses[j]) // a datagram may be lost
				r.mu.Lock()
				r.delayed--
				r.mu.Unlock()
			})
		}
	}
}

// copyDelays returns the delay of each copy of a datagram from i to j. There is none if the datagram is lost.
func (r *Relay) copyDelays(i, j int) (copies []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[i][j]
	if l.Cut || r.rng.Float64() < l.Loss || r.delayed >= maxDelayed {
		r.lost++
		return nil
	}
	r.forwarded++
	for range 2 {
		delay := time.Duration(0)
		if l.Delay > 0 {
			delay = 1 + time.Duration(r.rng.Int64N(int64(2*l.Delay)))
			r.delayed++
		}
		copies = append(copies, delay)
		if r.rng.Float64() >= l.Duplicated {
			break
		}
	}
	return copies
}

func (r *Relay) closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isClosed
}

// Close closes the sockets and waits until all delayed datagrams are sent or dropped.
func (r *Relay) Close() {
	r.mu.Lock()
	r.isClosed = true
	r.mu.Unlock()
	for _, row := range r.sockets {
		for _, c := range row {
			if c != nil {
				_ = c.Close() // the socket is released even where this fails
			}
		}
	}
	r.tasks.Wait()
}
