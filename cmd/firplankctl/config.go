package main

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"firplank/internal/output"
)

type checkCommand struct {
	File string `arg:"" help:"Configuration file in JSON."`
}

// Run validates a configuration.
func (c *checkCommand) Run(out io.Writer) error {
	printer := output.New(out)
	cfg, _, err := loadConfig(c.File, "")
	if err != nil {
		return err
	}
	printer.Printf("%s: edition %v, %d routes, %d services\n", c.File, cfg.Version, cfg.RouteCount(), len(cfg.Services))
	for _, name := range cfg.UnusedServices() {
		printer.Printf("no route leads to %s\n", name)
	}
	return printer.Err()
}

type readCommand struct {
	ControlAddr string `arg:"" name:"core" help:"Control address of a control machine."`
}

// Run prints the configuration in force.
func (c *readCommand) Run(out io.Writer) error {
	_, text, err := loadConfig("", c.ControlAddr)
	if err != nil {
		return err
	}
	_, err = out.Write(append(text, '\n'))
	return err
}

type putCommand struct {
	File        string `arg:"" help:"Configuration file in JSON."`
	ControlAddr string `arg:"" name:"core" help:"Control address of a control machine."`
}

// Run validates a configuration and writes it to the control plane through a control machine.
func (c *putCommand) Run(out io.Writer) error {
	printer := output.New(out)
	cfg, text, err := loadConfig(c.File, "")
	if err != nil {
		return err
	}
	answer, err := newClient(c.ControlAddr).post(replaceConfigPath, text)
	if err != nil {
		return err
	}
	switch answer.statusCode {
	case http.StatusOK:
		printer.Printf("edition %v, or a higher one, is on a majority of disks\n", cfg.Version)
		return printer.Err()
	case http.StatusConflict:
		return errors.Errorf("edition %v is another operator's: the control plane has accepted other content under that number and "+
			"rejects %s. Read the configuration in force (firplankctl read), plan your change again and put it under a higher number.\n"+
			"Response of the control machine: %s",
			cfg.Version, c.File, answer.reason)
	}
	return errors.Errorf("the control machine answers %s: %s", answer.status, answer.reason)
}
