package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

func probeConfig() Config {
	cfg := baseConfig()
	cfg.Probes, cfg.Reports, cfg.Fields = true, ReportProbe, []Field{FieldInFlight}
	return cfg
}

// answerProbes answers the probes among acts: unreachable servers do not answer, the others have the given number of
// pending requests. It returns the resulting actions.
func (g *harness) answerProbes(acts []Action, pending float32, unreachable map[ServerID]bool) []Action {
	var actions []Action
	for _, a := range acts {
		if a.Kind != Probe {
			continue
		}
		res := ProbeResult{Server: a.Server, Report: []float32{pending}}
		if unreachable[a.Server] {
			res = ProbeResult{Server: a.Server, Result: TimedOut}
		}
		actions = append(actions, g.handle(res)...)
	}
	return actions
}

// In a partition most probes were lost, and the unreachable servers, as next in the rotation, were probed again for every
// request.
func TestUnreachableServersAreEjectedAndReturn(t *testing.T) {
	g := newHarness(t, probeConfig(), testServers(3)...)
	unreachable := map[ServerID]bool{1: true, 2: true}
	for i := range 4 {
		id, acts := g.request(safeClass)
		if probed := len(acts) - 1; i > 0 && probed > 1 {
			t.Fatalf("request %d: %d servers probed though two are unreachable", id, probed)
		}
		if s, ok := sentTo(g.answerProbes(acts, 0, unreachable)); !ok || s != 3 {
			t.Fatalf("request %d went to %d", id, s)
		}
		g.endAttempt(id, 0, OK, 10)
	}
	g.now += 10000 // the ejection is over and they answer again
	used := map[ServerID]bool{}
	for range 6 {
		id, acts := g.request(safeClass)
		s, _ := sentTo(g.answerProbes(acts, 0, nil))
		used[s] = true
		g.endAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("used %v after the servers answered again", used)
	}
}

// A sidecar with little traffic knows the queues that others fill only from probes.
func TestServerWithProbedQueueIsPassedOver(t *testing.T) {
	g := newHarness(t, probeConfig(), testServers(3)...)
	g.b.servers[0].currentWeight = 1000 // next in turn
	id, acts := g.request(safeClass)
	if hasAction(acts, Send) {
		t.Fatal("sent before the probes were answered")
	}
	g.handle(ProbeResult{Server: 1, Report: []float32{5}})
	g.handle(ProbeResult{Server: 2, Report: []float32{0}})
	if s, ok := sentTo(g.handle(ProbeResult{Server: 3, Report: []float32{4}})); !ok || s != 2 {
		t.Fatalf("request %d went to %d, want the idle server", id, s)
	}
}

func TestRequestWaitsBrieflyForProbes(t *testing.T) {
	g := newHarness(t, probeConfig(), testServers(3)...)
	id, _ := g.request(safeClass)
	g.now = g.b.requests[id].timerAt
	if acts := g.handle(TimerFired{Token: uint64(id)}); !hasAction(acts, Send) || g.now > 1000+0.1*300 {
		t.Fatalf("at %v: %+v", g.now, acts)
	}
}

// A hung server is passed over at once because of its requests in flight, and ejected after several errors. The requests
// that hang there must not count as overload of the whole fleet.
func TestHungServerCausesNoShedding(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(6)...)
	sentToHung := 0
	for range 900 {
		g.now += 5
		for _, a := range g.dueTimers() {
			g.handle(a)
		}
		id, acts := g.request(safeClass)
		s, ok := sentTo(acts)
		if !ok {
			t.Fatalf("request %d was refused: shed %v", id, g.b.shedder.steadyShed)
		}
		if s == 1 {
			sentToHung++
			continue
		}
		g.now++
		g.endAttempt(id, 0, OK, 10)
	}
	if sentToHung > 40 {
		t.Fatalf("the hung server got %d of 900", sentToHung)
	}
}

// dueTimers returns the timers of open requests that are due.
func (g *harness) dueTimers() []TimerFired {
	var list []TimerFired
	for id := RequestID(1); id <= g.lastID; id++ {
		if r := g.b.requests[id]; r != nil && r.timerAt <= g.now && !r.answered {
			list = append(list, TimerFired{Token: uint64(id)})
		}
	}
	return list
}

// In overload all queues filled and all answers were late. Requests that can't be answered in time are refused before any
// attempt, those of the lowest value first.
func TestOverloadShedsLowestValueFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	g.b.traffic.latency.lateShare = 1
	refused := map[int]int{}
	var open []RequestID
	for i := range 2000 {
		g.now += 2
		class := []int{safeClass, unsafeClass}[i%2]
		id, acts := g.request(class)
		if hasAction(acts, Refuse) {
			refused[class]++
			continue
		}
		open = append(open, id)
		if len(open) > 150 { // answers take 300 ms and more
			g.endAttempt(open[0], 0, OK, 300)
			open = open[1:]
		}
	}
	if refused[safeClass] < 100 || refused[unsafeClass] >= refused[safeClass] {
		t.Fatalf("refused %d of low value and %d of high value", refused[safeClass], refused[unsafeClass])
	}
}

