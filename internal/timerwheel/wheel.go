// Package timerwheel is a hashed timing wheel (Varghese and Lauck, 1987): slots of one tick each, reused in each revolution.
// Setting and clearing a time-out takes constant time however many there are. It has no clock, goroutine or lock.
//
// Start reading at Wheel.
package timerwheel

import (
	"math/bits"
	"time"
)

// Wheel holds time-outs. None fires early, nor late by more than a tick and the delay of the caller's Advance. Times count
// from any fixed origin of the caller's. It is not safe for concurrent use.
type Wheel[T any] struct {
	tick        time.Duration
	slots       []*Timer[T]
	occupied    []uint64 // one bit a slot that may hold a timer
	currentTick int64    // the last tick that Advance has processed
}

// Timer is one time-out; the zero value is not set. The wheel links timers in place, so a set one must not be copied.
type Timer[T any] struct {
	Owner      T
	dueTick    int64 // when it is due; 0: not set
	prev, next *Timer[T]
}

// IsSet reports whether the time-out is set and has not fired.
func (t *Timer[T]) IsSet() bool { return t.dueTick != 0 }

// New returns a wheel with a number of slots, a multiple of 64. Time-outs beyond one revolution are held as well, at the cost
// of one visit in each revolution.
func New[T any](tick time.Duration, slots int) *Wheel[T] {
	return &Wheel[T]{tick: tick, slots: make([]*Timer[T], slots), occupied: make([]uint64, (slots+63)/64)}
}

// Set sets a time-out, replacing its former time.
func (w *Wheel[T]) Set(t *Timer[T], at time.Duration) {
	w.Clear(t)
	t.dueTick = max(int64((at+w.tick-1)/w.tick), w.currentTick+1)
	index := t.dueTick % int64(len(w.slots))
	slot := &w.slots[index]
	if t.next = *slot; t.next != nil {
		t.next.prev = t
	}
	*slot = t
	w.occupied[index/64] |= 1 << (index % 64)
}

// Clear cancels a time-out; one that is not set is ignored.
func (w *Wheel[T]) Clear(t *Timer[T]) {
	if t.dueTick == 0 {
		return
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		w.slots[t.dueTick%int64(len(w.slots))] = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.dueTick, t.prev, t.next = 0, nil, nil
}

// Advance moves the wheel to now, clears the timers that are due and appends their owners to due.
func (w *Wheel[T]) Advance(now time.Duration, due []T) []T {
	n := int64(len(w.slots))
	to := int64(now / w.tick)
	if to-w.currentTick > n {
		w.currentTick = to - n // each slot once is enough, as no slot is visited twice for the same timers
	}
	for w.currentTick < to {
		w.currentTick++
		index := w.currentTick % n
		if w.occupied[index/64]&(1<<(index%64)) == 0 {
			continue
		}
		for t := w.slots[index]; t != nil; {
			next := t.next
			if t.dueTick <= to {
				due = append(due, t.Owner)
				w.Clear(t)
			}
			t = next
		}
		if w.slots[index] == nil {
			w.occupied[index/64] &^= 1 << (index % 64)
		}
	}
	return due
}

// Next returns when Advance must be called next: never after the first time-out is due, and before it only where that lies
// more than a revolution ahead or was cleared. ok is false where no timer is set.
func (w *Wheel[T]) Next() (at time.Duration, ok bool) {
	n := int64(len(w.slots))
	for ahead := int64(1); ahead <= n; {
		index := (w.currentTick + ahead) % n
		word := w.occupied[index/64] >> (index % 64)
		if word == 0 {
			ahead += 64 - index%64
			continue
		}
		if ahead += int64(bits.TrailingZeros64(word)); ahead > n {
			break
		}
		index = (w.currentTick + ahead) % n
		if w.slots[index] != nil {
			return time.Duration(w.currentTick+ahead) * w.tick, true
		}
		w.occupied[index/64] &^= 1 << (index % 64)
	}
	return 0, false
}
