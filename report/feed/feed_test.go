package feed

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"firplank/report/spool"
)

var start = time.Unix(1_800_000_003, 0)

func testPolicy() Policy {
	return Policy{
		BacklogPerSecond: 20, AssumeDeliveredAfter: 2 * time.Second, StallTimeout: 10 * time.Second,
		MinBackoff: 500 * time.Millisecond, MaxBackoff: 15 * time.Second,
	}
}

func interval(i int) *spool.Interval {
	return spool.Pack(start.Add(time.Duration(i)*10*time.Second), 10*time.Second, []int64{1}, nil)
}

// intervalIndex returns the index of an entry's interval.
func intervalIndex(e *spool.Entry) int { return int(e.End.Sub(start) / (10 * time.Second)) }

// harness runs a feed against a receiver that may be down.
type harness struct {
	*Feed
	now    time.Time
	sent   []int       // indices of intervals, in the order in which they were written
	sentAt []time.Time // the time of each
	down   bool
}

func newHarness(p Policy) *harness {
	return &harness{Feed: New(p, spool.New(4<<20), rand.New(rand.NewPCG(1, 2))), now: start}
}

// run carries out the feed's actions until a time.
func (r *harness) run(until time.Time) {
	for {
		action, e, wake := r.Next(r.now)
		switch action {
		case Dial:
			if r.down {
				r.Disconnected(r.now)
			} else {
				r.Connected(r.now)
			}
		case Send:
			r.sent, r.sentAt = append(r.sent, intervalIndex(e)), append(r.sentAt, r.now)
			r.Written(r.now)
		case Close:
			r.Disconnected(r.now)
		default:
			if wake.IsZero() || wake.After(until) {
				r.now = until
				return
			}
			r.now = wake
		}
	}
}

// After an outage of an hour the whole backlog is sent in order, at the limited rate, each interval once. Intervals that end
// meanwhile aren't delayed.
func TestBacklogAfterReceiverOutage(t *testing.T) {
	r := newHarness(testPolicy())
	r.down = true
	for i := range 360 {
		r.AddInterval(interval(i))
		r.run(r.now.Add(10 * time.Second))
	}
	r.down = false
	returned := r.now
	for i := 360; i < 370; i++ {
		r.run(r.now.Add(10 * time.Second))
		r.AddInterval(interval(i))
	}
	r.run(r.now.Add(10 * time.Second))
	seen, last := map[int]bool{}, -1
	for k, n := range r.sent {
		if seen[n] {
			t.Fatalf("interval %d was sent twice", n)
		}
		if seen[n] = true; n < 360 {
			if n != last+1 {
				t.Fatalf("interval %d after %d", n, last)
			}
			last = n
			if least := time.Duration(n-2) * time.Second / 20; r.sentAt[k].Sub(returned) < least {
				t.Fatalf("interval %d was sent %v after the return", n, r.sentAt[k].Sub(returned))
			}
		}
	}
	if len(seen) != 370 || r.sentAt[len(r.sentAt)-1].Sub(returned) > 2*time.Minute {
		t.Errorf("%d intervals in %v", len(seen), r.sentAt[len(r.sentAt)-1].Sub(returned))
	}
	if got := r.Stats(); got.Resent != 0 || got.Written != 370 {
		t.Errorf("%+v", got)
	}
}

// A new interval goes ahead of the backlog, unless the receiver rejects values that are older than its last ones.
func TestNewIntervalsGoAheadOfBacklog(t *testing.T) {
	for _, inOrder := range []bool{false, true} {
		p := testPolicy()
		p.InOrder = inOrder
		r := newHarness(p)
		r.down = true
		for i := range 400 {
			r.AddInterval(interval(i))
		}
		r.run(r.now.Add(time.Minute))
		r.down = false
		r.run(r.now.Add(16 * time.Second))
		r.sent = nil
		for i := range 60 {
			r.AddInterval(interval(400 + i))
		}
		r.run(r.now)
		if ahead := len(r.sent) > 0 && r.sent[0] >= 400; ahead == inOrder && len(r.sent) > 0 {
			t.Errorf("in order: %v, sent %v", inOrder, r.sent)
		}
		r.run(r.now.Add(time.Minute))
		for k := 1; inOrder && k < len(r.sent); k++ {
			if r.sent[k] < r.sent[k-1] {
				t.Fatalf("%d after %d", r.sent[k], r.sent[k-1])
			}
		}
	}
}

