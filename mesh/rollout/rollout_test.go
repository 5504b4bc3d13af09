package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"firplank/mesh/timing"
)

const service = "huvo11a"

func startRollout(s Set, target string) Set {
	return s.Start(Order{Service: service, Target: target, Term: 10 * time.Second, Supersedes: s.Supersedes(service, target, false)})
}

func moveTo(s Set, to Stage) Set {
	r, _ := s.Find(service)
	return s.Apply(Transition{Service: service, Order: r.Order, From: r.Stage, To: to})
}

func TestRepeatedOrderStartsOneRollout(t *testing.T) {
	canary := startRollout(Set{}, "v2")
	delivered := moveTo(moveTo(canary, Promoting), Delivered)
	for _, c := range []struct {
		name        string
		present     Set
		target      string
		endedLately bool
		want        OrderState
		order       uint32 // afterwards
	}{
		{"the first", Set{}, "v2", false, NotAccepted, 1},
		{"a copy while it is under way", canary, "v2", false, Accepted, 1},
		{"another version while it is under way", canary, "v3", false, Conflicting, 1},
		{"a late copy of one that has ended", delivered, "v2", true, Accepted, 1},
		{"the same version again, long after", delivered, "v2", false, NotAccepted, 2},
		{"another version after it", delivered, "v3", true, NotAccepted, 2},
		{"back to a version that was recalled", moveTo(canary, Recalled), "v2", false, NotAccepted, 2},
	} {
		o := Order{Service: service, Target: c.target, Supersedes: c.present.Supersedes(service, c.target, c.endedLately)}
		if got := c.present.StateOf(o); got != c.want {
			t.Errorf("%s: state %d, want %d", c.name, got, c.want)
		}
		after := c.present.Start(o)
		if r, _ := after.Find(service); r.Order != c.order {
			t.Errorf("%s: order %d, want %d", c.name, r.Order, c.order)
		}
		if again := after.Start(o); again.Revision != after.Revision {
			t.Errorf("%s: a repeated order changes the set", c.name)
		}
	}
}

// The first of two transitions from a stage wins, so that no rollout is both delivered and recalled.
func TestRolloutHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, ended := startRollout(Set{}, "v2"), Stage(0)
		for range rapid.IntRange(1, 12).Draw(t, "transitions") {
			transition := Transition{
				Service: service,
				Order:   rapid.Uint32Range(1, 2).Draw(t, "order"),
				From:    rapid.SampledFrom([]Stage{Canary, Promoting}).Draw(t, "from"),
				To:      rapid.SampledFrom([]Stage{Promoting, Delivered, Recalled}).Draw(t, "to"),
			}
			s = s.Apply(transition)
			r, _ := s.Find(service)
			if ended != 0 && r.Stage != ended {
				t.Fatalf("%v after %v", r.Stage, ended)
			}
			if !r.Stage.Active() {
				ended = r.Stage
			}
		}
	})
}

func TestCanaryGetsNoMoreThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Plan{
			Order:  1,
			Share:  rapid.Float64Range(0, 1).Draw(t, "share"),
			Extra:  rapid.Float64Range(0, 3).Draw(t, "extra"),
			Window: 10 * time.Second,
		}
		start := rapid.Float64Range(0, 0.999).Draw(t, "start")
		var s Split
		s.Begin(0, plan, start)
		selected, now := 0, time.Duration(0)
		for n := 1; n <= rapid.IntRange(1, 2000).Draw(t, "requests"); n++ {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond
			s.Begin(now, plan, 0.999) // as after each change of the directory; the plan continues
			if s.Next(now) {
				selected++
			}
			if allowed := start + plan.Share*float64(n) + plan.Extra*min(1, now.Seconds()/10); float64(selected) > allowed {
				t.Fatalf("%d of %d chosen, %v allowed", selected, n, allowed)
			}
		}
	})
}

