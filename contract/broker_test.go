package contract

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	reserve = iota // worth 8
	lookup         // worth 3
	lite           // worth 1
)

const ms = time.Millisecond

func (b *Broker) admit(now time.Duration, team, class int) Decision {
	return b.Admit(now, Request{Team: team, Class: class})
}

// checkReason compares a decision's reason with want, and its verdict and grant with the reason.
func checkReason(t *testing.T, name string, d Decision, want Reason) Decision {
	t.Helper()
	if d.Reason != want || (d.Verdict == Admitted) != (want <= Degraded) || d.Grant.Valid() != (want <= Degraded) {
		t.Errorf("%s: %v, verdict %d, valid grant %v: want %v", name, d.Reason, d.Verdict, d.Grant.Valid(), want)
	}
	return d
}

// RetryAfter is the exact time at which the budget suffices again: a request just before it is rejected, and one at that time admitted.
func TestRetryAfterIsExact(t *testing.T) {
	b := New(0, compile(t, deployment(0), terms("a", 10, 16)))
	for range 2 {
		checkReason(t, "within the burst", b.admit(0, 0, reserve), WithinBudget)
	}
	d := checkReason(t, "beyond", b.admit(0, 0, reserve), OverBudget)
	if d.RetryAfter != 800*ms {
		t.Errorf("retry after %v for a worth of 8 at 10 a second", d.RetryAfter)
	}
	checkReason(t, "2 ms before RetryAfter", b.admit(d.RetryAfter-2*ms, 0, reserve), OverBudget)
	checkReason(t, "after RetryAfter", b.admit(d.RetryAfter, 0, reserve), WithinBudget)
}

// A team without a budget is rejected with a finite RetryAfter, although its bucket is never refilled.
func TestZeroBudget(t *testing.T) {
	b := New(0, compile(t, deployment(0), terms("a", 0, 0)))
	if d := checkReason(t, "nothing", b.admit(time.Hour, 0, lite), OverBudget); d.RetryAfter != maxRetryAfter {
		t.Errorf("retry after %v", d.RetryAfter)
	}
}

func TestDeniesUnknownTeamAndClass(t *testing.T) {
	a := terms("a", 10, 20)
	a.Classes = a.Classes[:2]
	b := New(0, compile(t, deployment(0), a))
	if d := checkReason(t, "a class outside the contract", b.admit(0, 0, lite), ClassNotAllowed); d.Verdict != Denied {
		t.Errorf("verdict %d", d.Verdict)
	}
	if d := b.DenyUnknownTeam(); d.Verdict != Denied || b.Report(0).UnknownTeam != 1 {
		t.Errorf("unknown team: %+v", d)
	}
}

// When the budget runs low, classes of a lower priority are rejected first.
func TestLowPriorityIsRejectedFirst(t *testing.T) {
	a := terms("a", 1, 20)
	a.Classes = []ClassTerms{{reserve, 2, -1}, {lookup, 1, -1}, {lite, 0, -1}}
	b := New(0, compile(t, deployment(0), a))
	for _, c := range []struct {
		class int
		want  Reason
	}{{lookup, WithinBudget}, {lite, WithinBudget}, {lookup, WithinBudget}, {lookup, WithinBudget}, {lite, OverBudget}, {lookup, WithinBudget},
		{lookup, OverBudget}, {reserve, OverBudget}} {
		checkReason(t, fmt.Sprint(c.class, " at ", b.accounts[0].budget.available), b.admit(0, 0, c.class), c.want)
	}
}

func TestDegradesOverBudget(t *testing.T) {
	a := terms("a", 1, 10)
	a.OverPolicy, a.Classes[1].DegradeTo = Degrade, lite
	b := New(0, compile(t, deployment(0), a))
	for range 3 {
		checkReason(t, "within", b.admit(0, 0, lookup), WithinBudget)
	}
	if d := checkReason(t, "beyond", b.admit(0, 0, lookup), Degraded); d.Class != lite {
		t.Errorf("degraded to class %d", d.Class)
	}
	checkReason(t, "beyond the degraded class too", b.admit(0, 0, lookup), OverBudget)
}

// The charge of a request that was not executed is refunded once, and never beyond the burst.
func TestUnusedGrantIsRefundedOnce(t *testing.T) {
	b := New(0, compile(t, deployment(0), terms("a", 1e-9, 16)))
	first, second := b.admit(0, 0, reserve), b.admit(0, 0, reserve)
	b.Release(0, first.Grant, false)
	checkReason(t, "after a refund", b.admit(0, 0, reserve), WithinBudget)
	b.Release(0, second.Grant, true)
	checkReason(t, "after one was executed", b.admit(0, 0, reserve), OverBudget)
	b.Release(0, Grant{}, false)
	if a := b.accounts[0]; a.open != 1 || a.heldWorth != 8 || a.returnedWorth != 8 {
		t.Errorf("%d open, %v held, %v refunded", a.open, a.heldWorth, a.returnedWorth)
	}
}

