package locality

import (
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// With any distribution of servers and callers, a zone's servers get at most localCapacityShare of their fair load from their own zone.
func TestLocalRequestsWithinZoneCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := make([]Zone, rapid.IntRange(2, 5).Draw(t, "zones"))
		var all Zone
		for i := range zones {
			zones[i] = Zone{Callers: rapid.IntRange(1, 30).Draw(t, "callers"), Slots: 6 * rapid.IntRange(0, 12).Draw(t, "servers")}
			all.Callers += zones[i].Callers
			all.Slots += zones[i].Slots
		}
		if all.Slots == 0 {
			return
		}
		for i, z := range zones {
			own := LocalShare(z, all) * float64(z.Callers) / float64(all.Callers)
			if part := float64(z.Slots) / float64(all.Slots); own > localCapacityShare*part+1e-9 {
				t.Fatalf("zone %d: local load %.3f, share of all slots %.3f", i, own, part)
			}
			if f := LocalWeight(z, all); f != 0 && f < 1 {
				t.Fatalf("zone %d: weight %v", i, f)
			}
		}
	})
}

func TestLocalWeight(t *testing.T) {
	for _, c := range []struct {
		name     string
		own, all Zone
		want     float64
	}{
		{"as much as all others", Zone{5, 12}, Zone{15, 36}, 8},
		{"less than its part", Zone{5, 12}, Zone{15, 60}, 4 * 0.54 / 0.46},
		{"nothing here", Zone{5, 0}, Zone{15, 36}, 0},
		{"nothing elsewhere", Zone{5, 12}, Zone{15, 12}, 0},
		{"hardly anything here", Zone{14, 6}, Zone{15, 60}, 1},
	} {
		if got := LocalWeight(c.own, c.all); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
