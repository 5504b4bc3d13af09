package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"firplank/lab/scale"
)

type scaleCommand struct {
	Sizes    []int         `help:"Numbers of sidecars." default:"100,300,1000"`
	Repeats  int           `help:"Runs at each size." default:"2"`
	Control  int           `help:"Real control machines." default:"4"`
	Real     int           `help:"Real sidecars among them." default:"12"`
	Zones    int           `help:"Zones over which sidecars are spread." default:"8"`
	Services int           `help:"Services of the configuration." default:"330"`
	Routes   int           `help:"Routes of each service." default:"2"`
	PerS     float64       `help:"Sidecars started a second." default:"100"`
	Settle   time.Duration `help:"Time from all sidecars ready to the quiet period." default:"8s"`
	Quiet    time.Duration `help:"Length of the quiet period, without changes." default:"10s"`
	Changes  int           `help:"Changes of the configuration." default:"5"`
	Every    time.Duration `help:"Interval of the changes." default:"3s"`
	Restart  float64       `help:"Share of the simulated sidecars that are restarted at once." default:"0.1"`
	After    time.Duration `help:"Length of the measurement after the restart." default:"10s"`
	Target   int           `help:"Number of sidecars to extrapolate to." default:"8400"`
	MaxMB    int64         `name:"most-mb" help:"Memory of all processes, in MB, above which a run is stopped." default:"14000"`
	Net      int           `help:"Second octet of the loopback addresses, 127.NET.x.y." default:"78"`
	JSON     string        `name:"json" help:"Write all results to a file in JSON." type:"path"`
	Add      []string      `help:"Files of earlier results, whose runs are included in the slopes." type:"existingfile"`
	NoRuns   bool          `help:"Play nothing and use only the results of --add."`
}

// Run plays all sizes in their order, repeated as planned, and prints tables. A failed run is reported, and the others are still played.
func (c *scaleCommand) Run(ctx context.Context, out io.Writer) error {
	folder, err := os.MkdirTemp("", "firplank-scale")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder does no harm
	build := exec.CommandContext(ctx, "go", "build", "-o", folder+"/", "./cmd/firplank-proxy", "./cmd/firplank-control")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return fmt.Errorf("build: %w", err)
	}
	lab, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this program: %w", err)
	}
	plan := scale.Plan{
		Sizes: c.Sizes, Repeats: c.Repeats, Control: c.Control, Real: c.Real, Zones: c.Zones, Services: c.Services,
		Routes: c.Routes, StartsPerS: c.PerS,
		Settle: c.Settle, Quiet: c.Quiet, Changes: c.Changes, ChangeInterval: c.Every,
		RestartShare: c.Restart, RestartPeriod: c.After, Target: c.Target,
		MaxRSS: c.MaxMB * 1e6, Net: c.Net, Folder: filepath.Join(folder, "mesh"), Programs: folder, Lab: lab,
	}
	if err := plan.Check(); err != nil {
		return err
	}
	report := scale.Report{Plan: plan}
	if err := c.add(&report); err != nil {
		return err
	}
	if !c.NoRuns {
		playAll(ctx, &report)
	}
	report.Slopes = scale.Slopes(report.Runs, plan.Target)
	report.Write(out)
	return c.save(&report)
}

// add appends the runs of earlier reports.
func (c *scaleCommand) add(report *scale.Report) error {
	for _, path := range c.Add {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var earlier scale.Report
		if err := json.Unmarshal(text, &earlier); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		report.Runs = append(report.Runs, earlier.Runs...)
		report.Failed = append(report.Failed, earlier.Failed...)
	}
	return nil
}

// playAll plays all runs of the report's plan and adds their results, or their errors, to the report.
func playAll(ctx context.Context, report *scale.Report) {
	plan := &report.Plan
	for repeat := range plan.Repeats {
		for _, size := range plan.Sizes {
			start := time.Now()
			run, err := scale.RunOnce(ctx, plan, size, repeat+1)
			if err != nil {
				report.Failed = append(report.Failed, err.Error())
				fmt.Fprintln(os.Stderr, "firplank-lab:", err)
				continue
			}
			report.Runs = append(report.Runs, run)
			fmt.Fprintf(os.Stderr, "%d sidecars, run %d: played in %.0f s\n", size, repeat+1, time.Since(start).Seconds())
		}
	}
}

// save writes the report if a file is named. Failed runs are an error.
func (c *scaleCommand) save(report *scale.Report) error {
	if c.JSON != "" {
		text, err := json.Marshal(report)
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if len(report.Failed) > 0 {
		return fmt.Errorf("%d runs failed", len(report.Failed))
	}
	return nil
}

// hollowCommand runs a process with a group of simulated sidecars. The scale command starts it.
type hollowCommand struct{}

// Run executes commands from standard input until it ends.
func (hollowCommand) Run(ctx context.Context, out io.Writer) error {
	return scale.RunGroup(ctx, os.Stdin, out)
}
