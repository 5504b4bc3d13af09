package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"cedararch/lab/explore"
	"cedararch/lab/explore/lists"
)

type exploreCommand struct {
	Roster exploreRosterCommand `cmd:"" help:"How a sidecar follows the list of servers, against a discovery that fails in every order: is a list used past what it lacks?"`
}

type exploreRosterCommand struct {
	Depth   int    `help:"Choices in a row of which every order is played." default:"10"`
	States  int    `help:"States that are told apart at most." default:"2000000"`
	Changes int    `help:"Changes of the list in an order." default:"1"`
	Faults  int    `help:"Faults in an order." default:"2"`
	Runs    int    `help:"Deep orders drawn at random besides." default:"20000"`
	Deep    int    `help:"Choices in each of those." default:"120"`
	Seed    uint64 `help:"Of the deep orders." default:"1"`
	Defects bool   `help:"Plant each known defect and search until it is found, in place of the program as it is."`
}

var errExplored = errors.New("an invariant can be broken, or a planted defect was not found")

func (c *exploreRosterCommand) Run(_ context.Context, out io.Writer) error {
	deep := lists.Bounds{Changes: 3 * c.Changes, Faults: 4 * c.Faults}
	if c.Defects {
		missed := 0
		for i := range lists.Defects {
			d := &lists.Defects[i]
			r := explore.Random(lists.Start(deep, d), c.Seed, c.Runs, c.Deep)
			found := "found"
			if r.Breach == nil {
				found, missed = "NOT FOUND", missed+1
			}
			fmt.Fprintf(out, "%-70s %s after %d steps, schedule of %d\n", d.Name, found, r.Steps, len(r.Schedule))
		}
		if missed > 0 {
			return errExplored
		}
		return nil
	}
	every := explore.Exhaust(lists.Start(lists.Bounds{Changes: c.Changes, Faults: c.Faults}, nil), explore.Limits{Depth: c.Depth, States: c.States})
	fmt.Fprintln(out, "every order:", every)
	random := explore.Random(lists.Start(deep, nil), c.Seed, c.Runs, c.Deep)
	fmt.Fprintln(out, "deep orders:", random)
	if every.Breach != nil || random.Breach != nil {
		return errExplored
	}
	return nil
}
