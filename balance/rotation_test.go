package balance

import (
	"math"
	"testing"
)

// sendSequentially sends n safe requests, each answered before the next, and returns their servers.
func sendSequentially(g *harness, n int) []ServerID {
	var ids []ServerID
	for range n {
		id, acts := g.request(safeClass)
		s, ok := sentTo(acts)
		if !ok {
			g.t.Fatal("nothing was sent")
		}
		ids = append(ids, s)
		g.b.requests[id].stats.count = 0 // these answers must not change the learned sizes
		g.endAttempt(id, 0, OK, 10)
	}
	return ids
}

func TestRotationFollowsWeights(t *testing.T) {
	servers := testServers(3)
	servers[0].Rating = 5
	got := sendSequentially(newHarness(t, baseConfig(), servers...), 7)
	want := []ServerID{1, 1, 2, 1, 3, 1, 1}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("sequence %v, want %v", got, want)
		}
	}
}

func TestHealthFallsDecaysAndHasMinimum(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	s := g.b.servers[0]
	if m := s.health(g.b.now); m != 1 {
		t.Fatalf("health without errors is %v", m)
	}
	s.consecutiveErrors, s.lastErrorAt = 2, g.now
	if m := s.health(g.b.now); math.Abs(m-(1-2*errorPenalty)) > 1e-9 {
		t.Fatalf("health after two errors is %v", m)
	}
	g.b.now += errorHalfLifeMillis
	if m := s.health(g.b.now); math.Abs(m-(1-errorPenalty)) > 1e-9 {
		t.Fatalf("health after a half-life is %v", m)
	}
	s.consecutiveErrors = 1000
	if m := s.health(g.b.now); m != minHealth {
		t.Fatalf("health after 1000 errors is %v, want the minimum", m)
	}
	if m := g.b.servers[1].health(g.b.now); m != 1 {
		t.Fatalf("another server's errors changed the health to %v", m)
	}
	s.consecutiveErrors = 2
	id, _ := g.request(safeClass)
	g.b.requests[id].attempts[0].server = s
	s.inFlight, g.b.servers[1].inFlight = 1, 0
	g.endAttempt(id, 0, OK, 10)
	if m := s.health(g.b.now); m != 1 {
		t.Fatalf("health after a success is %v", m)
	}
}

func TestServerAtMinimumHealthStillGetsRequests(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	hits := 0
	for range 40 { // a success resets the errors, so they are set again each time
		g.b.servers[2].consecutiveErrors, g.b.servers[2].lastErrorAt = 1000, g.now
		if sendSequentially(g, 1)[0] == 3 {
			hits++
		}
	}
	if hits == 0 || hits >= 10 {
		t.Fatalf("the server at minimum health got %d of 40", hits)
	}
}

func TestRetryGoesToHealthiestUntriedServer(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	for _, s := range g.b.servers {
		s.consecutiveErrors, s.lastErrorAt = 2, g.now
	}
	g.b.servers[2].consecutiveErrors = 1
	g.b.servers[1].currentWeight = 1000 // next in turn, though it is not the healthiest
	id, acts := g.request(safeClass)
	if s, _ := sentTo(acts); s != 2 {
		t.Fatalf("first sent to %d, want 2", s)
	}
	g.b.servers[3].currentWeight = 1000 // next in turn, which must not matter for a retry
	if s, ok := sentTo(g.endAttempt(id, 0, Rejected, 1)); !ok || s != 3 {
		t.Fatalf("retried at %d, want 3", s)
	}
}

// If all servers have more than their share of requests in flight, a first attempt goes to the one with the fewest for
// its weight, so as not to overload the next in turn further; a retry still goes to the healthiest. If a server is
// within its share, the rotation decides.
func TestFirstAttemptGoesToLeastLoadedWhenAllExceedShare(t *testing.T) {
	for _, c := range []struct {
		inFlight [4]int
		want     ServerID
	}{
		{[4]int{4, 3, 4, 4}, 2}, // all are over their share
		{[4]int{4, 4, 1, 0}, 3}, // 3 and 4 are within their share, and 3 is next in turn
	} {
		g := newHarness(t, baseConfig(), testServers(4)...)
		for i, s := range g.b.servers {
			s.inFlight, s.currentWeight = c.inFlight[i], float64(10*(4-i))
		}
		g.b.servers[1].consecutiveErrors, g.b.servers[1].lastErrorAt = 1, g.now-5000
		r := &request{class: &g.b.cfg.Classes[safeClass], stats: &g.b.traffic.classes[safeClass]}
		if c.want == 2 {
			if s := g.b.pick(r, true); s.ID == 2 {
				t.Errorf("%v: the retry went to the server of the lowest health", c.inFlight)
			}
			for i, s := range g.b.servers {
				s.currentWeight = float64(10 * (4 - i))
			}
		}
		if s := g.b.pick(r, false); s.ID != c.want {
			t.Errorf("%v: sent to %d, not %d", c.inFlight, s.ID, c.want)
		}
	}
}
