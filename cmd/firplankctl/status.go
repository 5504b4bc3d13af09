package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"firplank/internal/output"
	"firplank/mesh/api"
	"firplank/mesh/configversion"
)

var errNotFullyReplicated = errors.New("not all members have full copies")

type statusCommand struct {
	ControlAddr string `arg:"" name:"core" help:"Control address of a control machine."`
	Full        bool   `help:"Exit with an error unless all members have the newest value on their disks."`
}

// Run prints the status of the control plane as known to one control machine.
func (c *statusCommand) Run(out io.Writer) error {
	status, err := readStatus(c.ControlAddr)
	if err != nil {
		return err
	}
	if err := printStatus(out, status); err != nil {
		return err
	}
	if c.Full && !status.FullyReplicated {
		return errNotFullyReplicated
	}
	return nil
}

// readStatus reads the status of the control plane from a control machine.
func readStatus(controlAddr string) (*api.ControlStatus, error) {
	body, err := newClient(controlAddr).get(api.StatusPath, maxStatusBytes)
	if err != nil {
		return nil, err
	}
	status := &api.ControlStatus{}
	if err := json.Unmarshal(body, status); err != nil {
		return nil, errors.Wrap(err, "the status")
	}
	return status, nil
}

func printStatus(out io.Writer, s *api.ControlStatus) error {
	printer := output.New(out)
	printer.Printf("as %s knows it: version %v, written in round %s\n", s.Self, configversion.FromOptional(s.Version), s.Ballot)
	printer.Printf("members %s\n", strings.Join(s.Members, " "))
	if len(s.PreviousMembers) > 0 {
		printer.Printf("a change of members is under way; before it %s, which count as well\n", strings.Join(s.PreviousMembers, " "))
	}
	holder := s.LeaseHolder
	if holder == "" {
		holder = "nobody that is known here"
	}
	printer.Printf("lost members are replaced by %s\nall members have the newest value: %s\n", holder, yesNo(s.FullyReplicated))
	if len(s.Conflicts) > 0 {
		printer.Printf("the settings ask for what cannot be kept: %s\n", strings.Join(s.Conflicts, " "))
	}
	printer.Printf("%-22s %-12s %-8s %-6s %-6s %-8s %-6s %s\n", "machine", "zone", "role", "voter", "newest", "heard", "link", "round on disk")
	for i := range s.Machines {
		printMachine(printer, &s.Machines[i])
	}
	return printer.Err()
}

// printMachine prints a row of the table of control machines.
func printMachine(printer *output.Printer, m *api.ControlMachine) {
	role := "stand-by"
	if m.Member {
		role = "member"
	}
	lastSeen := "never"
	if m.LastSeenS >= 0 {
		lastSeen = fmt.Sprintf("%.1f s", m.LastSeenS)
	}
	printer.Printf("%-22s %-12s %-8s %-6s %-6s %-8s %-6s %s", m.Address, m.Zone, role, yesNo(m.Voter), yesNo(m.UpToDate),
		lastSeen, yesNo(m.Connected), m.Ballot)
	if m.Leaving {
		printer.Print("  leaves")
	}
	if m.DiskFails {
		printer.Print("  its disk fails")
	}
	printer.Println()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
