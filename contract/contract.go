// Package contract is admission control by team. A team's contract states which classes of requests it may send, its rate limit, and what
// happens to requests beyond that limit. Requests are charged by worth, the cost that the settings assign to each class. The package checks
// contracts, keeps an account for each team, and divides the capacity that no team is guaranteed. Package balance is called afterwards, and
// chooses servers and retries.
//
// The package does no I/O, starts no goroutine and reads no clock: every call carries the time, so that its behaviour can be replayed from
// a list of calls.
//
// contract.go defines and checks the contracts, broker.go keeps the accounts, fair.go divides the capacity, and recent.go detects retries.
// Start reading at Compile and Broker.
package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"time"
)

// OverPolicy is what happens to a request beyond its team's budget.
type OverPolicy uint8

// The policies.
const (
	Refuse  OverPolicy = iota // it is rejected, with the time after which the budget suffices
	Borrow                    // it may use capacity that teams within their budgets leave unused
	Degrade                   // it is sent as the cheaper class that the contract names, if the budget suffices for that
)

// RetryIdentity is how a retry that the client didn't mark is matched with its first attempt.
type RetryIdentity uint8

// The identities.
const (
	ByIdempotencyKey RetryIdentity = iota // by the idempotency key; without one there is no match
	ByObject                              // by the idempotency key, or by class and object without one
)

// Digest is the SHA-256 of a bearer token. The token itself is never stored.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a token.
func DigestOf(token string) Digest { return sha256.Sum256([]byte(token)) }

// ClassTerms is a class that a team may send.
type ClassTerms struct {
	Class     int
	Priority  int // among the team's own classes: when the budget runs low, lower numbers are rejected first
	DegradeTo int // the class to degrade to beyond the budget; -1: none
}

// RetryTerms are a team's retry budget.
type RetryTerms struct {
	Share          float64       // retries for each first attempt that was admitted
	FloorPerSecond float64       // retries a second in addition, which allow retries at low rates
	Window         time.Duration // how long after a first attempt another one counts as its retry; 0: only marked retries count
	Identity       RetryIdentity
}

// Terms are one team's contract.
type Terms struct {
	Team string

	// A request with any of these is the team's. A token takes precedence over a tenant, a tenant over a listener.
	Tokens    []Digest
	Tenants   []string
	Listeners []string

	Classes         []ClassTerms
	WorthPerSecond  float64 // rate limit over all instances
	Burst           float64 // worth admitted at once, over all instances
	GuaranteedShare float64 // of the capacity, whatever other teams send
	MaxShare        float64 // upper bound, of the capacity; 0: bounded by the budget only
	OverPolicy      OverPolicy
	Retries         RetryTerms
	MaxOpen         int // requests in flight, over all instances; 0: no bound
}

// Class is a class of requests in the settings.
type Class struct {
	Name   string
	Worth  float64
	Effect uint8 // a balance.Effect; a request may only be degraded to a class of the same effect
}

// Deployment is the part of the settings that contracts are checked against.
type Deployment struct {
	Classes       []Class
	Capacity      float64 // worth a second that all instances can serve; 0: unlimited
	InstanceShare float64 // this instance's share of the capacity and of every budget; 0: all of it
}

// Fault is a validation error at a key of a team's contract. Team is the contract's index; -1: the fault concerns all contracts.
type Fault struct {
	Team int
	Key  string
	Text string
}

// Faults are all validation errors of a version.
type Faults []Fault

// Error returns all faults, one a line.
func (f Faults) Error() string {
	var all []string
	for _, one := range f {
		all = append(all, fmt.Sprintf("team %d: %s: %s", one.Team+1, one.Key, one.Text))
	}
	return strings.Join(all, "\n")
}

// Set is a compiled version of all contracts. It is immutable. Teams are numbered by their index in the terms.
type Set struct {
	teams       []compiledTeam
	capacity    float64
	tokens      map[uint64]tokenOwner // by the first 8 bytes of the digest, which reveal nothing of the token
	tenants     map[string]int
	listeners   map[string]int
	classWorths []float64 // by class
	maxWorth    float64
}

type tokenOwner struct {
	digest Digest
	team   int
}

// compiledTeam is a contract with this instance's share of its limits.
type compiledTeam struct {
	Terms
	classes             []compiledClass // by class
	localWorthPerSecond float64
	localBurst          float64
	localMaxOpen        int
}

type compiledClass struct {
	allowed       bool
	worth         float64
	reservedBurst float64 // worth of the burst that is reserved for classes of a higher priority
	degradeTo     int
}

// Bounds of the values in a contract.
const (
	MaxTeams       = 100_000
	maxValue       = 1e12
	maxRetryWindow = 10 * time.Minute
)

