package sidecar

import (
	"context"
	"log/slog"
	"time"

	"firplank/contract"
	"firplank/internal/broker"
	"firplank/internal/core"
	"firplank/internal/operators"
)

// Deployment returns what contracts are checked against: the classes of the settings, and this sidecar's share of the
// capacity. Without a configured share that is an equal part for each sidecar.
func (c *Config) Deployment() contract.Deployment {
	o := &c.Options.Broker
	d := contract.Deployment{Capacity: o.CapacityPerSecond, InstanceShare: o.BudgetShare}
	if d.InstanceShare == 0 {
		d.InstanceShare = 1 / float64(max(1, c.Balance.Peers))
	}
	for i, name := range c.catalog.ClassNames() {
		rules := &c.Balance.Classes[i]
		d.Classes = append(d.Classes, contract.Class{Name: name, Worth: rules.Value, Effect: uint8(rules.Effect)})
	}
	return d
}

// Catalog returns the names of the classes and tenants, by their numbers.
func (c *Config) Catalog() *core.Catalog { return c.catalog }

// Contracts returns the contracts as loaded at the start; nil without any.
func (c *Config) Contracts() *contract.Set { return c.contracts }

// loadContracts reads the contracts that the options name; nil without any.
func (c *Config) loadContracts() (*contract.Set, error) {
	if c.Options.Broker.ContractsDir == "" {
		return nil, nil
	}
	return broker.Load(c.Options.Broker.ContractsDir, c.Deployment(), c.catalog)
}

// newGate returns the gate of the loaded contracts; nil without any.
func (c *Config) newGate() *broker.Gate {
	if c.contracts == nil {
		return nil
	}
	return broker.New(c.contracts, c.catalog, c.Balance.RetryAfter)
}

// reloadContracts loads the contracts again and applies them as one version; an invalid one changes nothing.
func (c *Config) reloadContracts(exchange *core.Loop, gate *broker.Gate, log *slog.Logger) {
	if gate == nil {
		return
	}
	set, err := c.loadContracts()
	if err != nil {
		log.Error("contracts not reloaded: unchanged", "error", err)
		return
	}
	exchange.Inspect(func(now time.Duration) { gate.Swap(now, set) })
	log.Info("contracts reloaded", "teams", set.TeamCount())
}

// statusPages returns the operators' pages of the components that are on, by path.
func statusPages(exchange *core.Loop, gate *broker.Gate, fleet *fleetLink) map[string]operators.Page {
	all := map[string]operators.Page{}
	if fleet != nil {
		all["/fleet"] = fleet.peers.Status
	}
	if gate != nil {
		all["/broker"] = func(ctx context.Context) (any, error) {
			read := make(chan contract.Report, 1) // the exchange never waits, also when ctx has ended
			exchange.Inspect(func(now time.Duration) { read <- gate.Report(now) })
			select {
			case r := <-read:
				return r, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	return all
}
