package main

import (
	"context"
	"io"
	"strings"

	"firplank/internal/output"
	"firplank/lab/explore/members"
)

type exploreMembersCommand struct {
	Orders uint64 `help:"Orders in each of the usual surroundings." default:"400"`
	Faults int    `help:"Faults in each order." default:"6"`
	Seed   uint64 `help:"Of the first order; each has one more." default:"1"`
	defectsFlag
}

// Run carries it out.
func (c *exploreMembersCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if c.Defects {
		return reportDefects(printer, "order", len(members.Defects), func(i int) plantedDefect {
			d := &members.Defects[i]
			seed, breach := members.Search(d.In, d, c.Seed, c.Orders)
			return plantedDefect{d.Name, seed, breach}
		})
	}
	for _, in := range members.Usual {
		in.Faults = c.Faults
		seed, breach := members.Search(in, nil, c.Seed, c.Orders)
		if breach != nil {
			story, _ := members.Run(in, nil, seed)
			printer.Printf("%+v, order %d: %v\n%s\n", in, seed, breach, strings.Join(story, "\n"))
			return errExplored
		}
		printer.Printf("%+v: %d orders, no breach\n", in, c.Orders)
	}
	return printer.Err()
}