// Intervals written less than AssumeDeliveredAfter before the connection was lost are resent, older ones aren't.
func TestDisconnectResendsUndelivered(t *testing.T) {
	r := newHarness(testPolicy())
	for i := range 3 {
		r.AddInterval(interval(i))
		r.run(r.now.Add(900 * time.Millisecond))
	}
	r.Disconnected(r.now)
	r.run(r.now.Add(10 * time.Second))
	if got := r.sent; len(got) != 5 || got[3] != 1 || got[4] != 2 {
		t.Errorf("sent %v", got)
	}
	if c := r.Stats(); c.Resent != 2 || c.Disconnects != 1 {
		t.Errorf("%+v", c)
	}
}

// A missing acknowledgement closes the connection, and unacknowledged intervals are resent.
func TestMissingAcknowledgementResends(t *testing.T) {
	p := testPolicy()
	p.Acks, p.InOrder = true, true
	r := newHarness(p)
	r.AddInterval(interval(0))
	r.AddInterval(interval(1))
	r.run(r.now.Add(time.Second))
	r.Acked(r.now)
	r.run(r.now.Add(20 * time.Second))
	if got := r.sent; len(got) < 3 || got[2] != 1 || r.Stats().Disconnects == 0 {
		t.Errorf("sent %v, %+v", got, r.Stats())
	}
}

// A connection without progress is closed after StallTimeout, and connection attempts to a receiver that is down keep to the
// backoff's bounds.
func TestStallTimeoutAndBackoff(t *testing.T) {
	r := newHarness(testPolicy())
	r.AddInterval(interval(0))
	if a, _, _ := r.Next(r.now); a != Dial {
		t.Fatal("action is not Dial")
	}
	r.Connected(r.now)
	if a, _, until := r.Next(r.now); a != Send || until.Sub(r.now) != 10*time.Second {
		t.Fatal("action is not Send with the stall timeout")
	}
	r.Progress(r.now.Add(5 * time.Second))
	if a, _, _ := r.Next(r.now.Add(14 * time.Second)); a != Wait {
		t.Error("closed 9 s after progress")
	}
	if a, _, _ := r.Next(r.now.Add(15 * time.Second)); a != Close {
		t.Error("not closed after the stall timeout")
	}
	r.now = r.now.Add(15 * time.Second)
	r.Disconnected(r.now)
	tries := 0
	for end := r.now.Add(10 * time.Minute); r.now.Before(end); {
		a, _, wake := r.Next(r.now)
		if a == Dial {
			tries++
			r.Disconnected(r.now)
			continue
		}
		if wake.Sub(r.now) > 15*time.Second {
			t.Fatalf("waits %v", wake.Sub(r.now))
		}
		r.now = wake
	}
	if tries < 35 || tries > 100 {
		t.Errorf("%d tries in ten minutes", tries)
	}
}

// After any sequence of events and a shutdown, every interval has been written and none is pending.
func TestEveryIntervalIsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPolicy()
		p.InOrder = rapid.Bool().Draw(t, "in order")
		p.FireAndForget = rapid.Bool().Draw(t, "blind")
		r := newHarness(p)
		n := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				r.AddInterval(interval(n))
				n++
			case 2:
				r.down = rapid.Bool().Draw(t, "down")
				if r.down && r.conn == up {
					r.Disconnected(r.now)
				}
			default:
				r.run(r.now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond))
			}
		}
		r.down = false
		r.Shutdown()
		r.run(r.now.Add(time.Minute))
		seen := map[int]bool{}
		for _, k := range r.sent {
			seen[k] = true
		}
		if len(seen) != n || !r.Done() {
			t.Fatalf("%d of %d intervals, done: %v", len(seen), n, r.Done())
		}
	})
}

