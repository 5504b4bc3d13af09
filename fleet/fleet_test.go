package fleet

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"
	"unsafe"
)

// testFleet is a fleet in virtual time. Datagrams of a round arrive before the next one, in the order of the senders, unless the link
// is cut.
type testFleet struct {
	t         *testing.T
	nodes     []*Node
	received  []uint64
	now       time.Duration
	isCut     func(from, to int) bool
	bytesSent int
}

func newTestFleet(t *testing.T, n, cells int) *testFleet {
	c := &testFleet{t: t, received: make([]uint64, n), isCut: func(int, int) bool { return false }}
	for i := range n {
		c.nodes = append(c.nodes, c.newNode(i, n, cells))
	}
	return c
}

func (c *testFleet) newNode(i, n, cells int) *Node {
	node, err := New(Config{
		Number: i, Members: n, Incarnation: NewIncarnation(time.UnixMilli(1_800_000_000_000).Add(c.now), uint64(i)),
		Seed: uint64(i + 1), Cells: cells, MaxRate: 50,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return node
}

func (c *testFleet) runRound() {
	c.now += Interval
	type inFlight struct {
		from, to int
		data     []byte
	}
	var delivered []inFlight
	for i, n := range c.nodes {
		counters := make([]Counters, n.cfg.Cells)
		for k := range counters {
			counters[k] = Counters{Received: c.received[i], Served: c.received[i]}
		}
		for _, a := range n.Handle(c.now, Tick{Counters: counters}) {
			if a.Kind == Send {
				if len(a.Data) > MaxDatagramSize {
					c.t.Fatalf("a datagram of %d bytes", len(a.Data))
				}
				c.bytesSent += len(a.Data)
				if !c.isCut(i, a.To) {
					delivered = append(delivered, inFlight{i, a.To, a.Data})
				}
			}
		}
	}
	for _, a := range delivered {
		c.nodes[a.to].Handle(c.now, Datagram{From: a.from, Data: a.data})
	}
}

func (c *testFleet) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.runRound()
	}
}

// membersKnowing counts the nodes whose record of a member's first cell has at least so many received requests.
func (c *testFleet) membersKnowing(member int, received uint64) (k int) {
	for _, n := range c.nodes {
		if v, _ := decodeCounts(n.members[member].record(1).value); v[Received] >= received {
			k++
		}
	}
	return k
}

// Measures, by fleet size, how soon nine tenths and all of the members have a member's new counters, and how many bytes are sent for it.
// Guards against updates that do not reach all members, or late, or above the bandwidth bound.
func TestUpdatesReachAllMembers(t *testing.T) {
	sizes := []int{8, 80}
	if os.Getenv("FIRPLANK_LARGE") != "" {
		sizes = append(sizes, 1000)
	}
	for _, size := range sizes {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c := newTestFleet(t, size, 1)
		for i := range c.received {
			c.received[i] = 1
		}
		warm := c.nodes[0].publishInterval() + 20*time.Second
		c.advance(warm)
		bytesBefore, measuredFrom := c.bytesSent, c.now
		runtime.GC()
		runtime.ReadMemStats(&after)
		c.received[0] = 100
		published := c.nodes[0].publishedAt
		for c.nodes[0].publishedAt == published {
			c.runRound()
		}
		publishedAt := c.now
		for c.membersKnowing(0, 100) < size*9/10 && c.now < publishedAt+5*time.Minute {
			c.runRound()
		}
		mostKnowAfter := c.now - publishedAt
		for c.membersKnowing(0, 100) < size && c.now < publishedAt+5*time.Minute {
			c.runRound()
		}
		rate := float64(c.bytesSent-bytesBefore) / (c.now - measuredFrom).Seconds() / float64(size)
		t.Logf("%d members: published within %v, nine tenths know after %v more, all after %v; %.0f bytes a second each (bound "+
			"%d); %d bytes at each member for a member with one cell, of which %d are its struct",
			size, c.nodes[0].publishInterval(), mostKnowAfter, c.now-publishedAt, rate, MaxBytesPerSecond,
			(after.HeapAlloc-before.HeapAlloc)/uint64(size*size), unsafe.Sizeof(member{}))
		if c.membersKnowing(0, 100) < size || mostKnowAfter > 3*time.Second+time.Duration(size)*40*time.Millisecond ||
			rate > float64(MaxBytesPerSecond) {
			t.Errorf("%d members: %d know", size, c.membersKnowing(0, 100))
		}
	}
}

