package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"firplank/lab/timeline"
	"firplank/mesh/timing"
)

const (
	// linkDelay is the delay of each message in a cluster. tickInterval is the time between two steps of the cluster.
	linkDelay    = 5 * time.Millisecond
	tickInterval = 5 * time.Millisecond
)

// cluster simulates leases over links with a delay.
type cluster struct {
	names       []string
	leases      []*Lease // nil: the machine is down
	partitioned map[int]bool
	inFlight    []delivery
	log         []string
	holders     string // at the last step
}

type delivery struct {
	dueAt   time.Duration
	message Message
}

func newCluster(names []string) *cluster {
	return &cluster{names: names, leases: make([]*Lease, len(names)), partitioned: map[int]bool{}}
}

func (c *cluster) send(now time.Duration, messages ...Message) {
	for _, m := range messages {
		c.inFlight = append(c.inFlight, delivery{now + linkDelay, m})
	}
}

// step delivers the messages that are due, calls Tick of each lease, and logs a change of the holder.
func (c *cluster) step(now time.Duration) {
	inFlight := c.inFlight
	c.inFlight = nil
	for _, d := range inFlight {
		if d.dueAt > now {
			c.inFlight = append(c.inFlight, d)
		} else {
			c.deliver(now, d.message)
		}
	}
	var holders []string
	for i, l := range c.leases {
		if l == nil {
			continue
		}
		c.send(now, l.Tick(now)...)
		if l.HeldAt(now) {
			holders = append(holders, c.names[i])
		}
	}
	if current := strings.Join(holders, " and "); current != c.holders {
		c.holders = current
		if current == "" {
			current = "nobody"
		}
		c.log = append(c.log, fmt.Sprintf("%5.2f  %s", now.Seconds(), current))
	}
}

func (c *cluster) deliver(now time.Duration, m Message) {
	from, to := slices.Index(c.names, m.From), slices.Index(c.names, m.To)
	if c.leases[to] == nil || c.partitioned[from] || c.partitioned[to] {
		return
	}
	if response, ok := c.leases[to].Handle(now, m); ok {
		c.send(now, response)
	}
}

// applyCell applies a cell of a timeline.
func (c *cluster) applyCell(now time.Duration, i int, cell string) {
	switch cell {
	case "up":
		c.leases[i] = New(c.names[i], now, 0, timing.NewLease(timing.DefaultVoteDuration))
		c.leases[i].SetMembers(c.names)
	case "release":
		c.send(now, c.leases[i].Release(now)...)
	case "kill":
		c.leases[i] = nil
	case "cut":
		c.partitioned[i] = true
	case "heal":
		delete(c.partitioned, i)
	}
}

func TestTimelines(t *testing.T) {
	datadriven.RunTest(t, "testdata/timelines", func(t *testing.T, d *datadriven.TestData) string {
		drawing, err := timeline.Parse(d.Input)
		if err != nil {
			t.Fatal(err)
		}
		c := newCluster(drawing.Columns)
		drawing.Run(tickInterval, c.step, c.applyCell)
		return strings.Join(c.log, "\n") + "\n"
	})
}

// At most one machine holds the lease at any time while machines are killed, restarted, cut off and reconnected at random.
func TestAtMostOneHolder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := newCluster([]string{"a", "b", "c", "d", "e"})
		for i := range c.leases {
			c.applyCell(0, i, "up")
		}
		for now := time.Duration(0); now < 20*time.Second; now += tickInterval {
			if i := random.IntN(2000); i < len(c.leases) {
				cell := []string{"kill", "up", "cut", "heal"}[random.IntN(4)]
				if cell != "up" || c.leases[i] == nil {
					c.applyCell(now, i, cell)
				}
			}
			if c.step(now); strings.Contains(c.holders, "and") {
				t.Fatalf("seed %d, %v: %s", seed, now, c.holders)
			}
		}
	}
}

// A release that is delivered after a later request of the same machine does not free the vote for that request.
func TestLateReleaseFreesNoLaterVote(t *testing.T) {
	durations := timing.NewLease(timing.DefaultVoteDuration)
	voter := New("b", 0, 0, durations)
	voter.SetMembers([]string{"a", "b", "c"})
	now := durations.StartupDelay
	voter.Handle(now, Message{Kind: VoteRequest, From: "a", To: "b", Number: 8})
	voter.Handle(now, Message{Kind: Release, From: "a", To: "b", Number: 7})
	if response, _ := voter.Handle(now+1, Message{Kind: VoteRequest, From: "c", To: "b", Number: 1}); response.Granted {
		t.Error("the voter votes for another candidate while its vote is bound")
	}
	voter.Handle(now, Message{Kind: Release, From: "a", To: "b", Number: 8})
	if response, _ := voter.Handle(now+1, Message{Kind: VoteRequest, From: "c", To: "b", Number: 1}); !response.Granted {
		t.Error("the voter is still bound by a released vote")
	}
}

// After each Tick the next one is due later. Otherwise the caller would call Tick in a busy loop.
func TestNextTickIsLaterAfterTick(t *testing.T) {
	l := New("a", 0, 0, timing.NewLease(timing.DefaultVoteDuration))
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		if now == 5*time.Second {
			l.SetMembers([]string{"a", "b", "c"})
		}
		if now == 15*time.Second {
			l.Release(now)
		}
		if l.Tick(now); l.NextTick() <= now {
			t.Fatalf("%v: the next Tick is due at %v", now, l.NextTick())
		}
	}
}

// A vote counts only for its own request, and only until that request was abandoned after a split vote or the lease was released.
func TestLateVotesDoNotCount(t *testing.T) {
	durations := timing.NewLease(timing.DefaultVoteDuration)
	for name, abandon := range map[string]func(l *Lease, now time.Duration){
		"a split vote":   func(l *Lease, now time.Duration) { l.Tick(now) },
		"the release":    func(l *Lease, now time.Duration) { l.Release(now) },
		"a next request": func(l *Lease, now time.Duration) { l.Tick(now); l.Tick(l.NextTick()) },
	} {
		candidate := New("a", 0, 0, durations)
		candidate.SetMembers([]string{"a", "b", "c", "d", "e"})
		requests := candidate.Tick(durations.StartupDelay)
		now := candidate.NextTick()
		abandon(candidate, now)
		for _, request := range requests {
			vote := Message{Kind: VoteResponse, From: request.To, To: "a", Number: request.Number, Granted: true}
			candidate.Handle(now+time.Millisecond, vote)
		}
		if candidate.HeldAt(now + time.Millisecond) {
			t.Errorf("votes that arrive after %s grant the lease", name)
		}
	}
}
