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

// probes answers the probes of acts: servers in dark give no answer, the others hold n requests.
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

// Links were cut and most probes lost, and the servers next in turn, which nobody could use,
// were probed again for every request.
func TestUnreachableServersAreEjectedAndReturn(t *testing.T) {
	g := newHarness(t, probeConfig(), testServers(3)...)
	unreachable := map[ServerID]bool{1: true, 2: true}
	for i := range 4 {
		id, acts := g.request(safeClass)
		if probed := len(acts) - 1; i > 0 && probed > 1 {
			t.Fatalf("request %d: %d servers probed though two are out of reach", id, probed)
		}
		if s, ok := sentTo(g.answerProbes(acts, 0, unreachable)); !ok || s != 3 {
			t.Fatalf("request %d went to %d", id, s)
		}
		g.endAttempt(id, 0, OK, 10)
	}
	g.now += 10000 // their rest is over and they answer again
	used := map[ServerID]bool{}
	for range 6 {
		id, acts := g.request(safeClass)
		s, _ := sentTo(g.answerProbes(acts, 0, nil))
		used[s] = true
		g.endAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("used %v after they came back", used)
	}
}

// A sidecar with little traffic cannot know from its own requests what others fill.
func TestServerWithProbedQueueIsPassedOver(t *testing.T) {
	g := newHarness(t, probeConfig(), testServers(3)...)
	g.b.servers[0].currentWeight = 1000 // its turn
	id, acts := g.request(safeClass)
	if hasAction(acts, Send) {
		t.Fatal("sent before the probes were answered")
	}
	g.handle(ProbeResult{Server: 1, Report: []float32{5}})
	g.handle(ProbeResult{Server: 2, Report: []float32{0}})
	if s, ok := sentTo(g.handle(ProbeResult{Server: 3, Report: []float32{4}})); !ok || s != 2 {
		t.Fatalf("request %d went to %d, want the empty server", id, s)
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

// A hung server is passed over at once, for what it holds, and rested after several strikes;
// what is stuck there must not look like overload of the whole fleet.
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

// due returns the timers of open requests that have come.
func (g *harness) dueTimers() []TimerFired {
	var list []TimerFired
	for id := RequestID(1); id <= g.lastID; id++ {
		if r := g.b.requests[id]; r != nil && r.timerAt <= g.now && !r.answered {
			list = append(list, TimerFired{Token: uint64(id)})
		}
	}
	return list
}

// In overload every queue filled and all answers came late. What cannot be answered in time is
// refused before it is sent, least worth first.
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
		t.Fatalf("refused %d of low worth and %d of high worth", refused[safeClass], refused[unsafeClass])
	}
}

// In a congested fleet all answers are late, and that is no server's fault: once the class is
// known to take long, an attempt of 430 ms with an aim of 300 is no error.
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
			t.Fatalf("attempt %d of %v ms is held to be overdue after %v", i, latencies[i%3], g.b.requests[id].overdueAfter())
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
		t.Fatal("nothing looks at the attempt before its deadline")
	}
	if g.handle(TimerFired{Token: uint64(id)}); !r.attempts[0].overdue || r.attempts[0].server.consecutiveErrors != 1 {
		t.Fatal("an attempt far beyond all others is no error")
	}
}

