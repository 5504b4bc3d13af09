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

// cutTimeout is for how long bytes wait at a cut until their connection breaks, as the kernel's time-out of
// unacknowledged bytes would break it (TCP_USER_TIMEOUT of the programs).
const cutTimeout = 2500 * time.Millisecond

// Link is how the way from one machine to another is. The zero value carries all at once. Its network is real sockets
// on loopback with relays of our own between: an opening connection succeeds also where the link is cut, and then says
// nothing.
type Link struct {
	Cut bool
	// LoseDatagrams loses all datagrams, as a full link does, while connections go on.
	LoseDatagrams bool
	Delay         time.Duration
	// LoseAnswers is the share of the answers, on connections of requests, that are lost with their connection.
	LoseAnswers float64
}

// Network is the links between the machines of a mesh. It is safe for concurrent use.
type Network struct {
	identify func(local, remote *net.TCPAddr) string // the machine at the other end of a connection that was accepted

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

// Set sets how the links from some machines to others are, one way.
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

// Heal has all links carry all.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reset resets the connections of a machine, which it has made or accepted.
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

// link returns how a link is, and a channel that is closed when that may have changed.
func (n *Network) link(from, to string) (Link, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[[2]string{from, to}], n.changed
}

// losesAnswer decides whether an answer that comes back over a link is lost.
func (n *Network) losesAnswer(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	share := n.links[[2]string{from, to}].LoseAnswers
	return share > 0 && n.random.Float64() < share
}

// pass waits until bytes may go over a link. It reports false where their connection breaks.
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

// datagrams relays the probes that come to a machine.
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

// carry passes datagrams on, but for those whose link is cut. A delay is that of all that follow.
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

func (d *datagramRelay) close() { _ = d.conn.Close() } // nothing is lost by an error

// tcpTable is where the kernel lists the TCP sockets of IPv4, and inodeColumn the column of a line that is read, counted from the one
// behind both addresses.
const (
	tcpTable    = "/proc/net/tcp"
	inodeColumn = 6
)

// socketInode returns the inode of the socket that is the other end of a connection to this process: its local address
// is remote, and its peer local. Empty: it is not found. The table has a line for each socket of the machine, so that only the one that
// is wanted is taken apart.
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

// procAddr is an address as the kernel's table has it: the IP as a little-endian number, and the port.
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

// machineOf returns the name of the machine whose process is at the other end of a connection; empty: none of them.
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
