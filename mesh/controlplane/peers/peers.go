// Package peers owns a control machine's table of the other control machines: their addresses, when each was last seen, the status that it
// reported last, and the connection over which messages are sent to it.
//
// Table has no I/O, no goroutine and no clock. It belongs to the control machine's event loop, which makes and closes the connections.
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
	// MaxPeers bounds the table. Further machines are ignored.
	MaxPeers = 64
	// Retention is how long after its last contact a machine is still listed in hellos.
	Retention = 30 * time.Second
	// maxSilenceDoublings bounds how often the silence that is allowed on a new connection doubles (Peer.allowedSilence).
	maxSilenceDoublings = 3
)

// Peer is another control machine and the connection to it, of type C, whose zero value means that there is none. The connection is for
// sending; messages are received over the one that the peer has made.
type Peer[C comparable] struct {
	Addr, Zone string
	LastSeen   time.Duration    // when it was last seen, by its own messages or those of others; 0: never
	Status     codec.NodeStatus // as it reported last
	Conn       C
	// Revision is the revision of the directory that was sent over Conn last.
	Revision      uint64
	connChangedAt time.Duration
	// silentConns is how many successive connections ended or were replaced before the peer was seen.
	silentConns int
}

// Connected reports whether there is a connection to the peer.
func (p *Peer[C]) Connected() bool {
	var none C
	return p.Conn != none
}

// Table holds all peers by address. It is not safe for concurrent use.
type Table[C comparable] struct {
	self, zone string
	peers      map[string]*Peer[C]
}

// New returns the empty table of the machine with the address self.
func New[C comparable](self, zone string) *Table[C] {
	return &Table[C]{self: self, zone: zone, peers: map[string]*Peer[C]{}}
}

// Record records that a machine was seen at a time; 0 means that only its address is known. An empty zone means that it is not known. It
// reports whether the machine is new; the caller then has to connect to it.
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

// Get returns a peer, or nil if it is not in the table.
func (t *Table[C]) Get(addr string) *Peer[C] { return t.peers[addr] }

// All returns the peers sorted by address.
func (t *Table[C]) All() []*Peer[C] {
	return slices.SortedFunc(maps.Values(t.peers), func(a, b *Peer[C]) int { return cmp.Compare(a.Addr, b.Addr) })
}

// SetConn records that the connection to a peer was made; the zero value records that it was lost. The directory is sent from the
// beginning over a new connection.
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

// seenSinceConnected reports whether the peer was seen after its connection was made or lost last.
func (p *Peer[C]) seenSinceConnected() bool { return p.LastSeen > p.connChangedAt }

// allowedSilence returns how long a peer may be silent before its connection is replaced. Until the peer is seen, the time doubles with
// each silent connection. Otherwise a slow connection would be replaced forever, each time before its first message.
func (p *Peer[C]) allowedSilence(timeout time.Duration) time.Duration {
	if p.seenSinceConnected() {
		return timeout
	}
	return timeout << min(p.silentConns, maxSilenceDoublings)
}

// Seen returns the addresses of the peers that were ever seen, sorted.
func (t *Table[C]) Seen() (addrs []string) {
	for _, p := range t.All() {
		if p.LastSeen > 0 {
			addrs = append(addrs, p.Addr)
		}
	}
	return addrs
}

// Known returns this machine, and then the peers that were seen within Retention or are members, most recently seen first. Members are
// always listed: a machine that has restarted in a partition has seen no peer, but its sidecars have to find the other machines.
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

// Silent returns the connected peers that have been silent for longer than allowedSilence returns for timeout. The caller replaces their
// connections: connecting succeeds at once if the machine is up, even if its process is paused, and otherwise fails long before TCP would
// report the broken connection.
func (t *Table[C]) Silent(now, timeout time.Duration) (silent []*Peer[C]) {
	for _, p := range t.All() {
		if p.Connected() && now-max(p.LastSeen, p.connChangedAt) > p.allowedSilence(timeout) {
			silent = append(silent, p)
		}
	}
	return silent
}

// View returns the peers in the form that package replacement reads. A peer has caught up if it reports the committed ballot, or a later
// one, as on its disk.
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
