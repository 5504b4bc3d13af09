// Package peers owns what a control machine knows of the other control machines: which there are, when each was last seen, what it
// reports of itself, and the connection over which it is sent messages.
//
// Table has no I/O, no goroutine and no clock; it belongs to the control machine's event loop, which makes and closes the connections.
//
// Start reading at Table.Record and Table.View.
package peers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/dissemination"
	"firplank/mesh/register"
	"firplank/mesh/replacement"
)

const (
	// MaxPeers bounds the table; machines beyond it are ignored.
	MaxPeers = 64
	// Retention is how long after its last contact a machine is still listed in hellos.
	Retention = 30 * time.Second
	// maxSilenceDoublings bounds how often the silence doubles that is allowed to connections over which nothing has come yet.
	maxSilenceDoublings = 3
)

// Peer is another control machine and the connection to it, of type C, whose zero value stands for none. Received messages come over the
// peer's own connection.
type Peer[C comparable] struct {
	Addr, Zone string
	LastSeen   time.Duration    // when it was last alive, by its own messages or those of others; 0: never
	Status     codec.NodeStatus // what it reported of itself last
	Conn       C
	// Revision is that of the directory which the peer has been sent over Conn.
	Revision      uint64
	connChangedAt time.Duration
	// silentConns is how many connections in a row have ended, or were replaced, before the peer was seen.
	silentConns int
}

// Connected reports whether there is a connection to the peer.
func (p *Peer[C]) Connected() bool {
	var none C
	return p.Conn != none
}

// Table is all peers by address. It is not safe for concurrent use.
type Table[C comparable] struct {
	self, zone string
	peers      map[string]*Peer[C]
}

// New returns the empty table of the machine with an address in a zone.
func New[C comparable](self, zone string) *Table[C] {
	return &Table[C]{self: self, zone: zone, peers: map[string]*Peer[C]{}}
}

// Record records that a machine was alive at a time (0: only its address is known); an empty zone is not known. It
// reports true where the machine is new, and a connection to it is to be made.
func (t *Table[C]) Record(addr, zone string, seen time.Duration) (added bool) {
	if addr == t.self || addr == "" {
		return false
	}
	p := t.peers[addr]
	if p == nil {
		if len(t.peers) >= MaxPeers {
			return false
		}
		p, added = &Peer[C]{Addr: addr}, true
		t.peers[addr] = p
	}
	p.LastSeen = max(p.LastSeen, seen)
	if zone != "" {
		p.Zone = zone
	}
	return added
}

// Get returns a peer; nil: it is not in the table.
func (t *Table[C]) Get(addr string) *Peer[C] { return t.peers[addr] }

// All returns the peers in the order of their addresses.
func (t *Table[C]) All() []*Peer[C] {
	return slices.SortedFunc(maps.Values(t.peers), func(a, b *Peer[C]) int { return cmp.Compare(a.Addr, b.Addr) })
}

// SetConn records that the connection to a peer was made, or with the zero value lost.
func (t *Table[C]) SetConn(addr string, conn C, now time.Duration) {
	p := t.peers[addr]
	if p.Connected() {
		p.silentConns++
	}
	if p.seenSinceConnected() {
		p.silentConns = 0
	}
	p.Conn, p.Revision, p.connChangedAt = conn, 0, now
}

// seenSinceConnected reports whether the peer was alive after its connection was made or lost last.
func (p *Peer[C]) seenSinceConnected() bool { return p.LastSeen > p.connChangedAt }

// allowedSilence is how long a peer may be silent. Until it is seen that doubles with each connection that was mute: one that is slow would
// be made anew for ever, each time before its first message.
func (p *Peer[C]) allowedSilence(timeout time.Duration) time.Duration {
	if p.seenSinceConnected() {
		return timeout
	}
	return timeout << min(p.silentConns, maxSilenceDoublings)
}

// Seen returns the addresses of the peers that were ever seen, in order.
func (t *Table[C]) Seen() (addrs []string) {
	for _, p := range t.All() {
		if p.LastSeen > 0 {
			addrs = append(addrs, p.Addr)
		}
	}
	return addrs
}

// Known returns this machine, then the peers seen within Retention or among the members, the last seen first. Members
// are listed always: a machine that has restarted in a partition has seen nobody, and a sidecar that asks it is to find the others.
func (t *Table[C]) Known(now time.Duration, members []string) []dissemination.ControlMachine {
	known := []dissemination.ControlMachine{{Addr: t.self, Zone: t.zone, LastSeen: now}}
	for _, p := range t.All() {
		if p.LastSeen > 0 && now-p.LastSeen < Retention || slices.Contains(members, p.Addr) {
			known = append(known, dissemination.ControlMachine{Addr: p.Addr, Zone: p.Zone, LastSeen: p.LastSeen})
		}
	}
	slices.SortStableFunc(known[1:], func(a, b dissemination.ControlMachine) int { return cmp.Compare(b.LastSeen, a.LastSeen) })
	return known
}

// Silent returns the peers whose connection stands while they have been silent for longer than timeout (allowedSilence). Their
// connections are to be closed and made anew: that succeeds at once where the machine is up, even if its process stands
// still, and fails long before TCP would notice.
func (t *Table[C]) Silent(now, timeout time.Duration) (silent []*Peer[C]) {
	for _, p := range t.All() {
		if p.Connected() && now-max(p.LastSeen, p.connChangedAt) > p.allowedSilence(timeout) {
			silent = append(silent, p)
		}
	}
	return silent
}

// View returns the peers as package replacement decides on them. A peer has caught up that reports to have committed,
// or later, on its disk.
func (t *Table[C]) View(committed register.Ballot) (machines []replacement.Machine) {
	for _, p := range t.All() {
		machines = append(machines, replacement.Machine{
			Addr:        p.Addr,
			Zone:        p.Zone,
			LastContact: p.LastSeen,
			Connected:   p.Connected(),
			Voter:       p.Status.Voter,
			Draining:    p.Status.Draining,
			DiskFailed:  p.Status.DiskFailing,
			CaughtUp:    p.Status.Accepted.Compare(committed) >= 0,
		})
	}
	return machines
}
