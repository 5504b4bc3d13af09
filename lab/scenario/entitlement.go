package scenario

// This file knows what a tenant may ask for by its contract.

import (
	"time"
)

// Entitlement reckons what a tenant's contract lets it have of what it asks for: a bucket of its burst that fills with its
// budget, as that changes over the day, and gives any part of a request.
type Entitlement struct {
	Requested, Granted float64 // so far

	s        *Scenario
	tenant   *Tenant
	tokens   float64
	filledAt time.Duration
}

// Entitlement begins a day of a tenant with a contract.
func (s *Scenario) Entitlement(tenant int) *Entitlement {
	t := &s.Tenants[tenant]
	return &Entitlement{s: s, tenant: t, tokens: t.Contract.Burst}
}

// Ask takes in a first try. Times do not go back.
func (e *Entitlement) AddRequest(at time.Duration, worth float64) {
	for i := range e.s.Faults { // in the order of their times
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