// A sidecar of a request a second judged the load by what it had in flight at that moment, and refused by
// chance on quiet days. Answers that come quickly are to tell that there is no jam, late ones that there is.
func TestLowTrafficSidecarShedsByRecentLatency(t *testing.T) {
	for latency, want := range map[float64][2]int{60: {0, 2}, 900: {20, 199}} {
		g := newHarness(t, baseConfig(), testServers(12)...)
		refused := 0
		for range 100 {
			g.now += 50
			id, acts := g.request(safeClass)
			second, secondActs := g.request(safeClass) // two at once now and then
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

// What hangs at a resting server is that server's trouble and must not shed load.
func TestEjectedServersDoNotCountAsLoad(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	g.b.servers[0].load, g.b.servers[1].load = 5, 1
	if load := g.b.openLoad(); load != 6 {
		t.Fatalf("load %v before the rest", load)
	}
	g.b.eject(g.b.servers[0])
	if load := g.b.openLoad(); load != 1 {
		t.Fatalf("load %v during the rest", load)
	}
}

// crowd sets the lasting part to shed and fills the fleet so that answers take the given part of the
// aim longer than they may.
func (g *harness) setLoad(steady, excess float64) {
	allowed := g.b.traffic.latency.bestRatio + queueAllowance*(1-g.b.traffic.latency.bestRatio)
	g.b.shedder.steadyShed, g.b.traffic.latency.lateShare = steady, 1
	g.b.servers[0].load += (allowed+excess)*g.b.traffic.rate.perMillis(g.b.now, assumedAnswers) - g.b.openLoad()
}

// shedding brings 4000 requests, drawn from turns of (class, tenant), of which 0.4 of the work is to be shed,
// and returns the part refused of each class and of each tenant.
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

// Busy sidecars let queues grow for seconds before enough was shed, and crowded servers
// stayed slow. What is shed follows the load at once, between nothing and twice the lasting part; a
// sidecar that has not shed lately refuses nothing, as its few requests may crowd by chance.
func TestSheddingFollowsLoadAtOnce(t *testing.T) {
	for _, c := range []struct {
		steady, excess         float64 // over: of the aim, beyond what answers may take
		minRefused, maxRefused float64 // part refused
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

// Of two tenants with equal shares the one that asks three times as much loses what is beyond its
// share; when both ask for the same they lose the same.
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

// A restarted server starts afresh: nothing of its rests, nor that it was dark, is left.
func TestRestartClearsErrorsOfServer(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	s := g.b.servers[0]
	g.handle(ProbeResult{Server: s.ID, Result: TimedOut})
	if !s.probeUnanswered || !s.isEjected(g.b.now) {
		t.Fatal("a probe without answer does not rest the server")
	}
	entry := s.Server
	entry.StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	if s.probeUnanswered || s.ejections != 0 || s.isEjected(g.b.now) {
		t.Fatalf("after the restart: dark %v, rests %d", s.probeUnanswered, s.ejections)
	}
}

// Twice as fast a server is found to be larger, and its kind with it.
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

// Half the fleet was gone and clients' later tries, too late to be worth anything, took what was
// left of it.
func TestLateRetriesAreShedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[safeClass].LateValue = 0.3
	for _, c := range []struct {
		shed, remaining float64
		refused         bool
	}{
		{0.5, 1000, true},   // 500 ms gone, the aim of 300 has passed
		{0.2, 1000, false},  // the load to shed is less than what a late answer is worth
		{0.5, 1300, false},  // 200 ms gone, it can still be in time
		{0.99, 1500, false}, // a first try
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

// A server that leaves several attempts unanswered is rested, and used again after an answer.
func TestConsecutiveErrorsEjectServer(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	s := g.b.servers[0]
	for range ejectAfterErrors - 1 {
		g.b.recordError(s, false)
	}
	if s.isEjected(g.b.now) {
		t.Fatal("rested before the last strike")
	}
	g.b.recordError(s, false)
	if !s.isEjected(g.b.now) {
		t.Fatal("not rested after the last strike")
	}
	for range 12 {
		id, acts := g.request(safeClass)
		if to, _ := sentTo(acts); to == s.ID {
			t.Fatal("a resting server got a request")
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
	t.Fatal("the server was not tried after its rest")
}

// When all servers rest the cause is hardly theirs.
func TestEjectedServersAreUsedWhenAllAreEjected(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	for _, s := range g.b.servers {
		g.b.recordError(s, true)
	}
	if _, acts := g.request(safeClass); !hasAction(acts, Send) {
		t.Fatalf("nothing was sent: %+v", acts)
	}
}

// Probes cost: in quiet hours a few find an idle server, in busy ones all are asked.
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

// Where crossing zones has a price, the own zone gets more, and others still take their part.
func TestOwnZoneIsPreferredWhenCrossingCosts(t *testing.T) {
	for penalty, least := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Penalties.CrossZone, cfg.Zone = penalty, 1
		g := newHarness(t, cfg, testServers(8)...)
		inOwnZone := 0
		for _, s := range sendSequentially(g, 40) {
			if s > 4 {
				inOwnZone++
			}
		}
		if inOwnZone < least || inOwnZone > 38 || penalty == 0 && inOwnZone != 20 {
			t.Errorf("price %v: %d of 40 in the own zone", penalty, inOwnZone)
		}
	}
}

// Traffic grew sevenfold within seconds on an enlarged fleet; answers stayed fast, but the attempts
// in flight were set against the rate of answers of some time before, and half was refused.
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

// Sidecars of a request a second learned sizes by answers, fifty times slower than busy ones: at full size
// slow servers kept more than they could do all day. Ten seconds must tell fast kinds from slow ones.
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
			t.Errorf("a request each %v ms: kinds twice as fast count as %.2f of slow ones", gap, fast/slow)
		}
	}
}

// A report that comes with an answer tells of one server only: it made that one the only known server, and
// all others were passed over for it.
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

// With a thousand sidecars each sees a request a second: what probed servers hold is all it knows of
// overload. If the best of them would answer too late the request is refused before any send; if not
// it is sent, and never to a server that was not probed, of which nothing is known.
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
			t.Fatalf("request %d, probed servers hold %.0f: %+v", id, pending, after)
		}
		if s, ok := sentTo(after); len(probed) == 12 || ok && !probed[s] {
			t.Fatalf("sent to %d, which was not probed (%d were)", s, len(probed))
		}
	}
}

// Zones with more traffic than servers were overloaded for the sake of a price of half a point.
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

// A sidecar with few requests used only the servers of the largest rating: running values started
// within one weight of each other, so that the others waited for many turns. From the first send on,
// sidecars together must follow the weights, also while open connections change them.
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
			t.Errorf("of %d sends each, %.2f went to the servers of double size, want about 0.67", sends, fraction)
		}
	}
}

