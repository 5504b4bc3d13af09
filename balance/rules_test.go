package balance

import (
	"fmt"
	"slices"
	"testing"
)

// After a first attempt the balancer may retry, refuse or fail the request, depending on the class's effect and
// deduplication scope, on the result, and on whether the deduplication window has passed.
func TestActionsAfterFailedAttempt(t *testing.T) {
	for _, class := range []int{safeClass, unsafeClass, keyedCellClass, keyedAllClass, keyedZoneClass} {
		for _, result := range []Result{Failed, Rejected, TimedOut, ConnectFailed, Reset, Cancelled} {
			for _, windowPassed := range []bool{false, true} {
				t.Run(fmt.Sprintf("class%d/result%d/late=%v", class, result, windowPassed), func(t *testing.T) {
					checkActionsAfterAttempt(t, class, result, windowPassed)
				})
			}
		}
	}
}

func checkActionsAfterAttempt(t *testing.T, class int, result Result, windowPassed bool) {
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyTarget = cfg.Classes[i].Deadline // retries are worthwhile up to the deadline
		cfg.Classes[i].DedupWindow = 200
	}
	g := newHarness(t, cfg, testServers(8)...)
	id, acts := g.request(class)
	first, ok := sentTo(acts)
	if !ok {
		t.Fatal("the request was not sent")
	}
	if g.now += 100; windowPassed {
		g.now += 200
	}
	acts = g.endAttempt(id, 0, result, 100)
	c := cfg.Classes[class]
	mayRetry := c.Effect == Safe || result.ProvesNotExecuted() || c.Effect == Keyed && !windowPassed
	second, retried := sentTo(acts)
	if retried != mayRetry {
		t.Fatalf("retried: %v, want %v (%+v)", retried, mayRetry, acts)
	}
	if !retried {
		mayRefuse := c.Effect == Keyed && c.DedupScope == DedupAll
		if hasAction(acts, Refuse) != mayRefuse || hasAction(acts, Fail) == mayRefuse {
			t.Fatalf("refusal allowed: %v, got %+v", mayRefuse, acts)
		}
		return
	}
	a, b := g.b.byID[first], g.b.byID[second]
	uncertain := !result.ProvesNotExecuted()
	if a == b || uncertain && class == keyedCellClass && a.Cell != b.Cell || uncertain && class == keyedZoneClass && a.Zone != b.Zone {
		t.Fatalf("sent to %+v after %+v", b.Server, a.Server)
	}
}

func TestRequestThatMayHaveExecutedIsNotRefused(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	for _, class := range []int{unsafeClass, keyedCellClass, keyedZoneClass} {
		id, _ := g.request(class)
		g.now = g.b.requests[id].deadline
		acts := g.handle(TimerFired{Token: uint64(id)})
		if hasAction(acts, Refuse) || !hasAction(acts, Fail) {
			t.Errorf("class %d at its deadline with an attempt in flight: %+v", class, acts)
		}
	}
}

func TestExpiredRequestIsRefusedAtOnce(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	acts := g.handle(Request{ID: 1, Class: unsafeClass, Remaining: 0})
	if !hasAction(acts, Refuse) || hasAction(acts, Send) {
		t.Fatalf("a request without remaining time: %+v", acts)
	}
}

func TestRequestWithoutReadyServerIsRefused(t *testing.T) {
	drained := testServers(3)
	for i := range drained {
		drained[i].State = Draining
	}
	for name, servers := range map[string][]Server{"empty": nil, "draining": drained} {
		g := newHarness(t, baseConfig(), servers...)
		id, acts := g.request(unsafeClass)
		if hasAction(acts, Send) || !hasAction(acts, SetTimer) {
			t.Fatalf("%s: %+v", name, acts)
		}
		refused := false
		for g.now < 1000+baseConfig().Classes[unsafeClass].Deadline {
			g.now += 10
			refused = refused || hasAction(g.handle(TimerFired{Token: uint64(id)}), Refuse)
		}
		if !refused || len(g.b.requests) != 0 {
			t.Fatalf("%s: refused %v, %d requests left", name, refused, len(g.b.requests))
		}
	}
}

