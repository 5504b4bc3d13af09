package main

import (
	"io"

	"firplank/internal/output"
	"firplank/lab/scale"
)

const secondsPerDay = 24 * 3600

type reckonCommand struct {
	Sidecars   int     `help:"Sidecars." default:"8400"`
	Control    int     `help:"Control machines." default:"18"`
	Zones      int     `help:"Zones." default:"8"`
	Members    int     `help:"Members of the register." default:"3"`
	Packed     int     `help:"Bytes of the packed configuration." default:"33276"`
	Changes    float64 `help:"Changes of the configuration a day." default:"7300"`
	Restarts   float64 `help:"Sidecars that restart or fail in a day." default:"2649"`
	Revisions  float64 `help:"Changes of the directory that each restart or failure causes." default:"8"`
	Breadth    float64 `help:"Children of a relay, as built." default:"5"`
	Reached    int     `help:"Services that a sidecar calls (planned)." default:"12"`
	Subset     int     `help:"Servers of each service that are sent to a sidecar (planned)." default:"24"`
	Difference int     `help:"Bytes of a change sent as a delta." default:"600"`
}

// Run prints the calculated traffic of each role, as built and as planned.
func (c *reckonCommand) Run(out io.Writer) error {
	printer := output.New(out)
	s := scale.Shape{
		Sidecars: c.Sidecars, Control: c.Control, Zones: c.Zones, Members: c.Members, PackedBytes: c.Packed,
		ChangesPerS: c.Changes / secondsPerDay, RestartsPerS: c.Restarts / secondsPerDay, RevisionsPerRestart: c.Revisions,
		Fanout: c.Breadth, CalledServices: c.Reached,
		SubsetSize: c.Subset, DeltaBytes: c.Difference,
	}
	scale.WriteTerms(out, "as built", s.AsBuilt())
	printer.Println()
	scale.WriteTerms(out, "as planned", s.Planned())
	built, planned := s.StartBytes()
	printer.Printf("\na sidecar's start: %.0f kB as built, %.0f kB as planned\n", built/1e3, planned/1e3)
	return printer.Err()
}
