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

// Tally is what became of one arrival, over all its tries.
type ArrivalOutcome struct {
	Arrival   int
	Class     int
	Tenant    int
	At        time.Duration // planned
	End       scenario.Ending
	Took      time.Duration // from At, where it was served
	Tries     int
	RefusedIn time.Duration // the longest that a try took to be refused; 0 if none was
}

// CallersConfig describes the clients of a run.
type ClientsConfig struct {
	Scenario     *scenario.Scenario
	Plan         *scenario.Plan
	Addrs        []string // of the sidecars
	RPCAddrs     []string // ... for MessagePack-RPC, where the clients speak that
	Clock        Clock
	Observer     ClientObserver
	MaxOpenConns int        // connections to one sidecar, beside those that are held; tries beyond it wait for one
	Held         *HeldConns // connections that some arrivals go out on; nil: none
	// Linger is how long a client goes on reading after it has given a try up, so that a final answer that comes just in
	// time is seen. What is served by then is of no use to it any more.
	Linger time.Duration
}

// Callers are the clients of a run: each arrival is begun at its planned time, whatever became of those before it.
type Clients struct {
	cfg           ClientsConfig
	pools         []*clientPool
	rpc           []*rpcPool
	outcomes      []ArrivalOutcome
	maxStartDelay atomic.Int64 // nanoseconds by which the latest start came after its plan
}

// NewCallers returns clients that have not begun.
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

// Run plays all arrivals and returns when the last has ended, or ctx does.
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

// Late returns by how much the latest arrival was begun after its planned time.
func (c *Clients) MaxStartDelay() time.Duration { return time.Duration(c.maxStartDelay.Load()) }

// arrive plays one arrival with its retries.
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
			giveUpAt = deadline // the last one waits as long as anyone would
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
		wait, retry := s.Clients.Again(random, class.Effect, try, t.End, result.retryAfter, deadline-now)
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
	giveUpAt time.Duration // when the client gives it up
}

// sent is the attempt as the judge is told of it.
func (t *attempt) judgeTry(at time.Duration) judge.Try {
	a := t.arrival
	return judge.Try{Trace: t.trace, Arrival: a.Number, Class: a.Class, Key: a.Key, Sidecar: t.sidecar, Sent: at, Deadline: t.giveUpAt}
}

// result is how an attempt ended.
type result struct {
	end        scenario.Ending
	retryAfter time.Duration // how long the client was asked to wait
	stale      bool          // the connection had been closed before; nothing was answered
}

// lost is the result of an attempt without an answer.
var lostResult = result{end: scenario.Lost}

// closedBefore is that of an attempt whose connection turns out to be closed.
var staleResult = result{end: scenario.Lost, stale: true}

// try sends a request once. A kept connection that turns out to be closed is no answer: the request is sent once more
// on a new one.
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
			return lostResult // it never reached the sidecar
		}
		reused := conn.used
		r := c.exchangeHTTP(conn, t)
		if r.stale && reused {
			continue
		}
		return r
	}
}

// SetAway says whether a sidecar is about to end, or has ended, by plan: it gets no new connections then.
func (c *Clients) SetShuttingDown(sidecar int, shuttingDown bool) {
	c.pools[sidecar].shuttingDown.Store(shuttingDown)
}