// In a congested fleet all answers are late, which is no error of single servers: once the class's mean latency is high,
// an attempt of 430 ms with a latency target of 300 ms is no error.
func TestSlowAnswersInCongestedFleetAreNoErrors(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	latencies := []float64{370, 430, 400}
	for i := range 60 {
		id, acts := g.request(unsafeClass)
		if !hasAction(acts, Send) {
			continue
		}
		end := g.now + latencies[i%3]
		for r := g.b.requests[id]; !r.answered && r.timerAt < end; {
			g.now = r.timerAt
			g.handle(TimerFired{Token: uint64(id)})
		}
		g.now = end
		if i > 30 && g.b.requests[id].attempts[0].overdue {
			t.Fatalf("attempt %d of %v ms counts as overdue after %v", i, latencies[i%3], g.b.requests[id].overdueAfter())
		}
		g.endAttempt(id, 0, OK, latencies[i%3])
	}
	id, acts := g.request(unsafeClass)
	for !hasAction(acts, Send) {
		g.now += 50
		id, acts = g.request(unsafeClass)
	}
	r := g.b.requests[id]
	if g.now = r.timerAt; g.now >= r.deadline {
		t.Fatal("no timer checks the attempt before its deadline")
	}
	if g.handle(TimerFired{Token: uint64(id)}); !r.attempts[0].overdue || r.attempts[0].server.consecutiveErrors != 1 {
		t.Fatal("an attempt far slower than all others is not counted as an error")
	}
}

// A sidecar with one request per second estimated the load by its attempts in flight alone and refused requests by chance
// without overload. It must shed load by the latency of recent answers: fast ones show that there is no overload.
func TestLowTrafficSidecarShedsByRecentLatency(t *testing.T) {
	for latency, want := range map[float64][2]int{60: {0, 2}, 900: {20, 199}} {
		g := newHarness(t, baseConfig(), testServers(12)...)
		refused := 0
		for range 100 {
			g.now += 50
			id, acts := g.request(safeClass)
			second, secondActs := g.request(safeClass) // two at once
			for _, r := range []struct {
				id   RequestID
				acts []Action
			}{{id, acts}, {second, secondActs}} {
				if hasAction(r.acts, Refuse) {
					refused++
				}
			}
			g.now += latency
			for _, id := range []RequestID{id, second} {
				if r := g.b.requests[id]; r != nil && r.inFlight > 0 {
					g.endAttempt(id, 0, OK, latency)
				}
			}
			g.now += 900
		}
		if refused < want[0] || refused > want[1] {
			t.Errorf("answers of %v ms: %d of 200 refused, want %v", latency, refused, want)
		}
	}
}

// Attempts that hang at an ejected server say nothing about the others and must not cause load shedding.
func TestEjectedServersDoNotCountAsLoad(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	g.b.servers[0].load, g.b.servers[1].load = 5, 1
	if load := g.b.openLoad(); load != 6 {
		t.Fatalf("load %v before the ejection", load)
	}
	g.b.eject(g.b.servers[0])
	if load := g.b.openLoad(); load != 1 {
		t.Fatalf("load %v during the ejection", load)
	}
}

// setLoad sets the steady part to shed, and the load such that the expected latency exceeds the allowed one by the given
// multiple of the latency target.
func (g *harness) setLoad(steady, excess float64) {
	allowed := g.b.traffic.latency.bestRatio + queueAllowance*(1-g.b.traffic.latency.bestRatio)
	g.b.shedder.steadyShed, g.b.traffic.latency.lateShare = steady, 1
	g.b.servers[0].load += (allowed+excess)*g.b.traffic.rate.perMillis(g.b.now, assumedAnswers) - g.b.openLoad()
}

// shedFractions sends 4000 requests of classes and tenants drawn from mix, with 0.4 of the work to be shed. It returns the
// refused fraction of each class and of each tenant.
func shedFractions(t *testing.T, cfg Config, mix ...[2]int) (byClass, byTenant [5]float64) {
	t.Helper()
	g := newHarness(t, cfg, testServers(4)...)
	var requests [2][5]float64
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		mixEntry := mix[random.IntN(len(mix))]
		g.now++
		g.setLoad(0.4, 0)
		requests[0][mixEntry[0]]++
		requests[1][mixEntry[1]]++
		id := RequestID(i + 1)
		acts := g.handle(Request{ID: id, Class: mixEntry[0], Tenant: mixEntry[1], Remaining: cfg.Classes[mixEntry[0]].Deadline})
		if hasAction(acts, Refuse) {
			byClass[mixEntry[0]]++
			byTenant[mixEntry[1]]++
		} else {
			g.endAttempt(id, 0, OK, 50)
		}
	}
	for i := range 5 {
		byClass[i] /= max(1, requests[0][i])
		byTenant[i] /= max(1, requests[1][i])
	}
	return byClass, byTenant
}

// Busy sidecars let queues grow for seconds before enough was shed, and overloaded servers stayed slow. The part shed
// follows the load at once, from nothing to twice the steady part. A sidecar whose steady part is 0 refuses nothing, as
// its few requests may coincide by chance.
func TestSheddingFollowsLoadAtOnce(t *testing.T) {
	for _, c := range []struct {
		steady, excess         float64 // excess: over the allowed latency, as a multiple of the target
		minRefused, maxRefused float64 // as fractions
	}{{0, 0.5, 0, 0.05}, {0.4, 0, 0.3, 0.5}, {0.4, 0.5, 0.7, 0.9}, {0.4, -0.3, 0, 0}} {
		g := newHarness(t, baseConfig(), testServers(4)...)
		for range 100 {
			id, _ := g.request(safeClass)
			g.now += 5
			g.endAttempt(id, 0, OK, 50)
		}
		refused := 0.0
		for range 200 {
			g.setLoad(c.steady, c.excess)
			if _, acts := g.request(safeClass); hasAction(acts, Refuse) {
				refused++
			}
		}
		if refused /= 200; refused < c.minRefused || refused > c.maxRefused {
			t.Errorf("%+v: %.2f were refused", c, refused)
		}
	}
}