// Guards against a sampling that always skips the first requests of a sender: many senders have fewer than twenty requests until the
// promotion, so that the new version would get none from them and the promotion would lack evidence.
func TestCanaryIsSampledFromTheFirstRequestsOn(t *testing.T) {
	const (
		senders     = 85
		perSender   = 8
		simulations = 200
	)
	r := Rollout{Order: 1, Term: 16 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	sum, maxSelected := 0, 0
	for range simulations {
		selected := 0
		for range senders {
			var s Split
			s.Begin(0, CanaryPlan(&r, 0.1, 50, senders), random.Float64())
			for n := range perSender {
				if s.Next(time.Duration(n) * time.Second) {
					selected++
				}
			}
		}
		sum, maxSelected = sum+selected, max(maxSelected, selected)
	}
	mean, requests := float64(sum)/simulations, float64(senders*perSender)
	if want := 0.05*requests + 25*7/8.8; math.Abs(mean-want) > 2 {
		t.Errorf("%.1f of %v requests chosen in the mean, want %.1f", mean, requests, want)
	}
	if float64(maxSelected) > 0.1*requests+50 {
		t.Errorf("%d of %v requests chosen", maxSelected, requests)
	}
}

func TestEligibilityByStage(t *testing.T) {
	for _, c := range []struct {
		stage                    Stage
		old, target, unknown     Eligibility
		oldRetired, otherRetired Eligibility
	}{
		{Canary, Eligible, CanaryOnly, NotEligible, Eligible, CanaryOnly},
		{Promoting, NotEligible, Eligible, NotEligible, NotEligible, Eligible},
		{Delivered, NotEligible, Eligible, NotEligible, Eligible, Eligible},
		{Recalled, Eligible, NotEligible, NotEligible, Eligible, NotEligible},
	} {
		r := Rollout{Target: "v2", Stage: c.stage}
		got := [...]Eligibility{r.Eligibility("v1", false), r.Eligibility("v2", false), r.Eligibility("", false),
			r.Eligibility("v1", true), r.Eligibility("v2", true)}
		if want := [...]Eligibility{c.old, c.target, c.unknown, c.oldRetired, c.otherRetired}; got != want {
			t.Errorf("%v: %v, want %v", c.stage, got, want)
		}
	}
}

// servedSamples returns the samples of servers with n requests each. A share of the requests failed, and the others took the latency, with
// the given spread of its logarithm.
func servedSamples(candidate bool, servers, n int, failureRate float64, latency time.Duration, spread float64) (samples []Sample) {
	for server := range servers {
		s := Statistics{Class: 7}
		for i := range n {
			offset := spread * (2*float64(i%5)/4 - 1)
			failed := math.Floor(float64(i+1)*failureRate) > math.Floor(float64(i)*failureRate)
			s.Record(failed, false, time.Duration(float64(latency)*math.Exp(offset)))
		}
		node := fmt.Sprintf("%v-%d-%d-%v", candidate, n, server, failureRate)
		samples = append(samples, Sample{Node: node, Candidate: candidate, Classes: []Statistics{s}})
	}
	return samples
}

const usualLatency = 100 * time.Millisecond

func TestJudge(t *testing.T) {
	old := servedSamples(false, 10, 100, 0.004, usualLatency, 0.6)
	oneBadServer := append(servedSamples(true, 7, 10, 0, usualLatency, 0.6), servedSamples(true, 1, 10, 0.8, 5*usualLatency, 0.6)...)
	for _, c := range []struct {
		name string
		old  []Sample
		new  []Sample
		bad  bool
	}{
		{"as good", old, servedSamples(true, 8, 40, 0.004, usualLatency, 0.6), false},
		{"faster", old, servedSamples(true, 8, 40, 0, usualLatency/3, 0.6), false},
		{"fails half", old, servedSamples(true, 8, 4, 0.5, usualLatency, 0.6), true},
		{"fails a fifth", old, servedSamples(true, 8, 20, 0.2, usualLatency, 0.6), true},
		{"too few to tell", old, servedSamples(true, 2, 1, 0.5, usualLatency, 0.6), false},
		{"three times as slow", old, servedSamples(true, 8, 10, 0, 3*usualLatency, 0.6), true},
		{"slower by a tenth", old, servedSamples(true, 8, 200, 0, usualLatency*11/10, 0.6), false},
		{"both fail, as in a burst", servedSamples(false, 10, 100, 0.3, usualLatency, 0.6),
			servedSamples(true, 8, 40, 0.3, usualLatency, 0.6), false},
		{"both are slow", servedSamples(false, 10, 100, 0, 4*usualLatency, 0.6), servedSamples(true, 8, 40, 0, 4*usualLatency, 0.6), false},
		{"one server of it is down", old, oneBadServer, false},
		{"worse than an old one that fails", servedSamples(false, 10, 100, 0.1, usualLatency, 0.6),
			servedSamples(true, 8, 40, 0.6, usualLatency, 0.6), true},
		{"no old version", nil, servedSamples(true, 8, 40, 0, usualLatency, 0.6), false},
	} {
		if v := new(Judge).Evaluate(Canary, append(c.old, c.new...)); v.Bad != c.bad {
			t.Errorf("%s: bad is %v: %s", c.name, v.Bad, v.Reason)
		}
	}
}

// Guards against averaging over the classes of routes, which would hide a fault in a class with few requests.
func TestBadClassIsNotHiddenByOthers(t *testing.T) {
	samples := append(servedSamples(false, 10, 1000, 0, usualLatency, 0.6), servedSamples(true, 8, 500, 0, usualLatency, 0.6)...)
	for i := range samples {
		rareClass := Statistics{Class: 9, Requests: 10}
		if samples[i].Candidate {
			rareClass.Failures = 5
		}
		samples[i].Classes = append(samples[i].Classes, rareClass)
	}
	if v := new(Judge).Evaluate(Canary, samples); !v.Bad {
		t.Error(v.Reason)
	}
}

// addCounts returns samples with the counts of more added, server by server.
func addCounts(samples, more []Sample) []Sample {
	after := slices.Clone(samples)
	for i := range after {
		sum := samples[i].Classes[0]
		sum.add(&more[i].Classes[0])
		after[i].Classes = []Statistics{sum}
	}
	return after
}

// Guards against a test that never restarts: hundreds of good responses would outweigh the bad ones that follow.
func TestVersionThatTurnsBadLateIsDetected(t *testing.T) {
	for name, later := range map[string][]Sample{
		"fails":   servedSamples(true, 8, 4, 0.5, usualLatency, 0.6),
		"is slow": servedSamples(true, 8, 4, 0, 5*usualLatency, 0.6),
	} {
		var judge Judge
		old, candidate := servedSamples(false, 10, 500, 0.004, usualLatency, 0.6), servedSamples(true, 8, 100, 0, usualLatency, 0.6)
		if v := judge.Evaluate(Canary, append(old, candidate...)); v.Bad {
			t.Fatal(v.Reason)
		}
		old = addCounts(old, servedSamples(false, 10, 40, 0, usualLatency, 0.6))
		if v := judge.Evaluate(Canary, append(old, addCounts(candidate, later)...)); !v.Bad {
			t.Errorf("%s: %s", name, v.Reason)
		}
	}
}

func TestGarbledResponsesDuringPromotionDoNotRecall(t *testing.T) {
	for failing, bad := range map[float64]bool{0.15: false, 0.5: true} {
		var judge Judge
		old, candidate := servedSamples(false, 10, 500, 0.004, usualLatency, 0.6), servedSamples(true, 8, 100, 0.004, usualLatency, 0.6)
		judge.Evaluate(Promoting, append(old, candidate...))
		v := judge.Evaluate(Promoting, append(old, addCounts(candidate, servedSamples(true, 8, 20, failing, usualLatency, 0.6))...))
		if v.Bad != bad {
			t.Errorf("%v fail: %s", failing, v.Reason)
		}
	}
}

func TestBurstDuringPromotionDoesNotRecall(t *testing.T) {
	var judge Judge
	old, candidate := servedSamples(false, 10, 100, 0.004, usualLatency, 0.6), servedSamples(true, 8, 20, 0, usualLatency, 0.6)
	judge.Evaluate(Promoting, append(old, candidate...))
	if v := judge.Evaluate(Promoting, append(old, addCounts(candidate, servedSamples(true, 8, 40, 0.01, 2*usualLatency, 0.6))...)); v.Bad {
		t.Error(v.Reason)
	}
}

// tenMachines returns five machines of the old and five of the new version, whose sidecars have confirmed a revision.
func tenMachines(confirmed uint32, newFails float64) (all []Machine) {
	for i := range 10 {
		m := Machine{Node: fmt.Sprint("branch-", i), Service: service, Version: "v1", Accepting: true, Slots: 4, Confirmed: confirmed, Order: 1}
		failing := 0.
		if i >= 5 {
			m.Version, failing = "v2", newFails
		}
		m.Classes = servedSamples(i >= 5, 1, 40, failing, usualLatency, 0.6)[0].Classes
		all = append(all, m)
	}
	return all
}

// longOrdered returns machines that have known of the order for almost its term.
func longOrdered(machines []Machine) []Machine {
	for i := range machines {
		machines[i].OrderAge = 9 * time.Second
	}
	return machines
}

// decideAfter returns a controller's decision on machines some time after it first saw the rollouts. Lost machines were last seen at that
// first time.
func decideAfter(v View, machines []Machine, after time.Duration) []Transition {
	controller := NewController(timing.Default().Rollouts, 50)
	begin := time.Minute
	for i := range machines {
		if machines[i].Lost {
			machines[i].LastSeen = begin
		}
	}
	controller.Decide(begin, v)
	v.Machines = machines
	return controller.Decide(begin+after, v)
}

// fewRequests returns machines whose servers of the new version have had few requests, and the idle machines of a service that has few.
func fewRequests() (untried, idle []Machine) {
	untried, idle = tenMachines(1, 0), tenMachines(1, 0)
	for i := range untried {
		idle[i].Classes = servedSamples(i >= 5, 1, 4, 0, usualLatency, 0.6)[0].Classes
		if i >= 5 {
			untried[i].Classes = servedSamples(true, 1, 4, 0, usualLatency, 0.6)[0].Classes
		}
	}
	return untried, idle
}

func TestControllerMovesStages(t *testing.T) {
	canary := startRollout(Set{}, "v2")
	promoting := moveTo(canary, Promoting)
	recentlyLost := tenMachines(promoting.Revision, 0)
	recentlyLost[2].Confirmed, recentlyLost[2].Lost = 0, true
	unconfirmed := tenMachines(promoting.Revision, 0)
	unconfirmed[3].Confirmed--
	fewCandidates := tenMachines(canary.Revision, 0)[:7]
	untried, idle := fewRequests()
	for _, c := range []struct {
		name     string
		set      Set
		leader   bool
		machines []Machine
		after    time.Duration // since the stage was first seen
		want     Stage         // 0: the stage stays
	}{
		{"too early", canary, true, tenMachines(1, 0), 5900 * time.Millisecond, 0},
		{"promoted", canary, true, tenMachines(1, 0), 6100 * time.Millisecond, Promoting},
		{"too few requests of the new version", canary, true, untried, 19 * time.Second, 0},
		{"a service without requests", canary, true, idle, 6100 * time.Millisecond, Promoting},
		{"ordered long before this process started", canary, true, longOrdered(tenMachines(1, 0)), time.Second, Promoting},
		{"not the leader", canary, false, tenMachines(1, 0), 7 * time.Second, 0},
		{"bad, seen by any machine", canary, false, tenMachines(1, 0.5), time.Second, Recalled},
		{"too few new servers", canary, true, fewCandidates, 9 * time.Second, 0},
		{"never delivered", canary, true, fewCandidates, 21 * time.Second, Recalled},
		{"all have confirmed", promoting, true, tenMachines(promoting.Revision, 0), 8100 * time.Millisecond, Delivered},
		{"the old version may still be needed", promoting, true, tenMachines(promoting.Revision, 0), 7900 * time.Millisecond, 0},
		{"not long enough", promoting, true, longOrdered(tenMachines(promoting.Revision, 0)), 900 * time.Millisecond, 0},
		{"ordered long before", promoting, true, longOrdered(tenMachines(promoting.Revision, 0)), 1100 * time.Millisecond, Delivered},
		{"one has not confirmed", promoting, true, unconfirmed, 9 * time.Second, 0},
		{"one was lost recently", promoting, true, recentlyLost, 2 * time.Second, 0},
		{"one was lost long ago", promoting, true, recentlyLost, 9 * time.Second, Delivered},
		{"bad while it gets all requests", promoting, false, tenMachines(promoting.Revision, 0.5), time.Second, Recalled},
		{"no server of the new version is left", promoting, true, tenMachines(promoting.Revision, 0)[:5], time.Second, Recalled},
	} {
		due := decideAfter(View{Self: "self", Leader: c.leader, Set: c.set}, c.machines, c.after)
		switch {
		case c.want == 0 && len(due) == 0:
		case len(due) == 1 && due[0].To == c.want:
		default:
			t.Errorf("%s: %+v, want %v", c.name, due, c.want)
		}
	}
}

// A control machine that has just started has not received the reports of all sidecars. It neither delivers a rollout nor recalls one
// because servers are missing.
func TestControllerWaitsForReportsAfterStart(t *testing.T) {
	promoting := moveTo(startRollout(Set{}, "v2"), Promoting)
	promoting.Rollouts[0].Term = time.Second
	controller := NewController(timing.Default().Rollouts, 50)
	for now := time.Duration(0); now <= timing.Default().Rollouts.LostSidecarWait; now += 100 * time.Millisecond {
		if transitions := controller.Decide(now, View{Leader: true, Set: promoting}); len(transitions) > 0 {
			t.Fatalf("at %v: %+v", now, transitions)
		}
	}
}
