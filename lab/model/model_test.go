package model

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Draws have the configured mean and coefficient of variation.
func TestDistributions(t *testing.T) {
	for _, d := range []Dist{
		{"fixed", 20 * ms, 0}, {"exp", 20 * ms, 1}, {"lognormal", 20 * ms, 0.8}, {"pareto", 20 * ms, 0.6},
	} {
		r := Rand(7, d.Kind)
		const n = 200000
		sum, squares := 0.0, 0.0
		for range n {
			x := float64(d.Draw(r)) / float64(ms)
			sum, squares = sum+x, squares+x*x
		}
		mean := sum / n
		cv := math.Sqrt(squares/n-mean*mean) / mean
		if math.Abs(mean-20) > 0.6 || math.Abs(cv-d.CV) > 0.15 {
			t.Errorf("%+v: mean %.2f ms, cv %.2f", d, mean, cv)
		}
	}
}

func TestCheckRejectsBadDistributions(t *testing.T) {
	for _, d := range []Dist{{"odd", ms, 0}, {"exp", -ms, 0}, {"exp", ms, math.NaN()}, {"pareto", ms, math.Inf(1)}} {
		if d.Check() == nil {
			t.Errorf("%+v is accepted", d)
		}
	}
}

// finish advances a server until all its jobs have ended, and returns the end of each.
func finish(s *Server) map[uint64]time.Duration {
	ends := map[uint64]time.Duration{}
	for {
		at, ok := s.Next()
		if !ok {
			return ends
		}
		for _, d := range s.Advance(at) {
			ends[d.ID] = at
		}
	}
}

func near(a, b time.Duration) bool { return (a - b).Abs() < ms/10 }

// Three requests share two cores at speed 2 evenly.
func TestRequestsShareCores(t *testing.T) {
	s := NewServer(Spec{Cores: 2, Speed: 2}, 0, false)
	for id := range uint64(3) {
		s.Offer(0, Job{ID: id, Work: 60 * ms})
	}
	for id, at := range finish(s) {
		if !near(at, 45*ms) { // 180 ms of work over 2 cores at speed 2
			t.Errorf("job %d ended at %v", id, at)
		}
	}
}

// A job that waits on other services holds a slot but no core.
func TestWaitingOccupiesSlotButNoCore(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 1, Queue: 5}, 0, false)
	s.Offer(0, Job{ID: 1, Work: 10 * ms, Wait: 40 * ms})
	s.Offer(0, Job{ID: 2, Work: 10 * ms})
	if ends := finish(s); !near(ends[1], 50*ms) || !near(ends[2], 60*ms) {
		t.Errorf("ends %v", ends)
	}
	s = NewServer(Spec{Cores: 1, Speed: 1, Slots: 2}, 0, false)
	s.Offer(0, Job{ID: 1, Work: 10 * ms, Wait: 40 * ms})
	s.Offer(0, Job{ID: 2, Work: 10 * ms, Wait: 40 * ms})
	if ends := finish(s); !near(ends[2], 60*ms) {
		t.Errorf("ends %v", ends)
	}
}

func TestFullQueueRejects(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 1, Queue: 2}, 0, false)
	var verdicts []Verdict
	for id := range uint64(4) {
		verdicts = append(verdicts, s.Offer(0, Job{ID: id, Work: ms}))
	}
	if want := []Verdict{Accepted, Accepted, Accepted, Rejected}; fmt.Sprint(verdicts) != fmt.Sprint(want) {
		t.Errorf("verdicts %v, want %v", verdicts, want)
	}
}

func TestThrashingReducesCapacity(t *testing.T) {
	ends := func(n uint64) time.Duration {
		s := NewServer(Spec{Cores: 1, Speed: 1, Thrash: 0.2, ThrashAt: 2}, 0, false)
		for id := range n {
			s.Offer(0, Job{ID: id, Work: 10 * ms})
		}
		return finish(s)[0]
	}
	if got := ends(2); !near(got, 20*ms) {
		t.Errorf("two jobs ended at %v", got)
	}
	if got := ends(6); got < 70*ms { // 60 ms without thrashing
		t.Errorf("six jobs ended at %v", got)
	}
}

func TestExpiredQueuedWorkIsDropped(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 1, DropsExpired: true}, 0, false)
	s.Offer(0, Job{ID: 1, Work: 50 * ms})
	s.Offer(0, Job{ID: 2, Work: 50 * ms, Expires: 20 * ms})
	done := s.Advance(time.Second)
	if len(done) != 2 || !done[1].Expired {
		t.Errorf("%+v", done)
	}
}

func TestDropRemovesOnlyQueuedWork(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 1}, 0, false)
	s.Offer(0, Job{ID: 1, Work: ms})
	s.Offer(0, Job{ID: 2, Work: ms})
	if s.Drop(1) || !s.Drop(2) || s.Drop(2) {
		t.Error("work in progress was dropped, or waiting work was not")
	}
}

func cold() Spec {
	return Spec{Cores: 2, Speed: 1, ColdFrom: 0.25, ColdFor: 8 * time.Second, FallMultiple: 2, FallFor: time.Second}
}

func TestColdServerWarmsUp(t *testing.T) {
	s := NewServer(cold(), time.Second, true)
	for at, want := range map[time.Duration]float64{time.Second: 0.5, 5 * time.Second: 1.25, 9 * time.Second: 2, time.Minute: 2} {
		if got := s.Capacity(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("capacity %v at %v, want %v", got, at, want)
		}
	}
}