// Of two tenants with equal shares, the one with three times the requests of the other is shed for the part over its
// share. With equal requests both are shed equally.
func TestTenantsOverTheirShareAreShedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Share: 0.5}, {Share: 0.5}}
	_, refused := shedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if refused[0] < 0.4 || refused[1] > 0.1 {
		t.Fatalf("refused %.2f of the tenant with much traffic, %.2f of the other", refused[0], refused[1])
	}
	_, refused = shedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(refused[0]-refused[1]) > 0.15 {
		t.Fatalf("of equal tenants %.2f and %.2f are refused", refused[0], refused[1])
	}
}

// A restart of a server clears its ejections and its unanswered probe.
func TestRestartClearsErrorsOfServer(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	s := g.b.servers[0]
	g.handle(ProbeResult{Server: s.ID, Result: TimedOut})
	if !s.probeUnanswered || !s.isEjected(g.b.now) {
		t.Fatal("an unanswered probe does not eject the server")
	}
	entry := s.Server
	entry.StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	if s.probeUnanswered || s.ejections != 0 || s.isEjected(g.b.now) {
		t.Fatalf("after the restart: probe unanswered %v, ejections %d", s.probeUnanswered, s.ejections)
	}
}

// Servers that answer in half the time get a larger size, and so does their kind.
func TestSizesAreLearned(t *testing.T) {
	servers := testServers(4)
	servers[2].Kind, servers[3].Kind = 1, 1
	g := newHarness(t, baseConfig(), servers...)
	hits := map[ServerID]int{}
	for range 1500 {
		id, acts := g.request(safeClass)
		s, _ := sentTo(acts)
		hits[s]++
		g.now += 5
		g.endAttempt(id, 0, OK, map[bool]float64{true: 20, false: 40}[s > 2])
	}
	if hits[3]+hits[4] < 3*(hits[1]+hits[2])/2 {
		t.Fatalf("hits %v", hits)
	}
	if g.b.sizes.kinds[1].log <= g.b.sizes.kinds[0].log {
		t.Fatalf("kinds %v", g.b.sizes.kinds)
	}
}

// With half of the fleet gone, clients' late retries, which have no value any more, used up the remaining capacity.
func TestLateRetriesAreShedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[safeClass].LateValue = 0.3
	for _, c := range []struct {
		shed, remaining float64
		refused         bool
	}{
		{0.5, 1000, true},   // 500 ms elapsed, the latency target of 300 ms has passed
		{0.2, 1000, false},  // the part to shed is less than the value of a late answer
		{0.5, 1300, false},  // 200 ms elapsed, an answer can still be in time
		{0.99, 1500, false}, // a first attempt of the client
	} {
		g := newHarness(t, cfg, testServers(4)...)
		g.request(safeClass)
		g.b.shedder.steadyShed, g.b.traffic.latency.lateShare = c.shed, 1
		r := &request{
			Request: Request{Remaining: c.remaining}, class: &g.b.cfg.Classes[safeClass], stats: &g.b.traffic.classes[safeClass],
		}
		if got := r.isLateRetry() && g.b.shedder.steadyShed >= r.class.LateValue; got != c.refused {
			t.Errorf("%+v: refused %v", c, got)
		}
		if !c.refused {
			continue
		}
		g.b.shedder.steadyShed = c.shed
		if acts := g.handle(Request{ID: 77, Remaining: c.remaining}); !hasAction(acts, Refuse) {
			t.Errorf("%+v: %+v", c, acts)
		}
	}
}

// A server with several consecutive errors is ejected, and fully used again after an answer.
func TestConsecutiveErrorsEjectServer(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	s := g.b.servers[0]
	for range ejectAfterErrors - 1 {
		g.b.recordError(s, false)
	}
	if s.isEjected(g.b.now) {
		t.Fatal("ejected before the last error")
	}
	g.b.recordError(s, false)
	if !s.isEjected(g.b.now) {
		t.Fatal("not ejected after the last error")
	}
	for range 12 {
		id, acts := g.request(safeClass)
		if to, _ := sentTo(acts); to == s.ID {
			t.Fatal("an ejected server got a request")
		}
		g.endAttempt(id, 0, OK, 10)
	}
	g.now = s.ejectedUntil
	for range 12 {
		id, acts := g.request(safeClass)
		to, _ := sentTo(acts)
		if g.endAttempt(id, 0, OK, 10); to == s.ID && s.ejectedUntil == 0 && s.consecutiveErrors == 0 {
			return
		}
	}
	t.Fatal("the server was not used after its ejection")
}

// If all servers are ejected, the cause is probably not in the servers, and they are used.
func TestEjectedServersAreUsedWhenAllAreEjected(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	for _, s := range g.b.servers {
		g.b.recordError(s, true)
	}
	if _, acts := g.request(safeClass); !hasAction(acts, Send) {
		t.Fatalf("nothing was sent: %+v", acts)
	}
}

