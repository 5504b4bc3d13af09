package persistence

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"firplank/mesh/configversion"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/timing"
)

// quorumTimeout is the default, which the deployments use.
var quorumTimeout = timing.Default().Dissemination.QuorumTimeout

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testReplica is a pipeline with a simulated disk, and the Sink that records what the pipeline releases.
type testReplica struct {
	pipeline  *Pipeline
	write     *persist.Write
	disk      register.State
	sent      []register.Message
	committed persist.Committed
	outcomes  []register.Outcome
	log       []string
}

func (w *testReplica) Write(write persist.Write) {
	if w.write != nil {
		panic("a second write began while one is in flight")
	}
	w.write = &write
}

func (w *testReplica) Send(m *register.Message) {
	w.sent = append(w.sent, *m)
	w.log = append(w.log, "send")
}

func (w *testReplica) Publish(c persist.Committed) {
	w.committed = c
	w.log = append(w.log, fmt.Sprint("publish ", c.Value.Version))
}

func (w *testReplica) Complete(o register.Outcome) {
	w.outcomes = append(w.outcomes, o)
	w.log = append(w.log, fmt.Sprint("complete ", o.ID))
}

// completeWrite ends the write in flight.
func (w *testReplica) completeWrite(now time.Duration, err error) {
	write := w.write
	w.write = nil
	if err == nil {
		w.disk = *write.State
	}
	w.pipeline.WriteCompleted(now, write.Number, err)
}

func newTestReplica(members ...string) *testReplica {
	w := &testReplica{}
	w.pipeline = New(register.New("a", members, true, nil, 1), register.State{}, w)
	return w
}

var errDisk = errors.New("input/output error")

const ms = time.Millisecond

// runSteps advances the time in steps of 50 ms and completes each write at once. It returns the new time.
func (w *testReplica) runSteps(now time.Duration, steps int) time.Duration {
	for range steps {
		now += 50 * ms
		w.pipeline.Tick(now)
		for w.write != nil {
			w.completeWrite(now, nil)
		}
	}
	return now
}

// Guards against output ahead of its write: while a write is in flight or has failed, the pipeline neither publishes nor completes what
// rests on it, and does not report the state as on disk.
func TestNothingIsSentBeforeItIsWritten(t *testing.T) {
	w := newTestReplica("a")
	now := w.runSteps(0, 10)
	w.log = nil
	w.pipeline.Apply(now, register.Put{ID: 7, Version: configversion.Of(1), Body: []byte("x")})
	for attempt := range 3 {
		if w.write == nil {
			t.Fatalf("attempt %d: no write is in flight", attempt)
		}
		if len(w.outcomes) > 0 || w.committed.Value.Version != configversion.None || w.pipeline.Committed().Value.Version != configversion.None {
			t.Fatalf("attempt %d: %v", attempt, w.log)
		}
		if on := w.pipeline.OnDisk(); on.Accepted == w.write.State.Accepted || on.Value.Version != configversion.None {
			t.Fatalf("attempt %d: %v is reported as on disk", attempt, on.Accepted)
		}
		w.completeWrite(now, errDisk)
		now += time.Second
		w.pipeline.Tick(now)
	}
	w.log = nil
	w.runSteps(now, 10)
	if w.pipeline.OnDisk().Value.Version != configversion.Of(1) || w.pipeline.Committed().Value.Version != configversion.Of(1) {
		t.Errorf("on disk %v, committed %v", w.pipeline.OnDisk().Value.Version, w.pipeline.Committed().Value.Version)
	}
	publish, complete := slices.Index(w.log, "publish 00000001"), slices.Index(w.log, "complete 7")
	if publish < 0 || complete < publish {
		t.Errorf("an outcome is completed before its value is published: %v", w.log)
	}
}

// Guards against a promise that is sent before it is on disk, over random orders of requests, ticks and completed or failed writes.
func TestPromiseIsOnDiskBeforeItIsSent(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newTestReplica("a", "b", "c")
		for now := time.Duration(0); now < 5*time.Second; now += time.Duration(rng.IntN(60)) * ms {
			w.sent = nil
			switch rng.IntN(4) {
			case 0:
				ballot := register.Ballot{Number: uint64(now / ms), Proposer: "b"}
				w.pipeline.Apply(now, register.MessageReceived{
					Message: register.Message{Kind: register.Prepare, From: "b", To: "a", Ballot: ballot},
				})
			case 1:
				w.pipeline.Tick(now)
			default:
				if w.write != nil {
					w.completeWrite(now, []error{nil, nil, errDisk}[rng.IntN(3)])
				}
			}
			for _, m := range w.sent {
				if m.Kind == register.Promise && m.Ballot.Compare(w.disk.Promised) > 0 {
					t.Fatalf("seed %d: %v is promised, and %v is on disk", seed, m.Ballot, w.disk.Promised)
				}
			}
		}
	}
}

