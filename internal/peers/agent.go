// Package peers carries the datagrams between sidecars: one UDP socket, bounded queues, and the checks that need an address.
// Package fleet decides what datagrams contain and what follows from them; tally.go counts this sidecar's requests for it. The
// package knows no request and no server and never delays one: counters are atomic, and datagrams queue for its own goroutine.
//
// Start reading at Agent.Run.
package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"firplank/fleet"
)

const (
	// maxQueued bounds the datagrams that were read and not handled yet; beyond it the oldest are dropped, as newer ones
	// supersede them.
	maxQueued = 256
	// logBurst bounds the log: logBurst lines at once, and one more each logInterval.
	logBurst    = 20
	logInterval = 500 * time.Millisecond
)

// Config configures an Agent.
type Config struct {
	Listen string   // the address to listen on
	Peers  []string // the addresses of all sidecars, by number
	Fleet  fleet.Config
	Tally  *Tally
	Log    *slog.Logger
}

// CheckAddresses reports the first invalid address. The error names the key of the configuration.
func CheckAddresses(number int, listen string, peers []string) error {
	if len(peers) == 0 {
		return errors.New("peers: there are none in the configuration")
	}
	if listen == "" {
		return errors.New("peer_listen: there is none in the configuration")
	}
	seen := map[netip.AddrPort]int{}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Wrapf(err, "peers: number %d", i)
		}
		if other, twice := seen[addr]; twice {
			return errors.Errorf("peers: numbers %d and %d are both %s", other, i, text)
		}
		seen[addr] = i
	}
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return errors.Wrap(err, "peer_listen")
	}
	if number < 0 || number >= len(peers) {
		return errors.Errorf("peers: there are %d, and this sidecar has number %d", len(peers), number)
	}
	return nil
}

// Agent is this sidecar's member of the fleet: it owns the socket and runs the fleet.Node. Status is safe for concurrent use.
type Agent struct {
	cfg         Config
	conn        *net.UDPConn
	numbers     map[netip.AddrPort]int
	addrs       []netip.AddrPort
	received    chan fleet.Datagram
	inspections chan inspection
	node        *fleet.Node
	started     time.Time

	foreign, oversized, overruns, sendFailures atomic.Int64
}

// Open opens the socket, which Run closes.
func Open(cfg Config) (*Agent, error) {
	node, err := fleet.New(cfg.Fleet)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		cfg:         cfg,
		node:        node,
		numbers:     map[netip.AddrPort]int{},
		started:     time.Now(),
		received:    make(chan fleet.Datagram, maxQueued),
		inspections: make(chan inspection),
	}
	for i, text := range cfg.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Wrapf(err, "peers: number %d", i)
		}
		a.addrs = append(a.addrs, addr)
		a.numbers[addr] = i
	}
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "peer_listen")
	}
	if a.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen)); err != nil {
		return nil, errors.Wrap(err, "peer_listen")
	}
	return a, nil
}

// inspection reads the node's state on the goroutine that owns it.
type inspection func(n *fleet.Node, now time.Duration)

// Run sends and handles datagrams until ctx ends, and closes the socket.
func (a *Agent) Run(ctx context.Context) {
	read := make(chan struct{})
	go func() {
		defer close(read)
		a.read()
	}()
	defer func() { <-read }()
	defer func() { _ = a.conn.Close() }() // the connection is released even where this fails
	tick := time.NewTicker(fleet.Interval)
	defer tick.Stop()
	counters := make([]fleet.Counters, a.cfg.Fleet.Cells)
	limiter := logLimiter{tokens: logBurst, refilled: time.Now()}
	for {
		var actions []fleet.Action
		select {
		case d := <-a.received:
			actions = a.node.Handle(time.Since(a.started), d)
		case <-tick.C:
			a.cfg.Tally.readCounters(counters)
			actions = a.node.Handle(time.Since(a.started), fleet.Tick{Counters: counters})
		case inspect := <-a.inspections:
			a.cfg.Tally.readCounters(counters)
			inspect(a.node, time.Since(a.started))
		case <-ctx.Done():
			return
		}
		a.apply(actions, &limiter)
	}
}

// logLimiter limits the lines of the log: logBurst at once, and one more each logInterval.
type logLimiter struct {
	tokens   int
	refilled time.Time
}

// refill adds the lines that the time since the last refill allows.
func (l *logLimiter) refill() {
	if n := int(time.Since(l.refilled) / logInterval); n > 0 {
		l.tokens, l.refilled = min(logBurst, l.tokens+n), time.Now()
	}
}

// apply sends the datagrams of the node's actions, and logs the others within the limit.
func (a *Agent) apply(actions []fleet.Action, limiter *logLimiter) {
	limiter.refill()
	for _, action := range actions {
		if action.Kind == fleet.Send {
			if _, err := a.conn.WriteToUDPAddrPort(action.Data, a.addrs[action.To]); err != nil {
				a.sendFailures.Add(1) // the fleet tolerates lost datagrams
			}
		} else if limiter.tokens > 0 {
			limiter.tokens--
			a.cfg.Log.Info("fleet", "member", action.Member, "what", action.Text)
		}
	}
}

