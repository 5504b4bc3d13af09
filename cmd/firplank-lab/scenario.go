package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"firplank/lab/run"
	"firplank/lab/scenario"
)

// played is how scenarios are named and changed.
type scenarioFlags struct {
	Scenario string  `arg:"" help:"A built-in scenario, or a file in TOML."`
	Seed     uint64  `help:"Seed in place of the scenario's."`
	Length   float64 `help:"Length in seconds in place of the scenario's."`
	Rate     float64 `help:"First tries a second in place of the scenario's."`
	Sidecars int     `help:"Number of sidecars in place of the scenario's."`
	Surge    float64 `help:"Size of every surge in place of the scenario's."`
	Cores    float64 `help:"Cores of each sidecar in place of the scenario's."`
	Config   string  `help:"Options file in TOML for the sidecars." type:"existingfile" placeholder:"FILE"`
	Binary   string  `help:"The sidecar's program; without it this program serves as one." type:"path"`

	NoContracts bool `help:"Do not tell the sidecars of the scenario's contracts."`
}

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

func (p *scenarioFlags) sidecarProgram() (run.Program, error) {
	if p.Binary != "" {
		return run.Program{Args: []string{p.Binary, "serve"}, Options: p.Config}, nil
	}
	program, err := childProgram("sidecar")
	program.Options = p.Config
	return program, err
}
