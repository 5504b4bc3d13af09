// Package retrybudget is one sidecar's share of the retry budget of a service. The bound on the retries of all sidecars holds without
// coordination: each sidecar makes at most a ratio of its own first attempts plus its share of a constant slack. Envoy and Finagle bound
// retries in a similar way. The package reads no clock.
//
// Start reading at Budget.
package retrybudget

import "math"

// slotCount is the number of slots in a window. One more is kept, as the oldest slot is only partly in the window and counts in full.
const slotCount = 20

// Budget is the retry budget of one service in one sidecar, over a sliding window. It uses constant memory and is not safe for concurrent
// use.
type Budget struct {
	ratio, slack    float64
	slotWidth       float64 // in milliseconds
	current         int64   // number of the current slot: time divided by slotWidth
	requests, spent [slotCount + 1]float64
}

// New returns a budget that permits, in each window of windowMillis, ratio times the requests plus slack retries.
func New(ratio, slack, windowMillis float64) *Budget {
	return &Budget{ratio: ratio, slack: slack, slotWidth: max(windowMillis, 1) / slotCount, current: math.MinInt64}
}

// SetSlack changes this sidecar's share of the slack.
func (b *Budget) SetSlack(slack float64) { b.slack = slack }

// slot clears the slots that have left the window, and returns the index of the current one. A time before the current slot counts in it.
func (b *Budget) slot(nowMillis float64) int {
	number := int64(nowMillis / b.slotWidth)
	if number > b.current+slotCount || b.current == math.MinInt64 {
		b.requests, b.spent = [slotCount + 1]float64{}, [slotCount + 1]float64{}
		b.current = number
	}
	for b.current < number {
		b.current++
		index := b.current % (slotCount + 1)
		b.requests[index], b.spent[index] = 0, 0
	}
	return int(b.current % (slotCount + 1))
}

// Deposit counts a first attempt. Deposit and TryWithdraw implement balance.RetryBudget.
func (b *Budget) Deposit(nowMillis float64) { b.requests[b.slot(nowMillis)]++ }

// TryWithdraw takes one retry from the budget and reports whether the budget permits it.
func (b *Budget) TryWithdraw(nowMillis float64) bool {
	index := b.slot(nowMillis)
	requests, spent := 0., 0.
	for i := range b.requests {
		requests += b.requests[i]
		spent += b.spent[i]
	}
	if spent+1 > b.ratio*requests+b.slack {
		return false
	}
	b.spent[index]++
	return true
}
