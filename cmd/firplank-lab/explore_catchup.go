package main

import (
	"context"
	"io"

	"firplank/internal/output"
	"firplank/lab/explore/catchup"
)

type exploreCatchupCommand struct {
	Lives   uint64 `help:"Lives of the core, drawn at random." default:"3"`
	Changes int    `help:"Changes in each." default:"2000"`
	Body    int    `help:"Bytes of a configuration." default:"4000"`
	Faults  int    `help:"Faults in each." default:"300"`
	Seed    uint64 `help:"Of the first life; each has one more." default:"1"`
	Defects bool   `help:"Plant each known defect and search short lives until it is found, in place of the program as it is."`
}

// Run implements kong's command.
func (c *exploreCatchupCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if c.Defects {
		return c.searchDefects(printer)
	}
	p := catchup.Plan{Changes: c.Changes, BodyBytes: c.Body, Faults: c.Faults}
	for seed := c.Seed; seed < c.Seed+c.Lives; seed++ {
		r := catchup.Run(p, seed)
		printer.Printf("life %d: %v\n", seed, r)
		if r.Breach != nil {
			return errExplorationFailed
		}
	}
	return printer.Err()
}

func (c *exploreCatchupCommand) searchDefects(printer *output.Printer) error {
	missed := 0
	for _, d := range catchup.Planted {
		p := catchup.Small
		p.Defect = d.Defect
		seed, r := catchup.Search(p, c.Seed, 50)
		if r.Breach != nil {
			printer.Printf("%-70s life %d: %v\n", d.Name, seed, r.Breach)
			continue
		}
		printer.Printf("%-70s NOT FOUND in 50 lives\n", d.Name)
		if d.Found {
			missed++
		}
	}
	return missedDefectsError(printer, missed)
}
