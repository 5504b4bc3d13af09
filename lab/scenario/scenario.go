// Package scenario reads a scenario of the laboratory from a TOML file and draws its plan: which client sends which request at
// which time, and what each fault affects. It defines the file format, its validation and the plan. It does no I/O except for
// reading the built-in files, and no networking. The same file and seed give the same plan.
package scenario

import (
	"slices"
	"time"
)

// Scenario is one test scenario, called a day. Keys of times end in _s or _ms for their unit.
type Scenario struct {
	Name     string   `toml:"name"`
	About    string   `toml:"about"`
	Seed     uint64   `toml:"seed"`
	LengthS  float64  `toml:"length_s"`
	Rate     float64  `toml:"rate"` // first tries per second, over all sidecars
	Sidecars int      `toml:"sidecars"`
	Limits   Limits   `toml:"limits"`
	Fleet    Fleet    `toml:"fleet"`
	Clients  Clients  `toml:"clients"`
	Roster   Roster   `toml:"roster"`
	Broker   Broker   `toml:"broker"`
	Talk     Talk     `toml:"talk"`
	Classes  []Class  `toml:"class"`
	Tenants  []Tenant `toml:"tenant"`
	Faults   []Fault  `toml:"fault"`
}

// Limits are the resource limits in a sidecar's configuration.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Fleet describes the servers.
type Fleet struct {
	Protocol      string  `toml:"protocol"` // of kinds without a protocol; default "http"
	Cells         int     `toml:"cells"`
	Kinds         []Kind  `toml:"kind"`
	Thrash        float64 `toml:"thrash"`
	ThrashAt      float64 `toml:"thrash_at"`
	ColdFrom      float64 `toml:"cold_from"`
	ColdS         float64 `toml:"cold_s"`
	FallMultiple  float64 `toml:"fall_multiple"`
	FallS         float64 `toml:"fall_s"`
	DropsExpired  bool    `toml:"drops_expired"`
	ReportEveryMS float64 `toml:"report_every_ms"`
	ReportDelayMS float64 `toml:"report_delay_ms"`
	HandshakeMS   float64 `toml:"handshake_ms"`
	MaxConns      int     `toml:"most_conns"` // open at one server; 0: no limit
	IdleS         float64 `toml:"idle_s"`
	DrainGraceMS  float64 `toml:"drain_grace_ms"`
}

// Kind is a number of identical servers.
type Kind struct {
	Name         string  `toml:"name"`
	Protocol     string  `toml:"protocol"` // "http" or "msgpack-rpc"
	Count        int     `toml:"count"`
	Cores        float64 `toml:"cores"`
	Speed        float64 `toml:"speed"`
	SlotsPerCore int     `toml:"slots_per_core"`
	QueuePerCore int     `toml:"queue_per_core"`
}

// Clients describes the behaviour of the clients.
type Clients struct {
	Protocol        string  `toml:"protocol"` // "http" or "msgpack-rpc"
	Retries         int     `toml:"retries"`  // after the first try
	BackoffMS       float64 `toml:"backoff_ms"`
	HonorRetryAfter bool    `toml:"honour"`    // wait at least as long as Retry-After says
	MarkRetries     bool    `toml:"marks"`     // mark retries
	Failover        bool    `toml:"failover"`  // the next try goes to the next sidecar
	TryShare        float64 `toml:"try_share"` // a try times out after this share of the deadline
	HangUp          float64 `toml:"hang_up"`   // share that disconnects before the response
	HalfClose       float64 `toml:"half_close"`
	SlowReader      float64 `toml:"slow_reader"`
	Held            int     `toml:"held"` // connections to each sidecar, idle except in a rush; the sidecar's options let them stay
}

// Roster describes the discovery service from which sidecars learn the servers.
type Roster struct {
	Mode       string  `toml:"mode"`         // "ask" or "push"
	DelayMS    float64 `toml:"delay_ms"`     // delay until it lists a change
	CallsPerS  float64 `toml:"calls_per_s"`  // capacity; 0: unlimited
	AlwaysFull bool    `toml:"always_full"`  // complete lists instead of changes
	MaxWaitMS  float64 `toml:"most_wait_ms"` // calls that would queue for longer fail
}

