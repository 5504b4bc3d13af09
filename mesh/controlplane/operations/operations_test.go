package operations

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"firplank/mesh/configversion"
	"firplank/mesh/dissemination"
	"firplank/mesh/register"
	"firplank/mesh/timing"
)

// durations are the defaults, which the deployments use.
var durations = timing.Default()

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingReplica records the events that are applied to it. If it has an immediate outcome, Apply completes the operation with it.
type recordingReplica struct {
	table            *Table
	applied          []register.Event
	cancelled        []uint64
	immediateOutcome *register.Outcome
	health           Health
}

func (r *recordingReplica) Apply(_ time.Duration, ev register.Event) {
	r.applied = append(r.applied, ev)
	if r.immediateOutcome != nil {
		r.table.Complete(0, *r.immediateOutcome, dissemination.Unconstrained)
	}
}

func (r *recordingReplica) Health(time.Duration) Health { return r.health }

func (r *recordingReplica) Progress(time.Duration) string { return "reading" }

func (r *recordingReplica) Cancel(id uint64) { r.cancelled = append(r.cancelled, id) }

type results []Result

func (r *results) Respond(got Result) { *r = append(*r, got) }

func newTable() (*Table, *recordingReplica) {
	r, last := &recordingReplica{health: healthy}, uint64(0)
	r.table = NewTable(r, func() uint64 { last++; return last }, durations)
	return r.table, r
}

const (
	now = 10 * time.Second
	ms  = time.Millisecond
)

var healthy = Health{LastQuorum: now}

// A machine without contact to a quorum, or whose disk fails or lags, proposes nothing and rejects operations at once.
func TestProposeWithoutQuorumContactIsRejected(t *testing.T) {
	for _, c := range []struct {
		name   string
		health Health
		want   error
	}{
		{"in contact", healthy, nil},
		{"last contact is recent enough", Health{LastQuorum: now - 1500*ms}, nil},
		{"last contact is too old", Health{LastQuorum: now - 1501*ms}, ErrNoQuorum},
		{"never in contact", Health{LastQuorum: -1}, ErrNoQuorum},
		{"disk fails", Health{LastQuorum: now, DiskFailing: true}, ErrDiskFailing},
		{"queue for the disk is full", Health{LastQuorum: now, QueueFull: true}, ErrQueueFull},
		{"no contact and no disk", Health{LastQuorum: 0, DiskFailing: true, QueueFull: true}, ErrNoQuorum},
	} {
		for _, request := range []Request{Read{}, Write{Version: 7}} {
			table, r := newTable()
			var got results
			r.health = c.health
			id := table.Propose(now, request, &got)
			if c.want == nil {
				if id == 0 || len(got) != 0 || len(r.applied) != 1 || table.Len() != 1 {
					t.Errorf("%s: %T: id %d, results %v, applied %v", c.name, request, id, got, r.applied)
				}
				continue
			}
			if id != 0 || len(got) != 1 || !errors.Is(got[0].Err, c.want) || len(r.applied) != 0 || table.Len() != 0 {
				t.Errorf("%s: %T: id %d, results %v, applied %v", c.name, request, id, got, r.applied)
			}
		}
	}
}

// An operation is proposed as the client requested it, under a number of its own.
func TestProposedEventIsTheRequestedOperation(t *testing.T) {
	table, r := newTable()
	content := register.ContentOf([]byte("text"))
	table.Propose(now, Write{Version: 7, Content: content, Body: []byte("packed")}, &results{})
	table.Propose(now, Read{}, &results{})
	want := []register.Event{
		register.Put{ID: 1, Version: 7, Content: content, Body: []byte("packed")},
		register.LinearizableRead{ID: 2},
	}
	if got := fmt.Sprintf("%+v", r.applied); got != fmt.Sprintf("%+v", want) {
		t.Errorf("proposed %v, want %v", got, want)
	}
}

// A register with one member completes an operation before Apply returns. The result must not be lost.
func TestOutcomeDuringProposeIsAnswered(t *testing.T) {
	table, r := newTable()
	r.health = Health{}
	r.immediateOutcome = &register.Outcome{ID: 1, Result: register.Confirmed}
	var got results
	table.Propose(0, Write{Version: 7}, &got)
	if len(got) != 1 || got[0].Err != nil || table.Len() != 0 {
		t.Errorf("results %v, %d pending", got, table.Len())
	}
}

