package scenario

// This file reads scenario files and sets default values.

import (
	"bytes"
	"cmp"
	"embed"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"firplank/internal/options"
)

//go:embed builtin/*.toml
var builtin embed.FS

// Builtin returns the names of the built-in scenarios, sorted.
func Builtin() []string {
	entries, _ := builtin.ReadDir("builtin")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Open returns a built-in scenario.
func Open(name string) (*Scenario, error) {
	text, err := builtin.ReadFile("builtin/" + name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("no built-in scenario %q: there are %s", name, strings.Join(Builtin(), ", "))
	}
	return Parse(name+".toml", text)
}

// Parse parses and checks a scenario. Errors name the file and, if known, the line or the key.
func Parse(file string, text []byte) (*Scenario, error) {
	s := defaults()
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, options.WithPosition(file, err)
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(file, ".toml")
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// defaults returns the values of keys that a file leaves out: a small office.
func defaults() *Scenario {
	return &Scenario{
		Seed: 1, LengthS: 10, Rate: 120, Sidecars: 2,
		Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Fleet: Fleet{
			Cells: 2, Thrash: 0.1, ThrashAt: 4, ColdFrom: 0.15, ColdS: 6, FallMultiple: 2.5, FallS: 2,
			ReportEveryMS: 500, ReportDelayMS: 20, HandshakeMS: 1.5, IdleS: 10, DrainGraceMS: 250,
		},
		Clients: Clients{Retries: 1, BackoffMS: 40, HonorRetryAfter: true, TryShare: 0.5},
		Roster:  Roster{Mode: "ask", DelayMS: 300, MaxWaitMS: 2000},
	}
}

func (s *Scenario) applyDefaults() {
	if len(s.Fleet.Kinds) == 0 {
		s.Fleet.Kinds = []Kind{
			{Name: "fast", Count: 4, Cores: 2, Speed: 1.4, SlotsPerCore: 5, QueuePerCore: 8},
			{Name: "wide", Count: 4, Cores: 4, Speed: 0.9, SlotsPerCore: 5, QueuePerCore: 8},
		}
	}
	for i := range s.Fleet.Kinds {
		if k := &s.Fleet.Kinds[i]; k.Protocol == "" {
			k.Protocol = cmp.Or(s.Fleet.Protocol, HTTP)
		}
	}
	s.Clients.Protocol = cmp.Or(s.Clients.Protocol, HTTP)
	if len(s.Classes) == 0 {
		s.Classes = []Class{
			{
				Name: "lookup", Share: 0.6, Effect: "safe", WorkMS: 60, WaitMS: 70, Dist: "lognormal", CV: 1,
				AimMS: 750, DeadlineMS: 2500, Worth: 3, LateWorth: 0.5,
			},
			{
				Name: "reserve", Share: 0.25, Effect: "keyed", Group: "cell", WindowMS: 2000, WorkMS: 20, WaitMS: 40,
				Dist: "lognormal", CV: 0.7, AimMS: 250, DeadlineMS: 1000, Worth: 8, LateWorth: 0.3,
			},
			{
				Name: "issue", Share: 0.15, Effect: "unsafe", WorkMS: 30, WaitMS: 60, Dist: "exp",
				AimMS: 400, DeadlineMS: 1200, Worth: 3, LateWorth: 0.3,
			},
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "north", Share: 0.5}, {Name: "south", Share: 0.3}, {Name: "east", Share: 0.2}}
	}
	for i := range s.Tenants {
		if s.Tenants[i].Usage == 0 {
			s.Tenants[i].Usage = 1
		}
	}
}
