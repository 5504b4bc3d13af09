package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"firplank/internal/output"
	"firplank/lab/peer"
	"firplank/lab/run"
	"firplank/lab/scenario"
)

type compareCommand struct {
	scenarioFlags
	Seeds int `help:"Number of seeds, from the scenario's on." default:"1"`
}

func (c *compareCommand) Run(ctx context.Context, out io.Writer) error {
	s, err := c.openScenario()
	if err != nil {
		return err
	}
	program, err := c.sidecarProgram()
	if err != nil {
		return err
	}
	t := output.NewTable(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	t.Println("scenario\tseed\tprogram\tworth\tfirplank / program\tp99 ms\trefused\tfailed or unanswered\trules broken\tprocessor s\t")
	first := s.Seed
	for seed := first; seed < first+uint64(max(1, c.Seeds)); seed++ {
		s.Seed = seed
		ours, err := playScenario(ctx, s, run.Options{Program: program}, "firplank")
		if err != nil {
			return err
		}
		c.printRow(t, s, ours, ours)
		for _, policy := range peer.Policies {
			peerProgram, err := childProgram(policy)
			if err != nil {
				return err
			}
			theirs, err := playScenario(ctx, s, run.Options{Program: peerProgram}, policy)
			if err != nil {
				return err
			}
			c.printRow(t, s, theirs, ours)
		}
	}
	return t.Flush()
}

// printRow prints the result of one program. ours is the result of firplank for the same seed.
func (c *compareCommand) printRow(t *output.Table, s *scenario.Scenario, r, ours *run.Report) {
	ratio := "-"
	if r.Total.Worth > 0 {
		ratio = fmt.Sprintf("%.2f", ours.Total.Worth/r.Total.Worth)
	}
	broken := 0
	for _, n := range r.Verdict.Counts {
		broken += n
	}
	t.Printf("%s\t%d\t%s\t%.3f\t%s\t%.0f\t%d\t%d\t%d\t%.2f\t\n", s.Name, s.Seed, r.Program, r.Total.Worth, ratio, r.Total.P99,
		r.Total.Refused, r.Total.Failed+r.Total.Lost, broken, r.Use.CPU.Seconds())
}

type throughputCommand struct {
	InFlight []int    `help:"Numbers of requests in flight." default:"1,32,256"`
	Seconds  float64  `help:"Seconds of each measurement." default:"3"`
	Rounds   int      `help:"Rounds in which all programs are measured in turn." default:"3"`
	Idle     int      `help:"Idle connections, to measure the memory of one." default:"1000"`
	Binary   string   `help:"The sidecar's program; empty: this program." type:"path"`
	Before   string   `help:"Another build of the sidecar, to compare with over HTTP." type:"path"`
	Only     []string `help:"Subjects to measure, of http, rpc, before, proxy and fasthttp; empty: all."`
	Bench    string   `help:"Write each round to a file in the Go benchmark format, for benchstat." placeholder:"FILE" type:"path"`
}

func (c *throughputCommand) Run(ctx context.Context, out io.Writer) error {
	program, err := (&scenarioFlags{Binary: c.Binary}).sidecarProgram()
	if err != nil {
		return err
	}
	proxy, err := childProgram(peer.Policies[0])
	if err != nil {
		return err
	}
	subjects := []run.Subject{{Name: "http", Program: program}, {Name: "rpc", Program: program, RPC: true}}
	if c.Before != "" {
		subjects = append(subjects, run.Subject{Name: "before", Program: run.Program{Args: []string{c.Before, "serve"}}})
	}
	fastProgram, err := childProgram(peer.Fast)
	if err != nil {
		return err
	}
	subjects = append(subjects, run.Subject{Name: "proxy", Program: proxy}, run.Subject{Name: "fasthttp", Program: fastProgram})
	if len(c.Only) > 0 {
		subjects = slices.DeleteFunc(subjects, func(s run.Subject) bool { return !slices.Contains(c.Only, s.Name) })
	}
	all, err := run.Throughput(ctx, run.ThroughputOptions{
		Subjects: subjects, InFlight: c.InFlight, Seconds: c.Seconds, Rounds: c.Rounds, IdleConns: c.Idle,
	})
	if err != nil {
		return err
	}
	if c.Bench != "" {
		if err := writeToFile(c.Bench, func(w io.Writer) error { return run.ThroughputBench(w, all) }); err != nil {
			return err
		}
	}
	return run.ThroughputTable(out, all)
}

type reportingCommand struct {
	Workers int     `help:"Workers, each of which sends one request after the other." default:"4"`
	Seconds float64 `help:"Seconds of the measurement." default:"20"`
	Binary  string  `help:"The sidecar's program; empty: this program." type:"path"`
}

func (c *reportingCommand) Run(ctx context.Context, out io.Writer) error {
	program, err := (&scenarioFlags{Binary: c.Binary}).sidecarProgram()
	if err != nil {
		return err
	}
	all, err := run.Reporting(ctx, run.ReportingOptions{Program: program, Workers: max(1, c.Workers), Seconds: c.Seconds})
	if err != nil {
		return err
	}
	return run.ReportingTable(out, all)
}
