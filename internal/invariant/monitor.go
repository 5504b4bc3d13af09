package invariant

import (
	"sync"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// The log's rate limit for the violations of one invariant. All violations are counted.
const (
	loggedAtOnce = 10
	logInterval  = time.Second
)

// LogMessage is the message of the log line of a violation.
const LogMessage = "invariant violated"

// Counter counts the violations of one invariant.
type Counter interface{ Inc() }

// Monitor is the Reporter of a process. It counts and logs violations.
type Monitor struct {
	log      kitlog.Logger
	counters map[Name]Counter

	mu     sync.Mutex
	limits map[Name]*rate.Sometimes
}

// NewMonitor returns a monitor that logs to log and has a counter from newCounter for each invariant.
func NewMonitor(log kitlog.Logger, newCounter func(Name) Counter) *Monitor {
	m := &Monitor{log: log, counters: map[Name]Counter{}, limits: map[Name]*rate.Sometimes{}}
	for _, name := range All() {
		m.counters[name] = newCounter(name)
		m.limits[name] = &rate.Sometimes{First: loggedAtOnce, Interval: logInterval}
	}
	return m
}

// Violated implements Reporter.
func (m *Monitor) Violated(name Name, explanation ...any) {
	if counter := m.counters[name]; counter != nil {
		counter.Inc()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if limit := m.limits[name]; limit != nil {
		limit.Do(func() {
			line := append([]any{"msg", LogMessage, "invariant", string(name)}, explanation...)
			_ = level.Error(m.log).Log(line...) // the violation is counted even if this fails
		})
	}
}
