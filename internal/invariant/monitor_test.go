package invariant

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	kitlog "github.com/go-kit/log"
)

// counter is a Counter for tests.
type counter int

func (c *counter) Inc() { *c++ }

// Every violation is counted, and the first ones of each invariant are logged with their explanation.
func TestMonitorCountsAndLogs(t *testing.T) {
	var log bytes.Buffer
	counters := map[Name]*counter{}
	monitor := NewMonitor(kitlog.NewJSONLogger(&log), func(name Name) Counter {
		counters[name] = new(counter)
		return counters[name]
	})
	const times = 2 * loggedAtOnce
	for _, name := range All() {
		for range times {
			monitor.Violated(name, "request", "r-7")
		}
	}
	logged := map[string]int{}
	for line := range strings.Lines(log.String()) {
		var entry struct{ Msg, Invariant, Request, Level string }
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Msg == LogMessage && entry.Request == "r-7" && entry.Level == "error" {
			logged[entry.Invariant]++
		}
	}
	for _, name := range All() {
		if *counters[name] != times || logged[string(name)] < 1 || logged[string(name)] > loggedAtOnce {
			t.Errorf("%s: counted %d times, logged %d times", name, *counters[name], logged[string(name)])
		}
	}
	monitor.Violated("not_one_of_them") // an unknown name is ignored
}
