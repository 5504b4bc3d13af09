package balance

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// The policy keeps the rules that simulation checks also with settings that the first deployments do not use.
func TestUncommonSettingsKeepRules(t *testing.T) {
	for name, change := range map[string]func(*Config, *int){
		"one server":  func(_ *Config, n *int) { *n = 1 },
		"hundreds":    func(_ *Config, n *int) { *n = 300 },
		"one attempt": func(c *Config, _ *int) { c.MaxAttempts = 1 },
		"no cancels":  func(c *Config, _ *int) { c.Cancel, c.ParallelAttempts = false, false },
		"streams":     func(c *Config, _ *int) { c.Classes[safeClass].Stream = true },
		"tenants":     func(c *Config, _ *int) { c.Tenants = []Tenant{{Share: 0.9}, {Share: 0.1}, {}} },
		"no slow start": func(c *Config, _ *int) {
			c.SlowStartTime, c.ColdOverloadTime, c.ColdOverloadFactor, c.SlowStartInitialFraction = 0, 0, 0, 0
		},
		"probes, no penalty":   func(c *Config, _ *int) { c.Probes, c.Reports, c.Fields = true, ReportProbe, []Field{FieldInFlight} },
		"probes, high penalty": func(c *Config, _ *int) { c.Probes, c.Reports, c.Penalties.Probe = true, ReportProbe, 10 },
		"probes, no field":     func(c *Config, _ *int) { c.Probes, c.Reports, c.Fields = true, ReportProbe, []Field{FieldUnknown} },
		"piggyback":            func(c *Config, _ *int) { c.Reports, c.Fields = ReportPiggyback, []Field{FieldUtil, FieldRate} },
		"targets of zero":      func(c *Config, _ *int) { c.Classes[safeClass].LatencyTarget, c.Classes[unsafeClass].Value = 0, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg, n := baseConfig(), 6
			change(&cfg, &n)
			w := newSimulation(t, rand.New(rand.NewSource(7)), cfg)
			list := testServers(n)
			for i := range list {
				w.servers[list[i].ID], w.sendable[list[i].ID] = &list[i], true
			}
			w.handle(ServerList{Kind: ListFull, Servers: list})
			sent := 0
			for id := RequestID(1); id <= 400; id++ {
				w.now += 9
				w.fireTimers()
				class := int(id) % len(cfg.Classes)
				w.requests[id] = &simulatedRequest{class: class, deadline: w.now + 300}
				w.handle(Request{ID: id, Class: class, Tenant: int(id) % 5, Remaining: 300})
				for len(w.probes) > 0 {
					s := w.probes[0]
					w.probes = w.probes[1:]
					w.handle(ProbeResult{Server: s, Report: []float32{1}})
				}
				sent += len(w.requests[id].attempts)
				if id > 2 {
					w.completeAttempts(id - 2)
				}
			}
			for w.now += 1000; w.anyUnanswered() && len(w.timers) > 0; w.now += 1000 {
				w.fireTimers()
			}
			if w.anyUnanswered() || sent < 300 {
				t.Fatalf("unanswered requests: %v; %d of 400 sent", w.anyUnanswered(), sent)
			}
		})
	}
}

// completeAttempts answers the attempts in flight of a request.
func (w *simulation) completeAttempts(id RequestID) {
	o := w.requests[id]
	for i := range o.attempts {
		if a := &o.attempts[i]; a.inFlight {
			a.inFlight, o.answered = false, true
			w.handle(Outcome{Request: id, Attempt: i, Server: a.server.ID, Latency: w.now - a.sentAt, Finished: true})
		}
	}
}

