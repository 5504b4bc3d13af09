package run

import (
	"context"
	"io"
	"time"

	"firplank/internal/output"
	"firplank/lab/judge"
	"firplank/lab/scenario"
	"firplank/lab/standin"
)

// RunStandIns starts the servers and the roster of a scenario without sidecars or clients. It writes a configuration for each
// sidecar to dir, prints the paths and the server addresses on out, and plays the faults of servers and roster until ctx ends.
// Nothing is judged.
func RunStandIns(ctx context.Context, s *scenario.Scenario, dir string, out io.Writer) error {
	printer := output.New(out)
	st := &testbed{s: s, dir: dir, sharedKeys: standin.NewCell()}
	defer st.close()
	if err := st.buildServers(); err != nil {
		return err
	}
	for i := range s.Sidecars {
		path, err := writeConfig(dir, s, i, "127.0.0.1:0", st.roster.Addr(i), st.roster.Current(i), nil)
		if err != nil {
			return err
		}
		printer.Printf("NODE_CONFIG=%s\n", path)
	}
	for _, sl := range st.fleet {
		printer.Printf("server %s in cell %d at %s\n", sl.server.ID(), sl.candidate.Cell, sl.server.Addr(0))
	}
	var standInFaults []scenario.Fault
	for _, f := range s.Faults {
		if f.Subject() == scenario.SubjectServers || f.Subject() == scenario.SubjectRoster {
			standInFaults = append(standInFaults, f)
		}
	}
	s.Faults = standInFaults
	st.playFaults(ctx, st.clock())
	<-ctx.Done()
	for _, err := range st.errs {
		return err
	}
	return printer.Err()
}

// RunClients plays the clients of a scenario against sidecars at the given addresses. The requests that servers received are
// not known, so only the rules on responses are judged.
func RunClients(ctx context.Context, s *scenario.Scenario, addrs []string) (*Report, error) {
	plan, err := s.Draw()
	if err != nil {
		return nil, err
	}
	clock := standin.StartClock()
	j := judge.New(judge.Config{Classes: judgeClasses(s), Slack: ruleSlack, NoServerEvents: true})
	rec := newRecorder(j, s.Length())
	var rpcAddrs []string
	if s.Clients.RPC() {
		rpcAddrs = addrs
	}
	callers := standin.NewClients(standin.ClientsConfig{
		Scenario: s, Plan: plan, Addrs: addrs, RPCAddrs: rpcAddrs, Clock: clock, Observer: rec, MaxOpenConns: max(16, s.Limits.Sockets/3),
		Linger: answerSlackMS*time.Millisecond + ruleSlack,
	})
	tallies := callers.Run(ctx)
	time.Sleep(settleTime)
	r := newReport(s, tallies, j.Close(clock()), rec)
	r.Program, r.Late = "the sidecars given", callers.MaxStartDelay()
	return r, nil
}
