package main

import (
	"context"
	"io"

	"firplank/internal/output"
	"firplank/lab/explore/calls"
)

type exploreCallsCommand struct {
	Orders uint64 `help:"Deep orders drawn at random." default:"100000"`
	Deep   int    `help:"Choices in each." default:"50"`
	Seed   uint64 `help:"Of the first order; each has one more." default:"1"`
	defectsFlag
}

// Run searches, for a breach or for each planted defect.
func (c *exploreCallsCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if !c.Defects {
		seed, breach := calls.Search(calls.Usual, nil, c.Seed, c.Orders, c.Deep)
		if breach != nil {
			printer.Printf("order %d: %v\n", seed, breach)
			return errExplorationFailed
		}
		printer.Printf("%d deep orders of up to %d steps, no breach\n", c.Orders, c.Deep)
		return printer.Err()
	}
	return reportDefects(printer, "order", len(calls.Defects), func(i int) defectResult {
		d := &calls.Defects[i]
		seed, breach := calls.Search(calls.Usual, d, c.Seed, c.Orders, c.Deep)
		return defectResult{d.Name, seed, breach}
	})
}
