// Package persistence delays the output of a control machine's replica of the register until the state that the output rests on is on
// disk. Paxos requires that a promise is on stable storage before it is sent (docs/design/register.md).
//
// Pipeline has no I/O, no goroutine and no clock. It belongs to the control machine's event loop and acts through Sink.
//
// Start reading at Pipeline.Apply and Pipeline.flush.
package persistence

import (
	"time"

	"firplank/internal/invariant"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/persist"
	"firplank/mesh/register"
)

// Sink receives the output of a Pipeline. Its methods must not block. Complete may call Pipeline.Apply, the others must not.
type Sink interface {
	// Write begins to write a state. The caller reports its end by Pipeline.WriteCompleted. One write is in flight at a time.
	Write(w persist.Write)
	// Send sends a message to another replica.
	Send(m *register.Message)
	// Publish receives the newest committed value. It may be the same as before, with a later time.
	Publish(c persist.Committed)
	// Complete records the outcome of an operation.
	Complete(o register.Outcome)
}

// Pipeline owns a replica, the queue of output that waits for the disk, and the state that is known to be on disk. It is not safe for
// concurrent use. Its memory is bounded by persist.Queue.
type Pipeline struct {
	replica   *register.Replica
	sink      Sink
	queue     persist.Queue
	writing   *register.State   // the state that was passed to Sink.Write last
	onDisk    register.State    // the newest state that is known to be written
	committed persist.Committed // the newest committed value that has left the queue

	invariants invariant.Reporter
}

// New returns a pipeline for a replica whose state is already on disk.
func New(replica *register.Replica, onDisk register.State, sink Sink) *Pipeline {
	return &Pipeline{replica: replica, onDisk: onDisk, sink: sink, invariants: invariant.Ignored{}}
}

// Apply passes an event to the replica. If the queue for the disk is full, the event is dropped, as if a link had lost a message.
func (p *Pipeline) Apply(now time.Duration, ev register.Event) {
	if p.queue.Full() {
		return
	}
	out := p.replica.Handle(now, ev)
	value, asOf, known := p.replica.Committed()
	p.queue.Add(now, out, persist.Committed{Known: known, Value: value, AsOf: asOf})
	p.flush(now)
}

// Cancel drops an operation whose client no longer waits.
func (p *Pipeline) Cancel(id uint64) { p.replica.Cancel(id) }

// Tick runs the replica's periodic work and the writes that are due.
func (p *Pipeline) Tick(now time.Duration) {
	if now >= p.replica.NextTick() {
		p.Apply(now, register.Tick{})
	}
	p.flush(now)
}

// NextTick returns when Tick is to be called at the latest. ok is false if there is nothing to do before an event or the end of a write.
func (p *Pipeline) NextTick(now time.Duration) (at time.Duration, ok bool) {
	at, ok = p.queue.NextTick(now)
	if p.queue.Full() {
		return at, ok
	}
	if tick := p.replica.NextTick(); !ok || tick < at {
		at = tick
	}
	return at, true
}

// WriteCompleted reports the end of the write in flight. After an error the state counts as not written, and is written again.
func (p *Pipeline) WriteCompleted(now time.Duration, number uint64, err error) {
	if err != nil {
		p.queue.WriteFailed(now)
	} else {
		p.checkWritten(p.writing)
		p.onDisk = *p.writing
		p.queue.WriteSynced(now, number)
	}
	p.flush(now)
}

// flush begins the next write if one is due, and passes the released output to the sink: messages first, then the committed value, then
// outcomes.
func (p *Pipeline) flush(now time.Duration) {
	if w, ok := p.queue.NextWrite(now); ok {
		p.writing = w.State
		p.sink.Write(w)
	}
	for _, ready := range p.queue.TakeReady() {
		for i := range ready.Messages {
			p.checkSent(&ready.Messages[i])
			p.sink.Send(&ready.Messages[i])
		}
		p.checkCommitted(&ready.Committed)
		p.committed = ready.Committed
		p.sink.Publish(ready.Committed)
		for _, o := range ready.Outcomes {
			p.sink.Complete(o)
		}
	}
}

// Health implements operations.Register.
func (p *Pipeline) Health(now time.Duration) operations.Health {
	return operations.Health{LastQuorum: p.replica.LastQuorum(), DiskFailing: p.DiskFailing(now), QueueFull: p.queue.Full()}
}

// Progress describes, for the log, what the replica is working on, and how long it has waited for the disk.
func (p *Pipeline) Progress(now time.Duration) string {
	text := p.replica.Progress(now)
	if waited := p.queue.UnsyncedFor(now); waited > 0 {
		text += "; the disk for " + waited.Round(time.Millisecond).String()
	}
	return text
}

// DiskFailing reports whether a state has waited for the disk for too long.
func (p *Pipeline) DiskFailing(now time.Duration) bool { return p.queue.DiskFailing(now) }

// OnDisk returns the newest state that is known to be written. The machine reports its own status by it.
func (p *Pipeline) OnDisk() *register.State { return &p.onDisk }

// Committed returns the newest committed value that has left the queue.
func (p *Pipeline) Committed() persist.Committed { return p.committed }

// Replica returns the replica for reading its state. Events have to go through Apply.
func (p *Pipeline) Replica() *register.Replica { return p.replica }
