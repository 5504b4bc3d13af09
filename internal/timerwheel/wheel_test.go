package timerwheel

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const wheelTick = 50 * time.Millisecond

type owner struct{ timeout Timer[*owner] }

// Of 100,000 time-outs that are set, set again and cleared, each fires once, not before its time and later by at most a tick and the
// interval of Advance. A cleared one never fires.
func TestTimeoutsFireOnceAndOnTime(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	const n = 100_000
	w := New[*owner](wheelTick, 128)
	conns := make([]owner, n)
	want := make([]time.Duration, n)
	index := map[*owner]int{}
	for i := range conns {
		c := &conns[i]
		c.timeout.Owner = c
		index[c] = i
		want[i] = time.Duration(r.Int64N(int64(20 * time.Second)))
		w.Set(&c.timeout, want[i])
	}
	fired := 0
	var due []*owner
	for now := time.Duration(0); now < 25*time.Second; now += wheelTick {
		due = w.Advance(now, due[:0])
		for _, c := range due {
			i := index[c]
			if want[i] == 0 {
				t.Fatalf("a cleared or fired time-out fired at %v", now)
			}
			if late := now - want[i]; late < 0 || late > wheelTick+wheelTick {
				t.Fatalf("due at %v, fired at %v", want[i], now)
			}
			want[i] = 0
			fired++
		}
		for range 2000 { // some are set again, some cleared
			i := r.IntN(n)
			if want[i] == 0 {
				continue
			}
			if r.IntN(4) == 0 {
				w.Clear(&conns[i].timeout)
				want[i] = 0
				fired++
			} else {
				want[i] = now + time.Duration(1+r.Int64N(int64(3*time.Second)))
				w.Set(&conns[i].timeout, want[i])
			}
		}
	}
	if fired != n {
		t.Errorf("%d of %d fired or were cleared", fired, n)
	}
}

// If Advance is called after more than a revolution, all time-outs that are due fire.
func TestAdvanceBeyondOneRevolution(t *testing.T) {
	w := New[*owner](wheelTick, 128)
	conns := make([]owner, 500)
	for i := range conns {
		conns[i].timeout.Owner = &conns[i]
		w.Set(&conns[i].timeout, time.Duration(i)*wheelTick)
	}
	w.Advance(0, nil)
	if due := w.Advance(time.Hour, nil); len(due) != 500 {
		t.Errorf("%d of 500 fired", len(due))
	}
}

// Next is never later than the first due time-out, and reports none only if none is set.
func TestNextIsNotLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New[int](time.Millisecond, 64*rapid.IntRange(1, 3).Draw(t, "words"))
		timers := make([]Timer[int], 20)
		due := map[int]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 19).Draw(t, "timer")
			timers[i].Owner = i
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				w.Clear(&timers[i])
				delete(due, i)
			case 1:
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
				for _, fired := range w.Advance(now, nil) {
					delete(due, fired)
				}
			default:
				due[i] = now + time.Duration(rapid.IntRange(1, 400).Draw(t, "in"))*time.Millisecond
				w.Set(&timers[i], due[i])
			}
			next, ok := w.Next()
			if ok != (len(due) > 0) {
				t.Fatalf("%v with %d set", ok, len(due))
			}
			for i, at := range due {
				if next > at {
					t.Fatalf("next at %v, timer %d is due at %v", next, i, at)
				}
			}
		}
	})
}
