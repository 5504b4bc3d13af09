// Package operations owns the client operations of a control machine that wait for a quorum. It decides when an operation is proposed to
// the replicated register, rejected because no quorum can be reached, answered, deferred until the sidecars have acknowledged its version,
// failed because the quorum was lost meanwhile, or cancelled by its client.
//
// Table has no I/O, no goroutine and no clock, and belongs to the control machine's event loop. Call is the client's side of one
// operation and is used on the goroutine that serves the client. docs/design/control-safety-1.md states the rules.
//
// Start reading at Table.Propose.
package operations

import (
	"maps"
	"slices"
	"time"

	"firplank/internal/invariant"
	"firplank/mesh/configversion"
	"firplank/mesh/dissemination"
	"firplank/mesh/register"
	"firplank/mesh/rollout"
	"firplank/mesh/timing"
)

// Request is an operation that a client requests: a Write, a Read, a StartRollout or an AdvanceRollout.
type Request interface {
	event(id uint64) register.Event
}

// Write commits a configuration under a version.
type Write struct {
	Version configversion.Version
	Content register.Content // hash of the text as the client sent it
	Body    []byte           // the compressed text
}

// Read returns the newest committed configuration, as of its request or later (a linearizable read).
type Read struct{}

// StartRollout commits the order of a rollout.
type StartRollout struct{ Order rollout.Order }

// AdvanceRollout moves a rollout to another stage if it is at the stage that the transition starts from.
type AdvanceRollout struct{ Transition rollout.Transition }

func (s StartRollout) event(id uint64) register.Event {
	return register.StartRollout{ID: id, Order: s.Order}
}

func (a AdvanceRollout) event(id uint64) register.Event {
	return register.AdvanceRollout{ID: id, Transition: a.Transition}
}

func (w Write) event(id uint64) register.Event {
	return register.Put{ID: id, Version: w.Version, Content: w.Content, Body: w.Body}
}

func (Read) event(id uint64) register.Event { return register.LinearizableRead{ID: id} }

// Register is the replica that operations are proposed to. Apply may call Table.Complete before it returns.
type Register interface {
	Apply(now time.Duration, ev register.Event)
	// Health reports whether an operation can be committed now.
	Health(now time.Duration) Health
	// Cancel drops an operation. An unknown one is ignored.
	Cancel(id uint64)
	// Progress describes, for the log, what the register is working on.
	Progress(now time.Duration) string
}

// Responder receives the result of one operation. Respond is called once, on the event loop, and must not block.
type Responder interface {
	Respond(r Result)
}

// Result is how an operation ended. Outcome is valid only if Err is nil or a *VersionTakenError.
type Result struct {
	Outcome register.Outcome
	Err     error
}

// Health determines whether this machine can commit operations. It is unrelated to the servers' admission.Health.
type Health struct {
	LastQuorum  time.Duration // when a quorum replied last, by this machine's clock; below 0: never
	DiskFailing bool
	QueueFull   bool // the queue of what waits for the disk is full
}

// checkServing returns the error with which pending operations fail; nil if they can still be committed.
func (h Health) checkServing(now, quorumTimeout time.Duration) error {
	switch {
	case dissemination.QuorumLost(now, h.LastQuorum, quorumTimeout):
		return ErrNoQuorum
	case h.DiskFailing:
		return ErrDiskFailing
	}
	return nil
}

// CheckAccepting returns the error with which new operations are rejected: ErrNoQuorum, ErrDiskFailing or ErrQueueFull; nil if they are
// accepted.
func (h Health) CheckAccepting(now, quorumTimeout time.Duration) error {
	if err := h.checkServing(now, quorumTimeout); err != nil {
		return err
	}
	if h.QueueFull {
		return ErrQueueFull
	}
	return nil
}

// operation waits for a quorum or, once outcome is set, for the acknowledgements of sidecars.
type operation struct {
	request         Request
	responder       Responder
	requestedAt     time.Duration
	decided         bool // outcome is set
	outcome         register.Outcome
	reportedStalled bool // checkProgress has reported it
}

