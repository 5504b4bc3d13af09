package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"firplank/lab/timeline"
)

const (
	linkDelay       = 3 * time.Millisecond
	slowDelay       = 400 * time.Millisecond
	contactInterval = 200 * time.Millisecond
)

// cluster runs detectors that exchange messages with a delay of linkDelay. Commands of a timeline inject faults: "cut" drops all messages
// of a member, "deaf:x" cuts only its link to x, "slow" delays the messages that it sends by slowDelay, "full" drops its datagrams while it
// still answers requests, and "busy" drops its datagrams while it answers only pings over connections.
type cluster struct {
	names      []string
	nodes      []*Detector
	cut        map[int]bool
	cutLinks   map[[2]string]bool
	slow       map[int]bool
	full       map[int]bool
	busy       map[int]bool
	inFlight   []delivery
	log        []string
	lastLogged string // losses in the last line of the log
}

type delivery struct {
	arrivesAt time.Duration
	message   Message
}

func (c *cluster) send(now time.Duration, messages []Message) {
	for _, m := range messages {
		arrivesAt := now + linkDelay
		if c.slow[slices.Index(c.names, m.From)] {
			arrivesAt += slowDelay
		}
		c.inFlight = append(c.inFlight, delivery{arrivesAt, m})
	}
}

func (c *cluster) step(now time.Duration) {
	c.deliver(now)
	var losses []string
	for i, d := range c.nodes {
		for j := range c.full {
			if d != nil && i != j && now%contactInterval == 0 {
				d.RecordContact(now, c.names[j])
			}
		}
		if d == nil || c.full[i] { // with a full link it suspects others wrongly; that is not logged
			continue
		}
		out, _ := d.Tick(now)
		c.send(now, out)
		if names := c.membersLostTo(d); names != nil {
			losses = append(losses, fmt.Sprintf("%s without %s", c.names[i], strings.Join(names, ",")))
		}
	}
	c.logLost(now, strings.Join(losses, "; "))
}

// deliver passes the messages whose delay is over to their recipients.
func (c *cluster) deliver(now time.Duration) {
	inFlight := c.inFlight
	c.inFlight = nil
	for _, d := range inFlight {
		from, to := d.message.From, d.message.To
		i, j := slices.Index(c.names, from), slices.Index(c.names, to)
		switch {
		case d.arrivesAt > now:
			c.inFlight = append(c.inFlight, d)
		case d.message.Kind == StreamPing:
			if c.nodes[i] != nil && c.nodes[j] != nil && (c.busy[j] || !c.cut[j]) && (c.busy[i] || !c.cut[i]) && !c.cutLinks[[2]string{from, to}] {
				c.nodes[i].RecordContact(now, to)
			}
		case c.nodes[j] == nil || c.cut[i] || c.cut[j] || c.cutLinks[[2]string{from, to}] || c.cutLinks[[2]string{to, from}]:
		default:
			out, _ := c.nodes[j].Handle(now, d.message)
			c.send(now, out)
		}
	}
}

// membersLostTo returns the members that count as lost to a detector.
func (c *cluster) membersLostTo(d *Detector) (names []string) {
	for _, name := range c.names {
		if d.Lost(name) {
			names = append(names, name)
		}
	}
	return names
}

// logLost logs which members are lost to which, if that has changed.
func (c *cluster) logLost(now time.Duration, text string) {
	if text == c.lastLogged {
		return
	}
	c.lastLogged = text
	if text == "" {
		text = "all are there to all"
	}
	c.log = append(c.log, fmt.Sprintf("%5.2f  %s", now.Seconds(), text))
}

func (c *cluster) apply(now time.Duration, i int, cell string) {
	switch verb, arg, _ := strings.Cut(cell, ":"); verb {
	case "up":
		c.nodes[i] = New(c.names[i], uint64(i+1), DefaultConfig())
		c.nodes[i].SetMembers(now, c.names)
	case "kill":
		c.nodes[i] = nil
	case "cut":
		c.cut[i] = true
	case "full":
		c.cut[i], c.full[i] = true, true
	case "busy":
		c.cut[i], c.busy[i] = true, true
	case "heal":
		delete(c.busy, i)
		delete(c.full, i)
		delete(c.cut, i)
		delete(c.slow, i)
		clear(c.cutLinks)
	case "deaf":
		c.cutLinks[[2]string{c.names[i], arg}] = true
	case "slow":
		c.slow[i] = true
	}
}

func TestTimelines(t *testing.T) {
	datadriven.RunTest(t, "testdata/timelines", func(t *testing.T, d *datadriven.TestData) string {
		scenario, err := timeline.Parse(d.Input)
		if err != nil {
			t.Fatal(err)
		}
		c := &cluster{
			names:    scenario.Columns,
			nodes:    make([]*Detector, len(scenario.Columns)),
			cut:      map[int]bool{},
			cutLinks: map[[2]string]bool{},
			slow:     map[int]bool{},
			full:     map[int]bool{},
			busy:     map[int]bool{},
		}
		scenario.Run(10*time.Millisecond, c.step, c.apply)
		if c.log == nil {
			return "nobody is ever lost\n"
		}
		return strings.Join(c.log, "\n") + "\n"
	})
}

// newTestDetector returns the detector of member a. Its other members are b and c, last seen at 0.
func newTestDetector(config Config) *Detector {
	d := New("a", 1, config)
	d.SetMembers(0, []string{"a", "b", "c"})
	return d
}

func TestSuspicionIsRefutedByMemberThatSawTheSuspect(t *testing.T) {
	d := newTestDetector(DefaultConfig())
	suspicion := Message{Kind: Suspect, From: "b", To: "a", Target: "c"}
	out, _ := d.Handle(100*time.Millisecond, suspicion)
	if len(out) != 1 || out[0].Kind != Alive || out[0].To != "b" || out[0].Target != "c" {
		t.Errorf("seen lately: %+v", out)
	}
	out, _ = d.Handle(time.Second, suspicion)
	if len(out) != 1 || out[0].Kind != Ping || out[0].To != "c" {
		t.Errorf("not seen lately: %+v", out)
	}
}

func TestAckFromAnotherMemberIsIgnored(t *testing.T) {
	d := newTestDetector(DefaultConfig())
	out, _ := d.Handle(0, Message{Kind: PingReq, From: "b", To: "a", SeqNo: 9, Target: "c"})
	if len(out) != 1 || out[0].Kind != Ping || out[0].To != "c" {
		t.Fatalf("%+v", out)
	}
	ping := out[0]
	if out, _ := d.Handle(0, Message{Kind: Ack, From: "b", To: "a", SeqNo: ping.SeqNo}); out != nil {
		t.Errorf("%+v", out)
	}
	out, _ = d.Handle(0, Message{Kind: Ack, From: "c", To: "a", SeqNo: ping.SeqNo})
	if want := (Message{Kind: Alive, From: "a", To: "b", SeqNo: 9, Target: "c"}); len(out) != 1 || out[0] != want {
		t.Errorf("%+v, want %+v", out, want)
	}
}

func TestPendingProbesAreBounded(t *testing.T) {
	config := DefaultConfig()
	config.MaxPendingProbes = 2
	d := newTestDetector(config)
	pings := 0
	for n := range uint64(5) {
		out, _ := d.Handle(0, Message{Kind: PingReq, From: "b", To: "a", SeqNo: n, Target: "c"})
		pings += len(out)
	}
	if pings != config.MaxPendingProbes {
		t.Errorf("%d pings pending, want %d", pings, config.MaxPendingProbes)
	}
}