// A cold server's budget of a window is FallMultiple times its capacity in it. A warm server has no such limit.
func TestColdServerFallsOver(t *testing.T) {
	push := func(spec Spec, isCold bool, work time.Duration) (fell bool) {
		s := NewServer(spec, 0, isCold)
		for i := range 20 { // within a second
			at := time.Duration(i) * 49 * ms
			s.Advance(at)
			fell = s.Offer(at, Job{ID: uint64(i), Work: work}) == FellOver || fell
		}
		return fell
	}
	if push(cold(), true, 45*ms) { // 0.9 s of work; the window's budget is at least 2 × 0.5 s
		t.Error("the server fell over within its budget")
	}
	if !push(cold(), true, 70*ms) { // 1.4 s
		t.Error("the server did not fall over beyond its budget")
	}
	if push(cold(), false, 70*ms) {
		t.Error("a warm server fell over")
	}
}

func TestFallenServerStaysDown(t *testing.T) {
	s := NewServer(cold(), 0, true)
	if s.Offer(0, Job{ID: 1, Work: 5 * time.Second}) != FellOver {
		t.Fatal("the server did not fall over")
	}
	s.Advance(time.Minute)
	if !s.Fallen() || s.Offer(time.Minute, Job{ID: 2, Work: ms}) != FellOver {
		t.Error("the server runs again")
	}
}

func TestSetSlowScalesRemainingWork(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1}, 0, false)
	s.Offer(0, Job{ID: 1, Work: 100 * ms})
	s.SetSlow(50*ms, 10)
	s.SetSlow(150*ms, 1) // 10 ms of work were done since
	if ends := finish(s); !near(ends[1], 190*ms) {
		t.Errorf("ends %v", ends)
	}
}

func TestReportsAreDelayed(t *testing.T) {
	s := NewServer(Spec{Cores: 2, Speed: 1, ReportEvery: 100 * ms, ReportDelay: 30 * ms}, 0, false)
	s.Offer(0, Job{ID: 1, Work: 60 * ms})
	s.Advance(125 * ms)
	if _, ok := s.Report(125 * ms); ok {
		t.Error("a report is visible before its delay is over")
	}
	l, ok := s.Report(131 * ms)
	if !ok || math.Abs(l.Util-0.3) > 0.01 || math.Abs(l.Rate-10) > 0.1 {
		t.Errorf("report %+v, %v", l, ok)
	}
}

func TestKeyTableStates(t *testing.T) {
	m := NewKeyTable()
	steps := []struct {
		at   time.Duration
		want KeyState
	}{{0, KeyNew}, {10 * ms, KeyRunning}}
	for _, s := range steps {
		if got := m.Claim(s.at, "k", 100*ms); got != s.want {
			t.Errorf("at %v: %v", s.at, got)
		}
	}
	m.Finish("k")
	if got := m.Claim(99*ms, "k", 100*ms); got != KeyDone {
		t.Errorf("within the window: %v", got)
	}
	if got := m.Claim(100*ms, "k", 100*ms); got != KeyNew {
		t.Errorf("after the window, which starts with the first request: %v", got)
	}
	m.Forget("k")
	if got := m.Claim(101*ms, "k", 100*ms); got != KeyNew {
		t.Errorf("after the key was removed: %v", got)
	}
}

// The size of the table is bounded by the keys of a window, however long the run.
func TestKeyTableIsBounded(t *testing.T) {
	m := NewKeyTable()
	for i := range 100000 {
		m.Claim(time.Duration(i)*ms, fmt.Sprint(i), 500*ms)
	}
	if m.Len() > 2048 {
		t.Errorf("%d keys are held", m.Len())
	}
}

// For any sequence of offers, each accepted job ends once, work is never done faster than the cores allow, and neither slots
// nor queue exceed their limits.
func TestServerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{
			Cores: float64(rapid.IntRange(1, 4).Draw(t, "cores")), Speed: rapid.Float64Range(0.5, 2).Draw(t, "speed"),
			Slots: rapid.IntRange(1, 8).Draw(t, "slots"), Queue: rapid.IntRange(1, 8).Draw(t, "queue"),
			Thrash: rapid.Float64Range(0, 0.5).Draw(t, "thrash"), ThrashAt: 2,
			ColdFrom: 0.2, ColdFor: time.Second, ReportEvery: 70 * ms,
			DropsExpired: rapid.Bool().Draw(t, "drops"),
		}
		s := NewServer(spec, 0, rapid.Bool().Draw(t, "cold"))
		open := map[uint64]bool{}
		ended := func(done []Done) {
			for _, d := range done {
				if !open[d.ID] {
					t.Fatalf("job %d ended twice or was never accepted", d.ID)
				}
				delete(open, d.ID)
			}
		}
		now, total := time.Duration(0), time.Duration(0)
		n := rapid.IntRange(1, 60).Draw(t, "jobs")
		for id := range uint64(n) {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * ms
			ended(s.Advance(now))
			work := time.Duration(rapid.IntRange(0, 50).Draw(t, "work")) * ms
			j := Job{ID: id, Work: work, Wait: time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * ms, Expires: now + 100*ms}
			if s.Offer(now, j) == Accepted {
				open[id] = true
				total += work
			}
			if work, queue := s.Held(); work > spec.Slots || queue > spec.Queue {
				t.Fatalf("%d running, %d queued", work, queue)
			}
		}
		for {
			at, ok := s.Next()
			if !ok {
				break
			}
			ended(s.Advance(at))
			now = at
		}
		if len(open) > 0 {
			t.Fatalf("%d jobs never ended", len(open))
		}
		if least := total.Seconds() / spec.Cores / spec.Speed; !spec.DropsExpired && now.Seconds() < least-1e-6 {
			t.Fatalf("all jobs ended after %v, want at least %.3f s", now, least)
		}
	})
}
