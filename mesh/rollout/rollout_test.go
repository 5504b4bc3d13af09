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

func started(s Set, target string) Set {
	return s.Start(Order{Service: service, Target: target, Term: 10 * time.Second, Supersedes: s.Supersedes(service, target, false)})
}

func advanced(s Set, to Stage) Set {
	r, _ := s.Find(service)
	return s.Apply(Transition{Service: service, Order: r.Order, From: r.Stage, To: to})
}

func TestRepeatedOrderStartsNothingTwice(t *testing.T) {
	canary := started(Set{}, "v2")
	delivered := advanced(advanced(canary, Promoting), Delivered)
	for _, c := range []struct {
		name        string
		present     Set
		target      string
		endedLately bool
		want        OrderState
		order       uint32 // afterwards
	}{
		{"the first", Set{}, "v2", false, NotTaken, 1},
		{"a copy while it is under way", canary, "v2", false, Taken, 1},
		{"another version while it is under way", canary, "v3", false, Conflicts, 1},
		{"a late copy of one that has ended", delivered, "v2", true, Taken, 1},
		{"the same version again, long after", delivered, "v2", false, NotTaken, 2},
		{"another version after it", delivered, "v3", true, NotTaken, 2},
		{"back to a version that was recalled", advanced(canary, Recalled), "v2", false, NotTaken, 2},
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
			t.Errorf("%s: the same order changes something twice", c.name)
		}
	}
}

// Of two transitions from one stage the first wins: what was delivered is not recalled, and what was recalled not delivered.
func TestRolloutHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, ended := started(Set{}, "v2"), Stage(0)
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

func TestVersionOnTrialGetsNoMoreThanItsShare(t *testing.T) {
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
		chosen, now := 0, time.Duration(0)
		for n := 1; n <= rapid.IntRange(1, 2000).Draw(t, "requests"); n++ {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond
			s.Begin(now, plan, 0.999) // as after each change of the directory
			if s.Next(now) {
				chosen++
			}
			if most := start + plan.Share*float64(n) + plan.Extra*min(1, now.Seconds()/10); float64(chosen) > most {
				t.Fatalf("%d of %d chosen, %v allowed", chosen, n, most)
			}
		}
	})
}

