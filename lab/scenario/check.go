package scenario

// This file validates a scenario.

import (
	"errors"
	"fmt"
	"slices"

	"firplank/lab/model"
)

// Limits of a scenario file, so that a run fits on one machine.
const (
	maxSidecars = 64
	maxServers  = 256
	maxRate     = 20000
	maxLengthS  = 600
	maxHeld     = 15000 // held connections, over all sidecars
)

// Check sets the defaults of missing values and returns all errors of the scenario, joined.
func (s *Scenario) Check() error {
	s.applyDefaults()
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(s.LengthS > 0 && s.LengthS <= maxLengthS, "length_s is %v: want more than 0 and at most %d", s.LengthS, maxLengthS)
	require(s.Rate > 0 && s.Rate <= maxRate, "rate is %v: want more than 0 and at most %d", s.Rate, maxRate)
	require(s.Sidecars > 0 && s.Sidecars <= maxSidecars, "sidecars is %d: want 1 to %d", s.Sidecars, maxSidecars)
	require(s.Fleet.Cells > 0, "fleet.cells is %d: want 1 or more", s.Fleet.Cells)
	require(s.Fleet.ColdFrom > 0 && s.Fleet.ColdFrom <= 1, "fleet.cold_from is %v: want more than 0 and at most 1", s.Fleet.ColdFrom)
	require(s.Roster.Mode == "ask" || s.Roster.Mode == "push", "roster.mode is %q: want ask or push", s.Roster.Mode)
	require(s.Clients.Retries >= 0 && s.Clients.Retries <= 5, "clients.retries is %d: want 0 to 5", s.Clients.Retries)
	require(s.Clients.TryShare > 0 && s.Clients.TryShare <= 1, "clients.try_share is %v: want more than 0 and at most 1", s.Clients.TryShare)
	for name, v := range map[string]float64{
		"hang_up": s.Clients.HangUp, "half_close": s.Clients.HalfClose, "slow_reader": s.Clients.SlowReader,
	} {
		require(v >= 0 && v <= 1, "clients.%s is %v: want 0 to 1", name, v)
	}
	require(s.Clients.Held >= 0 && s.Clients.Held <= maxHeld && s.Clients.Held*s.Sidecars <= maxHeld,
		"clients.held is %d: want 0 to %d, over all sidecars", s.Clients.Held, maxHeld)
	n := s.Servers()
	require(n > 0 && n <= maxServers, "fleet has %d servers: want 1 to %d", n, maxServers)
	require(knownProtocol(s.Clients.Protocol), "clients.protocol is %q: want %s or %s", s.Clients.Protocol, HTTP, MsgpackRPC)
	for i, k := range s.Fleet.Kinds {
		require(knownProtocol(k.Protocol), "fleet.kind %d (%q): protocol is %q: want %s or %s", i+1, k.Name, k.Protocol, HTTP, MsgpackRPC)
		require(k.Name != "" && k.Count >= 0 && k.Cores > 0 && k.Speed > 0 && k.SlotsPerCore > 0 && k.QueuePerCore >= 0,
			"fleet.kind %d (%q): name, cores, speed and slots_per_core are required and have to be more than 0", i+1, k.Name)
	}
	s.checkClasses(require)
	for i := range s.Faults {
		f := &s.Faults[i]
		if err := f.check(); err != nil {
			errs = append(errs, fmt.Errorf("fault %d: %w", i+1, err))
			continue
		}
		if name := f.Tenant(); f.Kind == "recontract" || name != "" {
			at := slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == name })
			require(at >= 0 && (f.Kind != "recontract" || s.Tenants[at].Contract != nil),
				"fault %d: %s: tenant %q doesn't exist or has no contract", i+1, f.Kind, name)
		}
	}
	return errors.Join(errs...)
}

func knownProtocol(protocol string) bool { return protocol == HTTP || protocol == MsgpackRPC }

func (s *Scenario) checkClasses(require func(bool, string, ...any)) {
	seen := map[string]bool{}
	for _, c := range s.Classes {
		require(c.Name != "" && !seen["c "+c.Name], "class %q: name is missing or not unique", c.Name)
		seen["c "+c.Name] = true
		require(c.Effect == "safe" || c.Effect == "keyed" || c.Effect == "unsafe",
			"class %s: effect is %q: want safe, keyed or unsafe", c.Name, c.Effect)
		require(c.Group == "" || c.Group == "all" || c.Group == "cell", "class %s: group is %q: want all or cell", c.Name, c.Group)
		require(c.Effect != "keyed" || c.WindowMS > 0, "class %s: keyed without window_ms", c.Name)
		require(c.Share > 0 && c.DeadlineMS > 0 && c.AimMS > 0 && c.Worth >= 0,
			"class %s: share, aim_ms and deadline_ms have to be more than 0, worth not below 0", c.Name)
		if err := (model.Dist{Kind: c.Dist, Mean: MS(c.WorkMS), CV: c.CV}).Check(); err != nil {
			require(false, "class %s: %w", c.Name, err)
		}
	}
	for _, t := range s.Tenants {
		require(t.Name != "" && t.Share > 0 && !seen["t "+t.Name], "tenant %q: name or share is missing, or the name is not unique", t.Name)
		seen["t "+t.Name] = true
	}
}
