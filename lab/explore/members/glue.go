package members

import (
	"time"

	"github.com/go-faster/errors"

	"firplank/internal/invariant"
	"firplank/mesh/dissemination"
	"firplank/mesh/lease"
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/replacement"
)

// Write implements persistence.Sink. With the defect reportsBeforeSync it reports the write as completed at once.
func (m *machine) Write(w persist.Write) {
	m.pendingWrite, m.syncedAt = &w, m.world.now+m.world.syncTime()
	if m.world.defect.reportsBeforeSync {
		m.pipeline.WriteCompleted(m.now(), w.Number, nil)
	}
}

// Violated implements invariant.Reporter: a violation counts as a breach. It is only used if no defect is planted, because a defect must
// be found through the responses to operators.
func (m *machine) Violated(name invariant.Name, explanation ...any) {
	if m.world.history.Broken == nil {
		m.world.history.Broken = errors.Errorf("invariant %s at %s: %v", name, m.name, explanation)
	}
}

// Send implements persistence.Sink.
func (m *machine) Send(msg *register.Message) { m.world.send(m.name, msg.To, *msg) }

// Publish implements persistence.Sink.
func (m *machine) Publish(persist.Committed) {}

// Complete implements persistence.Sink.
func (m *machine) Complete(o register.Outcome) {
	m.reconciler.Complete(o)
	m.operations.Complete(m.now(), o, dissemination.Unconstrained)
}

// Apply implements reconcile.Register.
func (m *machine) Apply(now time.Duration, ev register.Event) { m.pipeline.Apply(now, ev) }

// Cancel implements reconcile.Register.
func (m *machine) Cancel(id uint64) { m.pipeline.Cancel(id) }

// DiskFailing implements reconcile.Register. Some disk faults go undetected.
func (m *machine) DiskFailing(now time.Duration) bool {
	return m.pipeline.DiskFailing(now) && !m.faultUnnoticed
}

// OnDisk implements reconcile.Register.
func (m *machine) OnDisk() *register.State { return m.pipeline.OnDisk() }

// Replica implements reconcile.Register.
func (m *machine) Replica() *register.Replica { return m.replica }

// SendLease implements reconcile.Sink.
func (m *machine) SendLease(message lease.Message) { m.world.send(m.name, message.To, message) }

// ReplacementProposed implements reconcile.Sink.
func (m *machine) ReplacementProposed(c replacement.Change) {
	m.world.log("%s replaces %v by %v", m.name, c.Lost, c.Successors)
	m.world.defect.writeByNewMembers(m, c)
}

// HandoverProposed implements reconcile.Sink.
func (m *machine) HandoverProposed(c replacement.Change) {
	m.world.log("%s hands over to %v", m.name, c.Successors)
}

// RepairCompleted implements reconcile.Sink.
func (m *machine) RepairCompleted(int, time.Duration) {}

// Depart implements reconcile.Sink.
func (m *machine) Depart(reason error, _ bool) {
	m.world.log("%s leaves (error: %v)", m.name, reason)
	m.departedGracefully = reason == nil
	m.stop()
}
