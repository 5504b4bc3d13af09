package balance

import "testing"

// few is a purse of so many repeats.
type few struct{ asked, left int }

func (p *few) Deposit(float64) { p.asked++ }

func (p *few) TryWithdraw(float64) bool {
	p.left--
	return p.left >= 0
}

func lastHop(n int, purse RetryBudget) (*Balancer, []Action) {
	cfg := baseConfig()
	cfg.Classes, cfg.LastHop, cfg.MaxAttempts, cfg.RetryBudget = nil, true, 8, purse
	b := New(cfg)
	b.Start(0)
	acts, _ := b.Handle(0, ServerList{Kind: ListFull, Servers: fleet(n)})
	b.AddClass(Class{Effect: Safe, LatencyTarget: 400, Deadline: 2000, Value: 1, MaxWait: 0.25})
	b.AddClass(Class{Effect: Unsafe, LatencyTarget: 400, Deadline: 2000, Value: 1, MaxWait: 0.25})
	return b, acts
}

// play asks for one request and ends each attempt as the next of results says. It returns what is sent and the last action.
func play(t *testing.T, b *Balancer, req Request, results ...Outcome) (sent []ServerID, last Action) {
	t.Helper()
	acts, err := b.Handle(b.now+1, req)
	for i := 0; ; i++ {
		if err != nil {
			t.Fatal(err)
		}
		again := false
		for _, a := range acts {
			if last = a; a.Kind == Send {
				sent, again = append(sent, a.Server), true
			}
		}
		if !again || i == len(results) {
			return sent, last
		}
		out := results[i]
		out.Request, out.Attempt, out.Server = req.ID, len(sent)-1, sent[len(sent)-1]
		acts, err = b.Handle(b.now+5, out)
	}
}

func TestWhatNoServerHasSeenCostsNothing(t *testing.T) {
	unmet := Outcome{Result: Rejected, NotDelivered: true}
	purse := &few{}
	b, _ := lastHop(5, purse)
	for class := range 2 {
		sent, _ := play(t, b, Request{ID: RequestID(class + 1), Class: class, Remaining: 2000, MaxAttempts: 1}, unmet, unmet,
			unmet, Outcome{Result: OK})
		if len(sent) != 4 {
			t.Errorf("class %d: sent to %v", class, sent)
		}
	}
	if purse.asked != 2 || purse.left != 0 {
		t.Errorf("asked %d, %d taken", purse.asked, -purse.left)
	}
	for _, s := range b.servers {
		if s.consecutiveErrors != 0 {
			t.Errorf("server %d has %d errors for what it never saw", s.ID, s.consecutiveErrors)
		}
	}
}

func TestRepeatsKeepToAttemptsAndPurse(t *testing.T) {
	failed := Outcome{Result: Failed}
	for _, c := range []struct {
		name            string
		class, attempts int
		left, want      int
	}{
		{"one more, as the purse has it", 0, 2, 5, 2},
		{"one attempt, whatever the purse has", 0, 1, 5, 1},
		{"an empty purse", 0, 2, 0, 1},
		{"what must not run twice", 1, 3, 5, 1},
	} {
		b, _ := lastHop(5, &few{left: c.left})
		sent, last := play(t, b, Request{ID: 1, Class: c.class, Remaining: 2000, MaxAttempts: c.attempts}, failed, failed, failed)
		if len(sent) != c.want || last.Kind != Refuse && last.Kind != Fail {
			t.Errorf("%s: sent to %v, then %v", c.name, sent, last.Kind)
		}
		if c.class == 1 && last.Kind != Fail {
			t.Errorf("%s: refused although it ran", c.name)
		}
	}
}

// A server that has seen a request and turned it away does not get it again: an old refusal may come in the place of
// the next answer, and what must not run twice would be taken for not run. lab/explore/calls shows what happens else.
func TestAServerThatTurnedARequestAwayIsNotAskedAgain(t *testing.T) {
	for class := range 2 {
		b, _ := lastHop(3, &few{left: 9})
		full := Outcome{Result: Rejected}
		sent, last := play(t, b, Request{ID: 1, Class: class, Remaining: 2000}, full, full, full, full, full)
		seen := map[ServerID]int{}
		for _, s := range sent {
			seen[s]++
		}
		if len(sent) < 2 || len(seen) != len(sent) || last.Kind == Send {
			t.Errorf("class %d: sent to %v, then %v", class, sent, last.Kind)
		}
	}
}

// Turned away everywhere, a request asks those again after a pause, and is refused at once when its time of waiting is over.
func TestTurnedAwayEverywhereAsksAgainAndGivesUp(t *testing.T) {
	b, _ := lastHop(2, nil)
	unmet := Outcome{Result: Rejected, NotDelivered: true}
	sent, last := play(t, b, Request{ID: 1, Class: 0, Remaining: 2000}, unmet, unmet)
	if len(sent) != 2 || last.Kind != SetTimer || last.At > 50 {
		t.Fatalf("sent to %v, then %v", sent, last)
	}
	acts, _ := b.Handle(b.now+last.At, TimerFired{Token: 1})
	if len(acts) == 0 || acts[0].Kind != Send {
		t.Fatalf("after the pause: %v", acts)
	}
	acts, _ = b.Handle(b.now+95, Outcome{Request: 1, Attempt: 2, Server: acts[0].Server, Result: Rejected, NotDelivered: true})
	if len(acts) == 0 || acts[0].Kind != Refuse {
		t.Errorf("when its time is over: %v", acts)
	}
}

