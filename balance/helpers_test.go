package balance

import "testing"

// harness passes scripted events to one balancer and stores the actions that it returns.
type harness struct {
	t       *testing.T
	b       *Balancer
	now     float64
	actions []Action
	lastID  RequestID
}

func baseConfig() Config {
	return Config{
		Seed: 1, Peers: 3, MaxAttempts: 4, ParallelAttempts: true, Cancel: true, RetryAfter: true, MaxRetryAfter: 1000,
		MinBatchInterval: 4, AnswerSlack: 16, SlowStartInitialFraction: 0.2, SlowStartTime: 20000, ColdOverloadFactor: 2.5,
		ColdOverloadTime: 1000, ListRefreshLimit: 10000, DrainGrace: 2000,
		Classes: []Class{
			{Effect: Safe, LatencyTarget: 300, Deadline: 1500, Value: 1},
			{Effect: Unsafe, LatencyTarget: 300, Deadline: 600, Value: 5},
			{Effect: Keyed, DedupScope: DedupCell, DedupWindow: 1200, LatencyTarget: 400, Deadline: 2000, Value: 3},
			{Effect: Keyed, DedupScope: DedupAll, DedupWindow: 1200, LatencyTarget: 400, Deadline: 2000, Value: 3},
			{Effect: Keyed, DedupScope: DedupZone, DedupWindow: 1200, LatencyTarget: 400, Deadline: 2000, Value: 3},
		},
	}
}

const (
	safeClass = iota
	unsafeClass
	keyedCellClass
	keyedAllClass
	keyedZoneClass
)

func newHarness(t *testing.T, cfg Config, servers ...Server) *harness {
	g := &harness{t: t, b: New(cfg), now: 1000}
	g.actions = append(g.actions, g.b.Start(g.now)...)
	g.handle(ServerList{Kind: ListCached, Servers: servers})
	for _, s := range g.b.servers {
		s.currentWeight, s.seeded = 0, true // random start values would make the sequence unpredictable
	}
	return g
}

// randomStart restores the random start values of current weights, which newHarness disables.
func (g *harness) randomStart() {
	for _, s := range g.b.servers {
		s.seeded = false
	}
}

// testServers returns n equal servers with IDs from 1, two in each cell, four in each zone.
func testServers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Rating: 1, Cell: i / 2, Zone: i / 4}
	}
	return list
}

func (g *harness) handle(ev Event) []Action {
	g.t.Helper()
	acts, err := g.b.Handle(g.now, ev)
	if err != nil {
		g.t.Fatalf("%#v: %v", ev, err)
	}
	acts = append([]Action(nil), acts...)
	g.actions = append(g.actions, acts...)
	return acts
}

// request passes a new request to the balancer and returns its ID and the resulting actions.
func (g *harness) request(class int) (RequestID, []Action) {
	g.t.Helper()
	g.lastID++
	return g.lastID, g.handle(Request{ID: g.lastID, Class: class, Remaining: g.b.cfg.Classes[class].Deadline})
}

// endAttempt ends an attempt with a result.
func (g *harness) endAttempt(id RequestID, attempt int, result Result, latency float64) []Action {
	g.t.Helper()
	s := g.b.requests[id].attempts[attempt].server
	finished := result == OK || g.b.requests[id].answered
	return g.handle(Outcome{Request: id, Attempt: attempt, Server: s.ID, Result: result, Latency: latency, Finished: finished})
}

func sentTo(acts []Action) (ServerID, bool) {
	for _, a := range acts {
		if a.Kind == Send {
			return a.Server, true
		}
	}
	return 0, false
}

func hasAction(acts []Action, kind ActionKind) bool {
	for _, a := range acts {
		if a.Kind == kind {
			return true
		}
	}
	return false
}
