package overload

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// drive offers requests at rates a sample for some samples and returns the part of each class that was let in after the
// first of them.
func drive(s *Shedder, part float64, rates []int) []float64 {
	in, of := make([]float64, len(rates)), make([]float64, len(rates))
	for sample := range 200 {
		for c, n := range rates {
			for range n {
				ok := s.Offer(c)
				if sample < 50 {
					continue
				}
				of[c]++
				if ok {
					in[c]++
				}
			}
		}
		s.Sample(part)
	}
	for c := range in {
		in[c] /= max(1, of[c])
	}
	return in
}

// What is worth most comes in first, and of what is worth least a little.
func TestWorthGoesFirst(t *testing.T) {
	for name, c := range map[string]struct {
		part float64
		want []float64 // of classes of worth 1, 8 and 3, of which 50, 20 and 30 come
	}{
		"all":                {1, []float64{1, 1, 1}},
		"the worthy half":    {0.5, []float64{0.025, 1, 0.96}},
		"less than the best": {0.1, []float64{0.005, 0.48, 0.005}},
		"all but the last":   {0.9, []float64{0.8, 1, 1}},
	} {
		got := drive(New([]float64{1, 8, 3}), c.part, []int{50, 20, 30})
		for i := range got {
			if math.Abs(got[i]-c.want[i]) > 0.03 {
				t.Errorf("%s: %.3f let in, want %.3f", name, got, c.want)
				break
			}
		}
	}
}

// Of one class, or of classes that are worth the same, the part is let in, spread evenly.
func TestOneClass(t *testing.T) {
	if got := drive(New(nil), 0.3, []int{100}); math.Abs(got[0]-0.3) > 0.01 {
		t.Errorf("%v of 0.3", got)
	}
	s := New(nil)
	s.Offer(0)
	s.Sample(0.25)
	run := 0
	for range 100 {
		if run++; s.Offer(0) {
			run = 0
		}
		if run > 4 {
			t.Fatalf("%d in a row are turned away of which a quarter may come in", run)
		}
	}
}

// Who is not known counts as of the least worth, and the worthy may fill more of a backlog.
func TestRoom(t *testing.T) {
	s := New([]float64{1, 8, 3})
	if s.Room(1) != 1 || s.Room(0) != lowest || s.Room(-1) != lowest || s.Room(9) != lowest || !(s.Room(2) > lowest && s.Room(2) < 1) {
		t.Errorf("rooms %v %v %v", s.Room(0), s.Room(1), s.Room(2))
	}
	if New([]float64{3, 3}).Room(1) != 1 {
		t.Error("of two of the same worth one has less room")
	}
}

// Whatever the classes, their rates and the part: no more than the part comes in, a worthier class never has less of its
// requests in than one of less worth, and none is shut out.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "classes")
		worth, rates := make([]float64, n), make([]int, n)
		for i := range n {
			worth[i], rates[i] = rapid.Float64Range(0, 10).Draw(t, "worth"), rapid.IntRange(1, 100).Draw(t, "rate")
		}
		part := rapid.Float64Range(0.05, 1).Draw(t, "part")
		got := drive(New(worth), part, rates)
		in, of := 0.0, 0.0
		for i := range n {
			in, of = in+got[i]*float64(rates[i]), of+float64(rates[i])
			if got[i] == 0 && float64(rates[i])*150*keep*part > 2 {
				t.Fatalf("class %d of %v is shut out: %v", i, worth, got)
			}
			for j := range n {
				if worth[i] > worth[j] && got[i] < got[j]-0.03 {
					t.Fatalf("worth %v at %v of a part of %.2f: %v", worth, rates, part, got)
				}
			}
		}
		if in/of > part+0.03 {
			t.Fatalf("%.3f of all are in, of a part of %.3f", in/of, part)
		}
	})
}

func BenchmarkOffer(b *testing.B) {
	s := New([]float64{1, 8, 3, 2, 5})
	s.Sample(0.5)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.Offer(i % 5)
		i++
	}
}