func TestDrainingServerGetsNoAttempts(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	entry := testServers(1)[0]
	entry.State = Draining
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	for range 20 {
		id, acts := g.request(safeClass)
		if s, _ := sentTo(acts); s != 2 {
			t.Fatalf("sent to %d", s)
		}
		g.endAttempt(id, 0, OK, 10)
	}
	entry.State = Ready
	g.handle(ServerList{Kind: ListFull, Servers: []Server{entry}}) // the other server is not listed: it is gone
	id, acts := g.request(safeClass)
	if s, _ := sentTo(acts); s != 1 {
		t.Fatalf("sent to %d of request %d", s, id)
	}
}

func TestAttemptLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	g := newHarness(t, cfg, testServers(4)...)
	id, _ := g.request(safeClass)
	if acts := g.endAttempt(id, 0, Rejected, 1); hasAction(acts, Send) || !hasAction(acts, Refuse) {
		t.Fatalf("after the only attempt allowed: %+v", acts)
	}
}

// A timer fired early by a rounding error and was not set again, so that the request got no answer at its deadline.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	id, _ := g.request(unsafeClass)
	g.now = g.b.requests[id].timerAt - 1e-4
	if acts := g.handle(TimerFired{Token: uint64(id)}); !hasAction(acts, SetTimer) {
		t.Fatalf("no timer after an early one: %+v", acts)
	}
}

// A server in slow start was overloaded when its budget was based on client requests, which include retries.
func TestSlowStartBudgetHoldsAcrossSidecars(t *testing.T) {
	const sidecars, perSecond, seconds = 4, 150, 6
	cfg := baseConfig()
	toWarmingUp := 0
	for n := range sidecars {
		cfg.Seed, cfg.Index = uint64(n+1), n
		servers := testServers(5)
		g := newHarness(t, cfg, servers...)
		for i := range perSecond * seconds {
			if i == perSecond*3 { // one server restarts
				servers[0].StartedAt = g.now
				g.handle(ServerList{Kind: ListDelta, Servers: servers[:1]})
			}
			id, acts := g.request(safeClass)
			s, ok := sentTo(acts)
			if !ok {
				t.Fatal("nothing sent")
			}
			if s == 1 && i >= perSecond*3 && i < perSecond*4 {
				toWarmingUp++
			}
			g.endAttempt(id, 0, OK, 10)
			g.now += 1000 / perSecond
		}
	}
	// A warm server gets a fifth of the traffic. The one in slow start has a capacity of SlowStartInitialFraction of that,
	// and a little more during the second, and fails at ColdOverloadFactor times its capacity.
	limit := float64(sidecars*perSecond) / 5 * cfg.ColdOverloadFactor * (cfg.SlowStartInitialFraction + 0.05)
	if toWarmingUp == 0 || float64(toWarmingUp) > limit {
		t.Fatalf("%d attempts at a server in its first second, want 1 to %.0f", toWarmingUp, limit)
	}
}

// A server that was unreachable and answers again has restarted, even if the list does not report it.
func TestServerReachableAgainIsInSlowStart(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	id, acts := g.request(safeClass)
	s, _ := sentTo(acts)
	g.endAttempt(id, 0, ConnectFailed, 150)
	g.now += 60000
	for range 8 {
		id, acts = g.request(safeClass)
		if again, _ := sentTo(acts); again == s {
			g.endAttempt(id, 0, OK, 10)
			break
		}
		g.endAttempt(id, 0, OK, 10)
	}
	if !g.b.warmingUp(g.b.byID[s]) {
		t.Fatal("the server is not in slow start")
	}
}

