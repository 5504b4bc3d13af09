package balance

import "testing"

// limitedBudget is a retry budget with a fixed number of retries.
type limitedBudget struct{ deposits, remaining int }

func (p *limitedBudget) Deposit(float64) { p.deposits++ }

func (p *limitedBudget) TryWithdraw(float64) bool {
	p.remaining--
	return p.remaining >= 0
}

func newLastHop(n int, budget RetryBudget) (*Balancer, []Action) {
	cfg := baseConfig()
	cfg.Classes, cfg.LastHop, cfg.MaxAttempts, cfg.RetryBudget = nil, true, 8, budget
	b := New(cfg)
	b.Start(0)
	acts, _ := b.Handle(0, ServerList{Kind: ListFull, Servers: testServers(n)})
	b.AddClass(Class{Effect: Safe, LatencyTarget: 400, Deadline: 2000, Value: 1, MaxWaitFraction: 0.25})
	b.AddClass(Class{Effect: Unsafe, LatencyTarget: 400, Deadline: 2000, Value: 1, MaxWaitFraction: 0.25})
	return b, acts
}

// runRequest begins one request and ends its attempts with the results, in order. It returns the servers of the attempts
// and the last action.
func runRequest(t *testing.T, b *Balancer, req Request, results ...Outcome) (sent []ServerID, last Action) {
	t.Helper()
	acts, err := b.Handle(b.now+1, req)
	for i := 0; ; i++ {
		if err != nil {
			t.Fatal(err)
		}
		retried := false
		for _, a := range acts {
			if last = a; a.Kind == Send {
				sent, retried = append(sent, a.Server), true
			}
		}
		if !retried || i == len(results) {
			return sent, last
		}
		outcome := results[i]
		outcome.Request, outcome.Attempt, outcome.Server = req.ID, len(sent)-1, sent[len(sent)-1]
		acts, err = b.Handle(b.now+5, outcome)
	}
}

func TestUndeliveredAttemptsCostNothing(t *testing.T) {
	undelivered := Outcome{Result: Rejected, NotDelivered: true}
	budget := &limitedBudget{}
	b, _ := newLastHop(5, budget)
	for class := range 2 {
		sent, _ := runRequest(t, b, Request{ID: RequestID(class + 1), Class: class, Remaining: 2000, MaxAttempts: 1}, undelivered, undelivered,
			undelivered, Outcome{Result: OK})
		if len(sent) != 4 {
			t.Errorf("class %d: sent to %v", class, sent)
		}
	}
	if budget.deposits != 2 || budget.remaining != 0 {
		t.Errorf("%d deposits, %d withdrawn", budget.deposits, -budget.remaining)
	}
	for _, s := range b.servers {
		if s.consecutiveErrors != 0 {
			t.Errorf("server %d has %d errors by attempts that it never received", s.ID, s.consecutiveErrors)
		}
	}
}

func TestRetriesAreLimitedByAttemptsAndBudget(t *testing.T) {
	failed := Outcome{Result: Failed}
	for _, c := range []struct {
		name            string
		class, attempts int
		budget, want    int
	}{
		{"one retry within the budget", 0, 2, 5, 2},
		{"one attempt, whatever the budget", 0, 1, 5, 1},
		{"an empty budget", 0, 2, 0, 1},
		{"a request that must not be executed twice", 1, 3, 5, 1},
	} {
		b, _ := newLastHop(5, &limitedBudget{remaining: c.budget})
		sent, last := runRequest(t, b, Request{ID: 1, Class: c.class, Remaining: 2000, MaxAttempts: c.attempts}, failed, failed, failed)
		if len(sent) != c.want || last.Kind != Refuse && last.Kind != Fail {
			t.Errorf("%s: sent to %v, then %v", c.name, sent, last.Kind)
		}
		if c.class == 1 && last.Kind != Fail {
			t.Errorf("%s: refused although it was executed", c.name)
		}
	}
}

// A server that received a request and rejected it does not get a second attempt: its first rejection could arrive late,
// as the answer to the second attempt, so that a request that is executed would count as not executed. The explorer
// lab/explore/calls shows this fault.
func TestRejectingServerGetsNoSecondAttempt(t *testing.T) {
	for class := range 2 {
		b, _ := newLastHop(3, &limitedBudget{remaining: 9})
		rejected := Outcome{Result: Rejected}
		sent, last := runRequest(t, b, Request{ID: 1, Class: class, Remaining: 2000}, rejected, rejected, rejected, rejected, rejected)
		attempts := map[ServerID]int{}
		for _, s := range sent {
			attempts[s]++
		}
		if len(sent) < 2 || len(attempts) != len(sent) || last.Kind == Send {
			t.Errorf("class %d: sent to %v, then %v", class, sent, last.Kind)
		}
	}
}

// A request that all proxies have rejected is sent to them again after a pause, and is refused as soon as its waiting
// time is over.
func TestRequestRejectedEverywhereIsRetriedUntilWaitExpires(t *testing.T) {
	b, _ := newLastHop(2, nil)
	undelivered := Outcome{Result: Rejected, NotDelivered: true}
	sent, last := runRequest(t, b, Request{ID: 1, Class: 0, Remaining: 2000}, undelivered, undelivered)
	if len(sent) != 2 || last.Kind != SetTimer || last.At > 50 {
		t.Fatalf("sent to %v, then %v", sent, last)
	}
	acts, _ := b.Handle(b.now+last.At, TimerFired{Token: 1})
	if len(acts) == 0 || acts[0].Kind != Send {
		t.Fatalf("after the pause: %v", acts)
	}
	acts, _ = b.Handle(b.now+95, Outcome{Request: 1, Attempt: 2, Server: acts[0].Server, Result: Rejected, NotDelivered: true})
	if len(acts) == 0 || acts[0].Kind != Refuse {
		t.Errorf("when its waiting time is over: %v", acts)
	}
}

