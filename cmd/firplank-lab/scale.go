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
	Control  int           `help:"True control machines." default:"4"`
	Real     int           `help:"True sidecars among them." default:"12"`
	Zones    int           `help:"Zones over which sidecars are spread." default:"8"`
	Services int           `help:"Services of the configuration." default:"330"`
	Routes   int           `help:"Routes of each service." default:"2"`
	PerS     float64       `help:"Sidecars that start a second." default:"100"`
	Settle   time.Duration `help:"From all ready to the quiet time." default:"8s"`
	Quiet    time.Duration `help:"Length of the quiet time." default:"10s"`
	Changes  int           `help:"Changes of the configuration." default:"5"`
	Every    time.Duration `help:"From a change to the next." default:"3s"`
	Restart  float64       `help:"Share of the hollow sidecars that is restarted at once." default:"0.1"`
	After    time.Duration `help:"How long after the restart is counted." default:"10s"`
	Target   int           `help:"Number of sidecars that figures are carried on to." default:"8400"`
	MaxMB    int64         `name:"most-mb" help:"Memory of all processes together beyond which a run ends." default:"14000"`
	Net      int           `help:"Second number of the addresses on loopback, 127.NET.x.y." default:"78"`
	JSON     string        `name:"json" help:"File for all figures." type:"path"`
	Add      []string      `help:"Files of earlier figures, whose runs count in the slopes, too." type:"existingfile"`
	NoRuns   bool          `help:"Play nothing: only the figures that are added."`
}

// Run plays all sizes, the smallest first, and prints tables. A run that fails is told of, and the others go on.
func (c *scaleCommand) Run(ctx context.Context, out io.Writer) error {
	folder, err := os.MkdirTemp("", "firplank-scale")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder, which may stay
	build := exec.CommandContext(ctx, "go", "build", "-o", folder+"/", "./cmd/firplank-proxy", "./cmd/firplank-control")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return fmt.Errorf("build: %w", err)
	}
	lab, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program: %w", err)
	}
	plan := scale.Plan{
		Sizes: c.Sizes, Repeats: c.Repeats, Control: c.Control, Real: c.Real, Zones: c.Zones, Services: c.Services,
		Routes: c.Routes, PerS: c.PerS,
		Settle: c.Settle, Quiet: c.Quiet, Changes: c.Changes, Every: c.Every, Restart: c.Restart, After: c.After, Target: c.Target,
		MostRSS: c.MaxMB * 1e6, Net: c.Net, Folder: filepath.Join(folder, "mesh"), Programs: folder, Lab: lab,
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

// add takes in the runs of earlier reports.
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

// playAll plays all runs of the report's plan.
func playAll(ctx context.Context, report *scale.Report) {
	plan := &report.Plan
	for repeat := range plan.Repeats {
		for _, size := range plan.Sizes {
			start := time.Now()
			run, err := scale.Play(ctx, plan, size, repeat+1)
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

// hollowCommand is a process of hollow sidecars, which the runs start.
type hollowCommand struct{}

// Run serves orders until its input ends.
func (hollowCommand) Run(ctx context.Context, out io.Writer) error {
	return scale.RunGroup(ctx, os.Stdin, out)
}
