package contract

import "time"

// shares divides what nobody is guaranteed. There is no queue: a request is admitted or refused at once, so that fairness
// lies in who is refused. Each team has a tag that runs ahead by worth over weight with what it takes, as in start-time
// fair queueing; the common tag runs with what all take, over the weights of those that are short. A team whose tag is
// ahead of the common one by more than a slack waits for the others, if there are others that are short. All of it costs
// the same whatever the number of teams.
type fairLimiter struct {
	spare            bucket  // capacity; guaranteed work may take it below nothing
	virtualTime      float64 // the common tag
	backloggedWeight float64 // of the weights of those that are short
	oldest           *flow   // those that are short, the one longest ago first
	newest           *flow
}

// sharer is a team's place in the sharing.
type flow struct {
	weight        float64
	startTag      float64
	backlogged    bool
	countedWeight float64       // the weight that is in the sum
	backloggedAt  time.Duration // when it was last short
	prev, next    *flow
}

const (
	// shortFor is how long a team counts as short after it was refused for want of capacity: a team that wants no more
	// holds nobody up for longer.
	backlogTimeout = 100 * time.Millisecond
	// lent is the part of the spare capacity's burst that borrowers leave alone: who is within budget finds something.
	borrowReserveShare = 0.5
)

func (l *fairLimiter) resize(now time.Duration, set *Set) {
	isNew := l.spare.burst == 0
	l.spare.resize(now, set.capacity, max(set.capacity*shareBurstSeconds, 4*set.maxWorth))
	if isNew {
		l.spare.available = l.spare.burst
	}
}

// take counts work that is let in whatever is left, and give takes it back.
func (l *fairLimiter) consume(now time.Duration, worth float64) {
	l.spare.refill(now)
	// Guaranteed work is no more than the capacity over time; a rush of it is owed for no longer than one burst.
	l.spare.available = max(l.spare.available-worth, -l.spare.burst)
}

func (l *fairLimiter) refund(now time.Duration, worth float64) {
	l.spare.refill(now)
	l.spare.available = min(l.spare.burst, l.spare.available+worth)
}

// share lets worth in for a team if there is room and it is its turn.
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

// markShort notes that a team wants more than there is.
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
		l.backloggedWeight = 0 // what sums of fractions leave
	}
}

// expire lets go of teams that were short a while ago. Each refusal is let go once, so that the cost is shared by them.
func (l *fairLimiter) expire(now time.Duration) {
	for l.oldest != nil && now-l.oldest.backloggedAt >= backlogTimeout {
		l.unlink(l.oldest)
	}
}

func (l *fairLimiter) remove(f *flow) { l.unlink(f) }
