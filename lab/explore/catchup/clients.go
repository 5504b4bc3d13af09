package catchup

import (
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/register"
)

const (
	// operators is the number of concurrent operators, each with one change in flight.
	operators = 2
	// requestTimeout is the time after which a change is sent again, to a random machine.
	requestTimeout = 700 * time.Millisecond
	readInterval   = 20 * time.Millisecond
)

// clients are the operators, which make changes, and a reader.
type clients struct {
	lastID       uint64
	pending      map[uint64]*operation // by request ID
	lastVersion  configversion.Version // of the last change that was started
	acknowledged int                   // changes
}

// operation is a change, or a read.
type operation struct {
	version configversion.Version // 0: a read
	body    []byte
	began   time.Duration
	machine *machine // that the operation was sent to; nil once it has stopped
}

func (o *operation) isRead() bool { return o.version == 0 }

// nextChange starts an operator's next change.
func (w *world) nextChange() {
	c := &w.clients
	if int(c.lastVersion) >= w.plan.Changes {
		return
	}
	c.lastVersion++
	body := make([]byte, w.plan.BodyBytes)
	for i := range body {
		body[i] = byte(w.rng.Uint32())
	}
	w.history.sent(c.lastVersion, body)
	w.request(&operation{version: c.lastVersion, body: body, began: w.now})
}

// read sends a read and schedules the next one.
func (w *world) read() {
	if w.machines[0].isUp() || w.machines[1].isUp() {
		w.request(&operation{began: w.now})
	}
	w.after(readInterval, w.read)
}

// request sends an operation to a random machine. A change is sent again after each time-out until it is acknowledged.
func (w *world) request(o *operation) {
	c := &w.clients
	c.lastID++
	id := c.lastID
	m := w.machines[w.rng.IntN(members)]
	if m.isUp() {
		o.machine = m
		c.pending[id] = o
		m.apply(o.event(id))
	}
	w.after(requestTimeout, func() {
		if m.isUp() {
			m.pipeline.Cancel(id)
		}
		delete(c.pending, id)
		if !o.isRead() && !w.history.isAcknowledged(o.version) {
			w.request(o)
		}
	})
}

func (o *operation) event(id uint64) register.Event {
	if o.isRead() {
		return register.LinearizableRead{ID: id}
	}
	return register.Put{ID: id, Version: o.version, Content: register.ContentOf(o.body), Body: o.body}
}

// handleOutcome handles the outcome of an operation at a machine.
func (w *world) handleOutcome(m *machine, outcome register.Outcome) {
	o := w.clients.pending[outcome.ID]
	if o == nil || o.machine != m {
		return
	}
	delete(w.clients.pending, outcome.ID)
	value := &outcome.Value
	switch {
	case outcome.Result != register.Confirmed:
		w.history.fail("version %d was rejected", o.version)
	case o.isRead():
		w.history.read(value.Version, value.Body, o.began, w.now)
	case !w.history.isAcknowledged(o.version):
		w.history.acknowledged(o.version, value.Version, value.Body, o.began, w.now)
		w.clients.acknowledged++
		w.nextChange()
	}
}

// machineStopped drops the operations that a stopped machine will not answer.
func (c *clients) machineStopped(m *machine) {
	for id, o := range c.pending {
		if o.machine != m {
			continue
		}
		o.machine = nil
		if o.isRead() {
			delete(c.pending, id)
		}
	}
}
