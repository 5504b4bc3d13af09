package main

import (
	"context"
	"errors"
	"io"

	"firplank/fleet"
	"firplank/internal/output"
	"firplank/lab/explore"
	"firplank/lab/explore/lease"
	"firplank/lab/explore/lists"
	"firplank/lab/explore/register"
	"firplank/lab/explore/rollouts"
	"firplank/lab/explore/talk"
	"firplank/lab/explore/tombstones"
)

type exploreCommand struct {
	Fleet      exploreFleetCommand      `cmd:"" help:"${fleetHelp}"`
	Register   exploreRegisterCommand   `cmd:"" help:"${registerHelp}"`
	Lease      exploreLeaseCommand      `cmd:"" help:"${leaseHelp}"`
	Numbers    exploreNumbersCommand    `cmd:"" help:"${numbersHelp}"`
	Cutoff     exploreCutoffCommand     `cmd:"" help:"${cutoffHelp}"`
	Members    exploreMembersCommand    `cmd:"" help:"${membersHelp}"`
	Calls      exploreCallsCommand      `cmd:"" help:"${callsHelp}"`
	Rollouts   exploreRolloutsCommand   `cmd:"" help:"Rollouts of versions, under partitions and restarts."`
	Tombstones exploreTombstonesCommand `cmd:"" help:"${tombstonesHelp}"`
	Catchup    exploreCatchupCommand    `cmd:"" help:"${catchupHelp}"`
	Roster     exploreRosterCommand     `cmd:"" help:"${rosterHelp}"`
}

// defectsFlag is the flag for a search of planted defects.
type defectsFlag struct {
	Defects bool `help:"Plant each known defect and search until it is found, instead of searching the unchanged program."`
}

// defectResult is the result of the search for one planted defect. foundAt is the seed or the scenario of the breach. A nil breach means
// that the defect was not found.
type defectResult struct {
	name    string
	foundAt any
	breach  error
}

// reportDefects searches for count planted defects and prints the result of each, with unit as the name of what foundAt numbers. A defect
// that is not found is an error.
func reportDefects(printer *output.Printer, unit string, count int, search func(i int) defectResult) error {
	missed := 0
	for i := range count {
		d := search(i)
		if d.breach == nil {
			missed++
			printer.Printf("%-70s NOT FOUND\n", d.name)
			continue
		}
		printer.Printf("%-70s %s %v: %v\n", d.name, unit, d.foundAt, d.breach)
	}
	return missedDefectsError(printer, missed)
}

type exploreRosterCommand struct {
	Depth   int    `help:"Length of the orders of choices that are searched exhaustively." default:"10"`
	States  int    `help:"Limit of distinct states in the exhaustive search." default:"2000000"`
	Changes int    `help:"Changes of the list in an order." default:"1"`
	Faults  int    `help:"Faults in an order." default:"2"`
	Runs    int    `help:"Random orders of choices in addition." default:"20000"`
	Deep    int    `help:"Length of a random order." default:"120"`
	Seed    uint64 `help:"Seed of the random orders." default:"1"`
	defectsFlag
}

type exploreFleetCommand struct {
	Depth   int    `help:"Length of the orders of choices that are searched exhaustively." default:"4"`
	States  int    `help:"Limit of distinct states in the exhaustive search." default:"300000"`
	Members int    `help:"Members of the fleet." default:"3"`
	Faults  int    `help:"Faults in an order; ten times as many in a random one." default:"1"`
	Runs    int    `help:"Random orders of choices in addition." default:"5000"`
	Deep    int    `help:"Length of a random order." default:"80"`
	Seed    uint64 `help:"Seed of the random orders." default:"1"`
	defectsFlag
}

type exploreRegisterCommand struct {
	Orders uint64 `help:"Random orders." default:"20000"`
	Deep   int    `help:"Length of an order." default:"200"`
	Seed   uint64 `help:"Seed of the first order; each next seed is one higher." default:"1"`
	defectsFlag
}

func (c *exploreRegisterCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if !c.Defects {
		seed, breach := register.Search(register.HardBounds, nil, c.Seed, c.Orders, c.Deep)
		if breach != nil {
			printer.Printf("order %d: %v\n", seed, breach)
			return errExplorationFailed
		}
		printer.Printf("%d random orders of up to %d steps, no breach\n", c.Orders, c.Deep)
		return printer.Err()
	}
	return reportDefects(printer, "order", len(register.Defects), func(i int) defectResult {
		d := &register.Defects[i]
		seed, breach := register.Search(d.Bounds, d, c.Seed, c.Orders, c.Deep)
		return defectResult{d.Name, seed, breach}
	})
}

type exploreLeaseCommand struct {
	Depth int    `help:"Length of the orders of choices that are searched exhaustively." default:"4"`
	Runs  int    `help:"Random orders of choices in addition." default:"20000"`
	Deep  int    `help:"Length of a random order." default:"80"`
	Seed  uint64 `help:"Seed of the random orders." default:"1"`
	defectsFlag
}

