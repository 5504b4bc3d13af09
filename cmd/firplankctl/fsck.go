package main

import (
	"io"

	"github.com/go-faster/errors"

	"firplank/internal/output"
	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/storage"
)

type fsckCommand struct {
	Folder string `arg:"" type:"existingdir" help:"Data folder."`
}

// Run prints the content of a control machine's data folder, without changing it. A damaged folder is an error.
func (c *fsckCommand) Run(out io.Writer) error {
	printer := output.New(out)
	found, err := storage.Read(c.Folder)
	if err != nil {
		return err
	}
	state := found.State
	if state == nil {
		printer.Println("the folder holds no register: the machine copies it from the other members, if there are any")
		return printer.Err()
	}
	if found.Generation == 0 {
		printer.Println("format 1, which is converted when the machine starts")
	} else {
		printer.Printf("format 2, generation %d, after %d saves\n", found.Generation, found.Sequence)
	}
	value := &state.Value
	printer.Printf("promised %d by %s\n", state.Promised.Number, state.Promised.Proposer)
	printer.Printf("accepted %d by %s: edition %v, %d bytes packed\n", state.Accepted.Number, state.Accepted.Proposer,
		value.Version, len(value.Body))
	printer.Printf("members %v", value.Members)
	if len(value.PriorMembers) > 0 {
		printer.Printf(", members before the unfinished change %v", value.PriorMembers)
	}
	printer.Printf("\nvoter %v, incarnation %d\n", state.Voter, state.Incarnation)
	printer.Printf("the history records the contents of %d editions, all above %v\n", len(value.History.Records), value.History.Floor)
	if value.Version == configversion.None {
		return printer.Err()
	}
	cfg, err := config.ParsePacked(value.Body)
	if err != nil {
		return errors.Wrap(err, "the configuration")
	}
	printer.Printf("the configuration is valid: %d routes, %d services\n", cfg.RouteCount(), len(cfg.Services))
	return printer.Err()
}