// Once the client receives a streamed answer, there is no deadline, no retry and no other answer.
func TestStartedStreamHasNoDeadlineOrRetry(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[safeClass].Stream = true
	g := newHarness(t, cfg, testServers(3)...)
	id, acts := g.request(safeClass)
	s, _ := sentTo(acts)
	g.handle(ResponseStarted{Request: id, Server: s, Latency: 20})
	g.now += 5000
	if acts := g.handle(TimerFired{Token: uint64(id)}); hasAction(acts, Fail) || hasAction(acts, Refuse) || hasAction(acts, Send) {
		t.Fatalf("a running stream got %+v", acts)
	}
	g.handle(Outcome{Request: id, Server: s, Result: Reset, Latency: 5000, Finished: true})
	if len(g.b.requests) != 0 {
		t.Fatal("the request of an ended stream is not removed")
	}
}

// After a failed list request the balancer keeps the old list and retries with increasing pauses, within the limit.
func TestListRequestsBackOff(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	g := newHarness(t, cfg, testServers(3)...)
	if !hasAction(g.actions, Subscribe) {
		t.Fatal("not subscribed at once")
	}
	var pauses []float64
	for range 6 {
		acts := g.handle(ServerList{Kind: ListFailed})
		if len(acts) != 1 || acts[0].Token != listTimer || acts[0].At > cfg.ListRefreshLimit*3/4 {
			t.Fatalf("after a failed list request: %+v", acts)
		}
		pauses = append(pauses, acts[0].At)
		g.now += acts[0].At
		if !hasAction(g.handle(TimerFired{Token: listTimer}), Subscribe) {
			t.Fatal("the list is not requested again")
		}
	}
	if pauses[5] < 2*pauses[0] || len(g.b.servers) != 3 {
		t.Fatalf("pauses %v, %d servers", pauses, len(g.b.servers))
	}
}

// The watches of a whole fleet end at the same time, and discovery can answer few calls at a time. With pauses of half a
// second all sidecars retried together and timed out together, and half of the fleet received no updates any more.
func TestListRequestsOfFleetAreSpread(t *testing.T) {
	for _, sidecars := range []int{80, 300, 1000} {
		cfg := baseConfig()
		cfg.Subscribe, cfg.Peers = true, sidecars
		first := make([]int, 5)  // by half second, when all start at once
		calls := make([]int, 20) // by half second
		for n := range sidecars {
			cfg.Seed, cfg.Index = uint64(n+1), n
			g := newHarness(t, cfg, testServers(3)...)
			if g.actions[0].Token != listTimer || g.actions[0].At > 2000 {
				t.Fatalf("at the start: %+v", g.actions[0])
			}
			first[int(g.actions[0].At/500)]++
			g.now += 5000
			elapsed := 0.0
			for range 2 { // the second request fails too, after its time-out of two seconds
				elapsed += g.handle(ServerList{Kind: ListFailed})[0].At
				if half := int(elapsed / 500); half < len(calls) {
					calls[half]++
				}
				elapsed += 2000
				g.now += 2000
			}
		}
		maxPerHalfSecond := float64(sidecars) / min(4+float64(sidecars-80)/50, 7) // twice an even distribution
		if float64(slices.Max(first)) > 0.4*float64(sidecars) {
			t.Errorf("%d sidecars that start together: requests by half second: %v", sidecars, first)
		}
		if maxPerHalfSecond = max(maxPerHalfSecond, 20); float64(slices.Max(calls)) > maxPerHalfSecond {
			t.Errorf("%d sidecars: requests by half second: %v, want at most %.0f", sidecars, calls, maxPerHalfSecond)
		}
	}
}

// The answers that are assumed for sidecars with little traffic counted in the budgets of slow start too, and together
// the sidecars overloaded a server. A sidecar without answers may send hardly anything to a server in slow start.
func TestAssumedAnswersGiveNoSlowStartBudget(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	entry := g.b.servers[0].Server
	entry.StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	g.now += 2000
	g.request(safeClass) // sets the weights
	s := g.b.servers[0]
	s.slowStartTokens, s.tokensUpdatedAt = 0, g.now-2000
	if g.b.withinSlowStartBudget(s); s.slowStartTokens > 0.2 { // with ten assumed: 1
		t.Fatalf("%.2f attempts in two seconds", s.slowStartTokens)
	}
	g.b.traffic.rate.add(g.b.now, 400) // its part of 200 answers per second is allowed
	s.slowStartTokens, s.tokensUpdatedAt = 0, g.now-2000
	if g.b.withinSlowStartBudget(s); s.slowStartTokens < 0.5 {
		t.Fatalf("%.2f attempts in two seconds by a busy sidecar", s.slowStartTokens)
	}
}