// Probes have a cost: while servers are idle a few probes suffice to find an idle one; while they are busy all are probed.
func TestProbeCountFollowsServerLoad(t *testing.T) {
	g := newHarness(t, probeConfig(), testServers(12)...)
	lastProbeCount := func(pending float32) int {
		n := 0
		for range 60 {
			g.now += 10
			id, acts := g.request(safeClass)
			n = 0
			for _, a := range acts {
				if a.Kind == Probe {
					n++
				}
			}
			g.answerProbes(acts, pending, nil)
			g.endAttempt(id, 0, OK, 10)
		}
		return n
	}
	idle := lastProbeCount(0)
	if busy := lastProbeCount(1); idle > 3 || busy != 12 {
		t.Fatalf("%d servers probed when all are idle, %d when all are busy", idle, busy)
	}
}

// With a penalty for crossing zones the own zone gets more requests, and the others still get some.
func TestOwnZoneIsPreferredWhenCrossingCosts(t *testing.T) {
	for penalty, minInOwnZone := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Penalties.CrossZone, cfg.Zone = penalty, 1
		g := newHarness(t, cfg, testServers(8)...)
		inOwnZone := 0
		for _, s := range sendSequentially(g, 40) {
			if s > 4 {
				inOwnZone++
			}
		}
		if inOwnZone < minInOwnZone || inOwnZone > 38 || penalty == 0 && inOwnZone != 20 {
			t.Errorf("penalty %v: %d of 40 in the own zone", penalty, inOwnZone)
		}
	}
}

// Traffic grew sevenfold within seconds after the fleet was scaled up. Answers stayed fast, but the attempts in flight
// were compared with an outdated rate of answers, and half of the requests were refused.
func TestFastTrafficGrowthIsNotShed(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(12)...)
	var open []RequestID
	refused := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold in some nine seconds
		g.now += gap
		id, acts := g.request(safeClass)
		if hasAction(acts, Refuse) {
			refused++
			continue
		}
		open = append(open, id)
		for len(open) > 0 && g.b.requests[open[0]].arrivedAt <= g.now-80 { // each answer takes about 80 ms
			g.endAttempt(open[0], 0, OK, 80)
			open = open[1:]
		}
	}
	if refused > 0 {
		t.Fatalf("%d requests were refused", refused)
	}
}

// Sidecars with one request per second learned sizes per answer, fifty times slower than busy ones, so that slow servers
// stayed overloaded. Ten seconds must suffice to distinguish fast kinds from slow ones.
func TestLowTrafficSidecarLearnsSizesInSeconds(t *testing.T) {
	list := testServers(12)
	for i := range list {
		list[i].Kind, list[i].Zone = i%2, 0
	}
	for _, gap := range []float64{10, 600} {
		g := newHarness(t, baseConfig(), list...)
		for end := g.now + 10000; g.now < end; g.now += gap {
			id, acts := g.request(safeClass)
			if s, ok := sentTo(acts); ok {
				g.endAttempt(id, 0, OK, []float64{100, 50}[g.b.byID[s].Kind])
			}
		}
		if fast, slow := g.b.sizes.kinds[1].factor, g.b.sizes.kinds[0].factor; fast < 1.2*slow {
			t.Errorf("one request per %v ms: a kind that is twice as fast has %.2f times the size", gap, fast/slow)
		}
	}
}

// A report that is sent with an answer covers one server only. It made that server the only one with a known load, and all
// others were passed over.
func TestPiggybackedReportDoesNotAttractAllRequests(t *testing.T) {
	cfg := baseConfig()
	cfg.Reports, cfg.Fields = ReportPiggyback, []Field{FieldInFlight}
	g := newHarness(t, cfg, testServers(4)...)
	hits := map[ServerID]int{}
	for range 40 {
		id, acts := g.request(safeClass)
		s, _ := sentTo(acts)
		hits[s]++
		g.now += 5
		g.handle(Outcome{Request: id, Server: s, Latency: 5, Finished: true, Report: []float32{3}})
	}
	for s, n := range hits {
		if n > 15 {
			t.Errorf("server %d got %d of 40", s, n)
		}
	}
}

// With a thousand sidecars, each receives one request per second and knows of overload only by probes. If the best
// probed server would answer too late, the request is refused before any attempt. Otherwise it is sent, and only to a
// probed server, as the load of the others is unknown.
func TestProbedQueuesDecideShedding(t *testing.T) {
	for pending, refused := range map[float32]bool{0: false, 1: false, 6: true} {
		g := newHarness(t, probeConfig(), testServers(12)...)
		g.b.probing.busyShare = 0.5 // so that only some servers are probed
		id, acts := g.request(keyedAllClass)
		probed := map[ServerID]bool{}
		for _, a := range acts {
			if a.Kind == Probe {
				probed[a.Server] = true
			}
		}
		after := g.answerProbes(acts, pending, nil)
		if hasAction(after, Refuse) != refused || hasAction(after, Send) == refused {
			t.Fatalf("request %d, %.0f pending at probed servers: %+v", id, pending, after)
		}
		if s, ok := sentTo(after); len(probed) == 12 || ok && !probed[s] {
			t.Fatalf("sent to %d, which was not probed (%d were)", s, len(probed))
		}
	}
}