// The state of ended requests, of servers that are gone and of waits for probes is removed.
func TestMemoryIsBounded(t *testing.T) {
	g := newHarness(t, probeConfig(), testServers(5)...)
	for i := range 20000 {
		g.actions = g.actions[:0]
		g.now += 5
		id, acts := g.request(safeClass)
		acts = append(acts, g.answerProbes(acts, 0, nil)...)
		if _, ok := sentTo(acts); ok {
			g.endAttempt(id, 0, OK, 5)
		}
		if i%20 == 0 { // a rolling update with new server IDs
			list := testServers(5)
			for k := range list {
				list[k].ID = ServerID(i + k + 1)
			}
			g.handle(ServerList{Kind: ListFull, Servers: list})
		}
	}
	b := g.b
	if len(b.requests) > 1 || len(b.servers) != 5 || len(b.byID) != 5 || len(b.probing.waiting) > 1 || cap(b.actions) > 100 {
		t.Fatalf("%d requests, %d servers, %d by ID, %d waiting, capacity for %d actions",
			len(b.requests), len(b.servers), len(b.byID), len(b.probing.waiting), cap(b.actions))
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{12, 100, 300} {
		b.Run(fmt.Sprintf("%d-servers", n), func(b *testing.B) {
			bal := New(baseConfig())
			bal.Start(0)
			if _, err := bal.Handle(0, ServerList{Kind: ListFull, Servers: testServers(n)}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			now := 0.0
			for i := range b.N {
				now += 5
				id := RequestID(i + 1)
				acts, err := bal.Handle(now, Request{ID: id, Remaining: 1500})
				if err != nil || len(acts) == 0 {
					b.Fatal(err, acts)
				}
				if acts[0].Kind != Send {
					continue
				}
				if _, err := bal.Handle(now+4, Outcome{Request: id, Server: acts[0].Server, Latency: 4, Finished: true}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// When many sidecars start together, their first picks and their retries of list requests must differ by seed.
// Otherwise all of them would load one server, and the discovery service, at the same time.
func TestSimultaneousSidecarsSpreadPicksAndListRequests(t *testing.T) {
	cfg := baseConfig()
	cfg.Peers, cfg.Subscribe = 1500, true
	first, pauses := map[ServerID]int{}, map[float64]bool{}
	for n := range 300 {
		cfg.Seed, cfg.Index = uint64(n+1), n
		g := newHarness(t, cfg, testServers(30)...)
		g.randomStart()
		first[sendSequentially(g, 1)[0]]++
		pauses[math.Round(g.handle(ServerList{Kind: ListFailed})[0].At/10)] = true
	}
	for id, n := range first {
		if n > 30 { // a thirtieth would be 10
			t.Errorf("%d of 300 sidecars pick server %d first", n, id)
		}
	}
	if len(first) < 25 || len(pauses) < 15 {
		t.Errorf("%d first servers, %d pauses of 10 ms", len(first), len(pauses))
	}
}

// A sidecar's index beyond the number of sidecars, or an invalid number, has no effect.
func TestInvalidSidecarCountsAreIgnored(t *testing.T) {
	for _, c := range [][2]int{{0, 0}, {7, 3}, {-1, 1}, {5, -2}} {
		cfg := baseConfig()
		cfg.Index, cfg.Peers = c[0], c[1]
		if got := sendSequentially(newHarness(t, cfg, testServers(3)...), 6); len(got) != 6 {
			t.Errorf("index %d of %d: %v", c[0], c[1], got)
		}
	}
}

// The policy does not use peer messages: truncated or unknown ones have no effect.
func TestPeerMessagesAreIgnored(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	for _, data := range [][]byte{nil, {0}, {0xff, 0xff, 0xff}, make([]byte, 256)} {
		if acts := g.handle(PeerMessage{From: -1, Data: data}); len(acts) > 0 {
			t.Errorf("%v: %+v", data, acts)
		}
	}
}

// One zone accepts requests and does not answer them. After some overdue attempts even a sidecar with one request per
// second must send most of them to other zones, in spite of its open connections to the hung one.
func TestLowTrafficSidecarLeavesHungZone(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdle, cfg.Penalties.Handshake, cfg.Penalties.CrossZone = 15000, 0.08, 0.03
	g := newHarness(t, cfg, testServers(16)...) // four zones; this sidecar is in the first
	g.randomStart()
	sendSequentially(g, 30)
	hung := 0
	for i := range 40 {
		g.now += 1000
		id, acts := g.request(safeClass)
		s, ok := sentTo(acts)
		if !ok {
			t.Fatalf("request %d was not sent", i)
		}
		if s > 4 {
			g.endAttempt(id, 0, OK, 30)
			continue
		}
		if i >= 20 {
			hung++
		}
		end := g.now + 900
		for r := g.b.requests[id]; r.timerAt < end; {
			g.now = r.timerAt
			g.handle(TimerFired{Token: uint64(id)})
		}
		g.now = end
		acts = g.endAttempt(id, 0, TimedOut, 900)
		if _, again := sentTo(acts); again {
			g.endAttempt(id, 1, OK, 30)
		}
	}
	if hung > 4 { // 7 if errors are not counted, 20 if sizes are not learned from them either
		t.Errorf("%d of the last 20 requests went to the hung zone", hung)
	}
}
