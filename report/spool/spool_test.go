package spool

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func interval(i int, growth []int64, gauges ...float64) *Interval {
	return Pack(start.Add(time.Duration(i+1)*10*time.Second), 10*time.Second, growth, gauges)
}

// Unpacking returns what was packed, and merged intervals have the sum of both.
func TestPackAndMerge(t *testing.T) {
	numbers := rapid.SliceOfN(rapid.OneOf(rapid.Just(int64(0)), rapid.Int64Range(0, 1<<40)), 0, 60)
	values := rapid.SliceOfN(rapid.OneOf(rapid.Just(math.NaN()), rapid.Float64(),
		rapid.Map(rapid.IntRange(0, 1<<40), func(i int) float64 { return float64(i) })), 0, 20)
	rapid.Check(t, func(t *rapid.T) {
		a, b := numbers.Draw(t, "a"), numbers.Draw(t, "b")
		ga, gb := values.Draw(t, "gauges a"), values.Draw(t, "gauges b")
		m := Merge(interval(0, a, ga...), interval(1, b, gb...))
		if !m.End.Equal(start.Add(20*time.Second)) || m.Duration != 20*time.Second {
			t.Fatalf("ends %v, spans %v", m.End, m.Duration)
		}
		sum := m.AddTo(make([]int64, 60))
		for i := range sum {
			want := int64(0)
			if i < len(a) {
				want += a[i]
			}
			if i < len(b) {
				want += b[i]
			}
			if sum[i] != want {
				t.Fatalf("counter %d is %d, want %d", i, sum[i], want)
			}
		}
		got := m.Gauges(slices.Repeat([]float64{math.NaN()}, len(gb)))
		for i := range gb {
			if math.Float64bits(got[i]) != math.Float64bits(gb[i]) && !(math.IsNaN(got[i]) && math.IsNaN(gb[i])) {
				t.Fatalf("gauge %d is %v, want %v", i, got[i], gb[i])
			}
		}
	})
}

// After any sequence of additions, writes, lost connections and deliveries, the spool stays within its limit and in order, the
// delivered and remaining counts add up to all that was counted, and each interval's totals are those at its end.
func TestSpoolKeepsAllCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(0)
		counted, arrived := make([]int64, 40), make([]int64, 40)
		var totalsAt [][]int64 // by number of the interval
		var inFlight []*Entry
		big := rapid.IntRange(1, 40).Draw(t, "series")
		for step := range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4, 5:
				growth := make([]int64, big)
				for i := range growth {
					growth[i] = rapid.Int64Range(0, 1<<30).Draw(t, "n")
					counted[i] += growth[i]
				}
				totalsAt = append(totalsAt, slices.Clone(counted))
				s.Add(interval(len(totalsAt)-1, growth, 1, float64(step)))
			case 6, 7:
				e := s.OldestPending()
				if rapid.Bool().Draw(t, "newest") {
					e = s.NewestPending()
				}
				if e != nil {
					n := int(e.End.Sub(start)/(10*time.Second)) - 1
					if got := s.Totals(e); !slices.Equal(got, totalsAt[n][:len(got)]) {
						t.Fatalf("interval %d has totals %v, want %v", n, got, totalsAt[n])
					}
					s.MarkWritten(e, start.Add(time.Duration(step)))
					inFlight = append(inFlight, e)
				}
			case 8:
				s.Requeue()
				inFlight = nil
			case 9:
				s.MarkDeliveredBefore(start.Add(time.Duration(step)))
				for _, e := range inFlight {
					arrived = e.AddTo(arrived)
				}
				inFlight = nil
			}
			checkSpool(t, s, arrived, counted, big)
		}
	})
}

// checkSpool compares the sum of delivered and remaining counts with what was counted, and checks order and size of the spool.
func checkSpool(t *rapid.T, s *Spool, arrived, counted []int64, series int) {
	sum, end := slices.Clone(arrived), time.Time{}
	undelivered := 0
	for _, e := range s.entries {
		if e.state != delivered {
			sum = e.AddTo(sum)
		}
		if e.state == written {
			undelivered += e.Size()
		}
		if !e.End.After(end) {
			t.Fatalf("%v after %v", e.End, end)
		}
		end = e.End
	}
	if !slices.Equal(sum, counted) {
		t.Fatalf("sum is %v, counted were %v", sum, counted)
	}
	if s.Size() > MinBytes+undelivered+3*(intervalOverheadBytes+6*series+20) {
		t.Fatalf("%d bytes, of which %d are written", s.Size(), undelivered)
	}
}

// When space runs out, all intervals lose half of their resolution before one loses more, the oldest first.
func TestOldestLoseResolutionFirst(t *testing.T) {
	s := New(MinBytes)
	for i := range 400 {
		s.Add(interval(i, []int64{1, 2, 3}, 5))
	}
	last := time.Duration(math.MaxInt64)
	for _, e := range s.entries {
		if e.Duration > last {
			t.Fatalf("%v after %v", e.Duration, last)
		}
		last = e.Duration
	}
	oldest, middle, n := s.entries[0].Duration, s.entries[len(s.entries)/2].Duration, len(s.entries)
	if oldest > 2*middle || s.entries[n*7/8].Duration != 10*time.Second || s.Merged() == 0 || s.Pending() != n {
		t.Errorf("the oldest of %d lasts %v, the middle one %v, %d merged", n, oldest, middle, s.Merged())
	}
}

// One hour at intervals of 10 s of a sidecar with 30 classes and 30 tenants, all with requests, fits in the default 4 MiB
// unmerged. As plain arrays it would take 34 MB.
func TestDefaultSpoolHoldsAnHour(t *testing.T) {
	s := New(4 << 20)
	series := 30*(6+2+170) + 30*30*6
	for i := range 360 {
		growth := make([]int64, series)
		for k := range growth {
			if k%3 == 0 { // most latencies and outcomes don't occur in an interval
				growth[k] = int64(k%200 + i%7)
			}
		}
		gauges := make([]float64, 30*2+30*30+200)
		s.Add(interval(i, growth, gauges...))
	}
	if s.Merged() > 0 || s.Pending() != 360 {
		t.Errorf("%d pending, %d merged", s.Pending(), s.Merged())
	}
	t.Logf("%d bytes for an hour of %d counters: %.2f per series and hour", s.Size(), series, float64(s.Size())/float64(series))
}

func BenchmarkPack(b *testing.B) {
	growth := make([]int64, 16000)
	for k := 0; k < len(growth); k += 3 {
		growth[k] = int64(k % 200)
	}
	b.ReportAllocs()
	for b.Loop() {
		Pack(start, 10*time.Second, growth, nil)
	}
}