// Table holds the operations that wait for a quorum or for acknowledgements. It is not safe for concurrent use. Its size is bounded by
// the number of clients' connections.
type Table struct {
	register            Register
	nextID              func() uint64
	pending             map[uint64]*operation
	durations           timing.Durations
	confirmations       *dissemination.Confirmations
	invariants          invariant.Reporter
	highestAcknowledged configversion.Version // the highest version whose write was acknowledged to a client here
	servingSince        time.Duration         // when FailPending last found that this machine can't commit operations
}

// NewTable returns an empty table over a register. nextID returns a number that no other operation of this replica has.
func NewTable(r Register, nextID func() uint64, t timing.Durations) *Table {
	return &Table{
		register:      r,
		nextID:        nextID,
		pending:       map[uint64]*operation{},
		durations:     t,
		confirmations: dissemination.NewConfirmations(t.Dissemination),
		invariants:    invariant.Ignored{},
	}
}

// Len returns how many operations wait.
func (t *Table) Len() int { return len(t.pending) }

// Propose proposes an operation to the register and returns its number, by which it can be cancelled. If this machine cannot commit it
// now, it is not proposed, and the responder gets ErrNoQuorum, ErrDiskFailing or ErrQueueFull at once. Another machine may be able to
// commit it.
func (t *Table) Propose(now time.Duration, request Request, responder Responder) (id uint64) {
	if err := t.register.Health(now).CheckAccepting(now, t.durations.Dissemination.QuorumTimeout); err != nil {
		responder.Respond(Result{Err: err})
		return 0
	}
	id = t.nextID()
	t.pending[id] = &operation{request: request, responder: responder, requestedAt: now}
	t.register.Apply(now, request.event(id))
	return id
}

// Complete records the outcome of an operation that a quorum has decided. A confirmed write waits until its version is in force at all
// sidecars; lowest is the lowest version in force among this machine's subscribers. Other operations are answered at once.
func (t *Table) Complete(now time.Duration, o register.Outcome, lowest configversion.Version) {
	op := t.pending[o.ID]
	if op == nil {
		return
	}
	write, isWrite := op.request.(Write)
	confirmed := isWrite && o.Result == register.Confirmed
	if confirmed && t.confirmations.Defer(o.ID, write.Version, lowest, op.requestedAt, now) {
		op.outcome, op.decided = o, true
		return
	}
	result := Result{Outcome: o}
	if isWrite && o.Result == register.Conflict {
		result.Err = newVersionTakenError(o, write)
	}
	if _, isOrder := op.request.(StartRollout); isOrder && o.Result == register.Conflict {
		result.Err = ErrRolloutUnderWay
	}
	t.respond(o.ID, result)
}

// Acknowledge answers the writes whose version is in force among the subscribers of this machine, where lowest is the lowest version, and
// of the other control machines, and those that have waited for timing.Dissemination.AckTimeout. It returns when it is to be called again
// at the latest.
func (t *Table) Acknowledge(now time.Duration, lowest configversion.Version) (next time.Duration) {
	ids, next := t.confirmations.Release(lowest, now)
	for _, id := range ids {
		if op := t.pending[id]; op != nil {
			t.respond(id, Result{Outcome: op.outcome})
		}
	}
	return next
}

// PeerAcknowledged records the lowest version in force among another control machine's subscribers.
func (t *Table) PeerAcknowledged(peer string, lowest configversion.Version, now time.Duration) {
	t.confirmations.RecordPeer(peer, lowest, now)
}

// FailPending is called several times a second. If this machine has lost the quorum or its disk fails, it fails all operations in the
// order of their requests. They may or may not have been committed; a client may send the same operation again, to any machine.
func (t *Table) FailPending(now time.Duration) {
	err := t.register.Health(now).checkServing(now, t.durations.Dissemination.QuorumTimeout)
	if err == nil {
		t.checkProgress(now)
		return
	}
	t.servingSince = now
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		t.respond(id, Result{Err: err})
		t.register.Cancel(id)
	}
	t.confirmations.Clear()
}

// Cancel drops an operation whose client no longer waits. It may be committed all the same.
func (t *Table) Cancel(id uint64) {
	delete(t.pending, id)
	t.register.Cancel(id)
}

func (t *Table) respond(id uint64, result Result) {
	t.checkResult(t.pending[id].request, result)
	t.pending[id].responder.Respond(result)
	delete(t.pending, id)
}