func TestMaxOpen(t *testing.T) {
	a := terms("a", 1000, 1000)
	a.MaxOpen = 2
	b := New(0, compile(t, deployment(0), a))
	first := b.admit(0, 0, lite)
	b.admit(0, 0, lite)
	checkReason(t, "a third in flight", b.admit(0, 0, lite), OverMaxOpen)
	b.Release(0, first.Grant, true)
	checkReason(t, "after one has ended", b.admit(0, 0, lite), WithinBudget)
}

// Retries beyond the retry budget are rejected as such, whether the client marks them or they are detected by their identity.
func TestRetryBudget(t *testing.T) {
	a := terms("a", 1e6, 1e6)
	a.Retries = RetryTerms{Share: 0.1, Window: 10 * time.Second}
	for name, retry := range map[string]func(i int) Request{
		"marked":            func(int) Request { return Request{Class: lite, MarkedRetry: true} },
		"by their identity": func(i int) Request { return Request{Class: lite, Identity: 1 + uint64(i%100)} },
	} {
		b := New(0, compile(t, deployment(0), a))
		b.accounts[0].retries.available = 0
		for i := range 100 { // first attempts, which earn ten retries, of which the burst keeps one
			checkReason(t, name, b.Admit(0, Request{Class: lite, Identity: 1 + uint64(i)}), WithinBudget)
		}
		admitted := 0
		for i := range 50 {
			if b.Admit(0, retry(i)).Verdict == Admitted {
				admitted++
			}
		}
		if admitted != 1 {
			t.Errorf("%s: %d of 50 retries were admitted: want the one in the burst", name, admitted)
		}
		if got := b.accounts[0].countByReason[OverRetries]; got != 49 {
			t.Errorf("%s: %d were rejected as over the retry budget", name, got)
		}
	}
}

// The floor admits retries at low rates, also without first attempts.
func TestRetryFloor(t *testing.T) {
	a := terms("a", 1e6, 1e6)
	a.Retries = RetryTerms{FloorPerSecond: 1, Window: 10 * time.Second}
	b := New(0, compile(t, deployment(0), a))
	admitted := 0
	for i := range 1000 {
		if b.Admit(time.Duration(i)*100*ms, Request{Class: lite, MarkedRetry: true}).Verdict == Admitted {
			admitted++
		}
	}
	if admitted < 105 || admitted > 111 { // a burst of ten, and one a second for 100 s
		t.Errorf("%d retries in 100 s", admitted)
	}
}

// A rejected request was not executed. Another attempt after RetryAfter is neither a retry nor a first attempt, which would earn a retry;
// an attempt before RetryAfter is a retry.
func TestRetryAfterRejection(t *testing.T) {
	a := terms("a", 1, 8)
	a.Retries = RetryTerms{Share: 1, Window: time.Minute}
	b := New(0, compile(t, deployment(0), a))
	b.accounts[0].retries.available = 0
	checkReason(t, "the first", b.admit(0, 0, reserve), WithinBudget) // earns a retry
	d := checkReason(t, "beyond", b.Admit(0, Request{Class: reserve, Identity: 7}), OverBudget)
	checkReason(t, "before RetryAfter, charged as a retry", b.Admit(d.RetryAfter/2, Request{Class: reserve, Identity: 7}), OverBudget)
	before := b.accounts[0].retries.available
	checkReason(t, "after RetryAfter", b.Admit(20*time.Second, Request{Class: reserve, Identity: 7, MarkedRetry: true}), WithinBudget)
	if after := b.accounts[0].retries.available; after != before {
		t.Errorf("the attempt changed the retry budget: %v before, %v after", before, after)
	}
	b.accounts[0].retries.available = 0
	checkReason(t, "again, after it was admitted", b.Admit(40*time.Second, Request{Class: reserve, Identity: 7}), OverRetries)
}

// The table has a fixed size and evicts the oldest attempts.
func TestAttemptTableEvictsOldest(t *testing.T) {
	r := newAttemptTable(16)
	for i := range uint64(1000) {
		r.record(time.Duration(i), i+1, time.Second, false, 0)
	}
	kept := 0
	for i := range uint64(1000) {
		if r.find(1000, i+1, time.Second) != nil {
			kept++
		}
	}
	if kept > 16 || kept < 8 || len(r.slots) != 16 {
		t.Errorf("%d of 1000 kept in 16 places", kept)
	}
	if r.find(2*time.Second, 1000, time.Second) != nil {
		t.Error("found after its window")
	}
}