func (c *exploreLeaseCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if c.Defects {
		missed := 0
		for i := range lease.Defects {
			d := &lease.Defects[i]
			seed := c.Seed
			if d.Seed > 0 {
				seed = d.Seed
			}
			missed += reportDefect(printer, d.Name, explore.Random(lease.Start(lease.DefaultBounds, d), seed, c.Runs, c.Deep))
		}
		return missedDefectsError(printer, missed)
	}
	singleFault := lease.DefaultBounds
	singleFault.Faults = 1
	return reportSearches(printer, explore.Exhaust(lease.Start(singleFault, nil), explore.Limits{Depth: c.Depth, States: 300_000}),
		explore.Random(lease.Start(lease.DefaultBounds, nil), c.Seed, c.Runs, c.Deep))
}

type exploreTombstonesCommand struct {
	Depth int    `help:"Length of the orders of choices that are searched exhaustively." default:"4"`
	Runs  int    `help:"Random orders of choices in addition." default:"20000"`
	Deep  int    `help:"Length of a random order." default:"90"`
	Seed  uint64 `help:"Seed of the random orders." default:"1"`
	defectsFlag
}

func (c *exploreTombstonesCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if !c.Defects {
		singleFault := tombstones.DefaultBounds
		singleFault.Faults = 1
		return reportSearches(printer, explore.Exhaust(tombstones.Start(singleFault, nil), explore.Limits{Depth: c.Depth, States: 300_000}),
			explore.Random(tombstones.Start(tombstones.DefaultBounds, nil), c.Seed, c.Runs, c.Deep))
	}
	missed := 0
	for i := range tombstones.Defects {
		d := &tombstones.Defects[i]
		missed += reportDefect(printer, d.Name, explore.Random(tombstones.Start(tombstones.DefaultBounds, d), c.Seed, c.Runs, c.Deep))
	}
	return missedDefectsError(printer, missed)
}

type exploreRolloutsCommand struct {
	Runs int    `help:"Random orders." default:"20000"`
	Deep int    `help:"Length of an order." default:"40"`
	Seed uint64 `help:"Seed of the orders." default:"1"`
	defectsFlag
}

func (c *exploreRolloutsCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	if c.Defects {
		missed := 0
		for i := range rollouts.Defects {
			d := &rollouts.Defects[i]
			seed := c.Seed
			if d.Seed > 0 {
				seed = d.Seed
			}
			missed += reportDefect(printer, d.Name, explore.Random(rollouts.Start(rollouts.DefaultBounds, d), seed, c.Runs, c.Deep))
		}
		return missedDefectsError(printer, missed)
	}
	result := explore.Random(rollouts.Start(rollouts.DefaultBounds, nil), c.Seed, c.Runs, c.Deep)
	printer.Println("orders:", result)
	if result.Breach != nil {
		return errExplorationFailed
	}
	return printer.Err()
}

func (c *exploreFleetCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	deepBounds := talk.Bounds{Members: c.Members, Faults: 10 * c.Faults}
	if c.Defects {
		missed := 0
		for d := fleet.NoDefect + 1; d < fleet.DefectCount; d++ {
			missed += reportDefect(printer, d.String(), explore.Random(talk.Start(deepBounds, d), c.Seed, c.Runs, c.Deep))
		}
		return missedDefectsError(printer, missed)
	}
	return reportSearches(printer, explore.Exhaust(talk.Start(talk.Bounds{Members: c.Members, Faults: c.Faults}, 0),
		explore.Limits{Depth: c.Depth, States: c.States}),
		explore.Random(talk.Start(deepBounds, 0), c.Seed, c.Runs, c.Deep))
}

// reportDefect prints the result of the search for a planted defect. It returns the number of missed defects, 0 or 1.
func reportDefect(printer *output.Printer, name string, r explore.Result) int {
	if r.Breach == nil {
		printer.Printf("%-70s NOT FOUND in %d steps\n", name, r.Steps)
		return 1
	}
	printer.Printf("%-70s found after %d steps, schedule of %d: %v\n", name, r.Steps, len(r.Schedule), r.Breach)
	return 0
}

// missedDefectsError returns an error if planted defects were missed, or else the error of the output.
func missedDefectsError(printer *output.Printer, missed int) error {
	if missed > 0 {
		return errExplorationFailed
	}
	return printer.Err()
}

// reportSearches prints the results of an exhaustive and a random search. A breach in either is an error.
func reportSearches(printer *output.Printer, exhaustive, random explore.Result) error {
	printer.Println("every order:", exhaustive)
	printer.Println("random orders:", random)
	if exhaustive.Breach != nil || random.Breach != nil {
		return errExplorationFailed
	}
	return printer.Err()
}

var errExplorationFailed = errors.New("an invariant can be broken, or a planted defect was not found")

func (c *exploreRosterCommand) Run(_ context.Context, out io.Writer) error {
	printer := output.New(out)
	deepBounds := lists.Bounds{Changes: 3 * c.Changes, Faults: 4 * c.Faults}
	if c.Defects {
		missed := 0
		for i := range lists.Defects {
			d := &lists.Defects[i]
			missed += reportDefect(printer, d.Name, explore.Random(lists.Start(deepBounds, d), c.Seed, c.Runs, c.Deep))
		}
		return missedDefectsError(printer, missed)
	}
	return reportSearches(printer, explore.Exhaust(lists.Start(lists.Bounds{Changes: c.Changes, Faults: c.Faults}, nil),
		explore.Limits{Depth: c.Depth, States: c.States}),
		explore.Random(lists.Start(deepBounds, nil), c.Seed, c.Runs, c.Deep))
}
