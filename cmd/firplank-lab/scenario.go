package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"firplank/lab/run"
	"firplank/lab/scenario"
)

// scenarioFlags select a scenario and override its parameters.
type scenarioFlags struct {
	Scenario string  `arg:"" help:"Name of a built-in scenario, or a TOML file."`
	Seed     uint64  `help:"Overrides the scenario's seed."`
	Length   float64 `help:"Overrides the scenario's length in seconds."`
	Rate     float64 `help:"Overrides the scenario's requests a second, not counting retries."`
	Sidecars int     `help:"Overrides the scenario's number of sidecars."`
	Surge    float64 `help:"Overrides the size of each surge in the scenario."`
	Cores    float64 `help:"Overrides the number of cores of each sidecar."`
	Config   string  `help:"Options file of the sidecars, in TOML." type:"existingfile" placeholder:"FILE"`
	Binary   string  `help:"The sidecar's program; empty: this program." type:"path"`

	NoContracts bool `help:"Run the sidecars without the scenario's contracts."`
}

// openScenario loads the scenario, applies the overrides and checks the result.
func (p *scenarioFlags) openScenario() (*scenario.Scenario, error) {
	s, err := loadScenario(p.Scenario)
	if err != nil {
		return nil, err
	}
	if p.Seed != 0 {
		s.Seed = p.Seed
	}
	if p.Length != 0 {
		s.LengthS = p.Length
	}
	if p.Rate != 0 {
		s.Rate = p.Rate
	}
	if p.Sidecars != 0 {
		s.Sidecars = p.Sidecars
	}
	s.Broker.Off = s.Broker.Off || p.NoContracts
	if p.Cores != 0 {
		s.Limits.Cores = p.Cores
	}
	for i := range s.Faults {
		if f := &s.Faults[i]; f.Kind == "surge" && p.Surge != 0 {
			f.Size = p.Surge
		}
	}
	return s, s.Check()
}

// loadScenario loads a built-in scenario, or a file if the name contains a dot or a slash.
func loadScenario(name string) (*scenario.Scenario, error) {
	if !strings.ContainsAny(name, "./") {
		return scenario.Open(name)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return scenario.Parse(filepath.Base(name), text)
}

// sidecarProgram returns the program to run as sidecars: the one given, or else this program in that role.
func (p *scenarioFlags) sidecarProgram() (run.Program, error) {
	if p.Binary != "" {
		return run.Program{Args: []string{p.Binary, "serve"}, Options: p.Config}, nil
	}
	program, err := childProgram("sidecar")
	program.Options = p.Config
	return program, err
}
