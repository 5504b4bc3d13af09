package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"firplank/internal/output"
	"firplank/lab/mesh"
	"firplank/lab/soak"
)

type soakCommand struct {
	Seed      uint64        `help:"First seed." default:"1"`
	Seeds     int           `help:"Number of seeds, played one after the other." default:"1"`
	Length    time.Duration `help:"Time in which faults are started, for each seed." default:"30s"`
	Core      int           `help:"Control machines." default:"4"`
	Tolerance int           `help:"Control machines that may lose their disks at once." default:"1"`
	Branch    int           `help:"Machines with a server and a sidecar, for each of the two services." default:"3"`
	Clients   int           `help:"Clients of each branch machine." default:"3"`
	Slow      int           `help:"Slow every process down to one part in this many of its run time." default:"1"`
	Only      []soak.Kind   `help:"Kinds of faults; empty: all."`
	Net       int           `help:"Second octet of the addresses, 127.NET.0.0. Concurrent runs need different ones." default:"90"`
	Race      bool          `help:"Build the programs with the race detector."`
	Keep      string        `help:"Folder to keep the settings, disks, logs and events of each seed with a violation."`
}

// errPromisesBroken is the result of a run with violations.
var errPromisesBroken = errors.New("promises were broken")

// Run plays the seeds and prints a report for each.
func (c *soakCommand) Run(ctx context.Context, out io.Writer) error {
	printer := output.New(out)
	folder, err := os.MkdirTemp("", "firplank-soak")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder does no harm
	programs := filepath.Join(folder, "bin")
	if err := mesh.Build(ctx, programs, c.Race); err != nil {
		return err
	}
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		report, err := c.play(ctx, filepath.Join(folder, fmt.Sprint(seed)), programs, seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		printReport(printer, report)
		if len(report.Violations) > 0 {
			broken++
		}
	}
	printer.Printf("%d seeds, %d with violations\n", c.Seeds, broken)
	if err := printer.Err(); err != nil {
		return err
	}
	if broken > 0 {
		return errPromisesBroken
	}
	return nil
}

// play plays one seed in a folder. If it fails or has violations, the folder is copied to c.Keep, if set. The folder is removed.
func (c *soakCommand) play(ctx context.Context, folder, programs string, seed uint64) (*soak.Report, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	events, err := os.Create(filepath.Join(folder, "events.jsonl"))
	if err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, soak.Config{
		Seed: seed, Length: c.Length, Folder: folder, Programs: programs, Net: c.Net, Core: c.Core, Tolerance: c.Tolerance,
		Branch: c.Branch, Clients: c.Clients, Slow: c.Slow, Only: c.Only, Log: events,
	})
	if closeErr := events.Close(); err == nil {
		err = closeErr
	}
	if c.Keep != "" && (err != nil || len(report.Violations) > 0) {
		kept := filepath.Join(c.Keep, fmt.Sprintf("seed-%d", seed))
		err = errors.Join(err, os.MkdirAll(c.Keep, 0o755), os.RemoveAll(kept), os.CopyFS(kept, os.DirFS(folder)))
	}
	return report, errors.Join(err, os.RemoveAll(folder))
}

// maxPrintedPerRule bounds the violations of a rule that are printed. The list of events contains all of them.
const maxPrintedPerRule = 5

// printReport prints the counts of a run and its violations.
func printReport(printer *output.Printer, r *soak.Report) {
	n := &r.Counts
	printer.Printf("seed %d: %d faults (%d skipped), %d requests: %d served, %d refused, %d failed, "+
		"%d aborted, %d expired, %d canceled, %d unreached; "+
		"%d changes, %d acknowledged, %d reads; %d stalls; %d violations\n",
		r.Seed, r.Faults, r.Skipped, n.Requests, n.Served, n.Refused, n.Failed,
		n.Broken, n.Expired, n.Left, n.Unreached, n.Changes, n.Acknowledged, n.Reads,
		r.Stalls, len(r.Violations))
	printed := map[string]int{}
	for _, v := range r.Violations {
		if printed[v.Rule]++; printed[v.Rule] <= maxPrintedPerRule {
			printer.Printf("  %8.3f %s: %s\n", v.At.Seconds(), v.Rule, v.What)
		}
	}
	for rule, count := range printed {
		if count > maxPrintedPerRule {
			printer.Printf("  %s: %d in total\n", rule, count)
		}
	}
}
