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

// Deployment returns the values that contracts are checked against: the classes of the settings, the capacity and this
// sidecar's share of it. If no share is configured, all sidecars have equal shares.
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

// Catalog returns the names of the classes and tenants by index.
func (c *Config) Catalog() *core.Catalog { return c.catalog }

// Contracts returns the contracts loaded at startup, or nil if there are none.
func (c *Config) Contracts() *contract.Set { return c.contracts }

// loadContracts reads the contracts named by the options. It returns nil if they name none.
func (c *Config) loadContracts() (*contract.Set, error) {
	if c.Options.Broker.ContractsDir == "" {
		return nil, nil
	}
	return broker.Load(c.Options.Broker.ContractsDir, c.Deployment(), c.catalog)
}

// newGate returns the gate that enforces the loaded contracts, or nil if there are none.
func (c *Config) newGate() *broker.Gate {
	if c.contracts == nil {
		return nil
	}
	return broker.New(c.contracts, c.catalog, c.Balance.RetryAfter)
}

// reloadContracts reads the contracts again and replaces all of them at once. If they are invalid, the present ones are kept.
func (c *Config) reloadContracts(exchange *core.Loop, gate *broker.Gate, log *slog.Logger) {
	if gate == nil {
		return
	}
	set, err := c.loadContracts()
	if err != nil {
		log.Error("reloading contracts failed: the present ones are kept", "error", err)
		return
	}
	exchange.Inspect(func(now time.Duration) { gate.Swap(now, set) })
	log.Info("contracts reloaded", "teams", set.TeamCount())
}

// statusPages returns the operators' pages of the enabled components, by path.
func statusPages(exchange *core.Loop, gate *broker.Gate, fleet *fleetLink) map[string]operators.Page {
	pages := map[string]operators.Page{}
	if fleet != nil {
		pages["/fleet"] = fleet.peers.Status
	}
	if gate != nil {
		pages["/broker"] = func(ctx context.Context) (any, error) {
			reports := make(chan contract.Report, 1) // buffered: the exchange must not block if ctx has ended
			exchange.Inspect(func(now time.Duration) { reports <- gate.Report(now) })
			select {
			case r := <-reports:
				return r, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	return pages
}