// A new connection for each request costs a price and fills the servers' tables. Servers with an
// open one are used again while they answer; without a price the rotation is even.
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
			t.Errorf("price %v: %d servers used by 20 requests", penalty, len(used))
		}
	}
	cfg := baseConfig()
	cfg.ConnIdle, cfg.Penalties.Handshake = 10000, 0.08
	g := newHarness(t, cfg, testServers(4)...)
	s := g.b.servers[0]
	basePreference := g.b.preference(s)
	s.lastSentAt = g.now
	if g.b.preference(s) < 10*basePreference {
		t.Error("an open connection counts for nothing")
	}
	s.consecutiveErrors, s.lastErrorAt = 1, math.Inf(-1)
	if g.b.preference(s) != basePreference {
		t.Error("a server that just failed is favoured")
	}
	s.consecutiveErrors = 0
	if g.b.now += cfg.ConnIdle; g.b.preference(s) != basePreference {
		t.Error("a closed connection is favoured")
	}
}

// A cold server could not be sent anything until it was warm; its turns were saved up at all sidecars,
// which met there when its warm-up ended.
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
		for g.now < servers[0].StartedAt+cfg.SlowStartTime-1000 { // hardly any budget for a cold server
			sendSequentially(g, 1)
			g.now += 1000
		}
		g.now = servers[0].StartedAt + cfg.SlowStartTime
		if sendSequentially(g, 1)[0] == 1 {
			first++
		}
	}
	if first > 60 { // a twentieth would be 10; with the turns saved up it was 117
		t.Fatalf("%d of 200 sidecars sent to the server at once", first)
	}
}

// In a release on a fleet of sidecars that use open connections again cold servers got nothing: they
// have no connections, and the budget was set against weights that open connections had raised.
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
		t.Fatalf("%d sends to a cold server where connections cost, %d where not", withPenalty, withoutPenalty)
	}
}

// Many sidecars with skewed traffic keep the fourth rule alone: together they stay under the multiple
// of the least that the cold server can do in each window.
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
			t.Errorf("second %d: %.0f sends to the cold server, limit %.0f (a warm one gets %.0f)", at, sentToWarmingUp[at], limit, perServer)
		}
		sent += sentToWarmingUp[at]
	}
	if sent < perServer {
		t.Errorf("%.0f sends in eight seconds: the server does not warm up", sent)
	}
}

// The running values of a rotation sink while cold servers wait for their budget, and a server that
// started under a fixed level was above all others, at every sidecar at once.
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

// Where all servers rest the sum of weights is 0, and running values in turns became no numbers: from
// then on the first server in the list got every request.
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
			t.Errorf("server %d: %d of 30 requests, running value %v", id, used[id], s.currentWeight)
		}
	}
}

// Half of the servers failed every request of one class and served the others, whose successes cleared the
// errors: a fifth of a class that must not be repeated failed all the time. It has to keep to servers known
// to serve it; the other class goes on using all of them, and the class comes back when the trouble ends.
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
		t.Errorf("after the trouble %d of 12 servers are used", len(usedAfterRecovery))
	}
}

// A sidecar that refused nearly all had no answers any more that could tell it that the jam was over, and
// went on refusing for the rest of the day.
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
		t.Fatalf("answers of four aims: sheds %.2f", g.b.shedder.steadyShed)
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

