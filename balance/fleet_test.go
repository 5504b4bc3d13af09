package balance

import "testing"

// limitedDiscovery simulates a discovery service of limited capacity in virtual time. All pending calls share the
// capacity equally; a call that is pending for longer than the time-out fails, as with status 503.
type limitedDiscovery struct {
	callsPerSecond float64 // capacity
	timeoutMillis  float64 // ms
	pending        []*pendingCall
}

type pendingCall struct {
	sidecar          int
	since, completed float64 // completed: the part of its work that is done
}

// advance simulates the passing of time and returns the sidecars whose calls are answered and those whose calls fail.
func (c *limitedDiscovery) advance(now, ms float64) (answered, failed []int) {
	pending, completedPerCall := c.pending[:0], c.callsPerSecond*ms/1000/max(1, float64(len(c.pending)))
	for _, w := range c.pending {
		w.completed += completedPerCall
		switch {
		case w.completed >= 1:
			answered = append(answered, w.sidecar)
		case now-w.since >= c.timeoutMillis:
			failed = append(failed, w.sidecar)
		default:
			pending = append(pending, w)
		}
	}
	c.pending = pending
	return answered, failed
}

// All watches of a fleet end at once, or all sidecars start at once, while discovery has little capacity. With the same
// capacity half of a fleet once received no updates any more. Every sidecar must receive the list, most of them soon.
func TestFleetReceivesListFromOverloadedDiscovery(t *testing.T) {
	const sidecars, stepMS, lengthMS = 80, 10.0, 40000.0
	for name, starting := range map[string]bool{"watches end": false, "sidecars start": true} {
		t.Run(name, func(t *testing.T) {
			discovery := &limitedDiscovery{callsPerSecond: 13, timeoutMillis: 2000}
			var all [sidecars]*harness
			calls, due, receivedAt := make([]int, lengthMS/1000), [sidecars]float64{}, [sidecars]float64{}
			for n := range all {
				cfg := baseConfig()
				cfg.Seed, cfg.Index, cfg.Peers, cfg.Subscribe = uint64(n+1), n, sidecars, true
				all[n] = newHarness(t, cfg, testServers(3)...)
				due[n] = max(all[n].actions[0].At, stepMS)
				if !starting {
					due[n] = all[n].handle(ServerList{Kind: ListFailed})[0].At
				}
			}
			for now := 0.0; now < lengthMS; now += stepMS {
				for n, g := range all {
					if g.now = 1000 + now; due[n] > 0 && now >= due[n] {
						due[n] = 0
						if !hasAction(g.handle(TimerFired{Token: listTimer}), Subscribe) {
							t.Fatal("no list request")
						}
						calls[int(now/1000)]++
						discovery.pending = append(discovery.pending, &pendingCall{sidecar: n, since: now})
					}
				}
				answered, failed := discovery.advance(now, stepMS)
				for _, n := range failed {
					due[n] = now + all[n].handle(ServerList{Kind: ListFailed})[0].At
				}
				for _, n := range answered {
					all[n].handle(ServerList{Kind: ListFull, Servers: testServers(3)})
					receivedAt[n] = now
				}
			}
			receivedSoon, receivedEver := 0, 0
			for _, at := range receivedAt {
				if at > 0 {
					receivedEver++
				}
				if at > 0 && at < 15000 {
					receivedSoon++
				}
			}
			if receivedSoon < sidecars*3/4 || receivedEver < sidecars {
				t.Errorf("of %d sidecars %d have the list within 15 s and %d within 40 s; calls by second: %v",
					sidecars, receivedSoon, receivedEver, calls)
			}
		})
	}
}

// A connection that carries a request can't be reused for the next one. Counted as open, busy connections attracted
// request after request to hung servers, each on a new connection, while other servers had idle ones.
func TestBusyConnectionIsNotReused(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdle, cfg.Penalties.Handshake, cfg.StreamsPerConn = 10000, 0.1, 1
	g := newHarness(t, cfg, testServers(20)...)
	sendSequentially(g, 2) // opens connections to two servers, or one
	open := map[ServerID]bool{}
	for _, s := range g.b.servers {
		open[s.ID] = g.b.connectionReusable(s)
	}
	busy := ServerID(0)
	for range 4 {
		id, acts := g.request(safeClass)
		s, ok := sentTo(acts)
		if !ok || s == busy {
			t.Fatalf("request %d went to server %d, whose connection is busy: %+v", id, s, acts)
		}
		if g.b.connectionReusable(g.b.byID[s]) {
			t.Errorf("the busy connection to server %d counts as reusable", s)
		}
		if busy = s; open[s] {
			g.endAttempt(id, 0, OK, 10)
			busy = 0
			if !g.b.connectionReusable(g.b.byID[s]) {
				t.Errorf("the connection to server %d does not count as reusable after its answer", s)
			}
		}
		g.now++
	}
	id, acts := g.request(safeClass)
	s, _ := sentTo(acts)
	g.endAttempt(id, 0, TimedOut, 100) // closes the connection
	if g.b.connectionReusable(g.b.byID[s]) {
		t.Errorf("the connection to server %d counts as reusable after a time-out", s)
	}
}
