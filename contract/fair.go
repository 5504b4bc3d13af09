package contract

import "time"

// fairLimiter divides the capacity beyond the guaranteed shares among teams by weight. It follows start-time fair queueing, but has no
// queue: requests are admitted or rejected at once, and fairness comes from the choice of the rejected ones. A team that was rejected for
// lack of capacity counts as backlogged. An admitted request advances its team's start tag by its worth over the team's weight, and the
// virtual time by its worth over the weights of the team and all other backlogged ones. While others are backlogged, a team whose start tag
// is ahead of the virtual time by more than a burst is rejected. The amortized cost of all operations is constant in the number of teams.
type fairLimiter struct {
	spare            bucket // capacity left; guaranteed requests may make it negative
	virtualTime      float64
	backloggedWeight float64 // sum over the backlogged flows
	oldest           *flow   // list of the backlogged flows, by backloggedAt
	newest           *flow
}

// flow is the state of a team in a fairLimiter.
type flow struct {
	weight        float64
	startTag      float64
	backlogged    bool
	countedWeight float64       // its weight in backloggedWeight; weight may have changed since
	backloggedAt  time.Duration // when it was last rejected for lack of capacity
	prev, next    *flow
}

const (
	// backlogTimeout is how long a team counts as backlogged after a rejection. It bounds how long a team that sends nothing more holds
	// back the others.
	backlogTimeout = 100 * time.Millisecond
	// borrowReserveShare is the share of the spare capacity's burst that is reserved for teams within their budgets.
	borrowReserveShare = 0.5
)

func (l *fairLimiter) resize(now time.Duration, set *Set) {
	isNew := l.spare.burst == 0
	l.spare.resize(now, set.capacity, max(set.capacity*shareBurstSeconds, 4*set.maxWorth))
	if isNew {
		l.spare.available = l.spare.burst
	}
}

// consume takes worth for a guaranteed request, also if too little capacity is left. refund returns it.
func (l *fairLimiter) consume(now time.Duration, worth float64) {
	l.spare.refill(now)
	// Over time guaranteed requests are within the capacity. A burst of them leaves a debt of at most one burst.
	l.spare.available = max(l.spare.available-worth, -l.spare.burst)
}

func (l *fairLimiter) refund(now time.Duration, worth float64) {
	l.spare.refill(now)
	l.spare.available = min(l.spare.burst, l.spare.available+worth)
}

// admit takes worth for a team if enough capacity is left and the team isn't ahead of its fair share. Otherwise it returns the time after
// which a retry may succeed.
func (l *fairLimiter) admit(now time.Duration, f *flow, worth float64, borrowing bool) (retryAfter time.Duration, ok bool) {
	l.spare.refill(now)
	l.expire(now)
	required := worth
	if borrowing {
		required += borrowReserveShare * l.spare.burst
	}
	if l.spare.available < required {
		l.markBacklogged(now, f)
		return l.spare.timeUntil(required), false
	}
	othersWeight := l.backloggedWeight
	if f.backlogged {
		othersWeight -= f.countedWeight
	}
	if lead := f.startTag - l.virtualTime - l.spare.burst/f.weight; othersWeight > minWeight && lead > 0 {
		l.markBacklogged(now, f)
		return boundedRetryAfter(lead * l.backloggedWeight / max(l.spare.rate, minWeight)), false
	}
	f.startTag = max(f.startTag, l.virtualTime) + worth/f.weight
	l.virtualTime += worth / (max(othersWeight, 0) + f.weight)
	l.spare.available -= worth
	return 0, true
}

// markBacklogged appends a flow to the list of backlogged ones, or moves it to the end.
func (l *fairLimiter) markBacklogged(now time.Duration, f *flow) {
	l.unlink(f)
	f.backlogged, f.backloggedAt, f.countedWeight = true, now, f.weight
	l.backloggedWeight += f.countedWeight
	f.prev, f.next = l.newest, nil
	if l.newest != nil {
		l.newest.next = f
	} else {
		l.oldest = f
	}
	l.newest = f
}

func (l *fairLimiter) unlink(f *flow) {
	if !f.backlogged {
		return
	}
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		l.oldest = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		l.newest = f.prev
	}
	f.backlogged, f.prev, f.next = false, nil, nil
	l.backloggedWeight -= f.countedWeight
	if l.oldest == nil {
		l.backloggedWeight = 0 // discards rounding errors
	}
}

// expire removes flows whose last rejection was backlogTimeout ago. Each rejection adds at most one flow, so that the amortized cost is
// constant.
func (l *fairLimiter) expire(now time.Duration) {
	for l.oldest != nil && now-l.oldest.backloggedAt >= backlogTimeout {
		l.unlink(l.oldest)
	}
}

func (l *fairLimiter) remove(f *flow) { l.unlink(f) }