// A sidecar whose process was stopped past a deadline receives the timer and the attempt's time-out together. The request
// gets one final answer, whichever is first, and no further action.
func TestTimerAndTimeoutPastDeadlineGiveOneAnswer(t *testing.T) {
	for _, timerFirst := range []bool{true, false} {
		g := newHarness(t, baseConfig(), testServers(4)...)
		id, _ := g.request(unsafeClass)
		s := g.b.requests[id].attempts[0].server.ID
		g.now += 3000 // the deadline was at 600
		g.actions = nil
		late := Outcome{Request: id, Server: s, Result: TimedOut, Latency: 600}
		if timerFirst {
			g.handle(TimerFired{Token: uint64(id)})
			late.Finished = true
			g.handle(late)
		} else {
			g.handle(late)
			g.handle(TimerFired{Token: uint64(id)})
		}
		answers := 0
		for _, a := range g.actions {
			switch a.Kind {
			case Fail:
				answers++
			case Send, Refuse: // not allowed, as it may have been executed
				t.Errorf("timer first %v: %+v", timerFirst, a)
			}
		}
		if answers != 1 || len(g.b.requests) != 0 {
			t.Errorf("timer first %v: %d answers, %d requests kept", timerFirst, answers, len(g.b.requests))
		}
	}
}

// After its client has disconnected, a request gets no attempts and no answer. Attempts in flight still end.
func TestNoActionsAfterClientDisconnects(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	id, _ := g.request(safeClass)
	s := g.b.requests[id].attempts[0].server.ID
	g.now += 10
	g.actions = nil
	g.handle(ClientDisconnected{Request: id})
	g.handle(Outcome{Request: id, Server: s, Result: Reset, Latency: 10, Finished: true})
	g.handle(TimerFired{Token: uint64(id)})
	g.handle(ClientDisconnected{Request: id})
	for _, a := range g.actions {
		if a.Kind != Cancel {
			t.Errorf("after the client disconnected: %+v", a)
		}
	}
	if len(g.b.requests) != 0 {
		t.Error("the request is not removed")
	}
}

// While discovery is unreachable, the list must be requested within Config.ListRefreshLimit: otherwise the sidecar is
// judged as if it had received the updates.
func TestListIsRequestedWithinRefreshLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe, cfg.ListRefreshLimit = true, 3000
	g := newHarness(t, cfg, testServers(4)...)
	for range 20 {
		acts := g.handle(ServerList{Kind: ListFailed})
		if len(acts) != 1 || acts[0].Kind != SetTimer || acts[0].At > cfg.ListRefreshLimit*3/4 {
			t.Fatalf("after a failed list request: %+v", acts)
		}
		g.now += acts[0].At
		if acts = g.handle(TimerFired{Token: acts[0].Token}); !hasAction(acts, Subscribe) {
			t.Fatalf("the list is not requested again: %+v", acts)
		}
	}
}

// A refusal has a retry-after time within the longest one that clients respect.
func TestRefusalHasBoundedRetryAfter(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxRetryAfter = 20
	g := newHarness(t, cfg, testServers(1)...)
	id, _ := g.request(unsafeClass)
	g.now += cfg.Classes[unsafeClass].Deadline
	acts := g.endAttempt(id, 0, Rejected, 1)
	if len(acts) != 1 || acts[0].Kind != Refuse || acts[0].At <= 0 || acts[0].At > cfg.MaxRetryAfter {
		t.Fatalf("actions %v, want a refusal with a retry-after time", acts)
	}
}