// When contact with the quorum is lost or the disk fails, pending operations fail in order. A full queue alone fails none.
func TestFailPendingOnQuorumLoss(t *testing.T) {
	for _, c := range []struct {
		name   string
		health Health
		want   error
	}{
		{"in contact", healthy, nil},
		{"last contact is recent enough", Health{LastQuorum: now - 1500*ms}, nil},
		{"last contact is too old", Health{LastQuorum: now - 1501*ms}, ErrNoQuorum},
		{"disk fails", Health{LastQuorum: now, DiskFailing: true}, ErrDiskFailing},
		{"queue for the disk is full", Health{LastQuorum: now, QueueFull: true}, nil},
	} {
		table, r := newTable()
		var got results
		for range 20 {
			table.Propose(now, Read{}, &got)
		}
		r.health = c.health
		table.FailPending(now)
		if c.want == nil {
			if len(got) != 0 || table.Len() != 20 || len(r.cancelled) != 0 {
				t.Errorf("%s: results %v, %d pending", c.name, got, table.Len())
			}
			continue
		}
		if len(got) != 20 || table.Len() != 0 || len(r.cancelled) != 20 || !slices.IsSorted(r.cancelled) {
			t.Errorf("%s: %d results, %d pending, cancelled %v", c.name, len(got), table.Len(), r.cancelled)
		}
		for _, result := range got {
			if !errors.Is(result.Err, c.want) {
				t.Errorf("%s: %v", c.name, result.Err)
			}
		}
	}
}

// A write that waits for sidecars fails when the quorum is lost, and is not answered a second time when they acknowledge it.
func TestFailedWriteIsNotAcknowledged(t *testing.T) {
	table, r := newTable()
	var got results
	id := table.Propose(now, Write{Version: 7}, &got)
	table.Complete(now, register.Outcome{ID: id, Result: register.Confirmed}, 6)
	r.health = Health{LastQuorum: -1}
	table.FailPending(now + time.Second)
	table.Acknowledge(now+time.Second, 7)
	if len(got) != 1 || !errors.Is(got[0].Err, ErrNoQuorum) {
		t.Errorf("results %v", got)
	}
}

// A confirmed write waits for the sidecars of this machine and of the others, at most for AckTimeout. A rejected write and a read don't
// wait.
func TestConfirmationWaitsForSidecars(t *testing.T) {
	ackTimeout := durations.Dissemination.AckTimeout
	for _, c := range []struct {
		name                      string
		request                   Request
		result                    register.Result
		lowestHere, lowestOfPeers configversion.Version
		ackedLowest               configversion.Version // the lowest version in force among this machine's subscribers, ...
		after                     time.Duration         // ... this long after the request
		held, waits               bool                  // the response is held back on completion, and still after that time
	}{
		{"in force everywhere", Write{Version: 7}, register.Confirmed, 7, 7, 7, 0, false, false},
		{"behind below this machine", Write{Version: 7}, register.Confirmed, 6, 7, 6, ackTimeout - 1, true, true},
		{"acknowledged", Write{Version: 7}, register.Confirmed, 6, 7, 7, 10 * ms, true, false},
		{"not acknowledged in time", Write{Version: 7}, register.Confirmed, 6, 7, 6, ackTimeout, true, false},
		{"behind below another machine", Write{Version: 7}, register.Confirmed, 7, 6, 7, ackTimeout - 1, true, true},
		{"rejected", Write{Version: 7}, register.Conflict, 6, 6, 6, 0, false, false},
		{"read", Read{}, register.Confirmed, 6, 6, 6, 0, false, false},
	} {
		table, _ := newTable()
		var got results
		table.PeerAcknowledged("b", c.lowestOfPeers, now)
		id := table.Propose(now, c.request, &got)
		table.Complete(now, register.Outcome{ID: id, Result: c.result, Value: register.Value{Version: 7}}, c.lowestHere)
		if held := len(got) == 0; held != c.held {
			t.Errorf("%s: held is %v", c.name, held)
		}
		next := table.Acknowledge(now+c.after, c.ackedLowest)
		if waits := len(got) == 0; waits != c.waits || c.waits && next != now+ackTimeout {
			t.Errorf("%s: waits is %v, until %v", c.name, waits, next)
		}
		if len(got) == 1 && got[0].Outcome.Value.Version != 7 {
			t.Errorf("%s: %+v", c.name, got[0])
		}
	}
}

