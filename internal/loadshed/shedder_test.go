package loadshed

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"firplank/overload"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var twoClasses = []overload.Class{{Value: 8, LatencyTarget: 250 * time.Millisecond}, {Value: 1, LatencyTarget: 500 * time.Millisecond}}

// A nil Shedder must admit every request and have no deadline margin.
func TestNilShedderAdmitsEverything(t *testing.T) {
	var shedder *Shedder
	if ok, _ := shedder.Admit(0); !ok || shedder.DeadlineMargin() != 0 {
		t.Error("a nil Shedder rejects a request or has a margin")
	}
	shedder.RequestEnded(0, 0, overload.Answered)
	shedder.RecordQueueDelay(time.Hour)
}

// When overloaded servers do not respond, a bounded number of requests must be admitted. Rejected clients must get hold-offs that grow
// and differ, so that they do not retry at once. Ended requests must free capacity.
func TestOverloadIsBoundedAndHoldOffsVary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shedder := NewShedder(0, twoClasses)
		admitted, holdOffs, longest := 0, map[time.Duration]bool{}, time.Duration(0)
		for range 2000 {
			time.Sleep(100 * time.Microsecond)
			ok, holdOff := shedder.Admit(1)
			switch {
			case ok:
				admitted++
			case holdOff < time.Duration(float64(minHoldOff)*(1-holdOffJitter)) || holdOff > time.Duration(float64(maxHoldOff)*(1+holdOffJitter)):
				t.Fatalf("hold-off %v", holdOff)
			default:
				holdOffs[holdOff], longest = true, max(longest, holdOff)
			}
		}
		if admitted < 20 || admitted > 200 || len(holdOffs) < 1000 || longest < 4*minHoldOff {
			t.Errorf("%d admitted, %d different hold-offs up to %v", admitted, len(holdOffs), longest)
		}
		for range admitted {
			shedder.RequestEnded(1, 50*time.Millisecond, overload.Inconclusive)
		}
		if ok, _ := shedder.Admit(1); !ok {
			t.Error("nothing is in flight, and a request is rejected")
		}
	})
}

// While events wait for the CPU, the deadline margin must follow their delay, up to its maximum.
func TestDeadlineMarginFollowsQueueDelay(t *testing.T) {
	shedder := NewShedder(1, twoClasses)
	shedder.decayedQueueDelay.Store(int64(30 * time.Millisecond))
	if m := shedder.DeadlineMargin(); m != 30*time.Millisecond {
		t.Errorf("margin %v", m)
	}
	shedder.decayedQueueDelay.Store(int64(time.Second))
	if m := shedder.DeadlineMargin(); m != maxDeadlineMargin {
		t.Errorf("margin %v", m)
	}
}

func BenchmarkAdmit(b *testing.B) {
	shedder := NewShedder(1, twoClasses)
	b.ReportAllocs()
	for range b.N {
		if ok, _ := shedder.Admit(0); ok {
			shedder.RequestEnded(0, time.Millisecond, overload.Answered)
		}
	}
}
