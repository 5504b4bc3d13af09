package retrybudget

import (
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// In every window the retries are at most the ratio of the requests in the window and in the slots at its ends, plus the slack.
func TestNeverExceedsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 1000.
		budget := New(0.1, 1.5, window)
		var requests, spent []float64
		now := 1e12
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += rapid.Float64Range(0, 60).Draw(t, "pause")
			if rapid.Bool().Draw(t, "asks") {
				budget.Deposit(now)
				requests = append(requests, now)
			} else if budget.TryWithdraw(now) {
				spent = append(spent, now)
			}
		}
		countIn := func(all []float64, from, to float64) (n float64) {
			for _, at := range all {
				if at > from && at <= to {
					n++
				}
			}
			return n
		}
		for _, end := range spent {
			if s, a := countIn(spent, end-window, end), countIn(requests, end-window*(1+2./slotCount), end); s > 0.1*a+1.5 {
				t.Fatalf("%v retries for %v requests", s, a)
			}
		}
	})
}
