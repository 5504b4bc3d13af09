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

// played is a controller with the log of what it was given and decided.
type played struct {
	controller *Controller
	log        []string
}

func (p *played) note(now time.Duration, format string, args ...any) {
	p.log = append(p.log, fmt.Sprintf("%4.1f  ", now.Seconds())+fmt.Sprintf(format, args...))
}

// noteIf notes a change.
func (p *played) noteIf(changed bool, now time.Duration, format string, args ...any) {
	if changed {
		p.note(now, format, args...)
	}
}

// handle plays the cell of a timeline in the column of a server or of a sidecar.
func (p *played) handle(now time.Duration, who, cell string) {
	c := p.controller
	verb, arg, _ := strings.Cut(cell, ":")
	switch verb {
	case "beat", "closing":
		sequence, _ := strconv.ParseUint(arg, 10, 64)
		h := Heartbeat{ServerID: who, Service: "records", Slots: 2, Closing: verb == "closing", Sequence: sequence}
		p.noteIf(c.HandleHeartbeat(now, h), now, "%s is heard", who)
	case "leave":
		p.noteIf(c.ServerLeft(who), now, "%s has left", who)
	case "refuse":
		p.noteIf(c.ConnectionRefused(), now, "connection refused")
	case "answer":
		p.noteIf(c.ResponseReceived(now), now, "response received")
	case "done":
		c.Release(arg)
	case "restart":
		c.AfterRestart()
	case "health":
		c.Identify(now, &directory.Entry{Server: arg, Service: "records", Slots: 2, State: directory.Accepting})
	case "recall":
		id, state, _ := strings.Cut(arg, ":")
		was := map[string]directory.State{
			"": directory.Accepting, "closing": directory.Closing, "ending": directory.Draining, "left": directory.Departed,
		}[state]
		c.Restore(now, &directory.Entry{Server: id, Service: "records", Slots: 2, State: was})
	case "ask": // for whom, of what rank, forwarded how often
		parts := strings.Split(arg+":0:0", ":")
		rank, _ := strconv.Atoi(parts[1])
		forwarded, _ := strconv.Atoi(parts[2])
		p.note(now, "%s for %s: %v", who, parts[0], c.Admit(parts[0], rank, forwarded))
	}
}

// The columns are the server, or servers one after another at the same address, the sidecars that send, and admission control's own clock.
func TestTimelines(t *testing.T) {
	datadriven.RunTest(t, "testdata/timelines", func(t *testing.T, d *datadriven.TestData) string {
		drawing, err := timeline.Parse(d.Input)
		if err != nil {
			t.Fatal(err)
		}
		p := &played{controller: New(timing.Server{
			HeartbeatTimeout:      3 * time.Second,
			RestoredTimeout:       2250 * time.Millisecond,
			IdentifiedTimeout:     time.Second,
			RestartConfirmTimeout: 2500 * time.Millisecond,
		})}
		step := func(now time.Duration) { p.noteIf(p.controller.Tick(now), now, "heartbeat time-out") }
		drawing.Play(100*time.Millisecond, step, func(now time.Duration, column int, cell string) {
			p.handle(now, drawing.Names[column], cell)
		})
		return strings.Join(p.log, "\n") + "\n"
	})
}