// read queues datagrams from the socket until it is closed. Oversized ones and those from unknown addresses are counted and dropped.
func (a *Agent) read() {
	b := make([]byte, fleet.MaxDatagramSize+1)
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of a datagram sent before
		}
		number, known := a.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case !known || number == a.cfg.Fleet.Number:
			a.foreign.Add(1)
			continue
		case n > fleet.MaxDatagramSize:
			a.oversized.Add(1)
			continue
		}
		a.enqueue(fleet.Datagram{From: number, Data: append([]byte(nil), b[:n]...)})
	}
}

// enqueue adds a datagram to the queue, in place of the oldest where that is full.
func (a *Agent) enqueue(d fleet.Datagram) {
	for {
		select {
		case a.received <- d:
			return
		default:
		}
		select {
		case <-a.received:
			a.overruns.Add(1)
		default: // handled meanwhile
		}
	}
}

// Status is the operators' view of the fleet.
type Status struct {
	Number         int           `json:"number"`
	ReachableShare float64       `json:"heard"` // share of the members that run, 0 to 1
	CutOff         bool          `json:"cut_off"`
	Stale          bool          `json:"stale"` // the process was suspended, and has received nothing since
	Members        []MemberState `json:"members"`
	Sums           Sums          `json:"sums"`
	Dropped        Dropped       `json:"dropped"`
	Sent           int           `json:"sent_bytes"`
}

// MemberState is this sidecar's view of one member, as in fleet.MemberView. Ages are in seconds; -1: never, or unknown.
type MemberState struct {
	Number         int     `json:"number"`
	Reachability   string  `json:"standing"`
	Incarnation    string  `json:"life"`
	SinceDatagram  float64 `json:"heard_itself_s"`
	SinceHeartbeat float64 `json:"new_word_s"`
	SinceComplete  float64 `json:"known_until_s"`
	ReceivesFrom   []int   `json:"hears,omitempty"`
	Received       uint64  `json:"taken"`
	Conflict       bool    `json:"two_processes,omitempty"`
}

// Sums are the fleet's counters as intervals: each is at least the value given, and at most Unreported more.
type Sums struct {
	Cells            []Cell  `json:"cells"`
	Unreported       uint64  `json:"beyond"`
	UnboundedMembers int     `json:"members_without_bound"`
	AgeS             float64 `json:"age_s"`
}

// Cell counts the outcomes of a tenant's requests of a class.
type Cell struct {
	Class           string `json:"class"`
	Tenant          string `json:"tenant"`
	Received        uint64 `json:"taken"`
	Retried         uint64 `json:"retried"`
	Served          uint64 `json:"served"`
	RefusedCapacity uint64 `json:"refused_no_room"`
	RefusedBudget   uint64 `json:"refused_over_budget"`
	RefusedOther    uint64 `json:"refused_other"`
	Failed          uint64 `json:"failed"`
}

// Dropped counts the datagrams, and parts of them, that were dropped. Its JSON keys are the fields' names.
type Dropped struct {
	fleet.Dropped
	ForeignSender, Oversize, Overrun, Unsent int64
}

// Status returns a *Status, read on the goroutine that owns the node. It implements operators.Page.
func (a *Agent) Status(ctx context.Context) (any, error) {
	read := make(chan *Status, 1)
	inspect := func(n *fleet.Node, now time.Duration) { read <- a.status(n, now) }
	select {
	case a.inspections <- inspect:
		return <-read, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (a *Agent) status(n *fleet.Node, now time.Duration) *Status {
	s := &Status{Number: a.cfg.Fleet.Number, ReachableShare: n.ReachableShare(), CutOff: n.Isolated(),
		Stale: n.Stale(now), Sent: n.BytesSent()}
	for _, v := range n.View() {
		m := MemberState{
			Number: v.Number, Reachability: string(v.Reachability), Incarnation: fmt.Sprintf("%016x", uint64(v.Incarnation)),
			Received: v.Counters[fleet.Received], Conflict: v.Conflict,
			SinceDatagram: seconds(v.SinceDatagram), SinceHeartbeat: seconds(v.SinceHeartbeat), SinceComplete: seconds(v.SinceComplete),
		}
		for j, h := range v.ReceivesFrom {
			if h {
				m.ReceivesFrom = append(m.ReceivesFrom, j)
			}
		}
		s.Members = append(s.Members, m)
	}
	sums := n.Sums()
	s.Sums = Sums{Unreported: sums.Unreported, UnboundedMembers: sums.Unbounded, AgeS: sums.Age.Seconds()}
	for i, c := range sums.Cells {
		class, tenant := a.cfg.Tally.cellNames(i)
		if c != (fleet.Counters{}) {
			s.Sums.Cells = append(s.Sums.Cells, Cell{
				class, tenant, c[fleet.Received], c[fleet.Retried], c[fleet.Served], c[fleet.RefusedCapacity], c[fleet.RefusedBudget],
				c[fleet.RefusedOther], c[fleet.Failed],
			})
		}
	}
	s.Dropped = Dropped{n.Drops(), a.foreign.Load(), a.oversized.Load(), a.overruns.Load(), a.sendFailures.Load()}
	return s
}

func seconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}
