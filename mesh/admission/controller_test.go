package admission

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"

	"firplank/lab/timeline"
	"firplank/mesh/directory"
	"firplank/mesh/timing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// timelineRun is a controller with a log of its inputs and decisions.
type timelineRun struct {
	controller *Controller
	entries    []string
}

func (p *timelineRun) logf(now time.Duration, format string, args ...any) {
	p.entries = append(p.entries, fmt.Sprintf("%4.1f  ", now.Seconds())+fmt.Sprintf(format, args...))
}

func (p *timelineRun) logIf(changed bool, now time.Duration, format string, args ...any) {
	if changed {
		p.logf(now, format, args...)
	}
}

// applyCell applies a cell of a timeline, in the column of a server or of a sidecar.
func (p *timelineRun) applyCell(now time.Duration, name, cell string) {
	c := p.controller
	verb, arg, _ := strings.Cut(cell, ":")
	switch verb {
	case "beat", "closing":
		h := Heartbeat{ServerID: name, Service: "records", Slots: 2, Closing: verb == "closing"}
		if number, err := strconv.ParseUint(arg, 10, 64); err == nil { // otherwise the heartbeat has no number
			h.Sequence = NewSequence(number)
		}
		p.logIf(c.HandleHeartbeat(now, h), now, "%s is heard", name)
	case "leave":
		p.logIf(c.HandleDeregistration(name), now, "%s has left", name)
	case "tombstone":
		p.logIf(c.HandleTombstone(arg), now, "%s has begun to shut down", arg)
	case "refuse":
		p.logIf(c.ConnectionRefused(), now, "connection refused")
	case "answer":
		p.logIf(c.ResponseReceived(now), now, "response received")
	case "done":
		c.Release(arg)
	case "restart":
		c.MarkRestarted()
	case "health":
		c.Identify(now, &directory.Entry{Server: arg, Service: "records", Slots: 2, State: directory.Accepting})
	case "recall":
		id, state, _ := strings.Cut(arg, ":")
		restored := map[string]directory.State{
			"": directory.Accepting, "closing": directory.Closing, "ending": directory.Draining, "left": directory.Departed,
		}[state]
		c.Restore(now, &directory.Entry{Server: id, Service: "records", Slots: 2, State: restored})
	case "ask": // server, rank, how often the request was forwarded
		parts := strings.Split(arg+":0:0", ":")
		rank, _ := strconv.Atoi(parts[1])
		forwarded, _ := strconv.Atoi(parts[2])
		p.logf(now, "%s for %s: %v", name, parts[0], c.Admit(parts[0], rank, forwarded))
	}
}

// The columns of a timeline are the server, or several servers one after another at the same address, the sending sidecars, and the clock
// of admission control.
func TestTimelines(t *testing.T) {
	datadriven.RunTest(t, "testdata/timelines", func(t *testing.T, d *datadriven.TestData) string {
		drawing, err := timeline.Parse(d.Input)
		if err != nil {
			t.Fatal(err)
		}
		p := &timelineRun{controller: New(timing.Server{
			HeartbeatTimeout:      3 * time.Second,
			RestoredTimeout:       2250 * time.Millisecond,
			IdentifiedTimeout:     time.Second,
			RestartConfirmTimeout: 2500 * time.Millisecond,
		})}
		tick := func(now time.Duration) { p.logIf(p.controller.Tick(now), now, "heartbeat time-out") }
		drawing.Run(100*time.Millisecond, tick, func(now time.Duration, column int, cell string) {
			p.applyCell(now, drawing.Columns[column], cell)
		})
		return strings.Join(p.entries, "\n") + "\n"
	})
}
