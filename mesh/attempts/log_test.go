package attempts

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const thisIncarnation = 7

func attempt(sender string, number uint64) ID {
	return ID{Sender: sender, Number: number, Incarnation: thisIncarnation}
}

func TestStatusOfAttempt(t *testing.T) {
	type log = Log[string, string]
	current, previous := attempt("a", 1), ID{Sender: "a", Number: 1, Incarnation: thisIncarnation - 1}
	runAndFinish := func(l *log, at time.Duration, size int) {
		l.Begin(at, current)
		l.Finish(at, current, "body", size)
	}
	for _, c := range []struct {
		name    string
		before  func(*log)
		queried ID
		want    Status
		then    Verdict // on the attempt, if it arrives after the query
	}{
		{"never arrived", func(*log) {}, current, NotStarted, AlreadyBarred},
		{"runs", func(l *log) { l.Begin(0, current) }, current, Running, Duplicate},
		{"has ended", func(l *log) { runAndFinish(l, 0, 4) }, current, Finished, Duplicate},
		{"its response was too large to cache", func(l *log) { runAndFinish(l, 0, MaxResponseBytes+1) }, current, Discarded, Duplicate},
		{"was admitted, but did not reach the server", func(l *log) {
			l.Begin(0, current)
			l.Withdraw(0, current)
		}, current, NotStarted, AlreadyBarred},
		{"was sent to the previous process", func(*log) {}, previous, Unknown, WrongIncarnation},
		{"was sent without an incarnation", func(*log) {}, ID{Sender: "a", Number: 1}, Unknown, Admitted},
		{"was sent before the incarnation changed", func(l *log) { l.SetIncarnation(8) }, current, Unknown, WrongIncarnation},
		{"is below the floor", func(l *log) { l.Begin(-Retention, attempt("a", 2)) }, current, Unknown, TooOld},
		{"ran longer ago than the retention", func(l *log) { runAndFinish(l, -Retention, 4) }, current, Unknown, TooOld},
		{"has too many waiting queries", func(l *log) {
			l.Begin(0, current)
			for range MaxWaitingQueries {
				l.Query(0, current, "q")
			}
		}, current, Unknown, Duplicate},
	} {
		l := New[string, string](thisIncarnation)
		c.before(l)
		for range 2 { // a second query returns the same status
			if got, _ := l.Query(0, c.queried, "q"); got != c.want {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
			}
		}
		if got := l.Begin(0, c.queried); got != c.then {
			t.Errorf("%s: verdict after the query %v, want %v", c.name, got, c.then)
		}
	}
}

func TestWaitingQueriesAreAnswered(t *testing.T) {
	l := New[string, string](thisIncarnation)
	for n := uint64(1); n <= 3; n++ {
		l.Begin(0, attempt("a", n))
		l.Query(0, attempt("a", n), fmt.Sprint("q", n))
	}
	if answered := l.Finish(1, attempt("a", 1), "body", 4); len(answered) != 1 || answered[0] != "q1" {
		t.Errorf("Finish returns the queries %v", answered)
	}
	if answered := l.Withdraw(1, attempt("a", 2)); len(answered) != 1 || answered[0] != "q2" {
		t.Errorf("Withdraw returns the queries %v", answered)
	}
	l.Tick(Retention)
	if answered := l.TakeEvicted(); len(answered) != 1 || answered[0] != "q3" {
		t.Errorf("TakeEvicted returns the queries %v", answered)
	}
	if l.Len() != 0 || l.CachedBytes() != 0 {
		t.Errorf("%d attempts and %d bytes are left", l.Len(), l.CachedBytes())
	}
}

// With any number of attempts and senders the log stays within its bounds, and no attempt that ran has the status NotStarted.
func TestEvictionNeverReportsAnExecutedAttemptAsNotStarted(t *testing.T) {
	l := New[string, string](thisIncarnation)
	const attempts = MaxSenders + 3*MaxAttempts
	for i := range attempts {
		s := fmt.Sprint("s", i%(MaxSenders+500))
		if v := l.Begin(0, attempt(s, uint64(i+1))); v != Admitted {
			t.Fatalf("attempt %d: %v", i, v)
		}
		l.Finish(0, attempt(s, uint64(i+1)), "body", MaxResponseBytes)
		if l.Len() > MaxAttempts || len(l.senders) > MaxSenders || l.CachedBytes() > MaxCachedBytes {
			t.Fatalf("%d attempts, %d senders, %d bytes", l.Len(), len(l.senders), l.CachedBytes())
		}
	}
	for i := range attempts {
		s := fmt.Sprint("s", i%(MaxSenders+500))
		if got, _ := l.Query(0, attempt(s, uint64(i+1)), ""); got == NotStarted {
			t.Fatalf("attempt %d of %s ran, and has the status %v", i, s, got)
		}
	}
	l.Tick(ResponseRetention)
	if l.CachedBytes() != 0 {
		t.Errorf("%d bytes are still cached after their retention", l.CachedBytes())
	}
}

// A barred attempt stays barred after its record was evicted, also when there are more senders than MaxSenders.
func TestBarOutlivesEvictedRecord(t *testing.T) {
	l := New[string, string](thisIncarnation)
	if got, _ := l.Query(0, attempt("a", 5), ""); got != NotStarted {
		t.Fatal(got)
	}
	for i := range 2 * MaxSenders {
		l.Begin(2*Retention, attempt(fmt.Sprint("s", i), 1))
	}
	if v := l.Begin(BarRetention-time.Second, attempt("a", 5)); v != TooOld {
		t.Errorf("verdict on the barred attempt: %v", v)
	}
	if v := l.Begin(BarRetention-time.Second, attempt("a", 6)); v != Admitted {
		t.Errorf("verdict on the next attempt: %v", v)
	}
}

// An attempt that was admitted and withdrawn stays barred as well, because queries about it return NotStarted.
func TestBarOfWithdrawnAttemptOutlivesEvictedRecord(t *testing.T) {
	l := New[string, string](thisIncarnation)
	l.Begin(0, attempt("a", 5))
	l.Withdraw(0, attempt("a", 5))
	for i := range 2 * MaxSenders {
		l.Begin(2*Retention, attempt(fmt.Sprint("s", i), 1))
	}
	if s := l.senders["a"]; s == nil || s.floor != 5 {
		t.Errorf("the sender's floor is not kept: %+v", s)
	}
}