// handleList passes a server list to a balancer.
func handleList(t *testing.T, b *Balancer, servers ServerList) {
	t.Helper()
	if _, err := b.Handle(b.now, servers); err != nil {
		t.Fatal(err)
	}
}

// A server in the own zone gets ServerList.ZonePreference only as long as it has no errors; after that its weight follows
// from its health and the penalty for crossing zones.
func TestZonePreferenceEndsWithErrors(t *testing.T) {
	b, _ := newLastHop(4, nil)
	servers := testServers(4)
	for i := range servers {
		servers[i].Zone = i
	}
	b.cfg.Zone = 0
	handleList(t, b, ServerList{Kind: ListFull, Servers: servers, ZonePreference: 9})
	countOwnZone := func(_ Result) (got int) {
		for i := range 240 {
			sent, _ := runRequest(t, b, Request{ID: RequestID(i + 1), Class: 0, Remaining: 2000, MaxAttempts: 1}, Outcome{Result: OK, Latency: 5})
			if len(sent) > 0 && sent[0] == servers[0].ID {
				got++
			}
		}
		return got
	}
	if got := countOwnZone(OK); got < 170 || got > 190 {
		t.Errorf("%d of 240 to the own zone, want 9 of 12", got)
	}
	s := b.byID[servers[0].ID]
	s.consecutiveErrors, s.lastErrorAt = 1, b.now
	total, _ := b.updateWeights(&request{Request: Request{ID: 9999}, class: &b.cfg.Classes[0], stats: &b.traffic.classes[0]}, false, false)
	if fraction := s.weight / total; fraction > 0.5 {
		t.Errorf("with an error the server still has %.2f of the weight", fraction)
	}
}

// Half of the last hops' sidecars fail at once. A refused connection costs neither attempts nor retry budget, as no
// server has received the request. When its sidecar is back, a server is used again at once, without slow start.
func TestConnectFailuresAtLastHopCostNothing(t *testing.T) {
	refused := Outcome{Result: ConnectFailed}
	for class := range 2 {
		budget := &limitedBudget{}
		b, _ := newLastHop(6, budget)
		sent, _ := runRequest(t, b, Request{ID: 1, Class: class, Remaining: 2000, MaxAttempts: 2}, refused, refused, refused,
			Outcome{Result: OK, Latency: 5, Finished: true})
		if len(sent) != 4 || budget.remaining != 0 {
			t.Errorf("class %d: sent to %v, %d withdrawn from the budget", class, sent, -budget.remaining)
		}
	}
	b, _ := newLastHop(1, nil)
	servers := testServers(1)
	servers[0].PathIncarnation = 1
	handleList(t, b, ServerList{Kind: ListFull, Servers: servers})
	for id := range RequestID(3) {
		runRequest(t, b, Request{ID: id + 1, Class: 0, Remaining: 2000}, refused)
	}
	if !b.Ejected(servers[0].ID, b.now) {
		t.Fatal("a server without connections is not ejected")
	}
	servers[0].PathIncarnation = 2
	handleList(t, b, ServerList{Kind: ListFull, Servers: servers})
	if b.Ejected(servers[0].ID, b.now) {
		t.Error("the server's sidecar is back, and the server is still ejected")
	}
	runRequest(t, b, Request{ID: 9, Class: 0, Remaining: 2000}, Outcome{Result: OK, Latency: 5, Finished: true})
	if b.warmingUp(b.byID[servers[0].ID]) {
		t.Error("only the server's sidecar had failed, and the server is in slow start")
	}
}

// The first attempt of a request for candidates goes to a candidate, its retries go to other servers. No other request
// is sent to a candidate, whatever the results of its attempts.
func TestCandidatesGetFirstAttemptsOfTheirRequestsOnly(t *testing.T) {
	b, _ := newLastHop(0, nil)
	servers := testServers(6)
	isCandidate := map[ServerID]bool{}
	for i := range 3 {
		servers[i].Candidate, isCandidate[servers[i].ID] = true, true
	}
	_, _ = b.Handle(1, ServerList{Kind: ListFull, Servers: servers})
	failed := Outcome{Result: Failed}
	for id := RequestID(1); id <= 40; id++ {
		forCandidate := id%2 == 0
		sent, _ := runRequest(t, b, Request{ID: id, Remaining: 2000, Candidate: forCandidate}, failed, Outcome{Result: OK})
		for i, server := range sent {
			if isCandidate[server] && !(forCandidate && i == 0) {
				t.Fatalf("request %d, for candidates %v: sent to %v", id, forCandidate, sent)
			}
		}
		if len(sent) == 0 {
			t.Fatalf("request %d was not sent", id)
		}
	}
	for i := range servers {
		servers[i].State = Draining
		if isCandidate[servers[i].ID] {
			servers[i].State = Ready
		}
	}
	_, _ = b.Handle(b.now+1, ServerList{Kind: ListFull, Servers: servers})
	if sent, _ := runRequest(t, b, Request{ID: 99, Remaining: 2000}); len(sent) != 0 {
		t.Errorf("a request that is not for candidates was sent to %v", sent)
	}
}
