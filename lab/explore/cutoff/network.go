package cutoff

import (
	"container/heap"
	"slices"
	"time"
)

const (
	latency           = 1 * time.Millisecond
	dialTimeout       = 500 * time.Millisecond
	retransmitTimeout = 2500 * time.Millisecond // after which a connection whose way is blocked is closed
)

// event is a scheduled event.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// clock is virtual time with its scheduled events.
type clock struct {
	now time.Duration
	seq uint64
	due queue
}

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.due, event{c.now + d, c.seq, do})
}

func (c *clock) run(until time.Duration) {
	for len(c.due) > 0 && c.due[0].at <= until {
		e := heap.Pop(&c.due).(event)
		c.now = e.at
		e.do()
	}
}

// node is an endpoint of connections.
type node interface {
	connClosed(c *conn)
	receive(c *conn, message any)
	incarnationNow() int // unique to each run of the process; 0 while it is stopped
}

// network connects the nodes. Nothing passes from a to b while blocked(a, b).
type network struct {
	*clock
	nodes          []node
	blocked        func(from, to int) bool
	bandwidth      []int           // of each node's link, in bytes per second
	linkFreeAt     []time.Duration // when each node's link has sent its backlog
	conns          []*conn         // open connections, and closed ones until the next cleanup
	lastConnNumber int
}

// conn is a connection between two nodes.
type conn struct {
	number       int // in order of creation
	ends         [2]int
	incarnations [2]int
	open         bool
	stalled      bool
	held         [2][]any // messages held back by the cut, by receiving end
	lastArrival  [2]time.Duration
}

func (c *conn) side(id int) int {
	if c.ends[0] == id {
		return 0
	}
	return 1
}

// dial connects two nodes and calls then with the connection, or with nil if it fails.
func (n *network) dial(from, to int, then func(*conn)) {
	incarnation := n.nodes[from].incarnationNow()
	n.after(2*latency, func() {
		switch {
		case n.nodes[from].incarnationNow() != incarnation:
		case n.blocked(from, to) || n.blocked(to, from):
			n.after(dialTimeout, func() {
				if n.nodes[from].incarnationNow() == incarnation {
					then(nil)
				}
			})
		case n.nodes[to].incarnationNow() == 0:
			then(nil)
		default:
			n.lastConnNumber++
			c := &conn{number: n.lastConnNumber, ends: [2]int{from, to}, incarnations: [2]int{incarnation, n.nodes[to].incarnationNow()}, open: true}
			n.conns = append(n.conns, c)
			then(c)
		}
	})
}

// send sends a message of the given size from one end.
func (n *network) send(c *conn, from int, message any, bytes int) {
	if c == nil || !c.open {
		return
	}
	side := 1 - c.side(from)
	n.linkFreeAt[from] = max(n.linkFreeAt[from], n.now) + time.Duration(bytes)*time.Second/time.Duration(n.bandwidth[from])
	at := max(n.linkFreeAt[from]+latency, c.lastArrival[side])
	c.lastArrival[side] = at
	n.after(at-n.now, func() { n.arrive(c, side, message) })
}

func (n *network) arrive(c *conn, side int, message any) {
	if !c.open {
		return
	}
	for end, id := range c.ends {
		if n.nodes[id].incarnationNow() != c.incarnations[end] {
			n.close(c)
			return
		}
	}
	from, to := c.ends[1-side], c.ends[side]
	if n.blocked(from, to) || n.blocked(to, from) {
		n.stall(c)
	}
	if n.blocked(from, to) || len(c.held[side]) > 0 {
		c.held[side] = append(c.held[side], message)
		return
	}
	n.nodes[to].receive(c, message)
}

// stall closes a connection that stays blocked for retransmitTimeout.
func (n *network) stall(c *conn) {
	if c.stalled {
		return
	}
	c.stalled = true
	n.after(retransmitTimeout, func() {
		if c.stalled {
			n.close(c)
		}
	})
}

// heal delivers the messages that were held back by the cut.
func (n *network) heal() {
	for _, c := range n.conns {
		if c.open && c.stalled {
			n.restore(c)
		}
	}
}

// stopped closes the connections of a node that has stopped. While blocked, the other end does not notice.
func (n *network) stopped(id int) {
	for _, c := range n.conns {
		other := c.ends[1-c.side(id)]
		if c.open && (c.ends[0] == id || c.ends[1] == id) && !n.blocked(id, other) {
			n.close(c)
		}
	}
	n.conns = slices.DeleteFunc(n.conns, func(c *conn) bool { return !c.open })
}

func (n *network) restore(c *conn) {
	c.stalled = false
	for side := range c.held {
		held := c.held[side]
		c.held[side] = nil
		for _, m := range held {
			n.arrive(c, side, m)
		}
	}
}

func (n *network) close(c *conn) {
	if !c.open {
		return
	}
	c.open = false
	for end, id := range c.ends {
		if n.nodes[id].incarnationNow() == c.incarnations[end] {
			n.nodes[id].connClosed(c)
		}
	}
}
