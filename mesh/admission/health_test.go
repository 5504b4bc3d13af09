package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A server that fails two fifths of its requests is unhealthy within twenty of them, and healthy again soon after it has recovered. A
// server that fails one request in fifty, which is usual, stays healthy.
func TestHealthFollowsFailureRate(t *testing.T) {
	var h Health
	now := time.Duration(0)
	record := func(n int, bad func(i int) bool) (first int) {
		first = -1
		for i := range n {
			now += 50 * time.Millisecond
			if h.Record(now, !bad(i)); h.Unhealthy() && first < 0 {
				first = i
			}
		}
		return first
	}
	if at := record(400, func(i int) bool { return i%50 == 0 }); at >= 0 {
		t.Errorf("unhealthy after %d requests of which one in fifty failed", at)
	}
	if at := record(40, func(i int) bool { return i%5 < 2 }); at < 0 || at > 20 {
		t.Errorf("two in five fail: unhealthy after %d", at)
	}
	admitted := 0
	for range 100 {
		if now += 10 * time.Millisecond; !h.ShouldDivert(now, true, 0) {
			admitted++
		}
	}
	if admitted < 100/admitOneIn-2 || admitted > 100/admitOneIn+2 ||
		!h.ShouldDivert(now, false, 0) || h.ShouldDivert(now, false, maxDiversions) {
		t.Errorf("%d of 100 idempotent requests admitted; of the others, only one forwarded %d times may be", admitted, maxDiversions)
	}
	if record(15, func(int) bool { return false }); h.Unhealthy() {
		t.Error("still unhealthy 15 requests after the recovery")
	}
}

// Whatever the results so far, a request that was forwarded maxDiversions times is not diverted, and without new results a server does not
// stay unhealthy.
func TestDiversionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Health
		now := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "results") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			h.Record(now, rapid.Bool().Draw(t, "success"))
			if h.ShouldDivert(now, rapid.Bool().Draw(t, "idempotent"), maxDiversions) {
				t.Fatal("a request was diverted more than maxDiversions times")
			}
		}
		if now += 4 * decayHalfLife; h.ShouldDivert(now, false, 0) {
			t.Fatalf("still unhealthy %v after the last result", 4*decayHalfLife)
		}
	})
}
