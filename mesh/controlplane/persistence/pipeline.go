// Package persistence puts a control machine's replica of the register behind its disk: what an event leads to leaves the machine once the
// state that it rests on has been written (docs/design/register.md; the rule of Paxos that a promise is on stable
// storage before it is sent).
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

// Sink is what a Pipeline acts on. Its methods must not block. Complete may call Pipeline.Apply, the others must not.
type Sink interface {
	// Write begins to write a state. Its end is reported by WriteCompleted; one write is under way at a time.
	Write(w persist.Write)
	// Send sends a message to another replica.
	Send(m *register.Message)
	// Publish receives the newest committed value, which may be the same as before with a later time.
	Publish(c persist.Committed)
	// Complete records the outcome of an operation.
	Complete(o register.Outcome)
}

// Pipeline owns a replica, the queue of what waits for the disk, and what is known to be on it. It is not safe for
// concurrent use. Its memory is bounded by persist.Queue.
type Pipeline struct {
	replica   *register.Replica
	sink      Sink
	queue     persist.Queue
	writing   *register.State   // that Sink.Write was given last
	onDisk    register.State    // the newest that is known to be written
	committed persist.Committed // the newest value that has left the queue

	invariants invariant.Reporter
}

// New returns a pipeline for a replica whose state the disk already has.
func New(replica *register.Replica, onDisk register.State, sink Sink) *Pipeline {
	return &Pipeline{replica: replica, onDisk: onDisk, sink: sink, invariants: invariant.Ignored{}}
}

// Apply hands an event to the replica. Where too much waits for the disk the event is dropped, as a link may drop a message.
func (p *Pipeline) Apply(now time.Duration, ev register.Event) {
	if p.queue.Full() {
		return
	}
	out := p.replica.Handle(now, ev)
	value, asOf, known := p.replica.Committed()
	p.queue.Add(now, out, persist.Committed{Known: known, Value: value, AsOf: asOf})
	p.flush(now)
}

// Cancel drops an operation whose outcome nobody waits for.
func (p *Pipeline) Cancel(id uint64) { p.replica.Cancel(id) }

// Tick does what is due.
func (p *Pipeline) Tick(now time.Duration) {
	if now >= p.replica.NextTick() {
		p.Apply(now, register.Tick{})
	}
	p.flush(now)
}

// NextTick is when Tick is to be called at the latest; ok is false where only an event or the end of a write can lead on.
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

// WriteCompleted records the end of the write that is under way. After an error the state counts as not written, and is written again.
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

// flush gives the disk what is to be written and the sink what may leave: messages first, then what is committed, then outcomes.
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

// Progress describes, for the log, what the replica is at work on, and for how long the disk has been.
func (p *Pipeline) Progress(now time.Duration) string {
	text := p.replica.Progress(now)
	if waited := p.queue.UnsyncedFor(now); waited > 0 {
		text += "; the disk for " + waited.Round(time.Millisecond).String()
	}
	return text
}

// DiskFailing reports whether a state has waited for the disk for too long.
func (p *Pipeline) DiskFailing(now time.Duration) bool { return p.queue.DiskFailing(now) }

// OnDisk is the newest state that is known to be written: what this machine may report of itself.
func (p *Pipeline) OnDisk() *register.State { return &p.onDisk }

// Committed is the newest committed value that has left the queue.
func (p *Pipeline) Committed() persist.Committed { return p.committed }

// Replica is the replica, for what it knows; events go to Apply.
func (p *Pipeline) Replica() *register.Replica { return p.replica }
