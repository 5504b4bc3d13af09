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

// cluster runs detectors over links of linkDelay. A member that is "cut" receives and sends nothing; "deaf:x" cuts the link to x alone;
// "slow" delays all that a member sends by slowDelay; "full" loses a member's datagrams, while it answers requests; "busy" loses them too,
// and it answers no requests, but pings over connections.
type cluster struct {
	names    []string
	all      []*Detector
	cut      map[int]bool
	deaf     map[[2]string]bool
	slow     map[int]bool
	full     map[int]bool
	busy     map[int]bool
	inFlight []delivery
	log      []string
	lost     string // the last line of the log
}

type delivery struct {
	at      time.Duration
	message Message
}

func (c *cluster) send(now time.Duration, messages []Message) {
	for _, m := range messages {
		at := now + linkDelay
		if c.slow[slices.Index(c.names, m.From)] {
			at += slowDelay
		}
		c.inFlight = append(c.inFlight, delivery{at, m})
	}
}

func (c *cluster) step(now time.Duration) {
	c.deliver(now)
	var lost []string
	for i, d := range c.all {
		for j := range c.full {
			if d != nil && i != j && now%contactInterval == 0 {
				d.RecordContact(now, c.names[j])
			}
		}
		if d == nil || c.full[i] { // what one whose datagrams are lost makes of the others is not logged
			continue
		}
		out, _ := d.Tick(now)
		c.send(now, out)
		if names := c.lostTo(d); names != nil {
			lost = append(lost, fmt.Sprintf("%s without %s", c.names[i], strings.Join(names, ",")))
		}
	}
	c.logLost(now, strings.Join(lost, "; "))
}

// deliver hands over the messages that have arrived.
func (c *cluster) deliver(now time.Duration) {
	inFlight := c.inFlight
	c.inFlight = nil
	for _, l := range inFlight {
		from, to := l.message.From, l.message.To
		i, j := slices.Index(c.names, from), slices.Index(c.names, to)
		switch {
		case l.at > now:
			c.inFlight = append(c.inFlight, l)
		case l.message.Kind == StreamPing:
			if c.all[i] != nil && c.all[j] != nil && (c.busy[j] || !c.cut[j]) && (c.busy[i] || !c.cut[i]) && !c.deaf[[2]string{from, to}] {
				c.all[i].RecordContact(now, to)
			}
		case c.all[j] == nil || c.cut[i] || c.cut[j] || c.deaf[[2]string{from, to}] || c.deaf[[2]string{to, from}]:
		default:
			out, _ := c.all[j].Handle(now, l.message)
			c.send(now, out)
		}
	}
}

// lostTo returns the members that a detector holds for lost.
func (c *cluster) lostTo(d *Detector) (names []string) {
	for _, name := range c.names {
		if d.Lost(name) {
			names = append(names, name)
		}
	}
	return names
}

// logLost logs who is lost to whom, where that has changed.
func (c *cluster) logLost(now time.Duration, text string) {
	if text == c.lost {
		return
	}
	c.lost = text
	if text == "" {
		text = "all are there to all"
	}
	c.log = append(c.log, fmt.Sprintf("%5.2f  %s", now.Seconds(), text))
}

func (c *cluster) do(now time.Duration, i int, cell string) {
	switch verb, arg, _ := strings.Cut(cell, ":"); verb {
	case "up":
		c.all[i] = New(c.names[i], uint64(i+1), DefaultConfig())
		c.all[i].SetMembers(now, c.names)
	case "kill":
		c.all[i] = nil
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
		clear(c.deaf)
	case "deaf":
		c.deaf[[2]string{c.names[i], arg}] = true
	case "slow":
		c.slow[i] = true
	}
}

func TestTimelines(t *testing.T) {
	datadriven.RunTest(t, "testdata/timelines", func(t *testing.T, d *datadriven.TestData) string {
		drawing, err := timeline.Parse(d.Input)
		if err != nil {
			t.Fatal(err)
		}
		c := &cluster{
			names: drawing.Names,
			all:   make([]*Detector, len(drawing.Names)),
			cut:   map[int]bool{},
			deaf:  map[[2]string]bool{},
			slow:  map[int]bool{},
			full:  map[int]bool{},
			busy:  map[int]bool{},
		}
		drawing.Play(10*time.Millisecond, c.step, c.do)
		if c.log == nil {
			return "nobody is ever lost\n"
		}
		return strings.Join(c.log, "\n") + "\n"
	})
}

// detectorOf returns a detector of a whose other members are b and c, seen at 0.
func detectorOf(config Config) *Detector {
	d := New("a", 1, config)
	d.SetMembers(0, []string{"a", "b", "c"})
	return d
}

func TestSuspicionIsRefutedByWhoHasSeenTheSuspect(t *testing.T) {
	d := detectorOf(DefaultConfig())
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

func TestAckOfAnotherMemberDoesNotCount(t *testing.T) {
	d := detectorOf(DefaultConfig())
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
	d := detectorOf(config)
	pings := 0
	for n := range uint64(5) {
		out, _ := d.Handle(0, Message{Kind: PingReq, From: "b", To: "a", SeqNo: n, Target: "c"})
		pings += len(out)
	}
	if pings != config.MaxPendingProbes {
		t.Errorf("%d pings pending, want %d", pings, config.MaxPendingProbes)
	}
}
