package main

import (
	"context"
	"io"

	"firplank/internal/output"
	"firplank/lab/explore/cutoff"
)

type exploreCutoffCommand struct {
	Seeds uint64 `help:"Scenarios (days) of each kind." default:"4"`
	defectsFlag
}

// Run searches for a breach, or for each planted defect.
func (c *exploreCutoffCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	days := cutoff.Scenarios(c.Seeds)
	if !c.Defects {
		played, day, breach := cutoff.Search(days, nil)
		if breach != nil {
			printer.Printf("%v: %v\n", day, breach)
			return errExplorationFailed
		}
		printer.Printf("%d days, no breach\n", played)
		return printer.Err()
	}
	return reportDefects(printer, "day", len(cutoff.Defects), func(i int) defectResult {
		d := &cutoff.Defects[i]
		_, day, breach := cutoff.Search(days, d)
		return defectResult{d.Name, day, breach}
	})
}
