package standin

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"firplank/lab/judge"
	"firplank/lab/model"
	"firplank/lab/scenario"
)

// ArrivalOutcome is the result of one arrival, over all its tries.
type ArrivalOutcome struct {
	Arrival   int
	Class     int
	Tenant    int
	At        time.Duration // planned start
	End       scenario.Outcome
	Took      time.Duration // from At to the response, if it was served
	Tries     int
	RefusedIn time.Duration // longest time until a refusal of one of its tries; 0 if none was refused
}

// ClientsConfig configures the clients of a run.
type ClientsConfig struct {
	Scenario     *scenario.Scenario
	Plan         *scenario.Plan
	Addrs        []string // of the sidecars
	RPCAddrs     []string // of the sidecars for MessagePack-RPC, if the clients use it
	Clock        Clock
	Observer     ClientObserver
	MaxOpenConns int        // connections to one sidecar besides the held ones; further tries wait for one; 0: 256
	Held         *HeldConns // long-lived connections that some arrivals use; nil: none
	// Linger is how long a client keeps reading after it gave up a try, so that the judge sees a final response that was
	// just in time. A response in that period doesn't count as served.
	Linger time.Duration
}

// Clients are the clients of a run. Each arrival starts at its planned time, independently of earlier ones (open loop).
type Clients struct {
	cfg           ClientsConfig
	pools         []*clientPool
	rpc           []*rpcPool
	outcomes      []ArrivalOutcome
	maxStartDelay atomic.Int64 // nanoseconds; largest delay of a start against the plan
}

// NewClients returns clients that send nothing until Run.
func NewClients(cfg ClientsConfig) *Clients {
	if cfg.MaxOpenConns == 0 {
		cfg.MaxOpenConns = 256
	}
	c := &Clients{cfg: cfg, outcomes: make([]ArrivalOutcome, len(cfg.Plan.Arrivals))}
	for _, addr := range cfg.Addrs {
		c.pools = append(c.pools, &clientPool{addr: addr, openSlots: make(chan struct{}, cfg.MaxOpenConns)})
	}
	for _, addr := range cfg.RPCAddrs {
		c.rpc = append(c.rpc, &rpcPool{addr: addr})
	}
	return c
}

// Run starts all arrivals at their times and returns their outcomes when the last has ended. When ctx ends, it starts no
// further arrival, waits for the open ones and returns the outcomes so far.
func (c *Clients) Run(ctx context.Context) []ArrivalOutcome {
	var tasks sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for i := range c.cfg.Plan.Arrivals {
		a := &c.cfg.Plan.Arrivals[i]
		if wait := a.At - c.cfg.Clock(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				tasks.Wait()
				return c.outcomes[:i]
			}
		}
		if late := int64(c.cfg.Clock() - a.At); late > c.maxStartDelay.Load() {
			c.maxStartDelay.Store(late)
		}
		tasks.Go(func() { c.outcomes[a.Number] = c.runArrival(ctx, a) })
	}
	tasks.Wait()
	for _, p := range c.pools {
		p.close()
	}
	for _, p := range c.rpc {
		p.close()
	}
	return c.outcomes
}

// MaxStartDelay returns the largest delay with which an arrival started against its planned time.
func (c *Clients) MaxStartDelay() time.Duration { return time.Duration(c.maxStartDelay.Load()) }

// runArrival sends one arrival's request with its retries.
func (c *Clients) runArrival(ctx context.Context, a *scenario.Arrival) ArrivalOutcome {
	s := c.cfg.Scenario
	class := &s.Classes[a.Class]
	deadline := a.At + scenario.MS(class.DeadlineMS)
	random := model.Rand(s.Seed, "tries", strconv.Itoa(a.Number))
	t := ArrivalOutcome{Arrival: a.Number, Class: a.Class, Tenant: a.Tenant, At: a.At}
	for try := 0; ; try++ {
		t.Tries++
		sidecar := a.Sidecar
		if s.Clients.Failover {
			sidecar = (a.Sidecar + try) % len(c.pools)
		}
		began := c.cfg.Clock()
		giveUpAt := min(deadline, began+time.Duration(s.Clients.TryShare*float64(scenario.MS(class.DeadlineMS))))
		if try > 0 && s.Clients.Retries == try {
			giveUpAt = deadline // the last try waits until the deadline
		}
		result := c.attemptOnce(a, try, sidecar, giveUpAt)
		t.End = result.end
		now := c.cfg.Clock()
		if t.End == scenario.Refused {
			t.RefusedIn = max(t.RefusedIn, now-began)
		}
		if t.End == scenario.Served {
			t.Took = now - a.At
		}
		wait, retry := s.Clients.RetryDelay(random, class.Effect, try, t.End, result.retryAfter, deadline-now)
		if !retry || a.Quirk == scenario.HangsUp {
			return t
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return t
		}
	}
}

// attempt is one try of an arrival's request.
type attempt struct {
	arrival  *scenario.Arrival
	number   int // of the try, from 0
	sidecar  int
	trace    string
	giveUpAt time.Duration // when the client gives up
}

// judgeTry returns the attempt in the form that the judge takes.
func (t *attempt) judgeTry(at time.Duration) judge.Try {
	a := t.arrival
	return judge.Try{Trace: t.trace, Arrival: a.Number, Class: a.Class, Key: a.Key, Sidecar: t.sidecar, Sent: at, Deadline: t.giveUpAt}
}

// result is how an attempt ended.
type result struct {
	end        scenario.Outcome
	retryAfter time.Duration // delay that the response asks for; 0 if none
	stale      bool          // the reused connection was already closed, without a response
}

// lostResult is the result of an attempt without a response.
var lostResult = result{end: scenario.Lost}

// staleResult is the result of an attempt whose reused connection turns out to be closed.
var staleResult = result{end: scenario.Lost, stale: true}

// attemptOnce sends a request once. If a reused connection turns out to be closed, it sends the request again on another one,
// within the same try.
func (c *Clients) attemptOnce(a *scenario.Arrival, number, sidecar int, giveUpAt time.Duration) result {
	p := c.pools[sidecar]
	held := c.cfg.Held.take(a, number, sidecar)
	if held == nil {
		p.openSlots <- struct{}{}
		defer func() { <-p.openSlots }()
	}
	t := &attempt{arrival: a, number: number, sidecar: sidecar, trace: a.Trace(c.cfg.Scenario.Seed, number), giveUpAt: giveUpAt}
	if c.cfg.Scenario.Clients.RPC() {
		return c.tryRPC(t)
	}
	for {
		conn, err := held, error(nil)
		if held = nil; conn == nil {
			conn, err = p.get(c.cfg.Observer, c.cfg.Clock)
		}
		if err != nil {
			return lostResult // the request never reached the sidecar
		}
		reused := conn.used
		r := c.exchangeHTTP(conn, t)
		if r.stale && reused {
			continue
		}
		return r
	}
}

// SetShuttingDown marks a sidecar as terminating or terminated by the scenario. While marked, it gets no new connections.
func (c *Clients) SetShuttingDown(sidecar int, shuttingDown bool) {
	c.pools[sidecar].shuttingDown.Store(shuttingDown)
}
