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
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/persist"
	"firplank/mesh/register"
)

// newTestServer is the only member of a core, whose disk takes what it is given when the test says so.
func newTestServer() *Server {
	s := newServer(&bootstrap.Settings{Bounds: bootstrap.DefaultBounds()}, "a", kitlog.NewNopLogger())
	s.ctx = context.Background()
	s.setReplica(register.New("a", []string{"a"}, true, nil, 1), register.State{})
	return s
}

// advanceClock lets time pass for a node, whose clock counts from its start.
func (s *Server) advanceClock(elapsed time.Duration) { s.startedAt = s.startedAt.Add(-elapsed) }

// proposeWrite has an operator's write handled.
func (s *Server) proposeWrite(version uint32) *recordedResult {
	r := &recordedResult{}
	s.operations.Propose(s.now(), operations.Write{Version: version, Body: []byte("x")}, r)
	return r
}

// recordedResult is that of an operation, once it has one.
type recordedResult struct {
	responses int
	operations.Result
}

// Respond implements operations.Responder.
func (r *recordedResult) Respond(result operations.Result) {
	r.responses, r.Result = r.responses+1, result
}

// runSteps lets time pass in short steps; the disk takes what it is given.
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

// While the disk stalls, nothing is said that rests on what is not on it, calls wait no longer than a span and are then
// refused at once, and the node's goroutine goes on; when the disk is well, so is the node.
func TestStalledDiskDoesNotBlockTheServer(t *testing.T) {
	s := newTestServer()
	s.runSteps(10)
	first := s.proposeWrite(1)
	w := <-s.writes
	if first.responses > 0 || s.pipeline.Committed().Value.Version != 0 {
		t.Fatal("an order is answered, or in force, before it is on disk")
	}
	s.advanceClock(persist.DiskTimeout)
	s.operations.FailPending(s.now())
	if first.responses != 1 || !errors.Is(first.Err, operations.ErrDiskFailing) || !s.pipeline.DiskFailing(s.now()) {
		t.Fatal("the order is taken as settled, or the disk as well")
	}
	if second := s.proposeWrite(2); second.responses != 1 || !errors.Is(second.Err, operations.ErrDiskFailing) {
		t.Fatal("another is taken as settled")
	}
	s.runSteps(2000)
	if len(s.writes) > 0 || !s.pipeline.Health(s.now()).QueueFull {
		t.Error("a second write was begun, or the queue is not full after 100 s")
	}
	s.handle(writeCompleted{number: w.Number})
	s.runSteps(20)
	if s.pipeline.DiskFailing(s.now()) || s.pipeline.Health(s.now()).CheckAccepting(s.now(), s.durations.Dissemination.QuorumTimeout) != nil {
		t.Error("the disk is well, and the node is not")
	}
	last := s.proposeWrite(3)
	s.runSteps(10)
	if last.responses != 1 || last.Err != nil || s.pipeline.Committed().Value.Version != 3 {
		t.Errorf("%d answers, version %d is in force", last.responses, s.pipeline.Committed().Value.Version)
	}
}

// What a replica has said is never forgotten by a start, and the folder tells that it may have spoken.
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
			t.Error("no voter at the first start, or none with its disk")
		}
	}
	if err := os.RemoveAll(filepath.Join(folder, "register")); err != nil {
		t.Fatal(err)
	}
	if start().State().Voter {
		t.Error("a voter whose disk has lost what it promised")
	}
}

// A tolerance that the control machines do not suffice for is told once, by name, when all could have been heard of.
func TestToleranceAboveTheMachinesIsReported(t *testing.T) {
	s := newTestServer()
	s.settings.Tolerance.Machines = 2
	s.peers.Record("b", "z", time.Second)
	s.checkTolerance(s.settings.Bounds.Sync - 1)
	if names := s.conflictNames(); len(names) > 0 {
		t.Fatalf("%v before its time", names)
	}
	s.checkTolerance(s.settings.Bounds.Sync)
	s.checkTolerance(s.settings.Bounds.Sync + 1)
	if names := s.status(s.now()).Conflicts; !slices.Equal(names, []string{"tolerance_within_machines"}) {
		t.Errorf("%v", names)
	}
	s.settings.Tolerance.Machines = 0
	s.toleranceReported = false
	if s.checkTolerance(s.settings.Bounds.Sync); s.toleranceReported {
		t.Error("three members are needed for no tolerance at all")
	}
}