// A team that left its guaranteed share unused regains it within 100 ms, while another team borrows and sends far more than its budget.
func TestLenderRegainsGuarantee(t *testing.T) {
	lender, borrower := terms("lender", 800, 100), terms("borrower", 200, 50)
	lender.GuaranteedShare, borrower.GuaranteedShare, borrower.OverPolicy = 0.8, 0.2, Borrow
	b := New(0, compile(t, deployment(1000), lender, borrower))
	admitted := [2][2]float64{} // by team and phase
	for now := time.Duration(0); now < 4*time.Second; now += ms {
		phase := 0
		if now >= 2*time.Second {
			phase = 1
			if d := b.admit(now, 0, lite); d.Verdict == Admitted && now < 2*time.Second+100*ms {
				admitted[0][phase]++
			}
		}
		for range 20 { // 20,000 a second
			if d := b.admit(now, 1, lite); d.Verdict == Admitted {
				admitted[1][phase]++
			}
		}
	}
	if admitted[0][1] < 79 { // of the 80 that 100 ms of 800 a second are
		t.Errorf("the lender got %v in its first 100 ms", admitted[0][1])
	}
	if alone := admitted[1][0] / 2; alone < 950 || alone > 1100 {
		t.Errorf("the borrower had %v a second alone", alone)
	}
	if beside := admitted[1][1] / 2; beside > 320 {
		t.Errorf("the borrower had %v a second beside the lender", beside)
	}
}

// A team within its budget is admitted beside a team that borrows all spare capacity, also without a guaranteed share.
func TestBudgetBeforeBorrowing(t *testing.T) {
	modest, borrower := terms("modest", 300, 100), terms("borrower", 10, 10)
	borrower.OverPolicy = Borrow
	b := New(0, compile(t, deployment(1000), modest, borrower))
	for now := time.Duration(0); now < 2*time.Second; now += ms {
		for range 20 {
			b.admit(now, 1, lite)
		}
		if now%(10*ms) == 0 {
			if d := b.admit(now, 0, lite); d.Verdict != Admitted {
				t.Fatalf("at %v: %v", now, d.Reason)
			}
		}
	}
}

// A team gets its guaranteed share beside any mix of other teams' requests.
func TestGuaranteeHolds(t *testing.T) {
	all := []Terms{terms("a", 300, 100), terms("b", 5000, 5000), terms("c", 0, 0), terms("d", 2000, 100)}
	all[0].GuaranteedShare, all[3].GuaranteedShare = 0.3, 0.5
	all[1].OverPolicy, all[2].OverPolicy, all[3].OverPolicy = Borrow, Borrow, Borrow
	b := New(0, compile(t, deployment(1000), all...))
	admitted, requested := 0.0, 0.0
	for now := time.Duration(0); now < 5*time.Second; now += ms {
		for range 10 {
			for _, other := range []int{1, 2, 3} {
				b.admit(now, other, int(now/ms)%3)
			}
		}
		if now%(10*ms) == 0 { // 300 a second
			requested += 3
			if b.admit(now, 0, lookup).Verdict == Admitted {
				admitted += 3
			}
		}
	}
	if admitted < requested {
		t.Errorf("%v of %v within the guarantee", admitted, requested)
	}
}

// While all teams are backlogged, their shares converge to their weights whatever their request rates, and the whole capacity is used.
func TestSharesConverge(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	weights := []float64{100, 200, 300, 400}
	load := []float64{20, 5, 3, 2} // request rate, in multiples of the budget
	var all []Terms
	for i, w := range weights {
		one := terms(fmt.Sprint(i), w, 50)
		one.OverPolicy = Borrow
		all = append(all, one)
	}
	b := New(0, compile(t, deployment(500), all...))
	admitted, sum := make([]float64, 4), 0.0
	for now := time.Duration(0); now < 20*time.Second; now += ms {
		for i, w := range weights {
			for range int(w * load[i] / 1000 * 2 * (0.5 + r.Float64())) {
				if d := b.admit(now, i, lite); d.Verdict == Admitted && now > time.Second {
					admitted[i]++
					sum++
				}
			}
		}
	}
	if rate := sum / 19; rate < 490 || rate > 520 {
		t.Errorf("admitted %v a second of a capacity of 500", rate)
	}
	for i := range admitted {
		if share := admitted[i] / sum; math.Abs(share-weights[i]/1000) > 0.02 {
			t.Errorf("team %d got a share of %.3f: want %.3f", i, share, weights[i]/1000)
		}
	}
}

