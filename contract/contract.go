// Package contract decides what each team may ask for: which classes, how much worth a second, what happens beyond that,
// and how teams share what is scarce. It owns the terms, their checks, and each team's account. It does no I/O, starts no
// goroutine and has no clock: every call carries the time, and its whole behaviour can be replayed from a list of calls.
// What a request goes to, and whether again, it leaves to package balance, which is asked after it.
//
// contract.go states and checks the terms, broker.go keeps the accounts, fair.go shares what nobody is guaranteed, and
// recent.go tells a retry from a first try. Begin with Compile and Broker.
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

// Over says what happens to a request beyond its team's budget.
type OverPolicy uint8

// The ways.
const (
	Refuse  OverPolicy = iota // it is refused, and told when the budget will have room
	Borrow                    // it may use what no team within its budget wants
	Degrade                   // it goes as the class that the contract names for that, if there is room for its worth
)

// Identity says what a retry has in common with its first try, besides the client's own mark.
type RetryIdentity uint8

// The identities.
const (
	ByIdempotencyKey RetryIdentity = iota // the idempotency key, where there is one
	ByObject                              // class and what the request is about
)

// Digest is a bearer token as a contract holds it: its SHA-256. The token itself is never kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a token.
func DigestOf(token string) Digest { return sha256.Sum256([]byte(token)) }

// ClassTerms is a class that a team may send.
type ClassTerms struct {
	Class     int
	Priority  int // among the team's own classes: those of a higher number go first when the budget runs short
	DegradeTo int // the class that it goes as beyond the budget; -1: none
}

// RetryTerms bound a team's retries.
type RetryTerms struct {
	Share          float64       // retries for each first try that was admitted
	FloorPerSecond float64       // retries a second besides, so that a trickle may retry too
	Window         time.Duration // how long after its first try a request counts as a retry of that
	Identity       RetryIdentity
}

// Terms are one team's contract. Worth is what the classes' settings say.
type Terms struct {
	Team string

	// Who it is: any of these. A token goes before a tenant, a tenant before a listener.
	Tokens    []Digest
	Tenants   []string
	Listeners []string

	Classes         []ClassTerms
	WorthPerSecond  float64 // a second, over all instances
	Burst           float64 // worth at once
	GuaranteedShare float64 // share of the capacity that it gets whatever others do
	MaxShare        float64 // share of the capacity that it may have at all; 0: no bound but the budget's
	OverPolicy      OverPolicy
	Retries         RetryTerms
	MaxOpen         int // requests at once; 0: no bound
}

// Class is what the deployment says of a class.
type Class struct {
	Name   string
	Worth  float64
	Effect uint8 // a request may only be degraded to a class of the same effect
}

// Deployment is what contracts are checked against.
type Deployment struct {
	Classes       []Class
	Capacity      float64 // worth a second that is there to be shared, over all instances; 0: no scarcity is reckoned with
	InstanceShare float64 // of every budget that is this instance's; 0: all of it
}

// Fault is what is wrong with a contract, at a key of a team's; Team is -1 where it is about all of them.
type Fault struct {
	Team int
	Key  string
	Text string
}

// Faults are all the faults of a version.
type Faults []Fault

// Error returns all the faults, one a line.
func (f Faults) Error() string {
	var all []string
	for _, one := range f {
		all = append(all, fmt.Sprintf("team %d: %s: %s", one.Team+1, one.Key, one.Text))
	}
	return strings.Join(all, "\n")
}

// Set is one version of all contracts, compiled. It is never changed.
type Set struct {
	teams       []compiledTeam
	capacity    float64
	tokens      map[uint64]tokenOwner // by the first bytes of the digest, which tell nothing of the token
	tenants     map[string]int
	listeners   map[string]int
	classWorths []float64 // by class
	maxWorth    float64
}

type tokenOwner struct {
	digest Digest
	team   int
}

// team is a contract with this instance's part of its figures.
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
	reservedBurst float64 // of the burst that it leaves to classes of a higher priority
	degradeTo     int
}

// The bounds of what a contract may say.
const (
	MaxTeams       = 100_000
	maxValue       = 1e12
	maxRetryWindow = 10 * time.Minute
)

// Compile checks contracts as a whole and makes a version of them. The error is Faults, which names all that is wrong.
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
	c.faultIf(len(terms) > MaxTeams, -1, "team", "%d teams: at most %d", len(terms), MaxTeams)
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
			"with it %.3f of the capacity is guaranteed, which is more than there is", guaranteed)
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

func (c *compiler) faultIf(condition bool, team int, key, format string, args ...any) bool {
	if condition {
		c.faults = append(c.faults, Fault{team, key, fmt.Sprintf(format, args...)})
	}
	return condition
}

