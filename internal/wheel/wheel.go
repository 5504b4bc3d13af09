// Package wheel keeps many time-outs in one place: slots of a tick each, round and round. Setting and clearing one costs the
// same however many there are. It has no clock, no goroutine and no lock of its own.
//
// Begin with Wheel.
package wheel

import (
	"math/bits"
	"time"
)

// Wheel keeps time-outs, none of which fires early, or later than by a tick and what its caller adds by calling Advance
// late. Times count from whatever its caller counts from. It is not safe for concurrent use.
type Wheel[T any] struct {
	tick  time.Duration
	slots []*Timer[T]
	used  []uint64 // a bit for each slot that may hold one
	at    int64    // the last tick that was played
}

// Timer is one time-out; the zero value is not set. It stays where its owner is.
type Timer[T any] struct {
	Owner      T
	tick       int64 // when it is due; 0: it is not set
	prev, next *Timer[T]
}

// Set reports whether the time-out is set.
func (t *Timer[T]) Set() bool { return t.tick != 0 }

// New returns a wheel of a number of slots, a multiple of 64. Time-outs further ahead than the wheel is round are kept as
// well, but are passed by once in each round.
func New[T any](tick time.Duration, slots int) *Wheel[T] {
	return &Wheel[T]{tick: tick, slots: make([]*Timer[T], slots), used: make([]uint64, (slots+63)/64)}
}

// Set sets a time-out, in place of what it was.
func (w *Wheel[T]) Set(t *Timer[T], at time.Duration) {
	w.Clear(t)
	t.tick = max(int64((at+w.tick-1)/w.tick), w.at+1)
	place := t.tick % int64(len(w.slots))
	slot := &w.slots[place]
	if t.next = *slot; t.next != nil {
		t.next.prev = t
	}
	*slot = t
	w.used[place/64] |= 1 << (place % 64)
}

// Clear takes a time-out back.
func (w *Wheel[T]) Clear(t *Timer[T]) {
	if t.tick == 0 {
		return
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		w.slots[t.tick%int64(len(w.slots))] = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.tick, t.prev, t.next = 0, nil, nil
}

// Advance plays time up to now and appends the owners of what is due, which is cleared.
func (w *Wheel[T]) Advance(now time.Duration, due []T) []T {
	n := int64(len(w.slots))
	to := int64(now / w.tick)
	if to-w.at > n {
		w.at = to - n // each slot once is enough
	}
	for w.at < to {
		w.at++
		place := w.at % n
		if w.used[place/64]&(1<<(place%64)) == 0 {
			continue
		}
		for t := w.slots[place]; t != nil; {
			next := t.next
			if t.tick <= to {
				due = append(due, t.Owner)
				w.Clear(t)
			}
			t = next
		}
		if w.slots[place] == nil {
			w.used[place/64] &^= 1 << (place % 64)
		}
	}
	return due
}

// Next is when Advance has to be called next: not after the first time-out is due, and before it only where that is a round
// ahead or was cleared. ok is false where none is set.
func (w *Wheel[T]) Next() (at time.Duration, ok bool) {
	n := int64(len(w.slots))
	for ahead := int64(1); ahead <= n; {
		place := (w.at + ahead) % n
		word := w.used[place/64] >> (place % 64)
		if word == 0 {
			ahead += 64 - place%64
			continue
		}
		if ahead += int64(bits.TrailingZeros64(word)); ahead > n {
			break
		}
		place = (w.at + ahead) % n
		if w.slots[place] != nil {
			return time.Duration(w.at+ahead) * w.tick, true
		}
		w.used[place/64] &^= 1 << (place % 64)
	}
	return 0, false
}