// A backward step of the clock doesn't change the buckets, and a forward jump refills at most one burst.
func TestClockJumps(t *testing.T) {
	b := New(0, compile(t, deployment(0), terms("a", 10, 8)))
	checkReason(t, "first", b.admit(0, 0, reserve), WithinBudget)
	checkReason(t, "an hour ahead", b.admit(time.Hour, 0, reserve), WithinBudget)
	checkReason(t, "back", b.admit(0, 0, reserve), OverBudget)
	checkReason(t, "0.4 s on", b.admit(400*ms, 0, reserve), OverBudget)
	checkReason(t, "0.8 s on", b.admit(800*ms, 0, reserve), WithinBudget)
}

// Contracts change while requests are in flight: a smaller budget applies to the next request, the account of a removed team is kept until
// its last request is released, and is used again if the team returns before.
func TestSwap(t *testing.T) {
	d := deployment(0)
	a, z := terms("a", 1e-9, 100), terms("z", 1e-9, 100)
	b := New(0, compile(t, d, a, z))
	open := b.admit(0, 0, reserve)
	other := b.admit(0, 1, reserve)
	a.Burst = 16
	b.Swap(0, compile(t, d, z, a))
	if b.Version() != 2 || b.accounts[1].open != 1 || b.accounts[1].budget.available != 16 || b.accounts[0].budget.available != 92 {
		t.Errorf("after the swap: %+v", b.Report(0))
	}
	b.Swap(0, compile(t, d, z))
	if r := b.Report(0); len(r.Teams) != 2 || !r.Teams[1].Leaving || r.Teams[1].Open != 1 {
		t.Errorf("after a team was removed: %+v", r)
	}
	b.Swap(0, compile(t, d, a, z))
	if r := b.Report(0); len(r.Teams) != 2 {
		t.Errorf("after the team was added again: %+v", r)
	}
	b.Release(0, open.Grant, false)
	if b.accounts[0].open != 0 || b.accounts[0].budget.available != 16 || len(b.leaving) != 0 {
		t.Errorf("after the last release: %+v", b.Report(0))
	}
	b.Swap(0, compile(t, d, a))
	b.Release(0, other.Grant, true)
	if len(b.leaving) != 0 {
		t.Error("the account of a removed team is kept after its last request was released")
	}
}

// Over any window the admitted worth is at most the budget for the window plus one burst, whatever is requested and refunded.
func TestNeverMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worth, burst := rapid.Float64Range(0, 200).Draw(t, "worth"), rapid.Float64Range(8, 100).Draw(t, "burst")
		set, err := Compile(deployment(0), []Terms{terms("a", worth, burst)})
		if err != nil {
			t.Fatal(err)
		}
		b := New(0, set)
		type admission struct {
			at    time.Duration
			worth float64
		}
		var all []admission
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * ms
			d := b.admit(now, 0, rapid.IntRange(0, 2).Draw(t, "class"))
			if d.Verdict != Admitted {
				continue
			}
			ran := rapid.Bool().Draw(t, "ran")
			b.Release(now, d.Grant, ran)
			if ran {
				all = append(all, admission{now, d.Grant.worth})
			}
			sum := 0.0
			for i := len(all) - 1; i >= 0; i-- {
				sum += all[i].worth
				if window := now - all[i].at; sum > worth*window.Seconds()+max(burst, 8)+1e-6 {
					t.Fatalf("%v within %v at %v a second and a burst of %v", sum, window, worth, burst)
				}
			}
		}
	})
}