// Zones with more traffic than capacity were overloaded because of a penalty of only 0.005 for crossing zones.
func TestSmallCrossZonePenaltyHardlyCounts(t *testing.T) {
	cfg := baseConfig()
	cfg.Penalties.CrossZone, cfg.Zone = 0.005, 1
	g := newHarness(t, cfg, testServers(8)...)
	inOwnZone := 0
	for _, s := range sendSequentially(g, 70) {
		if s > 4 {
			inOwnZone++
		}
	}
	if inOwnZone < 35 || inOwnZone > 45 {
		t.Errorf("%d of 70 in the own zone", inOwnZone)
	}
}

// Sidecars with few requests used only the servers of the greatest rating: current weights started within one weight of
// each other, so that the others had to wait for many turns. From the first attempt on, the sidecars together must follow
// the weights, also while open connections change them.
func TestFirstAttemptsFollowWeights(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdle, cfg.Penalties.Handshake = 10000, 0.03
	servers := testServers(30)
	for i := range servers[:15] {
		servers[i].Rating = 2
	}
	for _, sends := range []int{1, 8} {
		toLargeServers, all := 0, 0
		for seed := range uint64(300) {
			cfg.Seed = seed + 1
			g := newHarness(t, cfg, servers...)
			g.randomStart()
			for _, s := range sendSequentially(g, sends) {
				if all++; s <= 15 {
					toLargeServers++
				}
			}
		}
		if fraction := float64(toLargeServers) / float64(all); fraction < 0.57 || fraction > 0.77 {
			t.Errorf("%d attempts per sidecar: %.2f of them at servers of double size, want about 0.67", sends, fraction)
		}
	}
}

// New connections have a penalty and fill the servers' tables. Servers with an open connection are used again while they
// answer; without a penalty the rotation is even.
func TestOpenConnectionsAreReused(t *testing.T) {
	for penalty, maxServers := range map[float64]int{0: 20, 0.08: 6} {
		cfg := baseConfig()
		cfg.ConnIdle, cfg.Penalties.Handshake = 10000, penalty
		g := newHarness(t, cfg, testServers(20)...)
		used := map[ServerID]bool{}
		for _, s := range sendSequentially(g, 20) {
			used[s] = true
		}
		if len(used) > maxServers || penalty == 0 && len(used) < 20 {
			t.Errorf("penalty %v: %d servers used by 20 requests", penalty, len(used))
		}
	}
	cfg := baseConfig()
	cfg.ConnIdle, cfg.Penalties.Handshake = 10000, 0.08
	g := newHarness(t, cfg, testServers(4)...)
	s := g.b.servers[0]
	basePreference := g.b.preference(s)
	s.lastSentAt = g.now
	if g.b.preference(s) < 10*basePreference {
		t.Error("an open connection does not raise the preference")
	}
	s.consecutiveErrors, s.lastErrorAt = 1, math.Inf(-1)
	if g.b.preference(s) != basePreference {
		t.Error("a server that just failed is preferred")
	}
	s.consecutiveErrors = 0
	if g.b.now += cfg.ConnIdle; g.b.preference(s) != basePreference {
		t.Error("a closed connection raises the preference")
	}
}

// A server in slow start could not be sent anything. Its current weight accumulated at all sidecars, which sent to it at
// the same time when its slow start ended.
func TestSidecarsDoNotConvergeOnServerAfterSlowStart(t *testing.T) {
	first := 0
	for seed := range uint64(200) {
		cfg := baseConfig()
		cfg.Seed, cfg.ConnIdle, cfg.Penalties.Handshake = seed+1, 10000, 0.03
		servers := testServers(20)
		g := newHarness(t, cfg, servers...)
		g.randomStart()
		servers[0].StartedAt = g.now
		g.handle(ServerList{Kind: ListDelta, Servers: servers[:1]})
		for g.now < servers[0].StartedAt+cfg.SlowStartTime-1000 { // hardly any budget for a server in slow start
			sendSequentially(g, 1)
			g.now += 1000
		}
		g.now = servers[0].StartedAt + cfg.SlowStartTime
		if sendSequentially(g, 1)[0] == 1 {
			first++
		}
	}
	if first > 60 { // a twentieth would be 10; with accumulated weights it was 117
		t.Fatalf("%d of 200 sidecars sent to the server at once", first)
	}
}

// During a release on a fleet whose sidecars reuse connections, servers in slow start got no requests: they have no open
// connections, and their budget was compared with weights that open connections had raised.
func TestServerInSlowStartGetsShareBesideOpenConnections(t *testing.T) {
	countToWarmingUp := func(penalty float64) int {
		n := 0
		for seed := range uint64(200) {
			cfg := baseConfig()
			cfg.Seed, cfg.ConnIdle, cfg.Penalties.Handshake = seed+1, 10000, penalty
			servers := testServers(30)
			g := newHarness(t, cfg, servers...)
			g.randomStart()
			sendSequentially(g, 20)
			servers[0].StartedAt = g.now
			g.handle(ServerList{Kind: ListDelta, Servers: servers[:1]})
			for range 40 {
				if sendSequentially(g, 1)[0] == 1 {
					n++
				}
				g.now += 250
			}
		}
		return n
	}
	withoutPenalty, withPenalty := countToWarmingUp(0), countToWarmingUp(0.08)
	if withPenalty < withoutPenalty*4/5 || withPenalty > withoutPenalty*5/2 {
		t.Fatalf("%d attempts at a server in slow start with a penalty for connections, %d without", withPenalty, withoutPenalty)
	}
}

