package main

import (
	"io"

	"firplank/internal/output"
	"firplank/mesh/config"
)

type planCommand struct {
	New         string `arg:"" help:"New configuration file."`
	Old         string `help:"File with the configuration in force." xor:"old" required:""`
	ControlAddr string `name:"core" help:"Control address of a control machine to read the configuration in force from." xor:"old" required:""`
}

// Run prints which requests a change of the configuration would move, without applying it.
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
		printer.Printf("edition %v is not above %v: the control plane would change nothing. It would acknowledge the content that it "+
			"accepted under that number and reject any other\n",
			to.Version, from.Version)
		return printer.Err()
	}
	changes := config.Diff(from, to)
	printer.Printf("edition %v to %v: %d of %d routes differ\n", from.Version, to.Version, len(changes), from.RouteCount())
	for _, change := range changes {
		printer.Printf("%3.0f%% moved  %s%s: %s\n", 100*change.MovedShare, change.Host, change.Prefix, change.Description)
	}
	for _, name := range to.UnusedServices() {
		printer.Printf("no route leads to %s\n", name)
	}
	return printer.Err()
}