// list hands a list of servers to a balancer.
func list(t *testing.T, b *Balancer, servers ServerList) {
	t.Helper()
	if _, err := b.Handle(b.now, servers); err != nil {
		t.Fatal(err)
	}
}

// The own zone's server gets its favour as long as it has no errors, and no more than m and the price give it from then on.
func TestFavourOfTheOwnZoneEndsWithErrors(t *testing.T) {
	b, _ := lastHop(4, nil)
	servers := fleet(4)
	for i := range servers {
		servers[i].Zone = i
	}
	b.cfg.Zone = 0
	list(t, b, ServerList{Kind: ListFull, Servers: servers, ZonePreference: 9})
	share := func(_ Result) (got int) {
		for i := range 240 {
			sent, _ := play(t, b, Request{ID: RequestID(i + 1), Class: 0, Remaining: 2000, MaxAttempts: 1}, Outcome{Result: OK, Latency: 5})
			if len(sent) > 0 && sent[0] == servers[0].ID {
				got++
			}
		}
		return got
	}
	if got := share(OK); got < 170 || got > 190 {
		t.Errorf("%d of 240 to the own zone, want 9 of 12", got)
	}
	s := b.byID[servers[0].ID]
	s.consecutiveErrors, s.lastErrorAt = 1, b.now
	total, _ := b.updateWeights(&request{Request: Request{ID: 9999}, class: &b.cfg.Classes[0], stats: &b.traffic.classes[0]}, false, false)
	if part := s.weight / total; part > 0.5 {
		t.Errorf("with an error it still has %.2f of the weight", part)
	}
}

// Half of the sidecars are gone at once: a connection that none of them takes costs neither attempts nor budget, as no server has seen the
// request, and where its sidecar is back a server is asked again at once, as warm as it was.
func TestRefusedConnectionsOnTheWayCostNothing(t *testing.T) {
	refused := Outcome{Result: ConnectFailed}
	for class := range 2 {
		purse := &few{}
		b, _ := lastHop(6, purse)
		sent, _ := play(t, b, Request{ID: 1, Class: class, Remaining: 2000, MaxAttempts: 2}, refused, refused, refused,
			Outcome{Result: OK, Latency: 5, Finished: true})
		if len(sent) != 4 || purse.left != 0 {
			t.Errorf("class %d: sent to %v, %d taken from the purse", class, sent, -purse.left)
		}
	}
	b, _ := lastHop(1, nil)
	servers := fleet(1)
	servers[0].PathIncarnation = 1
	list(t, b, ServerList{Kind: ListFull, Servers: servers})
	for id := range RequestID(3) {
		play(t, b, Request{ID: id + 1, Class: 0, Remaining: 2000}, refused)
	}
	if !b.Ejected(servers[0].ID, b.now) {
		t.Fatal("a server that nobody can connect to is not rested")
	}
	servers[0].PathIncarnation = 2
	list(t, b, ServerList{Kind: ListFull, Servers: servers})
	if b.Ejected(servers[0].ID, b.now) {
		t.Error("its sidecar is back, and it is still rested")
	}
	play(t, b, Request{ID: 9, Class: 0, Remaining: 2000}, Outcome{Result: OK, Latency: 5, Finished: true})
	if b.warmingUp(b.byID[servers[0].ID]) {
		t.Error("its sidecar was gone, and it counts as cold")
	}
}

// A request for the candidates is first sent to one of them, and only then to the others; no other request is sent to a
// candidate, whatever becomes of its attempts.
func TestCandidatesGetFirstAttemptsOfTheirRequestsOnly(t *testing.T) {
	b, _ := lastHop(0, nil)
	servers := fleet(6)
	isCandidate := map[ServerID]bool{}
	for i := range 3 {
		servers[i].Candidate, isCandidate[servers[i].ID] = true, true
	}
	_, _ = b.Handle(1, ServerList{Kind: ListFull, Servers: servers})
	failed := Outcome{Result: Failed}
	for id := RequestID(1); id <= 40; id++ {
		chosen := id%2 == 0
		sent, _ := play(t, b, Request{ID: id, Remaining: 2000, Candidate: chosen}, failed, Outcome{Result: OK})
		for i, server := range sent {
			if isCandidate[server] && !(chosen && i == 0) {
				t.Fatalf("request %d, chosen %v: sent to %v", id, chosen, sent)
			}
		}
		if len(sent) == 0 {
			t.Fatalf("request %d is sent nowhere", id)
		}
	}
	for i := range servers {
		servers[i].State = Draining
		if isCandidate[servers[i].ID] {
			servers[i].State = Ready
		}
	}
	_, _ = b.Handle(b.now+1, ServerList{Kind: ListFull, Servers: servers})
	if sent, _ := play(t, b, Request{ID: 99, Remaining: 2000}); len(sent) != 0 {
		t.Errorf("a request that is not for the candidates is sent to %v", sent)
	}
}
