package controlplane

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	kitlog "github.com/go-kit/log"

	"firplank/mesh/bootstrap"
	"firplank/mesh/configversion"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/storage"
)

// newTestServer returns a server that is the only member. The test completes its disk writes by hand.
func newTestServer() *Server {
	s := newServer(&bootstrap.Settings{Bounds: bootstrap.DefaultBounds()}, "a", kitlog.NewNopLogger())
	s.ctx = context.Background()
	s.setReplica(register.New("a", []string{"a"}, true, nil, 1), register.State{})
	s.setTombstones(nil, storage.RecoveredTombstones{Complete: true})
	return s
}

// advanceClock advances the server's clock, which counts from startedAt.
func (s *Server) advanceClock(elapsed time.Duration) { s.startedAt = s.startedAt.Add(-elapsed) }

// proposeWrite proposes an operator's write and returns where its result is recorded.
func (s *Server) proposeWrite(version configversion.Version) *recordedResult {
	r := &recordedResult{}
	s.operations.Propose(s.now(), operations.Write{Version: version, Body: []byte("x")}, r)
	return r
}

// recordedResult records the result of an operation and how often there was one.
type recordedResult struct {
	responses int
	operations.Result
}

// Respond implements operations.Responder.
func (r *recordedResult) Respond(result operations.Result) {
	r.responses, r.Result = r.responses+1, result
}

// runSteps advances the clock in steps of 50 ms, and completes each write at once.
func (s *Server) runSteps(steps int) {
	for range steps {
		s.advanceClock(50 * time.Millisecond)
		s.pipeline.Apply(s.now(), register.Tick{})
		select {
		case w := <-s.writes:
			s.handle(writeCompleted{number: w.Number})
		default:
		}
	}
}

// Guards against a stalled disk that blocks the event loop or its clients. While a write hangs, nothing that rests on it is published or
// answered, pending operations fail after persist.DiskTimeout, and new ones are rejected at once. When the disk works again, so does the
// server.
func TestStalledDiskDoesNotBlockTheServer(t *testing.T) {
	s := newTestServer()
	s.runSteps(10)
	first := s.proposeWrite(1)
	w := <-s.writes
	if first.responses > 0 || s.pipeline.Committed().Value.Version != 0 {
		t.Fatal("a write is answered, or committed, before it is on disk")
	}
	s.advanceClock(persist.DiskTimeout)
	s.operations.FailPending(s.now())
	if first.responses != 1 || !errors.Is(first.Err, operations.ErrDiskFailing) || !s.pipeline.DiskFailing(s.now()) {
		t.Fatal("the pending write did not fail, or the disk is not reported as failing")
	}
	if second := s.proposeWrite(2); second.responses != 1 || !errors.Is(second.Err, operations.ErrDiskFailing) {
		t.Fatal("a new write is not rejected at once")
	}
	s.runSteps(2000)
	if len(s.writes) > 0 || !s.pipeline.Health(s.now()).QueueFull {
		t.Error("a second disk write was begun, or the queue is not full after 100 s")
	}
	s.handle(writeCompleted{number: w.Number})
	s.runSteps(20)
	if s.pipeline.DiskFailing(s.now()) || s.pipeline.Health(s.now()).CheckAccepting(s.now(), s.durations.Dissemination.QuorumTimeout) != nil {
		t.Error("the disk works again, and the server does not accept operations")
	}
	last := s.proposeWrite(3)
	s.runSteps(10)
	if last.responses != 1 || last.Err != nil || s.pipeline.Committed().Value.Version != 3 {
		t.Errorf("%d responses, version %d is committed", last.responses, s.pipeline.Committed().Value.Version)
	}
}

// Guards against a replica that votes without the promises of its earlier run: if the register's files are deleted, the data folder still
// shows that messages may have been sent, so the replica has to rejoin before its votes count.
func TestReplicaWhoseStateWasDeletedIsNoVoter(t *testing.T) {
	folder := t.TempDir() + "/data"
	start := func() *register.Replica {
		store, replica, err := openStore(context.Background(), folder, true, kitlog.NewNopLogger(),
			func(voteAtOnce bool, onDisk *register.State) *register.Replica {
				return register.New("a", []string{"a"}, voteAtOnce, onDisk, 1)
			})
		if err != nil {
			t.Fatal(err)
		}
		_ = store.Close()
		return replica
	}
	for range 2 {
		if !start().State().Voter {
			t.Error("not a voter at the first start, or after a restart with its state")
		}
	}
	if err := os.RemoveAll(filepath.Join(folder, "register")); err != nil {
		t.Fatal(err)
	}
	if start().State().Voter {
		t.Error("a voter although the promises on its disk are lost")
	}
}

// A tolerance that needs more control machines than are known is reported once, by name, and not before Bounds.RejoinTime has passed, as a
// machine may not know of all others earlier.
func TestToleranceAboveTheMachinesIsReported(t *testing.T) {
	s := newTestServer()
	s.settings.Tolerance.Machines = 2
	s.peers.Record("b", "z", time.Second)
	s.checkTolerance(s.settings.Bounds.RejoinTime - 1)
	if names := s.conflictNames(); len(names) > 0 {
		t.Fatalf("%v reported before Bounds.RejoinTime has passed", names)
	}
	s.checkTolerance(s.settings.Bounds.RejoinTime)
	s.checkTolerance(s.settings.Bounds.RejoinTime + 1)
	if names := s.status(s.now()).Conflicts; !slices.Equal(names, []string{"tolerance_within_machines"}) {
		t.Errorf("%v", names)
	}
	s.settings.Tolerance.Machines = 0
	s.toleranceReported = false
	if s.checkTolerance(s.settings.Bounds.RejoinTime); s.toleranceReported {
		t.Error("a conflict is reported for a tolerance of 0")
	}
}