// A canary that a sender's first twenty requests never reach is no evidence for a promotion: many senders have fewer by then.
func TestCanaryIsSampledFromTheFirstRequestsOn(t *testing.T) {
	const (
		senders   = 85
		perSender = 8
		plays     = 200
	)
	r := Rollout{Order: 1, Term: 16 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	sum, most := 0, 0
	for range plays {
		chosen := 0
		for range senders {
			var s Split
			s.Begin(0, CanaryPlan(&r, 0.1, 50, senders), random.Float64())
			for n := range perSender {
				if s.Next(time.Duration(n) * time.Second) {
					chosen++
				}
			}
		}
		sum, most = sum+chosen, max(most, chosen)
	}
	mean, requests := float64(sum)/plays, float64(senders*perSender)
	if want := 0.05*requests + 25*7/8.8; math.Abs(mean-want) > 2 {
		t.Errorf("%.1f of %v requests chosen in the mean, want %.1f", mean, requests, want)
	}
	if float64(most) > 0.1*requests+50 {
		t.Errorf("%d of %v requests chosen", most, requests)
	}
}

func TestServersOfAVersionByStage(t *testing.T) {
	for _, c := range []struct {
		stage                    Stage
		old, target, unknown     Eligibility
		oldRetired, otherRetired Eligibility
	}{
		{Canary, Serves, ServesShare, Finishes, Serves, ServesShare},
		{Promoting, Finishes, Serves, Finishes, Finishes, Serves},
		{Delivered, Finishes, Serves, Finishes, Serves, Serves},
		{Recalled, Serves, Finishes, Finishes, Serves, Finishes},
	} {
		r := Rollout{Target: "v2", Stage: c.stage}
		got := [...]Eligibility{r.Eligibility("v1", false), r.Eligibility("v2", false), r.Eligibility("", false),
			r.Eligibility("v1", true), r.Eligibility("v2", true)}
		if want := [...]Eligibility{c.old, c.target, c.unknown, c.oldRetired, c.otherRetired}; got != want {
			t.Errorf("%v: %v, want %v", c.stage, got, want)
		}
	}
}

// answers returns what servers have counted: of n requests each, a share failed, and the others took a time, with the given spread of its
// logarithm.
func answers(candidate bool, servers, n int, failing float64, latency time.Duration, spread float64) (samples []Sample) {
	for server := range servers {
		s := Statistics{Class: 7}
		for i := range n {
			offset := spread * (2*float64(i%5)/4 - 1)
			failed := math.Floor(float64(i+1)*failing) > math.Floor(float64(i)*failing)
			s.Record(failed, false, time.Duration(float64(latency)*math.Exp(offset)))
		}
		node := fmt.Sprintf("%v-%d-%d-%v", candidate, n, server, failing)
		samples = append(samples, Sample{Node: node, Candidate: candidate, Classes: []Statistics{s}})
	}
	return samples
}

const usual = 100 * time.Millisecond

func TestJudge(t *testing.T) {
	old := answers(false, 10, 100, 0.004, usual, 0.6)
	oneBadServer := append(answers(true, 7, 10, 0, usual, 0.6), answers(true, 1, 10, 0.8, 5*usual, 0.6)...)
	for _, c := range []struct {
		name string
		old  []Sample
		new  []Sample
		bad  bool
	}{
		{"as good", old, answers(true, 8, 40, 0.004, usual, 0.6), false},
		{"faster", old, answers(true, 8, 40, 0, usual/3, 0.6), false},
		{"fails half", old, answers(true, 8, 4, 0.5, usual, 0.6), true},
		{"fails a fifth", old, answers(true, 8, 20, 0.2, usual, 0.6), true},
		{"too few to tell", old, answers(true, 2, 1, 0.5, usual, 0.6), false},
		{"three times as slow", old, answers(true, 8, 10, 0, 3*usual, 0.6), true},
		{"slower by a tenth", old, answers(true, 8, 200, 0, usual*11/10, 0.6), false},
		{"both fail, as in a burst", answers(false, 10, 100, 0.3, usual, 0.6), answers(true, 8, 40, 0.3, usual, 0.6), false},
		{"both are slow", answers(false, 10, 100, 0, 4*usual, 0.6), answers(true, 8, 40, 0, 4*usual, 0.6), false},
		{"one server of it is down", old, oneBadServer, false},
		{"worse than an old one that fails", answers(false, 10, 100, 0.1, usual, 0.6), answers(true, 8, 40, 0.6, usual, 0.6), true},
		{"no old version", nil, answers(true, 8, 40, 0, usual, 0.6), false},
	} {
		if v := new(Judge).Judge(Canary, append(c.old, c.new...)); v.Bad != c.bad {
			t.Errorf("%s: bad is %v: %s", c.name, v.Bad, v.Reason)
		}
	}
}

// A fault in one class of routes is not hidden by the others.
func TestBadClassIsNotAveraged(t *testing.T) {
	samples := append(answers(false, 10, 1000, 0, usual, 0.6), answers(true, 8, 500, 0, usual, 0.6)...)
	for i := range samples {
		rare := Statistics{Class: 9, Requests: 10}
		if samples[i].Candidate {
			rare.Failures = 5
		}
		samples[i].Classes = append(samples[i].Classes, rare)
	}
	if v := new(Judge).Judge(Canary, samples); !v.Bad {
		t.Error(v.Reason)
	}
}

// grown returns samples with more counted, server by server.
func grown(samples, more []Sample) []Sample {
	after := slices.Clone(samples)
	for i := range after {
		sum := samples[i].Classes[0]
		sum.add(&more[i].Classes[0])
		after[i].Classes = []Statistics{sum}
	}
	return after
}

// Hundreds of good answers don't excuse the bad ones that come after them.
func TestVersionThatTurnsBadLateIsFoundAsSoon(t *testing.T) {
	for name, turned := range map[string][]Sample{
		"fails":   answers(true, 8, 4, 0.5, usual, 0.6),
		"is slow": answers(true, 8, 4, 0, 5*usual, 0.6),
	} {
		var judge Judge
		old, candidate := answers(false, 10, 500, 0.004, usual, 0.6), answers(true, 8, 100, 0, usual, 0.6)
		if v := judge.Judge(Canary, append(old, candidate...)); v.Bad {
			t.Fatal(v.Reason)
		}
		old = grown(old, answers(false, 10, 40, 0, usual, 0.6))
		if v := judge.Judge(Canary, append(old, grown(candidate, turned)...)); !v.Bad {
			t.Errorf("%s: %s", name, v.Reason)
		}
	}
}

func TestGarbledAnswersInThePromotionAreNoFaultOfTheVersion(t *testing.T) {
	for failing, bad := range map[float64]bool{0.15: false, 0.5: true} {
		var judge Judge
		old, candidate := answers(false, 10, 500, 0.004, usual, 0.6), answers(true, 8, 100, 0.004, usual, 0.6)
		judge.Judge(Promoting, append(old, candidate...))
		v := judge.Judge(Promoting, append(old, grown(candidate, answers(true, 8, 20, failing, usual, 0.6))...))
		if v.Bad != bad {
			t.Errorf("%v fail: %s", failing, v.Reason)
		}
	}
}

func TestBurstInThePromotionIsNoFaultOfTheVersion(t *testing.T) {
	var judge Judge
	old, candidate := answers(false, 10, 100, 0.004, usual, 0.6), answers(true, 8, 20, 0, usual, 0.6)
	judge.Judge(Promoting, append(old, candidate...))
	if v := judge.Judge(Promoting, append(old, grown(candidate, answers(true, 8, 40, 0.01, 2*usual, 0.6))...)); v.Bad {
		t.Error(v.Reason)
	}
}

// machines are five of the old and five of the new version, with sidecars that have confirmed a revision.
func machines(confirmed uint32, newFails float64) (all []Machine) {
	for i := range 10 {
		m := Machine{Node: fmt.Sprint("branch-", i), Service: service, Version: "v1", Accepting: true, Slots: 4, Confirmed: confirmed, Order: 1}
		failing := 0.
		if i >= 5 {
			m.Version, failing = "v2", newFails
		}
		m.Classes = answers(i >= 5, 1, 40, failing, usual, 0.6)[0].Classes
		all = append(all, m)
	}
	return all
}

// ordered are machines that have known of the order for almost its term.
func ordered(machines []Machine) []Machine {
	for i := range machines {
		machines[i].OrderAge = 9 * time.Second
	}
	return machines
}

// decided returns what a controller decides on machines that it knows some time after it has first seen the rollouts. Lost ones were last
// seen then.
func decided(v View, machines []Machine, after time.Duration) []Transition {
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

// untried are machines whose servers of the new version have had few requests, and idle ones those of a service that has few.
func untried() (untried, idle []Machine) {
	untried, idle = machines(1, 0), machines(1, 0)
	for i := range untried {
		idle[i].Classes = answers(i >= 5, 1, 4, 0, usual, 0.6)[0].Classes
		if i >= 5 {
			untried[i].Classes = answers(true, 1, 4, 0, usual, 0.6)[0].Classes
		}
	}
	return untried, idle
}

func TestControllerMovesStages(t *testing.T) {
	canary := started(Set{}, "v2")
	promoting := advanced(canary, Promoting)
	lateLost := machines(promoting.Revision, 0)
	lateLost[2].Confirmed, lateLost[2].Lost = 0, true
	unconfirmed := machines(promoting.Revision, 0)
	unconfirmed[3].Confirmed--
	few := machines(canary.Revision, 0)[:7]
	untried, idle := untried()
	for _, c := range []struct {
		name     string
		set      Set
		leader   bool
		machines []Machine
		after    time.Duration // since the stage was first seen
		want     Stage         // 0: it stays
	}{
		{"too early", canary, true, machines(1, 0), 5900 * time.Millisecond, 0},
		{"promoted", canary, true, machines(1, 0), 6100 * time.Millisecond, Promoting},
		{"too little is known of the new version", canary, true, untried, 19 * time.Second, 0},
		{"a service without requests", canary, true, idle, 6100 * time.Millisecond, Promoting},
		{"ordered long before this process has started", canary, true, ordered(machines(1, 0)), time.Second, Promoting},
		{"not the leader", canary, false, machines(1, 0), 7 * time.Second, 0},
		{"bad, seen by any machine", canary, false, machines(1, 0.5), time.Second, Recalled},
		{"too few new servers", canary, true, few, 9 * time.Second, 0},
		{"never delivered", canary, true, few, 21 * time.Second, Recalled},
		{"all have confirmed", promoting, true, machines(promoting.Revision, 0), 8100 * time.Millisecond, Delivered},
		{"the old version may still be needed", promoting, true, machines(promoting.Revision, 0), 7900 * time.Millisecond, 0},
		{"not long enough", promoting, true, ordered(machines(promoting.Revision, 0)), 900 * time.Millisecond, 0},
		{"ordered long before", promoting, true, ordered(machines(promoting.Revision, 0)), 1100 * time.Millisecond, Delivered},
		{"one has not confirmed", promoting, true, unconfirmed, 9 * time.Second, 0},
		{"one is lost lately", promoting, true, lateLost, 2 * time.Second, 0},
		{"one is lost for long", promoting, true, lateLost, 9 * time.Second, Delivered},
		{"bad when it has all requests", promoting, false, machines(promoting.Revision, 0.5), time.Second, Recalled},
		{"its servers are gone", promoting, true, machines(promoting.Revision, 0)[:5], time.Second, Recalled},
	} {
		due := decided(View{Self: "self", Leader: c.leader, Set: c.set}, c.machines, c.after)
		switch {
		case c.want == 0 && len(due) == 0:
		case len(due) == 1 && due[0].To == c.want:
		default:
			t.Errorf("%s: %+v, want %v", c.name, due, c.want)
		}
	}
}

// A control machine that has just started does not know all sidecars: it neither delivers nor recalls for want of servers.
func TestStartedMachineDecidesNothingOnWhatItLacks(t *testing.T) {
	promoting := advanced(started(Set{}, "v2"), Promoting)
	promoting.Rollouts[0].Term = time.Second
	controller := NewController(timing.Default().Rollouts, 50)
	for now := time.Duration(0); now <= timing.Default().Rollouts.LostSidecarWait; now += 100 * time.Millisecond {
		if due := controller.Decide(now, View{Leader: true, Set: promoting}); len(due) > 0 {
			t.Fatalf("at %v: %+v", now, due)
		}
	}
}
