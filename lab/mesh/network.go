package mesh

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"firplank/mesh/wire"
)

// cutTimeout is how long bytes wait on a cut link until their connection breaks. It models the programs' TCP_USER_TIMEOUT, with which the
// kernel breaks connections whose bytes are not acknowledged.
const cutTimeout = 2500 * time.Millisecond

// Link is the state of one direction between two machines. The zero value passes everything without delay. As relays accept connections on
// loopback, opening a connection succeeds even where the link is cut, but no bytes pass.
type Link struct {
	Cut bool // nothing passes
	// LoseDatagrams drops all datagrams, as an overloaded link does, but not the connections.
	LoseDatagrams bool
	Delay         time.Duration
	// LoseAnswers is the share of parts of responses, on connections that carry requests, that are lost together with their connection.
	LoseAnswers float64
}

// Network holds the state of the links between a mesh's machines. It is safe for concurrent use.
type Network struct {
	identify func(local, remote *net.TCPAddr) string // returns the machine at the other end of an accepted connection

	mu      sync.Mutex
	links   map[[2]string]Link
	changed chan struct{} // closed and replaced at each change
	random  *rand.Rand
	conns   map[*relayedConn]struct{}
}

// relayedConn is a connection that a relay carries.
type relayedConn struct {
	from, to string
	reset    func()
}

func newNetwork(seed uint64, identify func(local, remote *net.TCPAddr) string) *Network {
	return &Network{
		identify: identify,
		links:    map[[2]string]Link{},
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, 0)),
		conns:    map[*relayedConn]struct{}{},
	}
}

// Set sets the state of the links from some machines to others, in that direction only.
func (n *Network) Set(from, to []string, link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range from {
		for _, t := range to {
			if f == t {
				continue
			}
			n.links[[2]string{f, t}] = link
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// Heal removes the faults of all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reset resets all connections that a machine has opened or accepted, and returns their number.
func (n *Network) Reset(machine string) (count int) {
	n.mu.Lock()
	var resets []func()
	for c := range n.conns {
		if c.from == machine || c.to == machine {
			resets = append(resets, c.reset)
		}
	}
	n.mu.Unlock()
	for _, reset := range resets {
		reset()
	}
	return len(resets)
}

func (n *Network) track(c *relayedConn) (remove func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, c)
	}
}

// link returns the state of a link, and a channel that is closed when any link's state is set again.
func (n *Network) link(from, to string) (Link, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[[2]string{from, to}], n.changed
}

// losesAnswer decides at random whether a part of a response over a link is lost.
func (n *Network) losesAnswer(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	share := n.links[[2]string{from, to}].LoseAnswers
	return share > 0 && n.random.Float64() < share
}

// awaitLink waits while a link is cut, and then for its delay. It returns false after cutTimeout, when the connection breaks.
func (n *Network) awaitLink(from, to string) bool {
	var timeout <-chan time.Time
	for {
		link, changed := n.link(from, to)
		if !link.Cut {
			time.Sleep(link.Delay)
			return true
		}
		if timeout == nil {
			timer := time.NewTimer(cutTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-timeout:
			return false
		}
	}
}

// datagramRelay relays the datagrams to a machine's peer address (the probes of membership).
type datagramRelay struct {
	conn    *net.UDPConn
	to      *net.UDPAddr
	name    string
	network *Network
}

func newDatagramRelay(listenAddress, targetAddress, name string, n *Network) (*datagramRelay, error) {
	local, err := net.ResolveUDPAddr("udp", listenAddress)
	if err != nil {
		return nil, err
	}
	target, err := net.ResolveUDPAddr("udp", targetAddress)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	d := &datagramRelay{conn: conn, to: target, name: name, network: n}
	go d.forward()
	return d, nil
}

// forward relays datagrams, except those whose link is cut or loses datagrams. They are not delayed.
func (d *datagramRelay) forward() {
	buf := make([]byte, 1<<16)
	for {
		n, _, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		frame, err := wire.Decode(append([]byte(nil), buf[:n]...))
		if err != nil {
			continue
		}
		if link, _ := d.network.link(frame.From, d.name); link.Cut || link.LoseDatagrams {
			continue
		}
		_, _ = d.conn.WriteToUDP(buf[:n], d.to) // a datagram may be lost
	}
}

func (d *datagramRelay) close() { _ = d.conn.Close() } // the socket is released even where this fails

// tcpTable is the kernel's table of IPv4 TCP sockets, and inodeColumn the column with the socket's inode, counted from the one after both
// addresses.
const (
	tcpTable    = "/proc/net/tcp"
	inodeColumn = 6
)

// inodeFromTable returns the inode of the socket at the other end of a connection to this process, whose own address is remote and whose
// peer is local. It returns an empty string if there is none. The table has a line for each socket of the host, so that only the matching
// line is parsed.
func inodeFromTable(local, remote *net.TCPAddr) string {
	table, err := os.ReadFile(tcpTable)
	if err != nil {
		return ""
	}
	_, rest, found := strings.Cut(string(table), " "+procAddr(remote)+" "+procAddr(local)+" ")
	line, _, _ := strings.Cut(rest, "\n")
	fields := strings.Fields(line)
	if !found || len(fields) <= inodeColumn {
		return ""
	}
	return fields[inodeColumn]
}

// procAddr returns an address in the format of tcpTable: the IP as a little-endian number in hex, and the port.
func procAddr(a *net.TCPAddr) string {
	ip := a.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode string) bool {
	folder := "/proc/" + strconv.Itoa(pid) + "/fd/"
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	want := "socket:[" + inode + "]"
	for _, e := range entries {
		if target, err := os.Readlink(folder + e.Name()); err == nil && target == want {
			return true
		}
	}
	return false
}

// machineOf returns the name of the machine whose process is at the other end of a connection, or an empty string if there is none.
func (m *Mesh) machineOf(local, remote *net.TCPAddr) string {
	inode := inodeBySockDiag(remote, local)
	if inode == "" {
		inode = inodeFromTable(local, remote)
	}
	if inode == "" {
		return ""
	}
	for _, x := range m.All() {
		if pid := x.PID(); pid > 0 && hasSocket(pid, inode) {
			return x.Name
		}
	}
	return ""
}
