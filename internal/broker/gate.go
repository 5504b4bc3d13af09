package broker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"firplank/contract"
	"firplank/internal/core"
)

// Gate admits requests to the exchange by the teams' contracts. It implements core.AdmissionController. It is not safe for
// concurrent use: only the exchange's goroutine may use it.
type Gate struct {
	broker     *contract.Broker
	classes    []string // by number
	deadlines  []float64
	retryAfter bool
}

// New returns a gate for a version of the contracts. retryAfter is whether rejections carry a Retry-After.
func New(set *contract.Set, catalog *core.Catalog, retryAfter bool) *Gate {
	g := &Gate{broker: contract.New(0, set), classes: catalog.ClassNames(), retryAfter: retryAfter}
	for i := range catalog.Classes {
		g.deadlines = append(g.deadlines, catalog.Classes[i].Deadline)
	}
	return g
}

// Swap applies another version of the contracts.
func (g *Gate) Swap(now time.Duration, set *contract.Set) { g.broker.Swap(now, set) }

// Report returns what each team was granted and denied so far.
func (g *Gate) Report(now time.Duration) contract.Report { return g.broker.Report(now) }

// Admit implements core.AdmissionController.
func (g *Gate) Admit(now time.Duration, c *core.Call) (contract.Grant, *core.Answer) {
	claim := c.Claim
	if claim == nil {
		claim = &contract.Claim{Tenant: c.Message.Tenant}
	}
	set := g.broker.CurrentSet()
	team, ok := set.TeamByClaim(claim)
	if !ok {
		return contract.Grant{}, Answer(g.broker.DenyUnknownTeam(), g.retryAfter)
	}
	d := g.broker.Admit(now, contract.Request{
		Team:        team,
		Class:       c.Request.Class,
		MarkedRetry: c.Request.Retry,
		Identity:    identity(set.Terms(team), &c.Message),
	})
	if d.Verdict != contract.Admitted {
		return contract.Grant{}, Answer(d, g.retryAfter)
	}
	if d.Class != c.Request.Class {
		c.Request.Class, c.Message.Class = d.Class, g.classes[d.Class]
		c.Request.Remaining = min(c.Request.Remaining, g.deadlines[d.Class])
	}
	return d.Grant, nil
}

// Release implements core.AdmissionController.
func (g *Gate) Release(now time.Duration, grant contract.Grant, ran bool) {
	g.broker.Release(now, grant, ran)
}

// identity returns a hash that a client's attempts at one request share: of the team, the class, and the idempotency key or object. It is 0
// if the request has neither.
func identity(t *contract.Terms, m *core.Message) uint64 {
	key := m.IdempotencyKey
	if key == "" && t.Retries.Identity == contract.ByObject {
		key = m.Object
	}
	if key == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{t.Team, m.Class} {
		_, _ = d.WriteString(part) // a hash's Write does not fail
		_, _ = d.Write([]byte{0})  // a hash's Write does not fail
	}
	_, _ = d.WriteString(key) // a hash's Write does not fail
	return max(1, d.Sum64())
}

// Answer returns the response to a request that a decision does not admit.
func Answer(d contract.Decision, retryAfter bool) *core.Answer {
	if d.Verdict == contract.Denied {
		return &core.Answer{
			Kind:   core.Failed,
			Reason: core.Forbidden,
			Text:   "not in the contract: " + d.Reason.String(),
		}
	}
	a := &core.Answer{
		Kind:   core.Refused,
		Reason: core.RateLimited,
		Text:   "refused by contract, trying again is harmless: " + d.Reason.String(),
	}
	if retryAfter {
		a.RetryAfter = d.RetryAfter
	}
	return a
}