// Two halves of a fleet are partitioned for 30 s while both count requests. The bounds must contain the actual number at all times, and
// after the partition all members must have equal sums.
func TestTotalsConvergeAfterPartition(t *testing.T) {
	for _, size := range []int{2, 8, 33} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newTestFleet(t, size, 3)
			checkBounds := func() {
				actual := uint64(0)
				for _, n := range c.received {
					actual += n
				}
				for i, n := range c.nodes {
					s := n.Sums()
					if s.Cells[0][Received] > actual || s.Unbounded == 0 && s.UpperBound(0, Received) < actual {
						t.Fatalf("%v: member %d: bounds %d to %d, actual %d", c.now, i, s.Cells[0][Received], s.UpperBound(0, Received), actual)
					}
				}
			}
			receiveFor := func(d time.Duration) {
				for end := c.now + d; c.now < end; checkBounds() {
					for i := range c.received {
						c.received[i] += uint64(5 + i%3) // 20 to 28 a second of 50
					}
					c.runRound()
				}
			}
			receiveFor(8 * time.Second)
			c.isCut = func(from, to int) bool { return (from < size/2) != (to < size/2) }
			receiveFor(30 * time.Second)
			if size > 2 {
				if s := c.nodes[0].Reachability(size - 1); s != Unreachable {
					t.Errorf("a member of the other half is %s", s)
				}
				if s := c.nodes[0].Reachability(1); s != Reachable {
					t.Errorf("a member of the same half is %s", s)
				}
			} else if !c.nodes[0].Isolated() {
				t.Error("partitioned, and Isolated is false")
			}
			c.isCut = func(int, int) bool { return false }
			receiveFor(10 * time.Second)
			c.advance(6 * time.Second)
			checkBounds()
			for i, n := range c.nodes {
				if a, b := n.Sums(), c.nodes[0].Sums(); fmt.Sprint(a.Cells) != fmt.Sprint(b.Cells) {
					t.Fatalf("members 0 and %d: %v, %v", i, a, b)
				}
				if s := n.Reachability((i + 1) % size); s != Reachable {
					t.Errorf("member %d is %s to %d", (i+1)%size, s, i)
				}
			}
		})
	}
}

// A link that is cut, or works in one direction only, must not be mistaken for a member that is down: the records of other members show
// the difference.
func TestLinkFaultsAreDistinguishedFromMemberFaults(t *testing.T) {
	c := newTestFleet(t, 5, 1)
	c.advance(10 * time.Second)
	c.isCut = func(from, to int) bool { return from+to == 1 }
	c.advance(20 * time.Second)
	if s := c.nodes[0].Reachability(1); s != LinkDown {
		t.Errorf("member behind a cut link: %s", s)
	}
	c.isCut = func(from, to int) bool { return from == 0 && to == 1 }
	c.advance(20 * time.Second)
	if s := c.nodes[0].Reachability(1); s != OneWay {
		t.Errorf("member behind a one-way link: %s", s)
	}
	c.isCut = func(from, to int) bool { return from == 2 || to == 2 }
	c.advance(20 * time.Second)
	if s := c.nodes[0].Reachability(2); s != Unreachable || !c.nodes[2].Isolated() || c.nodes[2].Reachability(0) != Undetermined {
		t.Errorf("isolated member: %s, Isolated %v, its view of member 0: %s", s, c.nodes[2].Isolated(), c.nodes[2].Reachability(0))
	}
}

// Two processes with the same number raise their incarnations above each other. They must log it and stop sending after a few times, and
// the other members' sums must not grow by it.
func TestDuplicateNumberEndsInSilence(t *testing.T) {
	c := newTestFleet(t, 4, 1)
	for i := range c.received {
		c.received[i] = 10
	}
	c.advance(5 * time.Second)
	duplicate := c.newNode(1, 4, 1)
	logged := 0
	for range 120 {
		c.runRound()
		for i, n := range []*Node{duplicate, c.nodes[1]} {
			for _, a := range n.Handle(c.now, Tick{Counters: []Counters{{Received: 10, Served: 10}}}) {
				if a.Kind == Send {
					c.nodes[a.To].Handle(c.now, Datagram{From: 1, Data: a.Data})
				} else if a.Kind == Log && i == 0 {
					logged++
				}
			}
		}
		for _, k := range []int{0, 2, 3} {
			c.nodes[k].send(1)
			for _, a := range c.nodes[k].actions {
				if a.Kind == Send && a.To == 1 {
					duplicate.Handle(c.now, Datagram{From: k, Data: a.Data})
				}
			}
			c.nodes[k].actions = c.nodes[k].actions[:0]
		}
	}
	if s := c.nodes[0].Sums(); logged == 0 || duplicate.raises.count+c.nodes[1].raises.count == 0 || s.Cells[0][Received] < 30 ||
		s.Cells[0][Received] > 200 {
		t.Errorf("%d logged, %d and %d times raised, %d received", logged, duplicate.raises.count, c.nodes[1].raises.count, s.Cells[0][Received])
	}
}

// A member that announces no rate has no bound on its unreported requests: it must be counted as unbounded, also after its restart.
func TestMemberWithoutRateIsUnbounded(t *testing.T) {
	c := newTestFleet(t, 3, 1)
	c.nodes[1].cfg.MaxRate = 0
	c.advance(5 * time.Second)
	if s := c.nodes[0].Sums(); s.Unbounded != 1 {
		t.Errorf("%d members unbounded", s.Unbounded)
	}
	c.nodes[1] = c.newNode(1, 3, 1)
	c.advance(5 * time.Second)
	if s := c.nodes[0].Sums(); s.Unbounded != 1 {
		t.Errorf("after the restart %d members unbounded", s.Unbounded)
	}
}