// Health reflects the last reply of a quorum, a disk that stalls and recovers, and the length of the queue.
func TestHealthFollowsQuorumDiskAndQueue(t *testing.T) {
	w := newTestReplica("a")
	if h := w.pipeline.Health(0); h.LastQuorum >= 0 || h.DiskFailing || h.QueueFull {
		t.Errorf("at the start: %+v", h)
	}
	now := w.runSteps(0, 40)
	if h := w.pipeline.Health(now); h.LastQuorum < now-time.Second || h.CheckAccepting(now, quorumTimeout) != nil {
		t.Errorf("at %v, with a working disk: %+v", now, h)
	}
	w.pipeline.Apply(now, register.Put{ID: 7, Version: configversion.Of(1), Body: []byte("x")})
	stalled := now + 10*time.Second
	for at := now; at < stalled; at += 50 * ms {
		w.pipeline.Tick(at)
	}
	h := w.pipeline.Health(stalled)
	if !h.DiskFailing || !errors.Is(h.CheckAccepting(stalled, quorumTimeout), operations.ErrDiskFailing) {
		t.Errorf("with a stalled disk: %+v", h)
	}
	early := now + persist.DiskTimeout
	if !errors.Is(w.pipeline.Health(early).CheckAccepting(early, quorumTimeout), operations.ErrDiskFailing) {
		t.Error("operations are accepted although the disk has stalled for persist.DiskTimeout")
	}
	w.completeWrite(stalled, nil)
	now = w.runSteps(stalled, 40)
	if h := w.pipeline.Health(now); h.CheckAccepting(now, quorumTimeout) != nil {
		t.Errorf("after the disk has recovered: %+v", h)
	}
}

// The queue for a stalled disk is bounded: while it is full, events are dropped, and NextTick asks for no tick that would be dropped.
func TestQueueIsBounded(t *testing.T) {
	w := newTestReplica("a", "b", "c")
	w.pipeline.Tick(time.Second)
	if w.write == nil {
		w.pipeline.Apply(time.Second, register.MessageReceived{
			Message: register.Message{Kind: register.Prepare, From: "b", To: "a", Ballot: register.Ballot{Number: 1, Proposer: "b"}},
		})
	}
	n := uint64(2)
	for ; n < 100_000 && !w.pipeline.Health(0).QueueFull; n++ {
		w.pipeline.Apply(time.Second, register.MessageReceived{
			Message: register.Message{Kind: register.Prepare, From: "b", To: "a", Ballot: register.Ballot{Number: n, Proposer: "b"}},
		})
	}
	if !w.pipeline.Health(0).QueueFull {
		t.Fatal("the queue is not full")
	}
	before := w.pipeline.Replica().State().Promised
	w.pipeline.Apply(time.Second, register.MessageReceived{
		Message: register.Message{Kind: register.Prepare, From: "b", To: "a", Ballot: register.Ballot{Number: n + 1, Proposer: "b"}},
	})
	if got := w.pipeline.Replica().State().Promised; got != before {
		t.Errorf("an event reaches the replica while the queue is full: %v", got)
	}
	if at, ok := w.pipeline.NextTick(10 * time.Second); ok && at <= 10*time.Second {
		t.Errorf("NextTick asks for a tick at %v that would be dropped", at)
	}
	w.completeWrite(2*time.Second, nil)
	if w.pipeline.Health(0).QueueFull || !strings.Contains(strings.Join(w.log, " "), "send") {
		t.Error("after the write the queue is still full, or no message was sent")
	}
}

// A cancelled operation has no outcome. One that is pending at the same time has its outcome.
func TestCancelledOperationHasNoOutcome(t *testing.T) {
	a, b := newTestReplica("a", "b"), &testReplica{}
	b.pipeline = New(register.New("b", []string{"a", "b"}, true, nil, 2), register.State{}, b)
	a.pipeline.Apply(0, register.LinearizableRead{ID: 7})
	a.pipeline.Apply(0, register.LinearizableRead{ID: 8})
	a.pipeline.Cancel(7)
	for now := time.Duration(0); now < 3*time.Second; now += 50 * ms {
		for from, to := range map[*testReplica]*testReplica{a: b, b: a} {
			messages := from.sent
			from.sent = nil
			for _, m := range messages {
				to.pipeline.Apply(now, register.MessageReceived{Message: m})
			}
			to.runSteps(now, 1)
		}
	}
	if len(a.outcomes) != 1 || a.outcomes[0].ID != 8 {
		t.Errorf("outcomes %+v, want one of operation 8", a.outcomes)
	}
}
