package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"firplank/internal/output"
	"firplank/mesh/api"
)

// rolloutCommands are the commands for rollouts.
type rolloutCommands struct {
	Start  startRolloutCommand  `cmd:"" help:"Start a rollout. The new version replaces the old one unless it performs worse."`
	Status rolloutStatusCommand `cmd:"" help:"Show the stage of each rollout, and the reason."`
	Recall recallCommand        `cmd:"" help:"Recall a rollout under way. The old version then serves all requests again."`
}

type startRolloutCommand struct {
	ControlAddr string  `arg:"" name:"core" help:"Control address of a control machine."`
	Service     string  `arg:"" help:"Name of the service."`
	Target      string  `arg:"" help:"New version, as reported by its servers."`
	OverS       float64 `default:"60" help:"Seconds within which the rollout is to end."`
}

// startRolloutRequest is the body of a request to start a rollout. Its JSON keys are part of the operators' API.
type startRolloutRequest struct {
	Service string  `json:"line"`
	Target  string  `json:"toEdition"`
	OverS   float64 `json:"overS"`
}

// Run starts a rollout.
func (c *startRolloutCommand) Run(out io.Writer) error {
	body, err := json.Marshal(startRolloutRequest{Service: c.Service, Target: c.Target, OverS: c.OverS})
	if err != nil {
		return err
	}
	if err := postRolloutRequest(c.ControlAddr, api.StartRolloutPath, body); err != nil {
		return err
	}
	printer := output.New(out)
	printer.Printf("taken: %s goes to version %s, within %v s\n", c.Service, c.Target, c.OverS)
	return printer.Err()
}

type recallCommand struct {
	ControlAddr string `arg:"" name:"core" help:"Control address of a control machine."`
	Service     string `arg:"" help:"Name of the service."`
}

// Run recalls a rollout.
func (c *recallCommand) Run(out io.Writer) error {
	if err := postRolloutRequest(c.ControlAddr, api.RecallRolloutPath+"/"+url.PathEscape(c.Service), nil); err != nil {
		return err
	}
	printer := output.New(out)
	printer.Printf("recalled: the new version of %s gets no more requests\n", c.Service)
	return printer.Err()
}

// postRolloutRequest sends a request to start or recall a rollout. A status other than 200 is an error.
func postRolloutRequest(addr, path string, body []byte) error {
	a, err := newClient(addr).post(path, body)
	switch {
	case err != nil:
		return err
	case a.statusCode != http.StatusOK:
		return errors.Errorf("%s answers %s: %s", addr, a.status, a.reason)
	}
	return nil
}

type rolloutStatusCommand struct {
	ControlAddr string `arg:"" name:"core" help:"Control address of a control machine."`
}

// Run prints the rollouts as known to one control machine.
func (c *rolloutStatusCommand) Run(out io.Writer) error {
	status, err := readStatus(c.ControlAddr)
	if err != nil {
		return err
	}
	printer := output.New(out)
	for i := range status.Rollouts {
		printRollout(printer, &status.Rollouts[i])
	}
	return printer.Err()
}

func printRollout(printer *output.Printer, r *api.Rollout) {
	printer.Printf("%s to %s: %s (order %d, within %v s)\n", r.Service, r.Target, r.Stage, r.Order, r.TermS)
	if r.Reason != "" {
		printer.Printf("  by %s: %s\n", r.DecidedBy, r.Reason)
	}
	if r.WaitsFor != "" {
		printer.Printf("  waits for: %s\n", r.WaitsFor)
	}
	printer.Printf("  evidence: %s\n  sidecars that have not confirmed the stage: %d\n", r.Evidence, r.Unconfirmed)
}