// Many sidecars with skewed traffic limit the load of a server in slow start independently: together they stay below
// ColdOverloadFactor times its least capacity in each second.
func TestSlowStartBudgetHoldsForThousandSidecars(t *testing.T) {
	const sidecars, seconds = 1500, 12
	cfg := baseConfig()
	cfg.Peers, cfg.ConnIdle, cfg.Penalties.Handshake = sidecars, 10000, 0.03
	var sentToWarmingUp [seconds]float64
	total := 0.0
	random := rand.New(rand.NewPCG(3, 4))
	for n := range sidecars {
		cfg.Seed, cfg.Index = uint64(n+1), n
		rate := random.ExpFloat64() * random.ExpFloat64() // requests a second, 1 in the mean and skewed
		servers := testServers(30)
		g := newHarness(t, cfg, servers...)
		g.randomStart()
		start := g.now
		servers[0].StartedAt = start + 4000
		for restarted := false; ; {
			g.now += 1000 * random.ExpFloat64() / (rate + 1e-3)
			at := int(g.now-start) / 1000
			if at >= seconds {
				break
			}
			if at >= 4 && !restarted {
				restarted = true
				now := g.now
				g.now = start + 4000
				g.handle(ServerList{Kind: ListDelta, Servers: servers[:1]})
				g.now = now
			}
			if total++; sendSequentially(g, 1)[0] == 1 && at >= 4 {
				sentToWarmingUp[at]++
			}
		}
	}
	perServer := total / seconds / 30
	sent := 0.0
	for at := 4; at < seconds; at++ {
		least := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*float64(at-4)*1000/cfg.SlowStartTime
		// perServer is what a warm server is sent; with slack for chance
		if limit := cfg.ColdOverloadFactor*least*perServer + 2*math.Sqrt(perServer); sentToWarmingUp[at] > limit {
			t.Errorf("second %d: %.0f attempts in slow start, limit %.0f (a warm server gets %.0f)", at, sentToWarmingUp[at], limit, perServer)
		}
		sent += sentToWarmingUp[at]
	}
	if sent < perServer {
		t.Errorf("%.0f attempts in eight seconds: the server does not warm up", sent)
	}
}

// Current weights fall while servers in slow start wait for their budget. A new server that started at a fixed weight was
// above all others, at every sidecar at the same time.
func TestNewServerIsNotPickedFirstEverywhere(t *testing.T) {
	first := 0
	for seed := range uint64(200) {
		cfg := baseConfig()
		cfg.Seed = seed + 1
		g := newHarness(t, cfg, testServers(20)...)
		g.randomStart()
		sendSequentially(g, 20)
		for _, s := range g.b.servers {
			s.currentWeight -= 0.6
		}
		sendSequentially(g, 5)
		g.handle(ServerList{Kind: ListDelta, Servers: []Server{{ID: 99, Rating: 1}}})
		if sendSequentially(g, 1)[0] == 99 {
			first++
		}
	}
	if first > 30 { // a twentieth would be 10
		t.Fatalf("%d of 200 sidecars sent to the new server first", first)
	}
}

// While all servers are ejected the sum of weights is 0, and current weights became NaN: from then on the first server in
// the list got every request.
func TestRotationContinuesAfterAllWereEjected(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	for _, s := range g.b.servers {
		g.b.eject(s)
	}
	sendSequentially(g, 1)
	g.now += 60000
	used := map[ServerID]int{}
	for _, s := range sendSequentially(g, 30) {
		used[s]++
	}
	for id := ServerID(1); id <= 3; id++ {
		if s := g.b.byID[id]; math.IsNaN(s.currentWeight) || used[id] < 5 {
			t.Errorf("server %d: %d of 30 requests, current weight %v", id, used[id], s.currentWeight)
		}
	}
}

// Half of the servers failed every request of one class and served the others, whose successes cleared the errors: a fifth
// of a class without retries failed continuously. The class must use servers known to serve it, and all of them after the
// fault. The other class uses all servers throughout.
func TestFailingClassUsesServersThatServeIt(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(12)...)
	bad := func(s ServerID) bool { return s%2 == 0 }
	serve := func(class int, fails bool) (ServerID, bool) {
		g.now += 60
		id, acts := g.request(class)
		s, ok := sentTo(acts)
		if !ok {
			return 0, false
		}
		g.now += 150
		if fails && class == unsafeClass && bad(s) {
			g.endAttempt(id, 0, Failed, 40)
			return s, true
		}
		g.endAttempt(id, 0, OK, 40)
		return s, false
	}
	used := map[ServerID]bool{}
	failed := 0
	for i := range 120 {
		_, f := serve(unsafeClass, true)
		if i >= 60 && f {
			failed++
		}
		s, _ := serve(safeClass, true)
		used[s] = true
	}
	if failed > 8 { // 14 by consecutive errors alone
		t.Errorf("%d of the last 60 failed", failed)
	}
	if len(used) < 12 {
		t.Errorf("the other class used %d of 12 servers", len(used))
	}
	usedAfterRecovery := map[ServerID]bool{}
	for range 400 {
		s, _ := serve(unsafeClass, false)
		usedAfterRecovery[s] = true
	}
	if len(usedAfterRecovery) < 12 {
		t.Errorf("after the fault %d of 12 servers are used", len(usedAfterRecovery))
	}
}

