package main

import (
	"io"

	"firplank/internal/output"
	"firplank/mesh/config"
)

type planCommand struct {
	New         string `arg:"" help:"The configuration that is wanted."`
	Old         string `help:"The configuration in force, as a file." xor:"old" required:""`
	ControlAddr string `name:"core" help:"... or the control address of a core machine, which is asked for it." xor:"old" required:""`
}

// Run prints what a change of the configuration would move. It changes nothing.
func (c *planCommand) Run(out io.Writer) error {
	printer := output.New(out)
	to, _, err := loadConfig(c.New, "")
	if err != nil {
		return err
	}
	from, _, err := loadConfig(c.Old, c.ControlAddr)
	if err != nil {
		return err
	}
	if to.Version <= from.Version {
		printer.Printf("edition %08x is not above %08x: the core would change nothing; it would acknowledge the bytes that "+
			"it took under that number, and refuse others\n",
			to.Version, from.Version)
		return printer.Err()
	}
	changes := config.Diff(from, to)
	printer.Printf("edition %08x to %08x: %d of %d routes differ\n", from.Version, to.Version, len(changes), from.RouteCount())
	for _, change := range changes {
		printer.Printf("%3.0f%% moved  %s%s: %s\n", 100*change.MovedShare, change.Host, change.Prefix, change.Description)
	}
	for _, name := range to.UnusedServices() {
		printer.Printf("no route leads to %s\n", name)
	}
	return printer.Err()
}