// While sidecars are behind, a confirmed write waits for them and a rejected one is answered at once.
func TestRejectedWriteDoesNotWaitForSidecars(t *testing.T) {
	table, _ := newTable()
	table.PeerAcknowledged("b", 5, now)
	for _, result := range []register.Result{register.Confirmed, register.Conflict} {
		var got results
		id := table.Propose(now, Write{Version: 7}, &got)
		table.Complete(now, register.Outcome{ID: id, Result: result}, dissemination.Unconstrained)
		if answered := len(got) == 1; answered != (result == register.Conflict) {
			t.Errorf("result %d: answered while sidecars are behind is %v", result, answered)
		}
	}
}

// A cancelled operation is dropped in the register, and its client gets no result. Others are not affected.
func TestCancelledOperationIsNotAnswered(t *testing.T) {
	table, r := newTable()
	var got results
	id := table.Propose(now, Read{}, &got)
	other := table.Propose(now, Read{}, &got)
	table.Cancel(id)
	table.Complete(now, register.Outcome{ID: id}, 0)
	if len(got) != 0 || !slices.Equal(r.cancelled, []uint64{id}) || table.Len() != 1 {
		t.Errorf("results %v, cancelled %v, %d pending", got, r.cancelled, table.Len())
	}
	table.Complete(now, register.Outcome{ID: other, Value: register.Value{Version: 3}}, 0)
	if len(got) != 1 || got[0].Outcome.Value.Version != 3 {
		t.Errorf("the operation that was not cancelled: %v", got)
	}
}

// The error for a version that is taken has to state the version, both contents, that the write never comes into force, and the newest
// version, above which the operator has to send it.
func TestVersionTakenErrorNamesVersionsAndContents(t *testing.T) {
	mine, taken := register.ContentOf([]byte("mine")), register.ContentOf([]byte("taken"))
	history := register.History{}.With(register.Record{Version: configversion.Of(7), Content: taken})
	table, _ := newTable()
	var got results
	id := table.Propose(now, Write{Version: configversion.Of(7), Content: mine}, &got)
	newest := register.Value{Version: configversion.Of(12), History: history}
	table.Complete(now, register.Outcome{ID: id, Result: register.Conflict, Value: newest}, 0)
	var conflict *VersionTakenError
	if len(got) != 1 || !errors.As(got[0].Err, &conflict) {
		t.Fatalf("results %v", got)
	}
	text := conflict.Error()
	for _, want := range []string{"00000007", mine.String(), taken.String(), "never", "0000000c"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q does not contain %s", text, want)
		}
	}
}

// Call.Wait returns when the operation has a result, the time-out has passed, or the machine stops.
func TestCallWaitsForResultTimeoutOrShutdown(t *testing.T) {
	for _, c := range []struct {
		name    string
		result  *Result
		stopped bool
		after   time.Duration
		want    error
	}{
		{"answered", &Result{Outcome: register.Outcome{Value: register.Value{Version: 3}}}, false, 100 * ms, nil},
		{"failed", &Result{Err: ErrNoQuorum}, false, 100 * ms, ErrNoQuorum},
		{"no result", nil, false, durations.Operations.Timeout, ErrTimeout},
		{"stopped", nil, true, 100 * ms, context.Canceled},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			call, began := NewCall(Read{}), time.Now()
			time.AfterFunc(100*ms, func() {
				switch {
				case c.result != nil:
					call.Respond(*c.result)
				case c.stopped:
					stop()
				}
			})
			o, err := call.Wait(ctx, durations.Operations.Timeout)
			if !errors.Is(err, c.want) || time.Since(began) != c.after {
				t.Errorf("%s: %v after %v", c.name, err, time.Since(began))
			}
			if c.want == nil && o.Value.Version != 3 {
				t.Errorf("%s: %+v", c.name, o)
			}
		})
	}
}

// Guards against failed writes that keep occupying the bounded number of writes that wait for sidecars: later writes would be answered
// before their version is in force.
func TestFailedWritesReleaseTheirConfirmations(t *testing.T) {
	table, r := newTable()
	var got results
	for range 1000 {
		id := table.Propose(now, Write{Version: 7}, &got)
		table.Complete(now, register.Outcome{ID: id, Result: register.Confirmed}, 6)
	}
	if len(got) == 0 || len(got) == 1000 {
		t.Fatalf("%d of 1000 writes are answered at once: the bound is not reached, or no write waits", len(got))
	}
	r.health = Health{LastQuorum: -1}
	table.FailPending(now)
	r.health, got = healthy, nil
	id := table.Propose(now, Write{Version: 7}, &got)
	table.Complete(now, register.Outcome{ID: id, Result: register.Confirmed}, 6)
	if len(got) > 0 {
		t.Error("a write is answered before its version is in force at the sidecars")
	}
}