func (c *compiler) checkTerms(i int, t *Terms) {
	c.faultIf(t.Team == "", i, "name", "a team without a name")
	c.faultIf(c.names[t.Team], i, "name", "%q is there twice", t.Team)
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
	c.faultIf(t.MaxShare > 0 && t.MaxShare < t.GuaranteedShare, i, "most", "%v is less than the %v that is guaranteed",
		t.MaxShare, t.GuaranteedShare)
	c.faultIf(t.GuaranteedShare > 0 && c.deployment.Capacity == 0, i, "guaranteed", "a share of a capacity that is not stated")
	c.faultIf(t.MaxShare > 0 && c.deployment.Capacity == 0, i, "most", "a share of a capacity that is not stated")
	c.faultIf(t.OverPolicy == Borrow && c.deployment.Capacity == 0, i, "over", "borrow: there is no stated capacity to borrow from")
	c.faultIf(t.Retries.Window < 0 || t.Retries.Window > maxRetryWindow, i, "retries.window_s", "%v: want 0 to %v",
		t.Retries.Window, maxRetryWindow)
	c.addTeam(i, t)
}

func (c *compiler) addIdentities(i int, t *Terms) {
	c.faultIf(len(t.Tokens)+len(t.Tenants)+len(t.Listeners) == 0, i, "tenants", "nothing says who the team is: tokens, tenants or listeners")
	for _, d := range t.Tokens {
		prefix := binary.BigEndian.Uint64(d[:])
		if other, ok := c.set.tokens[prefix]; ok {
			c.faultIf(true, i, "token_sha256", "team %q has the same", c.set.teams[other.team].Team)
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
				c.faultIf(true, i, key, "%q is empty, or team %q has it already", n, owner)
				continue
			}
			teams[n] = i
		}
	}
	addNames("tenants", t.Tenants, c.set.tenants)
	addNames("listeners", t.Listeners, c.set.listeners)
}

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
	c.faultIf(len(t.Classes) == 0, i, "class", "there is none")
	lowestPriority, highestPriority, maxClassWorth := math.MaxInt, math.MinInt, 0.0
	for _, ct := range t.Classes {
		lowestPriority, highestPriority = min(lowestPriority, ct.Priority), max(highestPriority, ct.Priority)
	}
	for _, ct := range t.Classes {
		if c.faultIf(ct.Class < 0 || ct.Class >= len(c.deployment.Classes), i, "class", "the settings have no such class") {
			continue
		}
		class := c.deployment.Classes[ct.Class]
		c.faultIf(compiled.classes[ct.Class].allowed, i, "class", "%q is there twice", class.Name)
		maxClassWorth = max(maxClassWorth, class.Worth)
		compiled.classes[ct.Class] = compiledClass{allowed: true, worth: class.Worth, degradeTo: ct.DegradeTo}
		if ct.DegradeTo < 0 {
			continue
		}
		if c.faultIf(ct.DegradeTo >= len(c.deployment.Classes), i, "degrade", "the settings have no such class") {
			continue
		}
		target := c.deployment.Classes[ct.DegradeTo]
		c.faultIf(target.Worth >= class.Worth, i, "degrade", "%q is worth %v, no less than the %v of %q",
			target.Name, target.Worth, class.Worth, class.Name)
		c.faultIf(target.Effect != class.Effect, i, "degrade", "%q may not be repeated as %q may", target.Name, class.Name)
	}
	// A request that is worth more than the burst could never be admitted.
	c.faultIf(t.WorthPerSecond > 0 && t.Burst < maxClassWorth, i, "burst", "%v is less than one request of the team's can be worth, %v",
		t.Burst, maxClassWorth)
	if t.WorthPerSecond > 0 {
		compiled.localBurst = max(compiled.localBurst, maxClassWorth) // a part of a burst still has to let one request in
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

// keptShare is the part of a burst that the class of the lowest priority leaves to those above it.
const maxReservedBurstShare = 0.5

// Claim is what a request says of who sends it.
type Claim struct {
	Token    Digest // of a bearer token; counts with HasToken
	HasToken bool
	Tenant   string
	Listener string
}

// Team returns the number of the team that a claim is of. A token that nobody has is nobody's claim, whatever else it says.
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

// Teams returns the number of teams.
func (s *Set) TeamCount() int { return len(s.teams) }

// Terms returns what a team was promised.
func (s *Set) Terms(team int) *Terms { return &s.teams[team].Terms }

// Find returns the number of the team with a name, and whether there is one.
func (s *Set) TeamByName(name string) (int, bool) {
	for i := range s.teams {
		if s.teams[i].Team == name {
			return i, true
		}
	}
	return 0, false
}