// A sidecar that refused nearly all requests received no answers that could show the end of the overload, and went on
// refusing.
func TestSheddingEndsWithoutAnswers(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(6)...)
	for range 30 {
		id, acts := g.request(safeClass)
		g.now += 1200
		if hasAction(acts, Send) {
			g.endAttempt(id, 0, OK, 1200)
		}
	}
	if g.b.shedder.steadyShed < 0.5 {
		t.Fatalf("answers of four times the latency target: sheds %.2f", g.b.shedder.steadyShed)
	}
	served := 0
	for i := range 60 {
		g.now += 1000
		id, acts := g.request(safeClass)
		if hasAction(acts, Send) {
			g.endAttempt(id, 0, OK, 40)
			if i >= 30 {
				served++
			}
		}
	}
	if served < 27 {
		t.Errorf("half a minute later %d of 30 are sent", served)
	}
}

// While answers are lost but the others are fast, overdue attempts do not count as load. In overload the answers are slow
// too, and overdue attempts count.
func TestLostAnswersCauseNoShedding(t *testing.T) {
	for latency, want := range map[float64][2]int{40: {0, 20}, 900: {60, 399}} {
		g := newHarness(t, baseConfig(), testServers(12)...)
		ends := map[RequestID]float64{} // of attempts in flight
		refused := 0
		for i := range 400 {
			g.now += 40
			for id := RequestID(1); id <= g.lastID; id++ {
				end, inFlight := ends[id]
				r := g.b.requests[id]
				if inFlight && r.timerAt <= g.now {
					g.handle(TimerFired{Token: uint64(id)})
				}
				if inFlight && g.now >= end {
					delete(ends, id)
					if end == r.deadline {
						g.endAttempt(id, 0, TimedOut, end-r.arrivedAt)
					} else {
						g.endAttempt(id, 0, OK, latency)
					}
				}
			}
			id, acts := g.request(keyedCellClass)
			switch r := g.b.requests[id]; {
			case hasAction(acts, Refuse):
				refused++
			case i%3 == 0: // its answer is lost
				ends[id] = r.deadline
			default:
				ends[id] = g.now + latency
			}
		}
		if refused < want[0] || refused > want[1] {
			t.Errorf("answers of %v ms, a third lost: %d of 400 refused, want %v", latency, refused, want)
		}
	}
}

// Answers took 0.7 of the latency target and one in twenty was late, and sidecars with little traffic refused nearly all
// requests: the steady part grew as long as answers were slower than allowed. Shedding more than a few times the late part
// has no benefit.
func TestSheddingIsBoundedByLateAnswers(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(12)...)
	refused := 0
	for i := range 300 {
		g.now += 400
		id, acts := g.request(safeClass)
		if hasAction(acts, Refuse) {
			refused++
			continue
		}
		latency := 210.0
		if i%20 == 0 {
			latency = 400
		}
		g.now += latency
		g.endAttempt(id, 0, OK, latency)
	}
	if refused > 150 { // 190 without the bound
		t.Errorf("%d of 300 refused with one in twenty answers late", refused)
	}
}

// Each of a thousand sidecars used all servers in turn and kept a connection to each: the servers' tables were full and a
// third of the attempts could not connect. After connect failures a sidecar must prefer servers with an open connection.
func TestConnectFailuresPreferOpenConnections(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdle = 15000
	countUsed := func(connectFailureShare float64) int {
		g := newHarness(t, cfg, testServers(16)...)
		g.randomStart()
		sendSequentially(g, 6)
		for _, s := range g.b.servers {
			s.currentWeight = 0 // otherwise servers that were not used yet are next in turn
		}
		seen := map[ServerID]bool{}
		for range 12 {
			g.now += 20
			g.b.connectFailureShare = connectFailureShare
			id, acts := g.request(safeClass)
			if s, ok := sentTo(acts); ok {
				seen[s] = true
				g.endAttempt(id, 0, OK, 20)
			}
		}
		return len(seen)
	}
	if free, full := countUsed(0), countUsed(0.6); full > 8 || free < 10 { // 12 each without
		t.Errorf("%d servers used while connections are refused, %d otherwise", full, free)
	}
}

// After an overload sidecars with little traffic had one answer in six seconds, and refused nearly all requests for another
// half minute, because the share of late answers did not change without answers. It has to decay with the time since the
// last answer.
func TestLateShareDecaysWithTime(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(12)...)
	g.b.shedder.steadyShed, g.b.traffic.latency.lateShare, g.b.traffic.latency.meanRatio, g.b.traffic.latency.lastAnswerAt =
		0.95, 0.6, 0.55, g.now
	refused := 0
	for range 20 {
		g.now += 1000
		id, acts := g.request(safeClass)
		if hasAction(acts, Refuse) {
			refused++
		} else {
			g.now += 165 // about the allowed latency
			g.endAttempt(id, 0, OK, 165)
		}
	}
	if refused > 10 { // 17 before
		t.Errorf("%d of 20 refused after the overload", refused)
	}
}

