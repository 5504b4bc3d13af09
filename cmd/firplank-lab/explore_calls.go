package main

import (
	"context"
	"io"

	"firplank/internal/output"
	"firplank/lab/explore/calls"
)

type exploreCallsCommand struct {
	Orders uint64 `help:"Random orders." default:"100000"`
	Deep   int    `help:"Length of an order." default:"50"`
	Seed   uint64 `help:"Seed of the first order; each next seed is one higher." default:"1"`
	defectsFlag
}

// Run searches for a breach, or for each planted defect.
func (c *exploreCallsCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if !c.Defects {
		seed, breach := calls.Search(calls.DefaultBounds, nil, c.Seed, c.Orders, c.Deep)
		if breach != nil {
			printer.Printf("order %d: %v\n", seed, breach)
			return errExplorationFailed
		}
		printer.Printf("%d random orders of up to %d steps, no breach\n", c.Orders, c.Deep)
		return printer.Err()
	}
	return reportDefects(printer, "order", len(calls.Defects), func(i int) defectResult {
		d := &calls.Defects[i]
		seed, breach := calls.Search(calls.DefaultBounds, d, c.Seed, c.Orders, c.Deep)
		return defectResult{d.Name, seed, breach}
	})
}