// Where answers get lost, overdue attempts are no load: the answers that come are quick. In a jam the
// answers are late as well, and overdue attempts count.
func TestLostAnswersCauseNoShedding(t *testing.T) {
	for latency, want := range map[float64][2]int{40: {0, 20}, 900: {60, 399}} {
		g := newHarness(t, baseConfig(), testServers(12)...)
		ends := map[RequestID]float64{} // of what is out
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

// Answers took 0.7 of the aim, one in twenty late, and small sidecars refused nearly all: shedding wound up
// as long as answers were slower than its target. More than a few times the late part can win nothing.
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

// Each of a thousand sidecars went round all servers and kept a connection to each: tables were full and a
// third of the attempts got none. While connections are refused it keeps to servers with an open one.
func TestConnectFailuresPreferOpenConnections(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdle = 15000
	countUsed := func(connectFailureShare float64) int {
		g := newHarness(t, cfg, testServers(16)...)
		g.randomStart()
		sendSequentially(g, 6)
		for _, s := range g.b.servers {
			s.currentWeight = 0 // else those not met yet come first, by their turn
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
		t.Errorf("%d servers used while connections are refused, %d else", full, free)
	}
}

// After a jam small sidecars had an answer in six seconds, some late at first, and refused nearly all for half
// a minute more: the part of late answers stood still. It is forgotten with the time since the last answer.
func TestLateShareDecaysWithTime(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(12)...)
	g.b.shedder.steadyShed, g.b.traffic.latency.lateShare, g.b.traffic.latency.meanRatio, g.b.traffic.latency.lastAnswerAt = 0.95, 0.6, 0.55, g.now
	refused := 0
	for range 20 {
		g.now += 1000
		id, acts := g.request(safeClass)
		if hasAction(acts, Refuse) {
			refused++
		} else {
			g.now += 165 // about as slow as the target
			g.endAttempt(id, 0, OK, 165)
		}
	}
	if refused > 10 { // 17 before
		t.Errorf("%d of 20 refused after the jam", refused)
	}
}

// Clients repeated at once what had been turned away as full, 4.5 attempts a request; as nothing that ended
// was late, the bound kept shedding low and the storm went on. What is turned away is slower than any answer.
func TestRetryStormOfRejectionsIsShed(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(12)...)
	refused := 0 // before anything is sent
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
		t.Errorf("%d of 120 refused while four fifths of attempts are turned away", refused)
	}
}

// Where single connections fail the servers are there all the while: they are not held to come back cold, or
// requests wait for budgets that nobody needs.
func TestSingleConnectFailureIsNoRestart(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	for range 50 {
		id, acts := g.request(safeClass)
		if s, _ := sentTo(acts); g.b.byID[s].connectFailures == 0 {
			again, _ := sentTo(g.endAttempt(id, 0, ConnectFailed, 1))
			if again == 0 || again == s {
				t.Fatalf("re-routed from %d to %d", s, again)
			}
			g.endAttempt(id, 1, OK, 10)
		} else {
			g.endAttempt(id, 0, OK, 10)
		}
		g.now += 20
	}
	for _, s := range g.b.servers {
		if g.b.warmingUp(s) {
			t.Errorf("server %d is held to be cold", s.ID)
		}
	}
}

// Connections that are reset tell of no load: a request that may be repeated is sent on until one holds.
func TestResetAttemptsAreRetried(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(8)...)
	id, acts := g.request(safeClass)
	if !hasAction(acts, Send) {
		t.Fatalf("at first: %v", acts)
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

// The body of an upload takes as long as its client likes: until its last byte is out neither the server nor the load is to
// blame for the time, and from then on its time counts.
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
		t.Errorf("when it is out: %v, load %v", acts, g.b.openLoad())
	}
	g.handle(UploadComplete{Request: id}) // a second time counts nothing twice
	g.now += 1499
	if acts := g.handle(TimerFired{Token: uint64(id)}); hasAction(acts, Fail) || hasAction(acts, Refuse) {
		t.Errorf("given up before its time: %v", acts)
	}
	g.now++
	if acts := g.handle(TimerFired{Token: uint64(id)}); !hasAction(acts, Refuse) {
		t.Errorf("at its deadline: %v", acts)
	}
	g.endAttempt(id, 0, Cancelled, 1500)
	if load := g.b.openLoad() + g.b.shedder.lostLoad; load > 1e-9 || load < -1e-9 {
		t.Errorf("load %v is left over", load)
	}
}

// What has gone with an attempt cannot be sent again, by any class.
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
			t.Errorf("class %d: load %v is left over", class, load)
		}
	}
	g := newHarness(t, baseConfig(), testServers(4)...)
	g.lastID++
	at, _ := sentTo(g.handle(Request{ID: g.lastID, Class: unsafeClass, Remaining: 500, Upload: true}))
	g.handle(UploadComplete{Request: g.lastID})
	if acts := g.handle(Outcome{Request: g.lastID, Server: at, Result: Reset, BodyConsumed: true}); !hasAction(acts, Fail) {
		t.Errorf("one that may have run: %v", acts)
	}
}