// drawTerms returns random contracts of one to six teams, in random order.
func drawTerms(r *rand.Rand) []Terms {
	var all []Terms
	for i := range 1 + r.IntN(6) {
		one := terms(fmt.Sprint(i), 10+r.Float64()*200, 8+r.Float64()*50)
		one.OverPolicy, one.GuaranteedShare, one.MaxOpen = OverPolicy(r.IntN(3)), 0.1, r.IntN(50)
		one.Retries = RetryTerms{Share: 0.2, FloorPerSecond: 1, Window: time.Second}
		all = append(all, one)
	}
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// checkHeld compares the requests in flight of a report, and their worth, with the grants that have not been released.
func checkHeld(t *testing.T, report Report, open []Decision) {
	t.Helper()
	held, n := 0.0, 0
	for _, o := range open {
		held += o.Grant.worth
	}
	got := 0.0
	for _, s := range report.Teams {
		got += s.HeldWorth
		n += s.Open
	}
	if n != len(open) || math.Abs(got-held) > 1e-6 {
		t.Fatalf("%d open and %v held, of %d and %v", n, got, len(open), held)
	}
}

// Over a million random events with contract changes, the accounts hold exactly the grants that have not been released.
func TestNoGrantLeaks(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	d := deployment(500)
	version := func() *Set { return compile(t, d, drawTerms(r)...) }
	b := New(0, version())
	var open []Decision
	now := time.Duration(0)
	for i := range 1_000_000 {
		now += time.Duration(r.IntN(2000)-200) * time.Microsecond // sometimes a backward step
		switch {
		case i%1000 == 0:
			b.Swap(now, version())
		case r.IntN(2) == 0 && len(open) > 0:
			at := r.IntN(len(open))
			b.Release(now, open[at].Grant, r.IntN(3) > 0)
			open[at] = open[len(open)-1]
			open = open[:len(open)-1]
		default:
			got := b.Admit(now, Request{Team: r.IntN(len(b.accounts)), Class: r.IntN(3), MarkedRetry: r.IntN(9) == 0, Identity: r.Uint64N(5000)})
			if got.Verdict == Admitted {
				open = append(open, got)
			} else if got.RetryAfter < minRetryAfter || got.RetryAfter > maxRetryAfter {
				t.Fatalf("retry after %v", got.RetryAfter)
			}
		}
		if i%10_000 == 0 {
			checkHeld(t, b.Report(now), open)
		}
	}
	for _, o := range open {
		b.Release(now, o.Grant, true)
	}
	backlogged := 0
	for s := b.fair.oldest; s != nil; s = s.next {
		backlogged++
	}
	for _, s := range b.Report(now).Teams {
		if s.Open != 0 || s.HeldWorth != 0 || s.Leaving {
			t.Errorf("account not empty after all releases: %+v", s)
		}
	}
	if backlogged > len(b.accounts) {
		t.Errorf("%d of %d teams are backlogged", backlogged, len(b.accounts))
	}
}

// BenchmarkAdmit shows that the cost of a decision doesn't depend on the number of teams.
func BenchmarkAdmit(bm *testing.B) {
	for _, n := range []int{3, 100, 10_000} {
		for _, kind := range []string{"within", "refused", "borrowed"} {
			bm.Run(fmt.Sprintf("%s/teams=%d", kind, n), func(bm *testing.B) {
				all := make([]Terms, n)
				for i := range all {
					all[i] = terms(fmt.Sprint(i), 1e9, 1e9)
					all[i].Retries = RetryTerms{Share: 0.1, FloorPerSecond: 1, Window: time.Second}
					if kind != "within" {
						all[i].WorthPerSecond, all[i].Burst = 1, 8
					}
					if kind == "borrowed" {
						all[i].OverPolicy = Borrow
					}
				}
				b := New(0, compile(bm, deployment(1e9), all...))
				bm.ReportAllocs()
				i := 0
				for bm.Loop() {
					now := time.Duration(i) * time.Microsecond
					d := b.Admit(now, Request{Team: i * 7919 % n, Class: lookup, Identity: uint64(i)})
					b.Release(now, d.Grant, true)
					i++
				}
			})
		}
	}
}

// Equal shares of a budget reject requests within the budget when the load of the instances is uneven; configured shares that match the
// load don't. See docs/measurements/broker.md.
func TestUnevenInstances(t *testing.T) {
	load := []float64{0.5, 0.2, 0.2, 0.1}
	admittedShare := func(parts []float64) float64 {
		r := rand.New(rand.NewPCG(3, 4))
		admittedCount, requested := 0.0, 0.0
		for i, part := range parts {
			d := deployment(0)
			d.InstanceShare = part
			b := New(0, compile(t, d, terms("a", 400, 120)))
			rate := 0.8 * 400 * load[i] / 3 // requests a second, at four fifths of the budget
			for now := time.Duration(0); now < time.Minute; now += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
				requested++
				if b.admit(now, 0, lookup).Verdict == Admitted {
					admittedCount++
				}
			}
		}
		return admittedCount / requested
	}
	equal, configured := admittedShare([]float64{0.25, 0.25, 0.25, 0.25}), admittedShare(load)
	t.Logf("admitted with equal shares %.3f, with configured ones %.3f", equal, configured)
	if equal > 0.85 || equal < 0.75 || configured < 0.98 {
		t.Errorf("admitted with equal shares %.3f, with configured ones %.3f", equal, configured)
	}
}
