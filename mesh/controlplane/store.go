package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"firplank/mesh/codec"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/storage"
)

const (
	// openBackoffMin is the pause after a disk has refused to be read at the start, which doubles up to openBackoffMax.
	openBackoffMin = 50 * time.Millisecond
	openBackoffMax = time.Second
	// closeTimeout is how long the end of the process waits for a write that is under way.
	closeTimeout = 500 * time.Millisecond
)

// retryDiskOperation repeats an operation of the disk until it succeeds or ctx ends.
func retryDiskOperation(ctx context.Context, log kitlog.Logger, operation func() error) error {
	for pause := openBackoffMin; ; pause = min(2*pause, openBackoffMax) {
		err := operation()
		if err == nil {
			return nil
		}
		_ = level.Error(log).Log("msg", "opening the register's store failed, retrying", "error", err)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return errors.Wrap(err, "open the register's store")
		}
	}
}

// newReplicaFunc makes a replica over the state that was found on disk; nil: none.
type newReplicaFunc func(voteAtOnce bool, onDisk *register.State) *register.Replica

// openStore opens the data folder and a replica over it, which votes at once only where that is safe. Nothing has left the machine yet,
// and from here on the folder records that something may.
func openStore(
	ctx context.Context, folder string, firstStart bool, log kitlog.Logger, newReplica newReplicaFunc,
) (store *storage.Store, replica *register.Replica, err error) {
	var recovered storage.Recovered
	err = retryDiskOperation(ctx, log, func() (err error) {
		store, recovered, err = storage.Open(folder)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	voteAtOnce := recovered.MayVoteWithoutRejoin(firstStart)
	if recovered.State == nil && !voteAtOnce {
		_ = level.Warn(log).Log("msg", "no usable state on disk: the replica rejoins", "corrupt", recovered.Corrupt,
			"earlier incarnation", recovered.EarlierIncarnation)
	}
	replica = newReplica(voteAtOnce, recovered.State)
	var initial *register.State
	if voteAtOnce {
		state := replica.State()
		initial = &state
	}
	err = retryDiskOperation(ctx, log, func() error { return store.Activate(initial) })
	if err != nil {
		return nil, nil, errors.Join(err, store.Close())
	}
	return store, replica, nil
}

// writeStates is the goroutine that waits for the disk.
func (s *Server) writeStates(ended chan<- struct{}) {
	defer close(ended)
	for w := range s.writes {
		err := s.store.Save(w.State)
		s.post(writeCompleted{w.Number, err})
		if err == nil {
			s.store.RecordSynced()
		}
	}
}

// closeStore closes the store, unless a write hangs.
func (s *Server) closeStore(ended <-chan struct{}) {
	close(s.writes)
	select {
	case <-ended:
		if err := s.store.Close(); err != nil {
			_ = level.Error(s.log).Log("msg", "closing the register's store failed", "error", err)
		}
	case <-time.After(closeTimeout):
	}
}

// pipelineSink is how the pipeline acts on the rest of a server. It implements persistence.Sink.
type pipelineSink struct{ s *Server }

// Write hands a state to the goroutine of writeStates.
func (k pipelineSink) Write(w persist.Write) {
	k.s.writes <- w // has room: one is under way at a time
}

// Send sends a message to another replica. A machine that was not known becomes so.
func (k pipelineSink) Send(m *register.Message) {
	if p := k.s.peers.Get(m.To); p == nil {
		k.s.recordPeer(m.To, "", 0)
	} else if p.Connected() {
		p.Conn.Send(codec.RegisterToFrame(m))
	}
}

// Publish brings the subscribers up to date.
func (k pipelineSink) Publish(c persist.Committed) { k.s.publish(c) }

// Complete hands an outcome to whoever asked for it.
func (k pipelineSink) Complete(o register.Outcome) {
	s := k.s
	s.reconciler.Complete(o)
	s.operations.Complete(s.now(), o, s.hub.LowestInForce(s.now()))
}

// handleWriteCompleted goes on after a write.
func (s *Server) handleWriteCompleted(w writeCompleted) {
	if w.err != nil {
		s.metrics.diskErrors.Inc()
		_ = level.Error(s.log).Log("msg", "write of the register's state failed", "error", w.err)
	}
	s.pipeline.WriteCompleted(s.now(), w.number, w.err)
}