// Intervals end at whole multiples, no end is used twice, and none is missed except when the clock steps.
func TestClock(t *testing.T) {
	const every = 10 * time.Second
	c := NewClock(start, every) // 3 s after a multiple
	if got := c.Next(); got != time.Unix(1_800_000_020, 0) {
		t.Errorf("first interval ends at %v", got)
	}
	covered := time.Duration(0)
	end := func(at time.Time) (time.Time, bool) {
		end, span, ok := c.End(at)
		covered += span
		return end, ok
	}
	if _, ok := end(start.Add(8 * time.Second)); ok {
		t.Error("first interval is shorter than the others")
	}
	if got, ok := end(start.Add(17 * time.Second)); !ok || got != time.Unix(1_800_000_020, 0) {
		t.Errorf("ends %v, %v", got, ok)
	}
	for s := -60; s < 0; s += 10 { // the clock was stepped back by a minute
		if got, ok := end(start.Add(17*time.Second + time.Duration(s)*time.Second)); ok {
			t.Fatalf("interval ends at %v after a step back", got)
		}
	}
	if got, ok := end(start.Add(28 * time.Second)); !ok || got != time.Unix(1_800_000_030, 0) || covered != 27*time.Second {
		t.Errorf("interval ends at %v, %v; %v in all", got, ok, covered)
	}
	if got, ok := end(start.Add(-time.Hour)); !ok || got.After(start.Add(-time.Hour)) {
		t.Errorf("interval ends at %v after a step back of an hour, %v", got, ok)
	}
}

// The final interval of a process and the first one of a process started right after it don't end at the same time.
func TestRestartReusesNoIntervalEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		every := time.Duration(rapid.IntRange(1, 60).Draw(t, "every")) * time.Second
		c := NewClock(start, every)
		now := start.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "lives")))
		before, _, _ := c.End(now)
		last, span := c.EndFinal(now)
		next := NewClock(now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "away"))), every)
		if first := next.Next(); !first.After(last) || last.Before(before) || span <= 0 {
			t.Fatalf("%v after %v", first, last)
		}
	})
}

// Encoding the backlog takes at most its share of the time, whatever an interval costs, and doesn't delay new intervals.
func TestBacklogStaysWithinTimeShare(t *testing.T) {
	p := testPolicy()
	p.BacklogTimeShare = 0.02
	r := newHarness(p)
	r.down = true
	for i := range 50 {
		r.AddInterval(interval(i))
	}
	r.run(r.now)
	r.down = false
	r.run(r.now.Add(16 * time.Second)) // connected by now
	began, sentBefore, added := r.now, len(r.sent), 0
	for range 10 {
		r.Encoded(r.now, 100*time.Millisecond) // for the last interval of the backlog
		r.AddInterval(interval(1000 + added))
		added++
		before := len(r.sent)
		r.run(r.now)
		if len(r.sent) != before+1 || r.sent[before] != 999+added {
			t.Fatalf("new interval is delayed: sent %v", r.sent[before:])
		}
		r.Encoded(r.now, time.Second) // for a new interval, which doesn't count
		r.run(r.now.Add(5 * time.Second))
	}
	backlogSent := 0
	for _, n := range r.sent[sentBefore:] {
		if n < 1000 {
			backlogSent++
		}
	}
	if most := int(r.now.Sub(began)/(5*time.Second)) + 1; sentBefore == 0 || sentBefore >= 50 && backlogSent > 0 || backlogSent > most {
		t.Errorf("%d sent before, %d of the backlog in %v, at most %d expected", sentBefore, backlogSent, r.now.Sub(began), most)
	}
}

// At shutdown a receiver that may be up again is tried at once, without waiting for the backoff.
func TestShutdownSkipsBackoff(t *testing.T) {
	r := newHarness(testPolicy())
	r.down = true
	r.AddInterval(interval(0))
	r.run(r.now.Add(time.Minute))
	r.down = false
	r.Shutdown()
	if r.run(r.now.Add(time.Millisecond)); !r.Done() {
		t.Error("not done without waiting")
	}
}

// Late is true for intervals of the backlog and for no others.
func TestOnlyBacklogIsLate(t *testing.T) {
	r := newHarness(testPolicy())
	r.down = true
	r.AddInterval(interval(0))
	r.AddInterval(interval(1))
	r.run(r.now)
	r.down = false
	for until := r.now.Add(20 * time.Second); r.now.Before(until); {
		action, e, wake := r.Next(r.now)
		switch {
		case action == Dial:
			r.Connected(r.now)
		case action == Send:
			if !r.Late() {
				t.Errorf("interval %d is not late", intervalIndex(e))
			}
			r.Written(r.now)
		case wake.IsZero():
			r.now = until
		default:
			r.now = wake
		}
	}
	r.AddInterval(interval(2))
	if a, e, _ := r.Next(r.now); a != Send || intervalIndex(e) != 2 || r.Late() {
		t.Errorf("%v, late: %v", a, r.Late())
	}
}
