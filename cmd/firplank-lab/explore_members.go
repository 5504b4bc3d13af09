package main

import (
	"context"
	"io"
	"strings"

	"firplank/internal/output"
	"firplank/lab/explore/members"
)

type exploreMembersCommand struct {
	Orders uint64 `help:"Orders in each of the usual environments." default:"400"`
	Faults int    `help:"Faults in an order." default:"6"`
	Seed   uint64 `help:"Seed of the first order; each next seed is one higher." default:"1"`
	defectsFlag
}

// Run searches for a breach, or for each planted defect.
func (c *exploreMembersCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if c.Defects {
		return reportDefects(printer, "order", len(members.Defects), func(i int) defectResult {
			d := &members.Defects[i]
			seed, breach := members.Search(d.Environment, d, c.Seed, c.Orders)
			return defectResult{d.Name, seed, breach}
		})
	}
	for _, surroundings := range members.DefaultEnvironments {
		surroundings.Faults = c.Faults
		seed, breach := members.Search(surroundings, nil, c.Seed, c.Orders)
		if breach != nil {
			trace, _ := members.Run(surroundings, nil, seed)
			printer.Printf("%+v, order %d: %v\n%s\n", surroundings, seed, breach, strings.Join(trace, "\n"))
			return errExplorationFailed
		}
		printer.Printf("%+v: %d orders, no breach\n", surroundings, c.Orders)
	}
	return printer.Err()
}
