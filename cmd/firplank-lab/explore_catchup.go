package main

import (
	"context"
	"io"

	"firplank/internal/output"
	"firplank/lab/explore/catchup"
)

type exploreCatchupCommand struct {
	Lives   uint64 `help:"Random runs of the control plane." default:"3"`
	Changes int    `help:"Changes in a run." default:"2000"`
	Body    int    `help:"Bytes of a configuration." default:"4000"`
	Faults  int    `help:"Faults in a run." default:"300"`
	Seed    uint64 `help:"Seed of the first run; each next seed is one higher." default:"1"`
	Defects bool   `help:"Plant each known defect and search short runs until it is found, instead of running the unchanged program."`
}

// Run plays runs until one has a breach, or searches for each planted defect.
func (c *exploreCatchupCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if c.Defects {
		return c.searchDefects(printer)
	}
	p := catchup.Plan{Changes: c.Changes, BodyBytes: c.Body, Faults: c.Faults}
	for seed := c.Seed; seed < c.Seed+c.Lives; seed++ {
		r := catchup.Run(p, seed)
		printer.Printf("run %d: %v\n", seed, r)
		if r.Breach != nil {
			return errExplorationFailed
		}
	}
	return printer.Err()
}

// searchDefects searches for each planted defect. A miss counts as an error only for defects that the search is known to find.
func (c *exploreCatchupCommand) searchDefects(printer *output.Printer) error {
	missed := 0
	for _, d := range catchup.PlantedDefects {
		p := catchup.Small
		p.Defect = d.Defect
		seed, r := catchup.Search(p, c.Seed, 50)
		if r.Breach != nil {
			printer.Printf("%-70s run %d: %v\n", d.Name, seed, r.Breach)
			continue
		}
		printer.Printf("%-70s NOT FOUND in 50 runs\n", d.Name)
		if d.Found {
			missed++
		}
	}
	return missedDefectsError(printer, missed)
}
