package sidecar

import (
	"context"
	"log/slog"
	"time"

	"firplank/internal/broker"
	"firplank/internal/core"
	"firplank/internal/reporting"
	"firplank/report"
)

// Bounds of the time for the last report, after all requests have ended. Even the lower one ends before the platform kills.
const (
	minFinalReport = 30 * time.Millisecond
	maxFinalReport = 300 * time.Millisecond
)

// Shape returns the classes and tenants by which requests are counted.
func (c *Config) Shape() report.Config {
	s := report.Config{Tenants: c.catalog.TenantNames(), MaxPairs: c.Options.Reporting.MaxPairs}
	for i, name := range c.catalog.ClassNames() {
		rules := &c.Balance.Classes[i]
		s.Classes = append(s.Classes, report.Class{
			Name:          name,
			LatencyTarget: millis(rules.LatencyTarget),
			Value:         rules.Value,
			LateValue:     rules.LateValue,
		})
	}
	return s
}

// newReporter returns the reporter to the receivers that the options name; nil without any.
func newReporter(
	c *Config, counts *report.Counts, exchange *core.Loop, gate *broker.Gate, started time.Time, log *slog.Logger,
) *reporting.Reporter {
	receivers := reporting.Receivers(&c.Options, c.Name, started)
	if len(receivers) == 0 {
		return nil
	}
	return reporting.New(reporting.Config{
		Counts:    counts,
		Receivers: receivers,
		Started:   started,
		Log:       log,
		State: func(ctx context.Context, st *report.State) error {
			return readState(ctx, exchange, gate, st)
		},
	})
}

// readState fills in what the exchange's goroutine owns: servers, teams and how many servers are avoided.
func readState(ctx context.Context, exchange *core.Loop, gate *broker.Gate, st *report.State) error {
	read := make(chan report.State, 1) // the exchange never waits, also when ctx has ended
	exchange.Inspect(func(now time.Duration) {
		s := report.State{AvoidedServers: exchange.CountServers().Unhealthy}
		for _, server := range exchange.Servers() {
			s.Servers = append(s.Servers, report.ServerState{Name: server.Name, InFlight: server.InFlight})
		}
		if gate != nil {
			for _, team := range gate.Report(now).Teams {
				s.Teams = append(s.Teams, report.TeamState{Name: team.Team, Requests: team.Requests})
			}
		}
		read <- s
	})
	select {
	case s := <-read:
		st.Servers, st.Teams, st.AvoidedServers = s.Servers, s.Teams, s.AvoidedServers
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