// Clients retried rejected requests at once, with 4.5 attempts per request. As no attempt ended late, the bound by late
// answers kept shedding low and the retry storm continued. A rejection must count as slower than any answer.
func TestRetryStormOfRejectionsIsShed(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(12)...)
	refused := 0 // before any attempt
	for i := range 120 {
		g.now += 300
		id, acts := g.request(safeClass)
		if hasAction(acts, Refuse) {
			refused++
			continue
		}
		for try := 0; g.b.requests[id] != nil && try < len(g.b.requests[id].attempts); try++ {
			g.now += 10
			res, took := Rejected, 1.0
			if i%5 == 0 {
				res, took = OK, 250
			}
			g.endAttempt(id, try, res, took)
		}
	}
	if refused < 30 { // 0 before
		t.Errorf("%d of 120 refused while four fifths of the attempts are rejected", refused)
	}
}

// A single connect failure is no sign of a restart. If it were, servers would be in slow start without need and requests
// would wait for their budgets.
func TestSingleConnectFailureIsNoRestart(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	for range 50 {
		id, acts := g.request(safeClass)
		if s, _ := sentTo(acts); g.b.byID[s].connectFailures == 0 {
			again, _ := sentTo(g.endAttempt(id, 0, ConnectFailed, 1))
			if again == 0 || again == s {
				t.Fatalf("attempt at %d was retried at %d", s, again)
			}
			g.endAttempt(id, 1, OK, 10)
		} else {
			g.endAttempt(id, 0, OK, 10)
		}
		g.now += 20
	}
	for _, s := range g.b.servers {
		if g.b.warmingUp(s) {
			t.Errorf("server %d is in slow start", s.ID)
		}
	}
}

// Connection resets are no sign of load: an idempotent request is retried after them, up to maxResetRetries times.
func TestResetAttemptsAreRetried(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(8)...)
	id, acts := g.request(safeClass)
	if !hasAction(acts, Send) {
		t.Fatalf("first attempt: %v", acts)
	}
	for i := range maxResetRetries {
		if acts = g.endAttempt(id, i, Reset, 1); !hasAction(acts, Send) {
			t.Fatalf("after %d resets: %v", i+1, acts)
		}
	}
	if acts = g.endAttempt(id, maxResetRetries, Reset, 1); hasAction(acts, Send) {
		t.Errorf("after %d resets: %v", maxResetRetries+1, acts)
	}
}

// The client determines how long the body of an upload takes. Until its last byte is sent, the time counts neither as
// latency of the server nor as load; after that the deadline and the load count.
func TestUploadsCountFromTheirLastByte(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	g.lastID++
	id := g.lastID
	acts := g.handle(Request{ID: id, Class: safeClass, Remaining: 1500, Upload: true})
	at, ok := sentTo(acts)
	if !ok || hasAction(acts, SetTimer) {
		t.Fatalf("an upload: %v", acts)
	}
	g.now += 60000
	if s := g.b.byID[at]; s.consecutiveErrors > 0 || g.b.openLoad() != 0 {
		t.Errorf("after a minute the server has %d errors and %v load", s.consecutiveErrors, g.b.openLoad())
	}
	if acts := g.handle(UploadComplete{Request: id}); !hasAction(acts, SetTimer) || g.b.openLoad() <= 0 {
		t.Errorf("after the last byte: %v, load %v", acts, g.b.openLoad())
	}
	g.handle(UploadComplete{Request: id}) // a second event has no effect
	g.now += 1499
	if acts := g.handle(TimerFired{Token: uint64(id)}); hasAction(acts, Fail) || hasAction(acts, Refuse) {
		t.Errorf("ended before its deadline: %v", acts)
	}
	g.now++
	if acts := g.handle(TimerFired{Token: uint64(id)}); !hasAction(acts, Refuse) {
		t.Errorf("at its deadline: %v", acts)
	}
	g.endAttempt(id, 0, Cancelled, 1500)
	if load := g.b.openLoad() + g.b.shedder.lostLoad; load > 1e-9 || load < -1e-9 {
		t.Errorf("load %v after the end", load)
	}
}

// A request whose body was consumed by an attempt can't be retried, whatever its class.
func TestConsumedBodiesAreNotRetried(t *testing.T) {
	for class, want := range map[int]ActionKind{safeClass: Refuse, unsafeClass: Refuse, keyedCellClass: Refuse} {
		g := newHarness(t, baseConfig(), testServers(4)...)
		g.lastID++
		id := g.lastID
		at, _ := sentTo(g.handle(Request{ID: id, Class: class, Remaining: 500, Upload: true}))
		acts := g.handle(Outcome{Request: id, Server: at, Result: ConnectFailed, BodyConsumed: true})
		if _, again := sentTo(acts); again || !hasAction(acts, want) {
			t.Errorf("class %d: %v", class, acts)
		}
		if load := g.b.openLoad(); load != 0 {
			t.Errorf("class %d: load %v after the end", class, load)
		}
	}
	g := newHarness(t, baseConfig(), testServers(4)...)
	g.lastID++
	at, _ := sentTo(g.handle(Request{ID: g.lastID, Class: unsafeClass, Remaining: 500, Upload: true}))
	g.handle(UploadComplete{Request: g.lastID})
	if acts := g.handle(Outcome{Request: g.lastID, Server: at, Result: Reset, BodyConsumed: true}); !hasAction(acts, Fail) {
		t.Errorf("a request that may have been executed: %v", acts)
	}
}
