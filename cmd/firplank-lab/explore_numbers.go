package main

import (
	"context"
	"errors"
	"io"

	"firplank/internal/output"
	"firplank/lab/explore/numbers"
)

type exploreNumbersCommand struct {
	Operators int    `help:"Operators, 2 to 8." default:"8"`
	Histories uint64 `help:"Random histories." default:"5000"`
	Steps     int    `help:"Steps in a history before all faults are repaired." default:"400"`
	Seed      uint64 `help:"Seed of the first history; each next seed is one higher." default:"1"`
	defectsFlag
}

// Validate checks the flags.
func (c *exploreNumbersCommand) Validate() error {
	if c.Operators < 2 || c.Operators > 8 {
		return errors.New("--operators: 2 to 8")
	}
	return nil
}

// Run searches for a breach, or for each planted defect.
func (c *exploreNumbersCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if c.Defects {
		return c.runDefects(printer)
	}
	bounds := numbers.ManyOperators
	bounds.Operators = c.Operators
	seed, breach := numbers.Search(bounds, nil, c.Seed, c.Histories, c.Steps)
	if breach != nil {
		printer.Printf("history %d: %v\n", seed, breach)
		return errExplorationFailed
	}
	printer.Printf("%d histories of %d operators over %d steps, no breach\n", c.Histories, c.Operators, c.Steps)
	return printer.Err()
}

func (c *exploreNumbersCommand) runDefects(printer *output.Printer) error {
	return reportDefects(printer, "history", len(numbers.Defects), func(i int) defectResult {
		d := &numbers.Defects[i]
		seed, breach := numbers.Search(d.Bounds, d, c.Seed, c.Histories, c.Steps)
		return defectResult{d.Name, seed, breach}
	})
}