// Talk describes the exchange between sidecars.
type Talk struct {
	Enabled              bool    `toml:"enabled"`
	MaxRequestsPerSecond float64 `toml:"most_per_s"` // limit of requests that each sidecar accepts
	// AgreeWithinS is the time after the scenario within which all sidecars must hold the same, correct sums.
	AgreeWithinS float64 `toml:"agree_s"`
}

// Class is a class of requests.
type Class struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	Effect     string  `toml:"effect"` // "safe", "keyed" or "unsafe"
	Group      string  `toml:"group"`  // "all" or "cell"
	WindowMS   float64 `toml:"window_ms"`
	WorkMS     float64 `toml:"work_ms"`
	WaitMS     float64 `toml:"wait_ms"`
	Dist       string  `toml:"dist"`
	CV         float64 `toml:"cv"`
	AimMS      float64 `toml:"aim_ms"`
	DeadlineMS float64 `toml:"deadline_ms"`
	Worth      float64 `toml:"worth"`
	LateWorth  float64 `toml:"late_worth"`
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // factor of its share; default 1

	Contract *Contract `toml:"contract"` // limits over all classes, where the sidecars enforce contracts
}

// Broker is the sidecars' configuration besides the tenants' contracts.
type Broker struct {
	Capacity float64 `toml:"capacity_per_s"`
	Off      bool    `toml:"off"` // the contracts are not in the sidecars' configuration; the report still applies them
}

// Contract is a tenant's contract, with the keys of the sidecar's configuration files.
type Contract struct {
	WorthPerSecond      float64 `toml:"worth_per_s"`
	Burst               float64 `toml:"burst"`
	Guaranteed          float64 `toml:"guaranteed"`
	Most                float64 `toml:"most"`
	Over                string  `toml:"over"`
	RetryShare          float64 `toml:"retry_share"`
	RetryFloorPerSecond float64 `toml:"retry_floor_per_s"`
	RetryIdentity       string  `toml:"retry_identity"`
}

// EnforcesContracts reports whether sidecars enforce contracts. A tenant without a contract then
// belongs to no team.
func (s *Scenario) EnforcesContracts() bool {
	return !s.Broker.Off && slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Contract != nil })
}

func secondsDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// MS converts milliseconds of a file into a duration.
func MS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Length returns the time during which clients arrive.
func (s *Scenario) Length() time.Duration { return secondsDuration(s.LengthS) }

// Servers returns the number of servers at the start.
func (s *Scenario) Servers() (n int) {
	for _, k := range s.Fleet.Kinds {
		n += k.Count
	}
	return n
}

// Capacity returns the work at speed 1 that the fleet does per second.
func (s *Scenario) Capacity() (c float64) {
	for _, k := range s.Fleet.Kinds {
		c += float64(k.Count) * k.Cores * k.Speed
	}
	return c
}

// The protocols.
const (
	HTTP       = "http"
	MsgpackRPC = "msgpack-rpc"
)

// RPC reports whether the servers speak MessagePack-RPC.
func (k *Kind) RPC() bool { return k.Protocol == MsgpackRPC }

// RPC reports whether the clients speak MessagePack-RPC.
func (c *Clients) RPC() bool { return c.Protocol == MsgpackRPC }

// RPCServers reports whether any server speaks MessagePack-RPC.
func (s *Scenario) RPCServers() bool { return len(s.RPCKinds()) > 0 }

// RPCKinds returns the kinds of servers that speak MessagePack-RPC.
func (s *Scenario) RPCKinds() (names []string) {
	for i := range s.Fleet.Kinds {
		if s.Fleet.Kinds[i].RPC() {
			names = append(names, s.Fleet.Kinds[i].Name)
		}
	}
	return names
}

// Demand returns the average work per second that first tries require.
func (s *Scenario) Demand() float64 {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work, shares = work+c.Share*c.WorkMS/1000, shares+c.Share
	}
	return s.Rate * work / shares
}
