// Package feed decides when intervals are sent to a receiver: it owns the state of the connection, of what was written and not
// seen to arrive, of the backlog and its rate. It does no I/O and has no clock: each event comes with its time, and Next says
// what to do. Who carries it out is internal/reporting.
//
// clock.go tells when intervals end. Begin with Feed.
package feed

import (
	"math/rand/v2"
	"time"

	"firplank/report/spool"
)

// Policy is how a receiver is to be treated.
type Policy struct {
	// Backlog is how many intervals a second are sent of those that waited for the receiver.
	BacklogPerSecond float64
	// Part bounds the part of the time that preparing the backlog may take: after an interval that took so long the next of
	// it waits for that over Part. 0: no bound.
	BacklogTimeShare float64
	// InOrder says that the receiver takes no time before one that it has: then new intervals wait for the backlog. Else
	// they go ahead of it.
	InOrder bool
	// Acks says that the receiver acknowledges each interval, Blind that nothing can be known of what arrives. Where neither
	// holds, what was written counts as arrived once the connection has stood for Settle after it.
	Acks, FireAndForget  bool
	AssumeDeliveredAfter time.Duration
	// Stall is how long the receiver may take nothing, or not acknowledge, before its connection is given up.
	StallTimeout time.Duration
	// Least and Most bound the time between two tries to connect, which doubles.
	MinBackoff, MaxBackoff time.Duration
}

// Action is what to do.
type Action uint8

// The actions.
const (
	Wait  Action = iota
	Dial         // and call Connected or Broke
	Send         // the Entry, and call Wrote or Broke
	Close        // the connection: it has been given up
)

// connection is the state of one.
type connection uint8

const (
	down connection = iota
	dialing
	up
)

// Counts is what a feed has done.
type Stats struct{ Intervals, Written, Resent, Disconnects int64 }

// Feed is the sending to one receiver. It is not safe for concurrent use.
type Feed struct {
	policy          Policy
	rng             *rand.Rand
	spool           *spool.Spool
	conn            connection
	failedDials     int       // tries to connect in a row that came to nothing
	retryAt         time.Time // not before
	sending         *spool.Entry
	lastProgress    time.Time // when the receiver last took anything of what is being sent
	newestLive      bool      // the newest interval ended while the connection was up: it goes ahead
	tokens          float64
	refilledAt      time.Time
	backlogResumeAt time.Time // until when the backlog waits, for what it has cost
	sendingLate     bool      // what is being sent was of the backlog
	shuttingDown    bool
	stats           Stats
}

// New returns a feed of a spool.
func New(p Policy, s *spool.Spool, rng *rand.Rand) *Feed { return &Feed{policy: p, spool: s, rng: rng} }

// Counts tells what it has done.
func (f *Feed) Stats() Stats { return f.stats }

// Ended takes in an interval that has ended.
func (f *Feed) AddInterval(iv *spool.Interval) {
	f.stats.Intervals++
	f.spool.Add(iv)
	f.newestLive = f.conn == up
}

// Last says that the process ends: nothing waits for its turn any more, and a receiver that is away is tried at once.
func (f *Feed) Shutdown() { f.shuttingDown, f.retryAt = true, time.Time{} }

// Done reports whether nothing is left to send, nor, where the receiver acknowledges, to hear.
func (f *Feed) Done() bool {
	_, undelivered := f.spool.OldestUndelivered()
	return f.sending == nil && f.spool.OldestPending() == nil && !(f.policy.Acks && undelivered)
}

// Connected says that a connection is up.
func (f *Feed) Connected(now time.Time) {
	f.conn, f.refilledAt, f.tokens = up, now, 1
}

// Broke says that there is no connection, or no more.
func (f *Feed) Disconnected(now time.Time) {
	if f.conn == up {
		f.stats.Disconnects++
	}
	f.conn, f.sending, f.newestLive = down, nil, false
	f.spool.Requeue()
	backoff := min(f.policy.MaxBackoff, f.policy.MinBackoff<<min(f.failedDials, 20))
	f.failedDials++
	// Between half of it and all: sidecars that lost a receiver together come back apart.
	f.retryAt = now.Add(backoff/2 + time.Duration(f.rng.Float64()*float64(backoff)/2))
}

