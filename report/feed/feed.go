// Package feed decides when intervals are sent to a receiver. It owns the state of the connection, of written intervals that
// aren't known to be delivered, and of the backlog and its rate limit. It does no I/O and has no clock: each event comes with
// its time, and Next returns what to do. Package internal/reporting carries it out.
//
// clock.go determines when intervals end. Start reading at Feed.
package feed

import (
	"math/rand/v2"
	"time"

	"firplank/report/spool"
)

// Policy configures the sending to a receiver.
type Policy struct {
	// BacklogPerSecond is the rate limit of intervals that have waited for the receiver.
	BacklogPerSecond float64
	// BacklogTimeShare limits the share of time spent on encoding the backlog: after an interval that took t to encode, the next
	// one of the backlog waits for t / BacklogTimeShare. 0 means no limit.
	BacklogTimeShare float64
	// InOrder tells that the receiver rejects values that are older than its last ones, so that new intervals wait for the
	// backlog. Otherwise they are sent ahead of it.
	InOrder bool
	// Acks tells that the receiver acknowledges each interval, FireAndForget that delivery can't be observed at all. If neither
	// is set, a written interval counts as delivered when its connection has lasted for AssumeDeliveredAfter since.
	Acks, FireAndForget  bool
	AssumeDeliveredAfter time.Duration
	// StallTimeout is the time without progress or acknowledgement after which the connection is closed.
	StallTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay between two connection attempts, which doubles.
	MinBackoff, MaxBackoff time.Duration
}

// Action is what the caller of Next has to do.
type Action uint8

// The actions.
const (
	Wait  Action = iota
	Dial         // connect, and call Connected or Disconnected
	Send         // write the entry, and call Written or Disconnected
	Close        // close the stalled connection, and call Disconnected
)

// connection is the state of the connection.
type connection uint8

const (
	down connection = iota
	dialing
	up
)

// Stats counts a feed's intervals and lost connections; Resent is part of Written.
type Stats struct{ Intervals, Written, Resent, Disconnects int64 }

// Feed schedules the sending to one receiver. It isn't safe for concurrent use.
type Feed struct {
	policy          Policy
	rng             *rand.Rand
	spool           *spool.Spool
	conn            connection
	failedDials     int       // since the last written interval
	retryAt         time.Time // no connection attempt before
	sending         *spool.Entry
	lastProgress    time.Time // when the receiver last accepted or acknowledged something
	newestLive      bool      // the newest interval ended while the connection was up, and isn't sent yet: it goes ahead of the backlog
	tokens          float64   // of the backlog's rate limit
	refilledAt      time.Time
	backlogResumeAt time.Time // the backlog waits until then, as encoding it took time
	sendingLate     bool      // the interval returned last belongs to the backlog
	shuttingDown    bool
	stats           Stats
}

// New returns a feed that sends the intervals of a spool.
func New(p Policy, s *spool.Spool, rng *rand.Rand) *Feed { return &Feed{policy: p, spool: s, rng: rng} }

// Stats returns the feed's counts.
func (f *Feed) Stats() Stats { return f.stats }

// AddInterval adds an interval that has ended.
func (f *Feed) AddInterval(iv *spool.Interval) {
	f.stats.Intervals++
	f.spool.Add(iv)
	f.newestLive = f.conn == up
}

// Shutdown notifies the feed that the process exits: the backlog's limits no longer apply, and a connection attempt doesn't
// wait for its backoff.
func (f *Feed) Shutdown() { f.shuttingDown, f.retryAt = true, time.Time{} }

// Done reports whether all intervals are written and, if the receiver acknowledges, acknowledged.
func (f *Feed) Done() bool {
	_, undelivered := f.spool.OldestUndelivered()
	return f.sending == nil && f.spool.OldestPending() == nil && !(f.policy.Acks && undelivered)
}

// Connected notifies the feed that a connection is established.
func (f *Feed) Connected(now time.Time) {
	f.conn, f.refilledAt, f.tokens = up, now, 1
}

// Disconnected notifies the feed that a connection attempt failed or the connection was lost or closed.
func (f *Feed) Disconnected(now time.Time) {
	if f.conn == up {
		f.stats.Disconnects++
	}
	f.conn, f.sending, f.newestLive = down, nil, false
	f.spool.Requeue()
	backoff := min(f.policy.MaxBackoff, f.policy.MinBackoff<<min(f.failedDials, 20))
	f.failedDials++
	// Random between half and all of the backoff, so that sidecars that lost a receiver together don't reconnect together.
	f.retryAt = now.Add(backoff/2 + time.Duration(f.rng.Float64()*float64(backoff)/2))
}

// Encoded notifies the feed of the time that encoding the last entry took.
func (f *Feed) Encoded(now time.Time, took time.Duration) {
	if f.sendingLate && f.policy.BacklogTimeShare > 0 {
		f.backlogResumeAt = now.Add(time.Duration(float64(took) / f.policy.BacklogTimeShare))
	}
}

// Late reports whether the entry returned last belonged to the backlog: its interval ended while others waited or while the
// receiver was disconnected.
func (f *Feed) Late() bool { return f.sendingLate }

// Progress notifies the feed that the receiver has accepted bytes or acknowledged something.
func (f *Feed) Progress(now time.Time) { f.lastProgress = now }

// Written notifies the feed that the last entry has been written completely.
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

// Acked notifies the feed that the receiver has acknowledged the interval that was written first.
func (f *Feed) Acked(now time.Time) {
	f.spool.MarkOldestDelivered()
	f.lastProgress = now
}

// Next returns what to do now, and when to call it again if nothing happens before; the zero time means never.
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
	f.spool.MarkWritten(e, now) // at once, as pending entries may be merged with later ones
	return Send, e, now.Add(f.policy.StallTimeout)
}

// chooseEntry returns the entry to send, or the time when there will be one.
func (f *Feed) chooseEntry(now time.Time) (*spool.Entry, time.Time) {
	oldest := f.spool.OldestPending()
	if oldest == nil {
		return nil, time.Time{}
	}
	newest := f.spool.NewestPending()
	if newest == oldest && f.newestLive || f.shuttingDown { // no backlog, or no time left to limit its rate
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

// checkStall returns Close if the connection has made no progress for StallTimeout, else when that will be.
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

// earlierNonZero returns the earlier of two times, ignoring zero ones.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
