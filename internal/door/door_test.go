package door

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drive plays periods in which the processor is used by a share and events are late, and returns the door.
func drive(d *Door, from, n int, use float64, late time.Duration) {
	for i := range n {
		last := d.used[(d.next+window-1)%window]
		d.Sample(time.Duration(from+i+1)*Period, last+time.Duration(use*d.cores*float64(Period)), late)
	}
}

// admitted is how many of so many requests are let in, so far apart that none waits for another.
func admitted(d *Door, of int) (n int) {
	for range of {
		if d.Admit(d.owedAt+time.Second, 0) {
			n++
		}
	}
	return n
}

func TestOpenWhileThereIsProcessor(t *testing.T) {
	d := New(0.5, nil)
	drive(d, 0, 50, 0.7, time.Second) // late for another reason, such as a stopped machine
	if n := admitted(d, 1000); n != 1000 {
		t.Errorf("%d of 1000 are let in", n)
	}
	drive(d, 50, 50, 1, time.Millisecond) // busy, and in time
	if n := admitted(d, 1000); n != 1000 {
		t.Errorf("busy and in time: %d of 1000 are let in", n)
	}
}

func TestNobodyKnowsTheCores(t *testing.T) {
	d := New(0, nil)
	for i := range 50 {
		d.Sample(time.Duration(i)*Period, time.Duration(i)*Period, time.Second)
	}
	if !d.Admit(0, 0) {
		t.Error("it is closed")
	}
}

// Out of processor: fewer come in from one period to the next, never none, and the rush's end is noticed within seconds.
func TestClosesAndOpensAgain(t *testing.T) {
	d := New(0.25, nil)
	drive(d, 0, 2*window, 1, 0) // the start
	drive(d, 2*window, 5, 1, 100*time.Millisecond)
	if n := admitted(d, 1000); n < 200 || n > 300 { // 0.75 to the fifth
		t.Errorf("after a tenth of a second %d of 1000 are let in", n)
	}
	if d.HoldOff() <= shortest {
		t.Errorf("hold-off %v", d.HoldOff())
	}
	drive(d, 20, 100, 1, 100*time.Millisecond)
	if n := admitted(d, 1000); n < 19 || n > 21 {
		t.Errorf("at the least %d of 1000 are let in", n)
	}
	drive(d, 120, 110, 0.5, 0)
	if n := admitted(d, 1000); n != 1000 {
		t.Errorf("2.2 s after the rush %d of 1000 are let in", n)
	}
}

// A rush is turned away from its first moment on, as far as it would wait for the processor; what usually comes is not.
func TestRushIsBounded(t *testing.T) {
	d := New(0.25, nil)
	at, in := time.Duration(0), 0
	for range 200 { // 2 s at 100 a second
		at += 10 * time.Millisecond
		if d.Admit(at, 0) {
			in++
		}
	}
	if in != 200 {
		t.Errorf("%d of 200 usual ones are let in", in)
	}
	in = 0
	for range 1000 { // in 0.1 s
		at += 100 * time.Microsecond
		if d.Admit(at, 0) {
			in++
		}
	}
	// 0.15 s of a quarter of a core, and what is done meanwhile, at 0.3 ms each; turning away costs too.
	if in < 50 || in > 210 {
		t.Errorf("%d of 1000 in a rush are let in", in)
	}
	if at += time.Second; !d.Admit(at, 0) {
		t.Error("after a quiet second it is still closed")
	}
}

// In a rush the classes of more worth come in, and the little ones hardly; before any sample tells of it, too.
func TestWorthComesInFirst(t *testing.T) {
	d := New(0.25, []float64{3, 8, 1})
	at := time.Duration(0)
	in := [3]int{}
	for i := range 3000 { // 0.3 s of ten thousand a second
		at += 100 * time.Microsecond
		if d.Admit(at, i%3) {
			in[i%3]++
		}
	}
	if in[1] < 2*in[0] || in[0] < in[2] {
		t.Errorf("before the first sample %v came in, of worth 3, 8 and 1", in)
	}
	drive(d, 20, 2*window+10, 1, 100*time.Millisecond)
	in = [3]int{}
	for i := range 3000 {
		at += 10 * time.Millisecond
		if d.Admit(at, i%3) {
			in[i%3]++
		}
	}
	if in[1] < 5*in[0] || in[2] == 0 {
		t.Errorf("of %.3f that may, %v came in", d.Part(), in)
	}
}

// What requests cost is learned where the processor is busy enough to tell.
func TestCostIsLearned(t *testing.T) {
	d := New(1, nil)
	used := time.Duration(0)
	for i := range 200 {
		at := time.Duration(i+1) * Period
		for range 10 {
			d.Admit(at, 0)
		}
		used += 16 * time.Millisecond // 1.6 ms a request, 80 % of the core
		d.Sample(at, used, 0)
	}
	if d.cost < 1.4e-3 || d.cost > 1.8e-3 {
		t.Errorf("a request is taken to cost %v s", d.cost)
	}
}

// Whatever the samples, the part stays in its bounds, and as many come in as it says.
func TestDoorProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(rapid.Float64Range(0.05, 4).Draw(t, "cores"), nil)
		at, used := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "samples") {
			at += time.Duration(rapid.IntRange(-5, 300).Draw(t, "span")) * time.Millisecond
			used += time.Duration(rapid.IntRange(0, 400).Draw(t, "used")) * time.Millisecond
			d.Sample(at, used, time.Duration(rapid.IntRange(0, 100).Draw(t, "late"))*time.Millisecond)
			if d.Part() < least || d.Part() > 1 {
				t.Fatalf("part %v", d.Part())
			}
			if h := d.HoldOff(); h < shortest || h > longest {
				t.Fatalf("hold-off %v", h)
			}
			n := admitted(d, 500)
			if want := 500 * d.Part(); float64(n) < want-1 || float64(n) > want+1 {
				t.Fatalf("%d of 500 are let in, want %.1f", n, want)
			}
		}
	})
}
