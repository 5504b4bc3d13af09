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
	// openBackoffMin is the pause after the first failure to open the store; it doubles up to openBackoffMax.
	openBackoffMin = 50 * time.Millisecond
	openBackoffMax = time.Second
	// closeTimeout is how long a process that ends waits for a write in flight. What it has stated rests on earlier, synced writes.
	closeTimeout = 500 * time.Millisecond
)

// retryDiskOperation repeats a disk operation, with exponential backoff, until it succeeds or ctx ends.
func retryDiskOperation(ctx context.Context, log kitlog.Logger, operation func() error) error {
	for pause := openBackoffMin; ; pause = min(2*pause, openBackoffMax) {
		err := operation()
		if err == nil {
			return nil
		}
		_ = level.Error(log).Log("msg", "opening the register's store failed; retrying", "error", err)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return errors.Wrap(err, "open the register's store")
		}
	}
}

// newReplicaFunc creates a replica from the state that was recovered from disk; nil if there is none. With voteAtOnce its votes count
// without a rejoin.
type newReplicaFunc func(voteAtOnce bool, onDisk *register.State) *register.Replica

// openStore opens the data folder and creates the replica on it, which votes at once only if it cannot have lost a promise. No message has
// been sent before openStore returns; it marks the folder, so that a later start knows that promises may have been sent.
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

// writeStates saves each state that it receives. It runs on its own goroutine, as writes may block, and closes ended after s.writes is
// closed.
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

// closeStore ends writeStates and closes the store, unless a write hangs for closeTimeout.
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

// pipelineSink executes the pipeline's output on a server. It implements persistence.Sink.
type pipelineSink struct{ s *Server }

// Write passes a state to writeStates.
func (k pipelineSink) Write(w persist.Write) {
	k.s.writes <- w // doesn't block: the channel is buffered, and one write is in flight at a time
}

// Send sends a message to another replica, or drops it if there is no connection. A machine that was not known is recorded as a peer.
func (k pipelineSink) Send(m *register.Message) {
	if p := k.s.peers.Get(m.To); p == nil {
		k.s.recordPeer(m.To, "", 0)
	} else if p.Connected() {
		p.Conn.Send(codec.RegisterToFrame(m))
	}
}

// Publish passes the newest committed value to the subscribers.
func (k pipelineSink) Publish(c persist.Committed) { k.s.publish(c) }

// Complete passes an outcome to the reconciler and the pending operations.
func (k pipelineSink) Complete(o register.Outcome) {
	s := k.s
	s.reconciler.Complete(o)
	s.operations.Complete(s.now(), o, s.hub.LowestInForce(s.now()))
}

// handleWriteCompleted logs a failed write and passes the result on to the pipeline.
func (s *Server) handleWriteCompleted(w writeCompleted) {
	if w.err != nil {
		s.metrics.diskErrors.Inc()
		_ = level.Error(s.log).Log("msg", "write of the register's state failed", "error", w.err)
	}
	s.pipeline.WriteCompleted(s.now(), w.number, w.err)
}
