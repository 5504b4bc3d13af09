package scenario

// This file computes what a tenant is entitled to by its contract.

import (
	"time"
)

// Entitlement computes which part of a tenant's requests its contract grants. It is a token bucket with the contract's burst and
// budget, including changes of the budget during the scenario. A request can be granted in part.
type Entitlement struct {
	Requested, Granted float64 // worth so far

	s        *Scenario
	tenant   *Tenant
	tokens   float64
	filledAt time.Duration
}

// Entitlement returns the entitlement of a tenant with a contract at the start of the scenario, with a full bucket.
func (s *Scenario) Entitlement(tenant int) *Entitlement {
	t := &s.Tenants[tenant]
	return &Entitlement{s: s, tenant: t, tokens: t.Contract.Burst}
}

// AddRequest adds the first try of a request. Times must not decrease.
func (e *Entitlement) AddRequest(at time.Duration, worth float64) {
	for i := range e.s.Faults { // expects faults in ascending order of time
		if f := &e.s.Faults[i]; f.Kind == "recontract" && f.Tenant() == e.tenant.Name && f.At() > e.filledAt && f.At() < at {
			e.fill(f.At())
		}
	}
	e.fill(at)
	granted := min(worth, e.tokens)
	e.tokens -= granted
	e.Requested, e.Granted = e.Requested+worth, e.Granted+granted
}

func (e *Entitlement) fill(to time.Duration) {
	factor := 1.0
	for i := range e.s.Faults {
		if f := &e.s.Faults[i]; f.Kind == "recontract" && f.Tenant() == e.tenant.Name && f.At() <= e.filledAt {
			factor = f.Size
		}
	}
	e.tokens = min(e.tenant.Contract.Burst, e.tokens+(to-e.filledAt).Seconds()*e.tenant.Contract.WorthPerSecond*factor)
	e.filledAt = to
}
