package loadshed

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"firplank/overload"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var two = []overload.Class{{Value: 8, LatencyTarget: 250 * time.Millisecond}, {Value: 1, LatencyTarget: 500 * time.Millisecond}}

// Nobody is turned away by a door that is not there.
func TestNoDoor(t *testing.T) {
	var k *Shedder
	if ok, _ := k.Admit(0); !ok || k.DeadlineMargin() != 0 {
		t.Error("it is in the way")
	}
	k.RequestEnded(0, 0, overload.Answered)
	k.RecordQueueDelay(time.Hour)
}

// In a rush on servers that do not answer a bounded number comes in, and the others are told to stay away, longer and longer
// and each for another time. What has ended makes room.
func TestRushIsBoundedAndSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewShedder(0, two)
		in, holds, most := 0, map[time.Duration]bool{}, time.Duration(0)
		for range 2000 {
			time.Sleep(100 * time.Microsecond)
			ok, hold := k.Admit(1)
			switch {
			case ok:
				in++
			case hold < time.Duration(float64(minHoldOff)*(1-holdOffJitter)) || hold > time.Duration(float64(maxHoldOff)*(1+holdOffJitter)):
				t.Fatalf("hold-off %v", hold)
			default:
				holds[hold], most = true, max(most, hold)
			}
		}
		if in < 20 || in > 200 || len(holds) < 1000 || most < 4*minHoldOff {
			t.Errorf("%d came in, %d hold-offs up to %v", in, len(holds), most)
		}
		for range in {
			k.RequestEnded(1, 50*time.Millisecond, overload.Inconclusive)
		}
		if ok, _ := k.Admit(1); !ok {
			t.Error("nothing is open, and one more does not come in")
		}
	})
}

// Events that wait for the processor make requests be given up earlier, for a while.
func TestMarginFollowsLateness(t *testing.T) {
	k := NewShedder(1, two)
	k.decayedQueueDelay.Store(int64(30 * time.Millisecond))
	if m := k.DeadlineMargin(); m != 30*time.Millisecond {
		t.Errorf("margin %v", m)
	}
	k.decayedQueueDelay.Store(int64(time.Second))
	if m := k.DeadlineMargin(); m != maxDeadlineMargin {
		t.Errorf("margin %v", m)
	}
}

func BenchmarkAdmit(b *testing.B) {
	k := NewShedder(1, two)
	b.ReportAllocs()
	for range b.N {
		if ok, _ := k.Admit(0); ok {
			k.RequestEnded(0, time.Millisecond, overload.Answered)
		}
	}
}