// Cost says how long the preparing of what Send gave took.
func (f *Feed) Encoded(now time.Time, took time.Duration) {
	if f.sendingLate && f.policy.BacklogTimeShare > 0 {
		f.backlogResumeAt = now.Add(time.Duration(float64(took) / f.policy.BacklogTimeShare))
	}
}

// Late reports whether what Send gave last was of the backlog: the interval ended while others waited, or the receiver was
// away.
func (f *Feed) Late() bool { return f.sendingLate }

// Progress says that the receiver has taken some of what is being sent, or acknowledged something.
func (f *Feed) Progress(now time.Time) { f.lastProgress = now }

// Wrote says that what Send gave has been written whole.
func (f *Feed) Written(now time.Time) {
	e := f.sending
	if e == nil {
		return
	}
	f.sending, f.lastProgress, f.failedDials = nil, now, 0
	f.stats.Written++
	if e.WrittenBefore() {
		f.stats.Resent++
	}
	f.spool.MarkWritten(e, now)
	if f.policy.FireAndForget {
		f.spool.MarkOldestDelivered()
	}
}

// Acked says that the receiver has taken the interval that was written first of those not acknowledged.
func (f *Feed) Acked(now time.Time) {
	f.spool.MarkOldestDelivered()
	f.lastProgress = now
}

// Next says what to do now, and when to ask again if nothing happens before; the zero time: never.
func (f *Feed) Next(now time.Time) (Action, *spool.Entry, time.Time) {
	switch f.conn {
	case dialing:
		return Wait, nil, time.Time{}
	case down:
		switch {
		case f.spool.OldestPending() == nil:
			return Wait, nil, time.Time{}
		case now.Before(f.retryAt):
			return Wait, nil, f.retryAt
		}
		f.conn = dialing
		return Dial, nil, time.Time{}
	}
	if f.sending != nil {
		return f.checkStall(now, f.lastProgress)
	}
	var wake time.Time
	if at, any := f.spool.OldestUndelivered(); any {
		switch {
		case f.policy.Acks:
			if action, _, until := f.checkStall(now, laterOf(at, f.lastProgress)); action == Close {
				return Close, nil, time.Time{}
			} else {
				wake = until
			}
		case now.Sub(at) >= f.policy.AssumeDeliveredAfter:
			f.spool.MarkDeliveredBefore(now.Add(-f.policy.AssumeDeliveredAfter).Add(1))
			return f.Next(now)
		default:
			wake = at.Add(f.policy.AssumeDeliveredAfter)
		}
	}
	e, until := f.chooseEntry(now)
	if e == nil {
		return Wait, nil, earlierNonZero(wake, until)
	}
	f.sending, f.lastProgress = e, now
	f.spool.MarkWritten(e, now) // at once: what waits may be put together with what comes
	return Send, e, now.Add(f.policy.StallTimeout)
}

// choose picks the interval to send, or says when there will be one.
func (f *Feed) chooseEntry(now time.Time) (*spool.Entry, time.Time) {
	oldest := f.spool.OldestPending()
	if oldest == nil {
		return nil, time.Time{}
	}
	newest := f.spool.NewestPending()
	if newest == oldest && f.newestLive || f.shuttingDown { // there is no backlog, or no time to spread it over
		f.sendingLate = newest != oldest
		return oldest, time.Time{}
	}
	if f.newestLive && newest != nil && !f.policy.InOrder {
		f.newestLive, f.sendingLate = false, false
		return newest, time.Time{}
	}
	if now.Before(f.backlogResumeAt) {
		return nil, f.backlogResumeAt
	}
	f.tokens = min(1, f.tokens+now.Sub(f.refilledAt).Seconds()*f.policy.BacklogPerSecond)
	f.refilledAt = now
	if f.tokens < 1 {
		wait := time.Duration((1 - f.tokens) / f.policy.BacklogPerSecond * float64(time.Second))
		return nil, now.Add(max(wait, time.Millisecond))
	}
	f.tokens--
	f.sendingLate = true
	return oldest, time.Time{}
}

// stalled gives a connection up on which nothing has moved for too long.
func (f *Feed) checkStall(now, since time.Time) (Action, *spool.Entry, time.Time) {
	if until := since.Add(f.policy.StallTimeout); now.Before(until) {
		return Wait, nil, until
	}
	return Close, nil, time.Time{}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sooner returns the first of two times that are there.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
