package contract

import "time"

// shares divides what nobody is guaranteed. There is no queue: a request is admitted or refused at once, so that fairness
// lies in who is refused. Each team has a tag that runs ahead by worth over weight with what it takes, as in start-time
// fair queueing; the common tag runs with what all take, over the weights of those that are short. A team whose tag is
// ahead of the common one by more than a slack waits for the others, if there are others that are short. All of it costs
// the same whatever the number of teams.
type shares struct {
	spare  bucket  // capacity; guaranteed work may take it below nothing
	common float64 // the common tag
	sum    float64 // of the weights of those that are short
	first  *sharer // those that are short, the one longest ago first
	last   *sharer
}

// sharer is a team's place in the sharing.
type sharer struct {
	weight     float64
	tag        float64
	short      bool
	counted    float64       // the weight that is in the sum
	at         time.Duration // when it was last short
	prev, next *sharer
}

const (
	// shortFor is how long a team counts as short after it was refused for want of capacity: a team that wants no more
	// holds nobody up for longer.
	shortFor = 100 * time.Millisecond
	// lent is the part of the spare capacity's burst that borrowers leave alone: who is within budget finds something.
	lent = 0.5
)

func (s *shares) resize(now time.Duration, set *Set) {
	isNew := s.spare.burst == 0
	s.spare.resize(now, set.capacity, max(set.capacity*saving, 4*set.maxWorth))
	if isNew {
		s.spare.have = s.spare.burst
	}
}

// take counts work that is let in whatever is left, and give takes it back.
func (s *shares) take(now time.Duration, worth float64) {
	s.spare.fill(now)
	// Guaranteed work is no more than the capacity over time; a rush of it is owed for no longer than one burst.
	s.spare.have = max(s.spare.have-worth, -s.spare.burst)
}

func (s *shares) give(now time.Duration, worth float64) {
	s.spare.fill(now)
	s.spare.have = min(s.spare.burst, s.spare.have+worth)
}

// share lets worth in for a team if there is room and it is its turn.
func (s *shares) share(now time.Duration, t *sharer, worth float64, borrows bool) (hold time.Duration, ok bool) {
	s.spare.fill(now)
	s.expire(now)
	need := worth
	if borrows {
		need += lent * s.spare.burst
	}
	if s.spare.have < need {
		s.markShort(now, t)
		return s.spare.wait(need), false
	}
	others := s.sum
	if t.short {
		others -= t.counted
	}
	if ahead := t.tag - s.common - s.spare.burst/t.weight; others > least && ahead > 0 {
		s.markShort(now, t)
		return seconds(ahead * s.sum / max(s.spare.rate, least)), false
	}
	t.tag = max(t.tag, s.common) + worth/t.weight
	s.common += worth / (max(others, 0) + t.weight)
	s.spare.have -= worth
	return 0, true
}

// markShort notes that a team wants more than there is.
func (s *shares) markShort(now time.Duration, t *sharer) {
	s.unlink(t)
	t.short, t.at, t.counted = true, now, t.weight
	s.sum += t.counted
	t.prev, t.next = s.last, nil
	if s.last != nil {
		s.last.next = t
	} else {
		s.first = t
	}
	s.last = t
}

func (s *shares) unlink(t *sharer) {
	if !t.short {
		return
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		s.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		s.last = t.prev
	}
	t.short, t.prev, t.next = false, nil, nil
	s.sum -= t.counted
	if s.first == nil {
		s.sum = 0 // what sums of fractions leave
	}
}

// expire lets go of teams that were short a while ago. Each refusal is let go once, so that the cost is shared by them.
func (s *shares) expire(now time.Duration) {
	for s.first != nil && now-s.first.at >= shortFor {
		s.unlink(s.first)
	}
}

func (s *shares) forget(t *sharer) { s.unlink(t) }