// Compile checks all contracts together and returns a version of them. The error is of type Faults and contains every fault.
func Compile(d Deployment, terms []Terms) (*Set, error) {
	instanceShare := d.InstanceShare
	if instanceShare == 0 {
		instanceShare = 1
	}
	c := compiler{
		deployment: d, instanceShare: instanceShare, names: map[string]bool{},
		set: &Set{
			capacity: d.Capacity * instanceShare, tokens: map[uint64]tokenOwner{}, tenants: map[string]int{}, listeners: map[string]int{},
		},
	}
	c.faultIf(len(terms) > MaxTeams, -1, "team", "%d teams: want at most %d", len(terms), MaxTeams)
	c.faultIf(!(instanceShare > 0 && instanceShare <= 1), -1, "part", "%v: want more than 0 and at most 1", d.InstanceShare)
	c.faultIf(!(d.Capacity >= 0 && d.Capacity <= maxValue), -1, "capacity", "%v: want 0 or more", d.Capacity)
	for _, class := range d.Classes {
		c.set.classWorths = append(c.set.classWorths, class.Worth)
		c.set.maxWorth = max(c.set.maxWorth, class.Worth)
	}
	guaranteed := 0.0
	for i := range terms {
		c.checkTerms(i, &terms[i])
		guaranteed += terms[i].GuaranteedShare
		c.faultIf(guaranteed > 1+1e-9 && guaranteed-terms[i].GuaranteedShare <= 1+1e-9, i, "guaranteed",
			"the guarantees add up to %.3f of the capacity: want at most 1", guaranteed)
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return c.set, nil
}

type compiler struct {
	deployment    Deployment
	instanceShare float64
	set           *Set
	names         map[string]bool
	faults        Faults
}

// faultIf records a fault if a condition holds, and returns the condition.
func (c *compiler) faultIf(condition bool, team int, key, format string, args ...any) bool {
	if condition {
		c.faults = append(c.faults, Fault{team, key, fmt.Sprintf(format, args...)})
	}
	return condition
}

func (c *compiler) checkTerms(i int, t *Terms) {
	c.faultIf(t.Team == "", i, "name", "team name is missing")
	c.faultIf(c.names[t.Team], i, "name", "duplicate team %q", t.Team)
	c.names[t.Team] = true
	c.addIdentities(i, t)
	checkRange := func(key string, v, maximum float64) {
		c.faultIf(!(v >= 0 && v <= maximum), i, key, "%v: want 0 to %g", v, maximum)
	}
	checkRange("worth_per_s", t.WorthPerSecond, maxValue)
	checkRange("burst", t.Burst, maxValue)
	checkRange("guaranteed", t.GuaranteedShare, 1)
	checkRange("most", t.MaxShare, 1)
	checkRange("retries.share", t.Retries.Share, 1)
	checkRange("retries.floor_per_s", t.Retries.FloorPerSecond, maxValue)
	checkRange("most_open", float64(t.MaxOpen), math.MaxInt32)
	c.faultIf(t.MaxShare > 0 && t.MaxShare < t.GuaranteedShare, i, "most", "%v is less than the guaranteed share %v",
		t.MaxShare, t.GuaranteedShare)
	c.faultIf(t.GuaranteedShare > 0 && c.deployment.Capacity == 0, i, "guaranteed",
		"a share of the capacity, but the settings have no capacity")
	c.faultIf(t.MaxShare > 0 && c.deployment.Capacity == 0, i, "most", "a share of the capacity, but the settings have no capacity")
	c.faultIf(t.OverPolicy == Borrow && c.deployment.Capacity == 0, i, "over", "borrow: the settings have no capacity to borrow from")
	c.faultIf(t.Retries.Window < 0 || t.Retries.Window > maxRetryWindow, i, "retries.window_s", "%v: want 0 to %v",
		t.Retries.Window, maxRetryWindow)
	c.addTeam(i, t)
}

// addIdentities adds a team's tokens, tenants and listeners to the set. One that another team has is a fault.
func (c *compiler) addIdentities(i int, t *Terms) {
	c.faultIf(len(t.Tokens)+len(t.Tenants)+len(t.Listeners) == 0, i, "tenants", "the team needs at least one token, tenant or listener")
	for _, d := range t.Tokens {
		prefix := binary.BigEndian.Uint64(d[:])
		if other, ok := c.set.tokens[prefix]; ok {
			c.faultIf(true, i, "token_sha256", "team %q has the same token hash", c.set.teams[other.team].Team)
			continue
		}
		c.set.tokens[prefix] = tokenOwner{d, i}
	}
	addNames := func(key string, names []string, teams map[string]int) {
		for _, n := range names {
			if other, ok := teams[n]; ok || n == "" {
				owner := t.Team
				if ok && other < len(c.set.teams) {
					owner = c.set.teams[other].Team
				}
				c.faultIf(true, i, key, "%q is empty or already used by team %q", n, owner)
				continue
			}
			teams[n] = i
		}
	}
	addNames("tenants", t.Tenants, c.set.tenants)
	addNames("listeners", t.Listeners, c.set.listeners)
}

// addTeam checks a team's classes and adds its compiled contract to the set.
func (c *compiler) addTeam(i int, t *Terms) {
	compiled := compiledTeam{
		Terms:               *t,
		classes:             make([]compiledClass, len(c.deployment.Classes)),
		localWorthPerSecond: t.WorthPerSecond * c.instanceShare,
		localBurst:          t.Burst * c.instanceShare,
	}
	if t.MaxOpen > 0 {
		compiled.localMaxOpen = max(1, int(float64(t.MaxOpen)*c.instanceShare))
	}
	c.faultIf(len(t.Classes) == 0, i, "class", "the team has no class")
	lowestPriority, highestPriority, maxClassWorth := math.MaxInt, math.MinInt, 0.0
	for _, ct := range t.Classes {
		lowestPriority, highestPriority = min(lowestPriority, ct.Priority), max(highestPriority, ct.Priority)
	}
	for _, ct := range t.Classes {
		if c.faultIf(ct.Class < 0 || ct.Class >= len(c.deployment.Classes), i, "class", "the settings have no such class") {
			continue
		}
		class := c.deployment.Classes[ct.Class]
		c.faultIf(compiled.classes[ct.Class].allowed, i, "class", "duplicate class %q", class.Name)
		maxClassWorth = max(maxClassWorth, class.Worth)
		compiled.classes[ct.Class] = compiledClass{allowed: true, worth: class.Worth, degradeTo: ct.DegradeTo}
		if ct.DegradeTo < 0 {
			continue
		}
		if c.faultIf(ct.DegradeTo >= len(c.deployment.Classes), i, "degrade", "the settings have no such class") {
			continue
		}
		target := c.deployment.Classes[ct.DegradeTo]
		c.faultIf(target.Worth >= class.Worth, i, "degrade", "%q has worth %v: want less than the %v of %q",
			target.Name, target.Worth, class.Worth, class.Name)
		c.faultIf(target.Effect != class.Effect, i, "degrade", "%q has another effect than %q", target.Name, class.Name)
	}
	// A request with more worth than the burst could never be admitted.
	c.faultIf(t.WorthPerSecond > 0 && t.Burst < maxClassWorth, i, "burst", "%v is less than the largest worth of the team's requests, %v",
		t.Burst, maxClassWorth)
	if t.WorthPerSecond > 0 {
		compiled.localBurst = max(compiled.localBurst, maxClassWorth) // this instance's share has to admit at least one request
	}
	for _, ct := range t.Classes {
		if highestPriority > lowestPriority && ct.Class >= 0 && ct.Class < len(compiled.classes) {
			class := &compiled.classes[ct.Class]
			rank := float64(highestPriority-ct.Priority) / float64(highestPriority-lowestPriority)
			class.reservedBurst = max(0, min(maxReservedBurstShare*rank*compiled.localBurst, compiled.localBurst-class.worth))
		}
	}
	c.set.teams = append(c.set.teams, compiled)
}

// maxReservedBurstShare is the share of a burst that the class of the lowest priority leaves to the others.
const maxReservedBurstShare = 0.5

// Claim is what identifies the sender of a request.
type Claim struct {
	Token    Digest // of the bearer token; valid if HasToken
	HasToken bool
	Tenant   string
	Listener string
}

// TeamByClaim returns the number of the team that a claim identifies. A claim with an unknown token has no team, whatever its tenant and
// listener are.
func (s *Set) TeamByClaim(c *Claim) (int, bool) {
	if c.HasToken {
		owner, ok := s.tokens[binary.BigEndian.Uint64(c.Token[:])]
		if !ok || subtle.ConstantTimeCompare(owner.digest[:], c.Token[:]) != 1 {
			return 0, false
		}
		return owner.team, true
	}
	if team, ok := s.tenants[c.Tenant]; ok {
		return team, true
	}
	team, ok := s.listeners[c.Listener]
	return team, ok
}

// TeamCount returns the number of teams.
func (s *Set) TeamCount() int { return len(s.teams) }

// Terms returns the contract of a team.
func (s *Set) Terms(team int) *Terms { return &s.teams[team].Terms }

// TeamByName returns the number of the team with a name, and whether there is one.
func (s *Set) TeamByName(name string) (int, bool) {
	for i := range s.teams {
		if s.teams[i].Team == name {
			return i, true
		}
	}
	return 0, false
}
