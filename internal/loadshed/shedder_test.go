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

// Nobody is turned away by a door that is not there.
func TestNilShedderAdmitsEverything(t *testing.T) {
	var shedder *Shedder
	if ok, _ := shedder.Admit(0); !ok || shedder.DeadlineMargin() != 0 {
		t.Error("it is in the way")
	}
	shedder.RequestEnded(0, 0, overload.Answered)
	shedder.RecordQueueDelay(time.Hour)
}

// In a rush on servers that do not answer a bounded number comes in, and the others are told to stay away, longer and longer
// and each for another time. What has ended makes room.
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
			t.Errorf("%d came in, %d hold-offs up to %v", admitted, len(holdOffs), longest)
		}
		for range admitted {
			shedder.RequestEnded(1, 50*time.Millisecond, overload.Inconclusive)
		}
		if ok, _ := shedder.Admit(1); !ok {
			t.Error("nothing is open, and one more does not come in")
		}
	})
}

// Events that wait for the processor make requests be given up earlier, for a while.
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
